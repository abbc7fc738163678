package itemjob

import "time"

// Pace measures how fast targets run items, to tell when an item must start. Guarded by its owner.
type Pace struct {
	perEvent float64 // seconds between two events of a run
	events   float64 // of an item
}

const (
	// paceWeight is the weight of a new run: about the last ten runs count.
	paceWeight = 0.1
	// defaultRun is the expected run of an item before any was measured.
	defaultRun = 5 * time.Second
	// longItem is the ratio of a long item's events to the mean: items whose length is not known are taken for long ones.
	longItem = 1.25
	// slowRun is the ratio of a run on a full target to the mean.
	slowRun = 1.1
	// startMargin is the time that starting, recording and reading a result take.
	startMargin = 1500 * time.Millisecond
)

// Observe adds a complete run of an item: its events, those of earlier runs included, and the time and events of this run.
func (p *Pace) Observe(total, events int, took time.Duration) {
	if events <= 0 || total <= 0 {
		return
	}
	perEvent := took.Seconds() / float64(events)
	if p.events == 0 {
		p.perEvent, p.events = perEvent, float64(total)
		return
	}
	p.perEvent += paceWeight * (perEvent - p.perEvent)
	p.events += paceWeight * (float64(total) - p.events)
}

// Remaining returns the expected time of an item that has received some events.
func (p *Pace) Remaining(events int) time.Duration {
	if p.events == 0 {
		return defaultRun
	}
	left := max(p.events*longItem-float64(events), p.events*0.1)
	return time.Duration(left * p.perEvent * slowRun * float64(time.Second))
}

// Urgent tells whether an item that has received some events will miss its due time unless it runs without a pause from now on. An item
// that cannot make it any more is not urgent: online requests, which still can, go before it.
func (p *Pace) Urgent(due time.Time, events int, now time.Time) bool {
	return due.Sub(now) < p.Remaining(events)+startMargin && p.canBeInTime(due, events, now)
}

// canBeInTime tells whether an item that has received some events may end before its due time if it runs without a pause from now on.
func (p *Pace) canBeInTime(due time.Time, events int, now time.Time) bool {
	return due.Sub(now) > p.shortest(events)
}

// shortest returns the least time that an item of usual length needs.
func (p *Pace) shortest(events int) time.Duration {
	if p.events == 0 {
		return 0
	}
	return time.Duration(max(p.events-float64(events), 0) * p.perEvent * float64(time.Second))
}

// Choice is a task that may start.
type Choice struct {
	Job    *Job
	Task   *Task
	Urgent bool
}

// Next returns the waiting task to start. It answers a backlog after an outage: in the order of due times alone, items that are late already
// would take the slots of those that are not, until all are late. So items that can be in time go first, those of the job that is due first
// before others, and late ones take what is left. Within a job, the item that was begun before goes first. Items past their pause only. ok is
// false if none may start now.
func Next(jobs []*Job, pace *Pace, now time.Time) (choice Choice, ok bool) {
	var chosen Rank
	for _, j := range jobs {
		if j.Ended {
			continue
		}
		t := j.next(now)
		if t == nil {
			continue
		}
		rank := pace.Rank(j.Due, t.Events, now)
		if ok && !rank.Before(chosen) {
			continue
		}
		choice, ok, chosen = Choice{Job: j, Task: t, Urgent: pace.Urgent(j.Due, t.Events, now)}, true, rank
	}
	return choice, ok
}

// Rank is the place of an item in the order in which items start.
type Rank struct {
	InTime bool // it may end before its due time
	Due    time.Time
}

// Rank returns the rank of an item that has received some events.
func (p *Pace) Rank(due time.Time, events int, now time.Time) Rank {
	return Rank{p.canBeInTime(due, events, now), due}
}

// Before tells whether an item goes before another one: one that can be in time before one that cannot, then by due time.
func (r Rank) Before(other Rank) bool {
	if r.InTime != other.InTime {
		return r.InTime
	}
	return r.Due.Before(other.Due)
}

func (j *Job) next(now time.Time) *Task {
	var best *Task
	for _, t := range j.Tasks {
		if t.Phase == Waiting && !now.Before(t.NotUntil) && (best == nil || t.Events > best.Events) {
			best = t
		}
	}
	return best
}

// Expired returns the unfinished tasks of a job that may be given up.
func (j *Job) Expired(now time.Time) []*Task {
	if now.Before(j.GiveUp) {
		return nil
	}
	var expired []*Task
	for _, t := range j.Tasks {
		if t.Phase == Waiting {
			expired = append(expired, t)
		}
	}
	return expired
}

// Fits tells whether a job's tokens fit under a limit beside those that wait. A limit of 0 means none.
func Fits(limit, waiting, tokens int64) bool { return limit <= 0 || waiting+tokens <= limit }
