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

// AdmissionReason is the reason for a verdict.
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
	// minRetryAfter keeps refused callers from retrying at once.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds the advised delay, because load seldom stays at its present level for longer.
	maxRetryAfter = 30 * time.Second
	// noCapacityRetryAfter is about the time until a lost target is replaced in the routing tables.
	noCapacityRetryAfter = time.Second
)

// AdmissionLimits bounds the admission queue.
type AdmissionLimits struct {
	MaxQueue int           // entries
	MaxWait  time.Duration // longest predicted wait
}

// Load is the state of a pool and its admission queue when a request arrives.
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
	RetryAfter          time.Duration // advised delay before a retry; set with Refuse only
}

// Admit decides whether a request is admitted, queued or refused. deadline is the latest time for its first token; zero
// means none. A request whose predicted first token misses the deadline is refused at once, because a later refusal
// would cost the caller the waiting time and take up a place in the queue.
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
	lateBy := d.PredictedFirstToken - deadline.Sub(now)
	switch {
	case !deadline.IsZero() && lateBy > 0:
		return d.refuse(MissesDeadline, lateBy)
	case d.Verdict == Queue && d.PredictedWait > limits.MaxWait:
		return d.refuse(WaitTooLong, d.PredictedWait-limits.MaxWait)
	case d.Verdict == Queue && load.Queued >= limits.MaxQueue && load.Ahead >= load.Queued:
		return d.refuse(QueueFull, d.PredictedWait)
	}
	return d
}

// predictWait returns the predicted time until this request is dispatched, after the entries ahead of it. It returns 0
// without samples, so that the first requests of a pool are queued and can be measured.
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
	d.RetryAfter = min(max(excess, minRetryAfter), maxRetryAfter)
	return d
}
