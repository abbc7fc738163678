package limits

import (
	"time"
)

// Verdict is the outcome of an admission decision.
type Verdict int

// Verdicts.
const (
	AdmitNow Verdict = iota
	Queue
	Refuse
)

// String returns the verdict's name as logs show it.
func (v Verdict) String() string {
	switch v {
	case AdmitNow:
		return "admit"
	case Queue:
		return "queue"
	case Refuse:
		return "refuse"
	}
	return "invalid"
}

// AdmissionReason says why a request was queued or refused.
type AdmissionReason string

// Reasons.
const (
	CapacityFree   AdmissionReason = "capacity_free"
	CapacityInUse  AdmissionReason = "capacity_in_use"
	NoCapacity     AdmissionReason = "no_usable_target"
	QueueFull      AdmissionReason = "queue_full"
	MissesDeadline AdmissionReason = "predicted_first_token_misses_deadline"
	WaitTooLong    AdmissionReason = "predicted_wait_exceeds_queue_bound"
)

const (
	// leastRetryAfter keeps refused callers from coming back at once.
	leastRetryAfter = 100 * time.Millisecond
	// mostRetryAfter bounds the advice, because load seldom lasts at its present level.
	mostRetryAfter = 30 * time.Second
	// noCapacityRetryAfter is about the time in which a lost target is replaced in the routing tables.
	noCapacityRetryAfter = time.Second
)

// AdmissionLimits bounds the queue behind the admission decision.
type AdmissionLimits struct {
	MaxQueue int           // entries
	MaxWait  time.Duration // longest predicted wait
}

// Load is the state that a request meets.
type Load struct {
	Capacity int // sum of MaxRunning over usable targets
	InFlight int // requests dispatched and not finished
	Queued   int // all entries of the admission queue
	Ahead    int // entries that would leave the queue before this request, from FairQueue.Ahead
}

// AdmissionDecision is the result for one request.
type AdmissionDecision struct {
	Verdict             Verdict
	Reason              AdmissionReason
	PredictedWait       time.Duration // until dispatch
	PredictedFirstToken time.Duration // until the first token
	RetryAfter          time.Duration // with Refuse
}

// Admit decides on one request with the given deadline for its first token; a zero deadline means none. Requests whose
// predicted first token misses the deadline are refused at once: refused late, they would have used up the caller's
// time and a place in the queue.
func Admit(limits AdmissionLimits, load Load, rate *ServiceRate, deadline, now time.Time) AdmissionDecision {
	if load.Capacity <= 0 {
		return AdmissionDecision{Verdict: Refuse, Reason: NoCapacity, RetryAfter: noCapacityRetryAfter}
	}
	d := AdmissionDecision{Verdict: AdmitNow, Reason: CapacityFree}
	if load.InFlight >= load.Capacity || load.Ahead > 0 {
		d.Verdict = Queue
		d.Reason = CapacityInUse
		d.PredictedWait = predictWait(load, rate)
	}
	d.PredictedFirstToken = d.PredictedWait + rate.FirstToken()
	late := d.PredictedFirstToken - deadline.Sub(now)
	switch {
	case !deadline.IsZero() && late > 0:
		return d.refuse(MissesDeadline, late)
	case d.Verdict == Queue && d.PredictedWait > limits.MaxWait:
		return d.refuse(WaitTooLong, d.PredictedWait-limits.MaxWait)
	case d.Verdict == Queue && load.Queued >= limits.MaxQueue && load.Ahead >= load.Queued:
		return d.refuse(QueueFull, d.PredictedWait)
	}
	return d
}

// predictWait returns the time until the entries ahead and this request have found a free place. Without samples it is
// 0: the first requests of a pool are queued and measured.
func predictWait(load Load, rate *ServiceRate) time.Duration {
	perSecond, known := rate.PerSecond(load.Capacity)
	if !known {
		return 0
	}
	completions := load.Ahead + 1 + max(load.InFlight-load.Capacity, 0)
	return time.Duration(float64(completions) / perSecond * float64(time.Second))
}

func (d AdmissionDecision) refuse(reason AdmissionReason, excess time.Duration) AdmissionDecision {
	d.Verdict = Refuse
	d.Reason = reason
	d.RetryAfter = min(max(excess, leastRetryAfter), mostRetryAfter)
	return d
}
