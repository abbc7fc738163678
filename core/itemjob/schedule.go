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
	left := due.Sub(now)
	return left < p.Remaining(events)+startMargin && left > p.shortest(events)
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

// Next returns the waiting task to start: of the job that is due first, the item that was begun before, then the first one. Items past
// their pause only. ok is false if none may start now.
func Next(jobs []*Job, pace *Pace, now time.Time) (choice Choice, ok bool) {
	for _, j := range jobs {
		if j.Ended || ok && !j.Due.Before(choice.Job.Due) {
			continue
		}
		if t := j.next(now); t != nil {
			choice, ok = Choice{Job: j, Task: t, Urgent: pace.Urgent(j.Due, t.Events, now)}, true
		}
	}
	return choice, ok
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
