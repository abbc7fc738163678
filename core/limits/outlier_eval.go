package limits

import (
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// Outcome is the part of a request's result that is evidence of its target's health.
type Outcome struct {
	Failed  bool          // connection error, lack of progress or status 5xx; not an error or cancellation of the caller
	Latency time.Duration // time to the first byte; 0 if there was none
}

// Observe records an outcome. It reports whether that ejected the target. Unknown targets are ignored.
func (o *Outlier) Observe(id fleet.TargetID, outcome Outcome, now time.Time) bool {
	h, ok := o.targets[id]
	if !ok {
		return false
	}
	if h.ejected {
		return o.observeProbe(h, outcome, now)
	}
	h.total++
	if !outcome.Failed {
		h.inRow = 0
		h.measure(outcome.Latency)
		return false
	}
	h.failed++
	h.inRow++
	if h.inRow >= o.policy.Consecutive {
		return o.eject(h, ConsecutiveFailures, now)
	}
	return false
}

// ProbeEnded ends a probe without outcome, such as one that its caller cancelled, so that the next request becomes the
// probe.
func (o *Outlier) ProbeEnded(id fleet.TargetID) {
	if h, ok := o.targets[id]; ok {
		h.probing = time.Time{}
	}
}

// Evaluate checks the failure rates and latencies of the period that ends at now and returns the targets that this
// ejected, ordered by ID. Calls within EvaluatePeriod of the last evaluation do nothing.
func (o *Outlier) Evaluate(now time.Time) []fleet.TargetID {
	if now.Sub(o.evaluated) < o.policy.EvaluatePeriod {
		return nil
	}
	o.evaluated = now
	var ejected []fleet.TargetID
	for _, id := range o.sorted() {
		h := o.targets[id]
		if reason := o.judge(id, h); reason != "" && o.eject(h, reason, now) {
			ejected = append(ejected, id)
		}
	}
	for _, h := range o.targets {
		h.startPeriod()
		o.forgive(h, now)
	}
	return ejected
}

func (o *Outlier) judge(id fleet.TargetID, h *health) EjectReason {
	if h.ejected {
		return ""
	}
	if h.total >= o.policy.MinRequests && float64(h.failed) >= o.policy.FailureShare*float64(h.total) {
		return FailureRate
	}
	if o.slow(id, h) {
		return Slowness
	}
	return ""
}

// slow reports whether a target's latency exceeds SlowFactor times the median of its measured peers. The median leaves
// out the target itself, whose latency would otherwise raise the threshold.
func (o *Outlier) slow(id fleet.TargetID, h *health) bool {
	if !h.measuredInIt || h.latency.mean < o.policy.SlowAtLeast.Seconds() {
		return false
	}
	var peers []float64
	for peerID, peer := range o.targets {
		if peerID != id && !peer.ejected && peer.measuredInIt {
			peers = append(peers, peer.latency.mean)
		}
	}
	if len(peers) < o.policy.MinPeers {
		return false
	}
	slices.Sort(peers)
	return h.latency.mean > o.policy.SlowFactor*peers[len(peers)/2]
}

// observeProbe handles the outcome of a request to an ejected target and reports whether the target was ejected again.
// It is also called for requests that were in flight when the target was ejected: outcomes without a probe in flight, or
// before the ejection time has passed, are ignored.
func (o *Outlier) observeProbe(h *health, outcome Outcome, now time.Time) bool {
	if now.Before(h.until) || h.probing.IsZero() {
		return false
	}
	h.probing = time.Time{}
	if outcome.Failed {
		o.extend(h, ProbeFailed, now)
		return true
	}
	reset := health{repeats: h.repeats, closedSince: now}
	*h = reset
	h.measure(outcome.Latency)
	return false
}

// eject opens the circuit of a target unless more than MaxEjected of the pool would be ejected, and reports whether it
// did.
func (o *Outlier) eject(h *health, reason EjectReason, now time.Time) bool {
	allowed := int(o.policy.MaxEjected * float64(len(o.targets)))
	if o.Ejected()+1 > allowed {
		return false
	}
	h.ejected = true
	o.extend(h, reason, now)
	return true
}

func (o *Outlier) extend(h *health, reason EjectReason, now time.Time) {
	duration := o.policy.BaseEjection
	for range h.repeats {
		duration = min(2*duration, o.policy.MaxEjection)
	}
	h.repeats++
	h.reason = reason
	h.until = now.Add(duration)
	h.probing = time.Time{}
}

func (o *Outlier) forgive(h *health, now time.Time) {
	if !h.ejected && h.repeats > 0 && now.Sub(h.closedSince) >= o.policy.ForgiveAfter {
		h.repeats = 0
	}
}

func (o *Outlier) sorted() []fleet.TargetID {
	ids := make([]fleet.TargetID, 0, len(o.targets))
	for id := range o.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (h *health) measure(latency time.Duration) {
	if latency <= 0 {
		return
	}
	h.latency.add(latency.Seconds())
	h.measuredInIt = true
}

func (h *health) startPeriod() {
	h.total = 0
	h.failed = 0
	h.measuredInIt = false
}
