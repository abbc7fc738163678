package batch

import (
	"cmp"
	"math"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// deadlineSlot is the span of deadlines that count as equal. Within it callers share; between slots the earlier one goes first.
const deadlineSlot = 15 * time.Minute

// Candidate is a job that has work to start.
type Candidate struct {
	Job       JobID
	Caller    fleet.CallerID
	Deadline  time.Time
	Remaining int     // items without a result
	Rate      float64 // items per second as measured; 0 while unknown
}

// AtRisk tells whether the remaining items do not fit before the deadline at the measured rate. A job of unknown rate is not at risk.
func (c Candidate) AtRisk(now time.Time) bool {
	if c.Rate <= 0 {
		return false
	}
	return float64(c.Remaining)/c.Rate > c.Deadline.Sub(now).Seconds()
}

// Order chooses the next job: jobs at risk first, then the earliest deadline, and among deadlines of one slot the caller that was served
// least. It is not safe for concurrent use.
type Order struct {
	served map[fleet.CallerID]float64 // items started for the caller, from the level at which it joined
}

// NewOrder returns an order in which no caller was served.
func NewOrder() *Order { return &Order{served: make(map[fleet.CallerID]float64)} }

// Next returns the index of the candidate to start next, or -1 if there is none.
func (o *Order) Next(candidates []Candidate, now time.Time) int {
	o.join(candidates)
	best := -1
	for i := range candidates {
		if best < 0 || o.compare(candidates[i], candidates[best], now) < 0 {
			best = i
		}
	}
	return best
}

// Started records that items of the caller were started.
func (o *Order) Started(caller fleet.CallerID, items int) { o.served[caller] += float64(items) }

// join gives a new caller the level of the one served least, so that it neither waits for nor overtakes the history of others, and
// forgets callers without work.
func (o *Order) join(candidates []Candidate) {
	present := make(map[fleet.CallerID]bool, len(o.served))
	least := math.Inf(1)
	for _, c := range candidates {
		present[c.Caller] = true
		if level, ok := o.served[c.Caller]; ok {
			least = min(least, level)
		}
	}
	if math.IsInf(least, 1) {
		least = 0
	}
	for caller := range present {
		if _, ok := o.served[caller]; !ok {
			o.served[caller] = least
		}
	}
	for caller := range o.served {
		if !present[caller] {
			delete(o.served, caller)
		}
	}
}

func (o *Order) compare(a, b Candidate, now time.Time) int {
	if riskA, riskB := a.AtRisk(now), b.AtRisk(now); riskA != riskB {
		if riskA {
			return -1
		}
		return 1
	}
	return cmp.Or(
		a.Deadline.Truncate(deadlineSlot).Compare(b.Deadline.Truncate(deadlineSlot)),
		cmp.Compare(o.served[a.Caller], o.served[b.Caller]),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.Job, b.Job),
	)
}

// rateHorizon is the time over which a measured rate forgets.
const rateHorizon = 30 * time.Second

// Rate measures items per second as an exponentially weighted mean.
type Rate struct {
	perSecond float64
	last      time.Time
	pending   int // items since last
}

// Observe records that items ended.
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
	weight := 1 - math.Exp(-elapsed/rateHorizon.Seconds())
	if r.perSecond == 0 {
		weight = 1
	}
	r.perSecond += weight * (current - r.perSecond)
	r.last, r.pending = now, 0
}

// PerSecond returns the measured rate, 0 while unknown.
func (r *Rate) PerSecond() float64 { return r.perSecond }
