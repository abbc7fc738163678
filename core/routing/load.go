package routing

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// maxRecent bounds the number of starts and ends that are kept since the last report; beyond it the oldest is dropped.
const maxRecent = 256

// LoadTracker estimates the load of one target from its reports, which lag, and from this instance's own requests, which are known
// without lag. It is not safe for concurrent use; its owner must serialize all calls.
type LoadTracker struct {
	report    fleet.LoadReport
	hasReport bool
	inFlight  int
	recent    []loadChange // own starts and ends after the report's sample, oldest first
}

type loadChange struct {
	at    time.Time
	delta int // +1 for a start, -1 for an end
}

// Started records that a request was sent at now.
func (t *LoadTracker) Started(now time.Time) {
	t.inFlight++
	t.record(loadChange{at: now, delta: 1})
}

// Ended records that a request ended at now.
func (t *LoadTracker) Ended(now time.Time) {
	t.inFlight--
	t.record(loadChange{at: now, delta: -1})
}

func (t *LoadTracker) record(c loadChange) {
	if len(t.recent) == maxRecent {
		t.recent = append(t.recent[:0], t.recent[1:]...)
	}
	t.recent = append(t.recent, c)
}

// Report records a load report. It ignores a report whose sample is not newer than that of the last one.
func (t *LoadTracker) Report(r fleet.LoadReport) {
	if t.hasReport && !r.SampledAt.After(t.report.SampledAt) {
		return
	}
	t.report, t.hasReport = r, true
	keep := 0
	for keep < len(t.recent) && !t.recent[keep].at.After(r.SampledAt) {
		keep++
	}
	t.recent = append(t.recent[:0], t.recent[keep:]...)
}

// InFlight returns the number of this instance's own requests at the target.
func (t *LoadTracker) InFlight() int { return t.inFlight }

// LastReport returns the last recorded report. Its SampledAt is zero before the first one.
func (t *LoadTracker) LastReport() fleet.LoadReport { return t.report }

// Estimate returns the estimated number of requests running or waiting at the target: the last report plus the own starts minus the
// own ends since its sample, this difference multiplied by peers. Routing passes the number of instances that send to the target as
// peers: they decide by the same policy and reports, so that each of them moves on to other targets before all have chosen this one.
// Admission passes 1, because with the factor the sum over a pool of 192 places is 17 too high on average, with an error of 25 (root
// mean square) instead of 6. Without a report, or with a stale one, Estimate returns the number of own requests in flight.
func (t *LoadTracker) Estimate(now time.Time, peers int) float64 {
	if !t.hasReport || now.Sub(t.report.SampledAt) > maxReportAge {
		return float64(t.inFlight)
	}
	balance := 0
	for _, c := range t.recent {
		balance += c.delta
	}
	estimate := float64(t.report.Running+t.report.Waiting) + float64(balance)*float64(max(peers, 1))
	return max(estimate, float64(t.inFlight), 0)
}

// maxReportAge is the age above which a report is stale: most requests that ran at its sample have ended by then.
const maxReportAge = 30 * time.Second
