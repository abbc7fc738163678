package limits

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample; with 0.1, the last ten samples have about 65 percent of the weight and the last
	// twenty about 88 percent.
	sampleWeight = 0.1
	// deviationMargin is the number of mean deviations added to the mean time to first token. Refusing a request that
	// would narrowly have met its deadline costs less than refusing it after it waited.
	deviationMargin = 2.0
)

// average is an exponentially weighted moving average with its mean absolute deviation.
type average struct {
	mean, deviation float64
	hasSamples      bool
}

func (a *average) add(sample float64) {
	if !a.hasSamples {
		*a = average{mean: sample, hasSamples: true}
		return
	}
	difference := sample - a.mean
	a.mean += sampleWeight * difference
	a.deviation += sampleWeight * (math.Abs(difference) - a.deviation)
}

// ServiceRate measures how fast a pool of targets serves requests. It is not safe for concurrent use; its owner must
// serialize all calls.
type ServiceRate struct {
	firstToken         average   // seconds from dispatch to the first token
	service            average   // seconds from dispatch to the end
	completionInterval average   // seconds between completions while all capacity was in use
	lastSaturated      time.Time // last completion while all capacity was in use; zero if the last one was not
}

// ObserveFirstToken records the time from dispatch to the first byte of a response, which stands for its first token. This is later than
// the start, which is the dispatch itself: the start is what Waiting.Deadline bounds, while the deadline of Admit is for the first token.
func (s *ServiceRate) ObserveFirstToken(d time.Duration) {
	s.firstToken.add(d.Seconds())
}

// ObserveCompletion records a request that finished at now, d after its dispatch. saturated says whether all capacity
// was in use until now. Only then does the time between completions depend on the pool and not on the demand.
func (s *ServiceRate) ObserveCompletion(d time.Duration, saturated bool, now time.Time) {
	s.service.add(d.Seconds())
	if !saturated {
		s.lastSaturated = time.Time{}
		return
	}
	if !s.lastSaturated.IsZero() {
		s.completionInterval.add(max(now.Sub(s.lastSaturated).Seconds(), 0))
	}
	s.lastSaturated = now
}

// FirstToken returns a conservative prediction of the time from dispatch to the first token, 0 without samples.
func (s *ServiceRate) FirstToken() time.Duration {
	return time.Duration((s.firstToken.mean + deviationMargin*s.firstToken.deviation) * float64(time.Second))
}

// PerSecond returns the predicted completions per second while all of capacity is in use, or false without samples. In
// a saturated pool it is the measured rate. Otherwise it is computed from the service time, because the completion rate
// of a pool with spare capacity depends only on the demand.
func (s *ServiceRate) PerSecond(capacity int) (float64, bool) {
	if !s.lastSaturated.IsZero() && s.completionInterval.hasSamples && s.completionInterval.mean > 0 {
		return 1 / s.completionInterval.mean, true
	}
	if s.service.hasSamples && s.service.mean > 0 {
		return float64(capacity) / s.service.mean, true
	}
	return 0, false
}
