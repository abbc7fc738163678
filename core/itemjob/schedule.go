package itemjob

import "time"

// Pace measures how fast targets run items, from which it estimates when an item must start. It isn't safe for concurrent use.
type Pace struct {
	secondsPerEvent float64 // mean seconds between two events of a run
	meanEvents      float64 // mean number of events of an item; 0 before the first run
}

const (
	// newRunWeight is the weight of a new run in the means; with 0.1, the last ten runs have about 65 percent of the weight and the last
	// twenty about 88 percent.
	newRunWeight = 0.1
	// defaultRunDuration is the expected duration of a run before any was measured.
	defaultRunDuration = 5 * time.Second
	// longItemRatio is the ratio of a long item's number of events to the mean. The length of an item isn't known in advance, so every item is
	// assumed to be long.
	longItemRatio = 1.25
	// slowRunRatio is the ratio of the duration of a run on a full target to the mean.
	slowRunRatio = 1.1
	// startMargin is the time that starting an item, storing its result and reading the result take.
	startMargin = 1500 * time.Millisecond
)

// Observe adds the run in which an item completed. total is the item's number of events over all runs, events the number in this run, and took
// the duration of this run. It ignores runs without events.
func (p *Pace) Observe(total, events int, took time.Duration) {
	if events <= 0 || total <= 0 {
		return
	}
	perEvent := took.Seconds() / float64(events)
	if p.meanEvents == 0 {
		p.secondsPerEvent, p.meanEvents = perEvent, float64(total)
		return
	}
	p.secondsPerEvent += newRunWeight * (perEvent - p.secondsPerEvent)
	p.meanEvents += newRunWeight * (float64(total) - p.meanEvents)
}

// Remaining returns the expected run time until an item that has received the given number of events finishes, on the assumption that the item is
// long and its target full.
func (p *Pace) Remaining(events int) time.Duration {
	if p.meanEvents == 0 {
		return defaultRunDuration
	}
	left := max(p.meanEvents*longItemRatio-float64(events), p.meanEvents*0.1)
	return time.Duration(left * p.secondsPerEvent * slowRunRatio * float64(time.Second))
}

// Urgent reports whether an item must run without a pause from now on to finish by its due time. events is the number that it has received. An
// item that can't finish in time any more isn't urgent: online requests that still can go before it.
func (p *Pace) Urgent(due time.Time, events int, now time.Time) bool {
	return due.Sub(now) < p.Remaining(events)+startMargin && p.canFinishInTime(due, events, now)
}

// canFinishInTime reports whether an item of mean length that has received the given number of events can finish before its due time if it runs
// without a pause from now on.
func (p *Pace) canFinishInTime(due time.Time, events int, now time.Time) bool {
	return due.Sub(now) > p.minRemaining(events)
}

// minRemaining returns the least time until an item of mean length finishes, 0 before any run was measured.
func (p *Pace) minRemaining(events int) time.Duration {
	if p.meanEvents == 0 {
		return 0
	}
	return time.Duration(max(p.meanEvents-float64(events), 0) * p.secondsPerEvent * float64(time.Second))
}

// Choice is a task that may start.
type Choice struct {
	Job     *Job
	Task    *Task
	Urgent  bool
	Service string // whose targets run the item
}

// Round chooses tasks to start, one after the other, until no service has both a waiting item and room for it. An item without room is passed
// over, so that services whose targets are lost or full don't hold up the items of others.
type Round struct {
	serviceOf func(*Job) string
	drawn     map[*Job]string // services drawn for the next items of the jobs
	full      map[demand]bool
}

// demand is what a slot is asked for.
type demand struct {
	service string
	urgent  bool
}

// NewRound returns a round. serviceOf returns the service whose targets run the next item of a job. It may return another one at each call, if the
// job's route is split between services.
func NewRound(serviceOf func(*Job) string) *Round {
	return &Round{serviceOf: serviceOf, drawn: make(map[*Job]string), full: make(map[demand]bool)}
}

// Next returns the waiting task to start next, among those that may find room; ok is false if there is none. Items that can finish in time go before
// late ones, then the job's due time decides. If the due time alone decided, then after an outage the late items of the backlog would take the slots
// until all items are late. Within a job, the item that has received the most events goes first. Items whose pause hasn't passed and items of ended
// jobs don't start. After each call, the caller must start the item, set a pause for it or give it up and call Done, or call Full.
func (r *Round) Next(jobs []*Job, pace *Pace, now time.Time) (choice Choice, ok bool) {
	var chosen Rank
	for _, j := range jobs {
		if j.Ended {
			continue
		}
		t := j.nextTask(now, func(t *Task) bool { return !r.full[demand{r.service(j), pace.Urgent(j.due, t.Events, now)}] })
		if t == nil {
			continue
		}
		rank := pace.Rank(j.due, t.Events, now)
		if ok && !rank.Before(chosen) {
			continue
		}
		choice, ok, chosen = Choice{Job: j, Task: t, Urgent: pace.Urgent(j.due, t.Events, now), Service: r.service(j)}, true, rank
	}
	return choice, ok
}

// Done ends the handling of a choice. The next item of the job gets a service anew.
func (r *Round) Done(c Choice) { delete(r.drawn, c.Job) }

// Full records that the service of a choice has no room for it. Places for urgent items include those for others.
func (r *Round) Full(c Choice) {
	r.full[demand{c.Service, false}] = true
	if c.Urgent {
		r.full[demand{c.Service, true}] = true
	}
}

// FullServices returns the services that had no room for an item in this round.
func (r *Round) FullServices() []string {
	var list []string
	for d := range r.full {
		if !d.urgent {
			list = append(list, d.service)
		}
	}
	return list
}

// service returns the service of the next item of a job.
func (r *Round) service(j *Job) string {
	service, ok := r.drawn[j]
	if !ok {
		service = r.serviceOf(j)
		r.drawn[j] = service
	}
	return service
}

// Rank is the sort key by which items are started.
type Rank struct {
	InTime bool // the item can finish before its due time
	Due    time.Time
}

// Rank returns the rank of an item that has received the given number of events.
func (p *Pace) Rank(due time.Time, events int, now time.Time) Rank {
	return Rank{p.canFinishInTime(due, events, now), due}
}

// Before reports whether an item of rank r starts before one of rank other: items that can finish in time first, then by due time.
func (r Rank) Before(other Rank) bool {
	if r.InTime != other.InTime {
		return r.InTime
	}
	return r.Due.Before(other.Due)
}

// nextTask returns the waiting task for which mayStart returns true that starts next, or nil.
func (j *Job) nextTask(now time.Time, mayStart func(*Task) bool) *Task {
	var best *Task
	for _, t := range j.Tasks {
		if t.Phase == Waiting && !now.Before(t.NotBefore) && (best == nil || t.Events > best.Events) && mayStart(t) {
			best = t
		}
	}
	return best
}

// clockRateMargin is the inverse of the share by which the clocks of two machines may differ in rate. Time synchronization changes the rate of a
// clock by up to 500 parts per million.
const clockRateMargin = 1000

// Expired returns the tasks to give up: the waiting ones once the job is as old as its retention for certain, also by a clock that is slower than
// those that measured its age. Running tasks aren't included.
func (j *Job) Expired(now time.Time) []*Task {
	if j.Age(now) < j.Retention()+j.Retention()/clockRateMargin {
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

// Fits reports whether a job's tokens together with the waiting ones stay within limit. A limit of 0 or less means no limit.
func Fits(limit, waiting, tokens int64) bool { return limit <= 0 || waiting+tokens <= limit }
