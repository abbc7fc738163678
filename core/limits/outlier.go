package limits

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// CircuitState is the state of one target's circuit breaker.
type CircuitState int

// States of a circuit.
const (
	CircuitClosed   CircuitState = iota // gets requests
	CircuitOpen                         // ejected: gets none
	CircuitHalfOpen                     // ejection time is over: gets one probing request
)

// String returns the state's name as logs show it.
func (s CircuitState) String() string {
	switch s {
	case CircuitClosed:
		return "closed"
	case CircuitOpen:
		return "open"
	case CircuitHalfOpen:
		return "half_open"
	}
	return "invalid"
}

// EjectReason says why a target was ejected.
type EjectReason string

// Reasons of an ejection.
const (
	ConsecutiveFailures EjectReason = "consecutive_failures"
	FailureRate         EjectReason = "failure_rate"
	Slowness            EjectReason = "slower_than_peers"
	ProbeFailed         EjectReason = "probe_failed"
)

// OutlierPolicy holds the thresholds of ejection.
type OutlierPolicy struct {
	Consecutive    int           // failures in a row
	FailureShare   float64       // share of failed requests in one evaluation period
	MinRequests    int           // requests in a period below which the share is not judged
	SlowFactor     float64       // multiple of the peers' median latency
	SlowAtLeast    time.Duration // latency below which no target counts as slow
	MinPeers       int           // measured peers needed to judge slowness
	BaseEjection   time.Duration // first ejection; doubles with each repeat
	MaxEjection    time.Duration
	ForgiveAfter   time.Duration // time without ejection after which repeats are forgotten
	MaxEjected     float64       // largest share of the pool that may be ejected
	ProbeTimeout   time.Duration // after which a probe without outcome is given up
	EvaluatePeriod time.Duration // shortest time between two evaluations
}

// DefaultOutlierPolicy ejects for 5 s at first and never more than half of a pool: with more than half failing, the
// cause is likelier on our side or common to all targets, and the rest would be overloaded.
func DefaultOutlierPolicy() OutlierPolicy {
	return OutlierPolicy{
		Consecutive:    5,
		FailureShare:   0.5,
		MinRequests:    20,
		SlowFactor:     3,
		SlowAtLeast:    100 * time.Millisecond,
		MinPeers:       3,
		BaseEjection:   5 * time.Second,
		MaxEjection:    5 * time.Minute,
		ForgiveAfter:   5 * time.Minute,
		MaxEjected:     0.5,
		ProbeTimeout:   30 * time.Second,
		EvaluatePeriod: 10 * time.Second,
	}
}

// Outlier tracks the health of one pool of targets. Guarded by its owner.
type Outlier struct {
	policy    OutlierPolicy
	targets   map[fleet.TargetID]*health
	evaluated time.Time
}

// health is what a pool knows of one target.
type health struct {
	ejected      bool // until a probe succeeds
	reason       EjectReason
	until        time.Time // end of the ejection
	probing      time.Time // start of the probe in flight; zero if none
	repeats      int
	closedSince  time.Time
	inRow        int
	total        int // in this period
	failed       int // in this period
	latency      average
	measuredInIt bool // a latency was measured in this period
}

// NewOutlier returns a tracker without targets.
func NewOutlier(policy OutlierPolicy) *Outlier {
	return &Outlier{policy: policy, targets: make(map[fleet.TargetID]*health)}
}

// SetTargets sets the pool. Targets that stay keep their state.
func (o *Outlier) SetTargets(ids []fleet.TargetID) {
	next := make(map[fleet.TargetID]*health, len(ids))
	for _, id := range ids {
		h, ok := o.targets[id]
		if !ok {
			h = &health{}
		}
		next[id] = h
	}
	o.targets = next
}

// State returns a target's circuit state; closed for an unknown target.
func (o *Outlier) State(id fleet.TargetID, now time.Time) CircuitState {
	h, ok := o.targets[id]
	if !ok || !h.ejected {
		return CircuitClosed
	}
	if now.Before(h.until) {
		return CircuitOpen
	}
	return CircuitHalfOpen
}

// Ejected returns the number of targets that are open or half-open.
func (o *Outlier) Ejected() int {
	n := 0
	for _, h := range o.targets {
		if h.ejected {
			n++
		}
	}
	return n
}

// Reason returns why a target is ejected, or "" if it is not.
func (o *Outlier) Reason(id fleet.TargetID) EjectReason {
	if h, ok := o.targets[id]; ok && h.ejected {
		return h.reason
	}
	return ""
}

// Usable tells without side effects whether Begin would accept a request now; for routing filters.
func (o *Outlier) Usable(id fleet.TargetID, now time.Time) bool {
	switch o.State(id, now) {
	case CircuitClosed:
		return true
	case CircuitHalfOpen:
		probing := o.targets[id].probing
		return probing.IsZero() || now.Sub(probing) >= o.policy.ProbeTimeout
	}
	return false
}

// Begin is called right before dispatch. It returns false for an open circuit, and for a half-open one with a probe in
// flight; the first request of a half-open circuit becomes the probe.
func (o *Outlier) Begin(id fleet.TargetID, now time.Time) bool {
	if !o.Usable(id, now) {
		return false
	}
	if o.State(id, now) == CircuitHalfOpen {
		o.targets[id].probing = now
	}
	return true
}
