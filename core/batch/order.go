package batch

import (
	"cmp"
	"math"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// deadlineSlot is the granularity at which deadlines are compared. Jobs with deadlines in the same slot share capacity fairly between callers;
// otherwise the job with the earlier deadline goes first.
const deadlineSlot = 15 * time.Minute

// Candidate is a job with items that may be started.
type Candidate struct {
	Job       JobID
	Caller    fleet.CallerID
	Deadline  time.Time
	Remaining int     // items without a result
	Rate      float64 // measured items per second; 0 if not measured yet
}

// AtRisk reports whether the job would miss its deadline at the measured rate. A job without a measured rate isn't at risk.
func (c Candidate) AtRisk(now time.Time) bool {
	if c.Rate <= 0 {
		return false
	}
	return float64(c.Remaining)/c.Rate > c.Deadline.Sub(now).Seconds()
}

// Scheduler chooses the next job to start items of: jobs at risk first, then those with the earliest deadline, and within one deadlineSlot the job
// whose caller has had the fewest items started. It isn't safe for concurrent use.
type Scheduler struct {
	served map[fleet.CallerID]float64 // items started for each caller, plus the count that it was given when it joined
}

// NewScheduler returns a Scheduler that has no callers yet.
func NewScheduler() *Scheduler { return &Scheduler{served: make(map[fleet.CallerID]float64)} }

// Next returns the index of the candidate to start next, or -1 if there is none.
func (s *Scheduler) Next(candidates []Candidate, now time.Time) int {
	s.updateCallers(candidates)
	best := -1
	for i := range candidates {
		if best < 0 || s.compare(candidates[i], candidates[best], now) < 0 {
			best = i
		}
	}
	return best
}

// Started records that a number of the caller's items were started.
func (s *Scheduler) Started(caller fleet.CallerID, items int) { s.served[caller] += float64(items) }

// updateCallers adds new callers with the count of the caller that was served least, and removes callers without candidates. With a count of
// 0 a new caller would be served alone until it had caught up with the others; with a higher count it would have to wait for them.
func (s *Scheduler) updateCallers(candidates []Candidate) {
	present := make(map[fleet.CallerID]bool, len(s.served))
	least := math.Inf(1)
	for _, c := range candidates {
		present[c.Caller] = true
		if level, ok := s.served[c.Caller]; ok {
			least = min(least, level)
		}
	}
	if math.IsInf(least, 1) {
		least = 0
	}
	for caller := range present {
		if _, ok := s.served[caller]; !ok {
			s.served[caller] = least
		}
	}
	for caller := range s.served {
		if !present[caller] {
			delete(s.served, caller)
		}
	}
}

func (s *Scheduler) compare(a, b Candidate, now time.Time) int {
	if riskA, riskB := a.AtRisk(now), b.AtRisk(now); riskA != riskB {
		if riskA {
			return -1
		}
		return 1
	}
	return cmp.Or(
		a.Deadline.Truncate(deadlineSlot).Compare(b.Deadline.Truncate(deadlineSlot)),
		cmp.Compare(s.served[a.Caller], s.served[b.Caller]),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.Job, b.Job),
	)
}

// rateTimeConstant is the time constant of the exponential mean in Rate.
const rateTimeConstant = 30 * time.Second

// Rate measures the rate of finished items as an exponentially weighted mean. It is updated at most once per second.
type Rate struct {
	perSecond float64
	last      time.Time
	pending   int // items that ended since last
}

// Observe records that a number of items ended at now.
func (r *Rate) Observe(items int, now time.Time) {
	if r.last.IsZero() {
		r.last = now
	}
	r.pending += items
	elapsed := now.Sub(r.last).Seconds()
	if elapsed < 1 {
		return
	}
	current := float64(r.pending) / elapsed
	weight := 1 - math.Exp(-elapsed/rateTimeConstant.Seconds())
	if r.perSecond == 0 {
		weight = 1
	}
	r.perSecond += weight * (current - r.perSecond)
	r.last, r.pending = now, 0
}

// PerSecond returns the measured rate in items per second, 0 if it isn't measured yet.
func (r *Rate) PerSecond() float64 { return r.perSecond }
