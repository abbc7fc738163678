package limits

import (
	"math"
	"time"
)

const (
	// rateWeight is the weight of a new sample: about the last twenty samples count.
	rateWeight = 0.1
	// deviationMargin is how many mean deviations are added to the mean time to first token. Refusing a request that
	// would just have made it costs less than refusing it after it waited.
	deviationMargin = 2.0
)

// average is an exponentially weighted moving average with its mean absolute deviation.
type average struct {
	mean, deviation float64
	known           bool
}

func (a *average) add(sample float64) {
	if !a.known {
		*a = average{mean: sample, known: true}
		return
	}
	difference := sample - a.mean
	a.mean += rateWeight * difference
	a.deviation += rateWeight * (math.Abs(difference) - a.deviation)
}

// ServiceRate measures how fast a pool of targets serves. Guarded by its owner.
type ServiceRate struct {
	firstToken    average // seconds from dispatch to the first token
	service       average // seconds from dispatch to the end
	interval      average // seconds between completions while all capacity was in use
	lastSaturated time.Time
}

// ObserveFirstToken adds the time from dispatch to the first byte of an answer.
func (s *ServiceRate) ObserveFirstToken(d time.Duration) {
	s.firstToken.add(d.Seconds())
}

// ObserveCompletion adds a finished request. saturated tells whether all capacity was in use until now: only then does
// the time between completions measure the pool and not the demand.
func (s *ServiceRate) ObserveCompletion(d time.Duration, saturated bool, now time.Time) {
	s.service.add(d.Seconds())
	if !saturated {
		s.lastSaturated = time.Time{}
		return
	}
	if !s.lastSaturated.IsZero() {
		s.interval.add(max(now.Sub(s.lastSaturated).Seconds(), 0))
	}
	s.lastSaturated = now
}

// FirstToken returns a cautious prediction of the time to first token; 0 without samples.
func (s *ServiceRate) FirstToken() time.Duration {
	return time.Duration((s.firstToken.mean + deviationMargin*s.firstToken.deviation) * float64(time.Second))
}

// PerSecond returns the predicted completions per second with all of capacity in use; false without samples. Under
// saturation the measured rate counts. Otherwise it follows from the service time, because the completion rate of a
// pool with spare capacity tells only the demand.
func (s *ServiceRate) PerSecond(capacity int) (float64, bool) {
	if !s.lastSaturated.IsZero() && s.interval.known && s.interval.mean > 0 {
		return 1 / s.interval.mean, true
	}
	if s.service.known && s.service.mean > 0 {
		return float64(capacity) / s.service.mean, true
	}
	return 0, false
}
