package limits

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// CircuitState is the state of one target's circuit breaker.
type CircuitState int

// States of a circuit.
const (
	CircuitClosed   CircuitState = iota // the target gets requests
	CircuitOpen                         // the target is ejected and gets no requests
	CircuitHalfOpen                     // the ejection time has passed; the target gets one request as a probe
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

// EjectReason is the reason for the ejection of a target.
type EjectReason string

// Reasons of an ejection.
const (
	ConsecutiveFailures EjectReason = "consecutive_failures"
	FailureRate         EjectReason = "failure_rate" // see OutlierPolicy.FailureShare
	Slowness            EjectReason = "slower_than_peers"
	ProbeFailed         EjectReason = "probe_failed"
)

// OutlierPolicy holds the thresholds of ejection.
type OutlierPolicy struct {
	ConsecutiveFailures int           // consecutive failures that eject a target
	FailureShare        float64       // share of failed requests in one evaluation period that ejects a target
	MinRequests         int           // number of requests in a period below which FailureShare is not applied
	SlowFactor          float64       // multiple of the peers' median latency above which a target is slow
	MinSlowLatency      time.Duration // latency below which no target counts as slow
	MinPeers            int           // number of peers with a measured latency below which SlowFactor is not applied
	BaseEjection        time.Duration // duration of the first ejection, doubled with each further one
	MaxEjection         time.Duration // longest ejection
	ResetAfter          time.Duration // time without ejection after which the duration starts at BaseEjection again
	MaxEjectedShare     float64       // largest share of the pool that may be ejected; see OutlierDetector for small pools
	ProbeTimeout        time.Duration // time after which a probe without outcome no longer blocks another one
	EvaluationInterval  time.Duration // shortest time between two evaluations
}

// DefaultOutlierPolicy returns a policy that ejects for 5 s at first and never more than half of a pool. If more than
// half of the targets fail, the cause is likely this instance or common to all targets, and ejecting more would overload
// the rest.
func DefaultOutlierPolicy() OutlierPolicy {
	return OutlierPolicy{
		ConsecutiveFailures: 5,
		FailureShare:        0.5,
		MinRequests:         20,
		SlowFactor:          3,
		MinSlowLatency:      100 * time.Millisecond,
		MinPeers:            3,
		BaseEjection:        5 * time.Second,
		MaxEjection:         5 * time.Minute,
		ResetAfter:          5 * time.Minute,
		MaxEjectedShare:     0.5,
		ProbeTimeout:        30 * time.Second,
		EvaluationInterval:  10 * time.Second,
	}
}

// OutlierDetector detects and ejects failing and slow targets of one pool. It is not safe for concurrent use; its owner must
// serialize all calls.
//
// A target is ejected from the decision to eject it until a probe succeeds. In the terms of a circuit breaker, the circuit of an ejected
// target is open until the ejection time has passed and then half-open; that of any other target is closed. A target is usable if its
// circuit is closed, or if it is half-open and no probe is in flight.
//
// The number of targets that MaxEjectedShare allows to eject is rounded down. With 0.5 a pool of one target therefore never ejects, and with
// 0.4 neither does a pool of two.
type OutlierDetector struct {
	policy         OutlierPolicy
	targets        map[fleet.TargetID]*health
	lastEvaluation time.Time
}

// health is the state of one target. A period lasts from one evaluation to the next.
type health struct {
	ejected             bool // set until a probe succeeds
	reason              EjectReason
	ejectedUntil        time.Time // end of the ejection time; then the target may be probed
	probeStarted        time.Time // start of the probe in flight; zero if none
	ejections           int       // number of ejections since the last reset
	closedSince         time.Time // end of the last ejection
	consecutiveFailures int
	requests            int     // requests in this period
	failures            int     // failures in this period
	latency             average // seconds to the first byte
	measured            bool    // whether a latency was measured in this period
}

// NewOutlierDetector returns an outlier detector without targets.
func NewOutlierDetector(policy OutlierPolicy) *OutlierDetector {
	return &OutlierDetector{policy: policy, targets: make(map[fleet.TargetID]*health)}
}

// SetTargets replaces the targets of the pool. Targets that remain keep their state.
func (o *OutlierDetector) SetTargets(ids []fleet.TargetID) {
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

// State returns the circuit state of a target, CircuitClosed for an unknown target.
func (o *OutlierDetector) State(id fleet.TargetID, now time.Time) CircuitState {
	h, ok := o.targets[id]
	if !ok || !h.ejected {
		return CircuitClosed
	}
	if now.Before(h.ejectedUntil) {
		return CircuitOpen
	}
	return CircuitHalfOpen
}

// Ejected returns the number of targets whose circuit is open or half-open.
func (o *OutlierDetector) Ejected() int {
	n := 0
	for _, h := range o.targets {
		if h.ejected {
			n++
		}
	}
	return n
}

// Reason returns why a target is ejected, or "" if it is not.
func (o *OutlierDetector) Reason(id fleet.TargetID) EjectReason {
	if h, ok := o.targets[id]; ok && h.ejected {
		return h.reason
	}
	return ""
}

// Usable reports whether Begin would accept a request at now. It changes no state, so that routing filters can call it.
func (o *OutlierDetector) Usable(id fleet.TargetID, now time.Time) bool {
	switch o.State(id, now) {
	case CircuitClosed:
		return true
	case CircuitHalfOpen:
		probing := o.targets[id].probeStarted
		return probing.IsZero() || now.Sub(probing) >= o.policy.ProbeTimeout
	}
	return false
}

// Begin must be called right before a request is dispatched. It reports whether the target may get it: not with an open
// circuit, nor with a half-open one and a probe in flight. The first request of a half-open circuit becomes the probe.
func (o *OutlierDetector) Begin(id fleet.TargetID, now time.Time) bool {
	if !o.Usable(id, now) {
		return false
	}
	if o.State(id, now) == CircuitHalfOpen {
		o.targets[id].probeStarted = now
	}
	return true
}
