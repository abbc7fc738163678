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
func (o *OutlierDetector) Observe(id fleet.TargetID, outcome Outcome, now time.Time) bool {
	h, ok := o.targets[id]
	if !ok {
		return false
	}
	if h.ejected {
		return o.observeProbe(h, outcome, now)
	}
	h.requests++
	if !outcome.Failed {
		h.consecutiveFailures = 0
		h.recordLatency(outcome.Latency)
		return false
	}
	h.failures++
	h.consecutiveFailures++
	if h.consecutiveFailures >= o.policy.ConsecutiveFailures {
		return o.eject(h, ConsecutiveFailures, now)
	}
	return false
}

// EndProbe ends a probe without outcome, such as one that its caller cancelled, so that the next request becomes the
// probe.
func (o *OutlierDetector) EndProbe(id fleet.TargetID) {
	if h, ok := o.targets[id]; ok {
		h.probeStarted = time.Time{}
	}
}

// Evaluate checks the failure rates and latencies of the period that ends at now and returns the targets that this
// ejected, ordered by ID. Calls within EvaluationInterval of the last evaluation do nothing.
func (o *OutlierDetector) Evaluate(now time.Time) []fleet.TargetID {
	if now.Sub(o.lastEvaluation) < o.policy.EvaluationInterval {
		return nil
	}
	o.lastEvaluation = now
	var ejected []fleet.TargetID
	for _, id := range o.sortedTargets() {
		h := o.targets[id]
		if reason := o.reasonToEject(id, h); reason != "" && o.eject(h, reason, now) {
			ejected = append(ejected, id)
		}
	}
	for _, h := range o.targets {
		h.startPeriod()
		o.resetEjections(h, now)
	}
	return ejected
}

func (o *OutlierDetector) reasonToEject(id fleet.TargetID, h *health) EjectReason {
	if h.ejected {
		return ""
	}
	if h.requests >= o.policy.MinRequests && float64(h.failures) >= o.policy.FailureShare*float64(h.requests) {
		return FailureRate
	}
	if o.isSlow(id, h) {
		return Slowness
	}
	return ""
}

// isSlow reports whether a target's latency exceeds SlowFactor times the median of its measured peers. The median leaves
// out the target itself, whose latency would otherwise raise the threshold.
func (o *OutlierDetector) isSlow(id fleet.TargetID, h *health) bool {
	if !h.measured || h.latency.mean < o.policy.MinSlowLatency.Seconds() {
		return false
	}
	var peers []float64
	for peerID, peer := range o.targets {
		if peerID != id && !peer.ejected && peer.measured {
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
// before the ejection time has passed, are ignored. While a probe is in flight, the outcome of such an older request counts as that of the
// probe: outcomes do not say which request they belong to, and it is accepted that the older one decides.
func (o *OutlierDetector) observeProbe(h *health, outcome Outcome, now time.Time) bool {
	if now.Before(h.ejectedUntil) || h.probeStarted.IsZero() {
		return false
	}
	h.probeStarted = time.Time{}
	if outcome.Failed {
		o.startEjection(h, ProbeFailed, now)
		return true
	}
	reset := health{ejections: h.ejections, closedSince: now}
	*h = reset
	h.recordLatency(outcome.Latency)
	return false
}

// eject opens the circuit of a target unless more than MaxEjectedShare of the pool would be ejected, and reports whether
// it did.
func (o *OutlierDetector) eject(h *health, reason EjectReason, now time.Time) bool {
	allowed := int(o.policy.MaxEjectedShare * float64(len(o.targets)))
	if o.Ejected()+1 > allowed {
		return false
	}
	h.ejected = true
	o.startEjection(h, reason, now)
	return true
}

func (o *OutlierDetector) startEjection(h *health, reason EjectReason, now time.Time) {
	ejection := o.policy.BaseEjection
	for range h.ejections {
		ejection = min(2*ejection, o.policy.MaxEjection)
	}
	h.ejections++
	h.reason = reason
	h.ejectedUntil = now.Add(ejection)
	h.probeStarted = time.Time{}
}

func (o *OutlierDetector) resetEjections(h *health, now time.Time) {
	if !h.ejected && h.ejections > 0 && now.Sub(h.closedSince) >= o.policy.ResetAfter {
		h.ejections = 0
	}
}

func (o *OutlierDetector) sortedTargets() []fleet.TargetID {
	ids := make([]fleet.TargetID, 0, len(o.targets))
	for id := range o.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (h *health) recordLatency(latency time.Duration) {
	if latency <= 0 {
		return
	}
	h.latency.add(latency.Seconds())
	h.measured = true
}

func (h *health) startPeriod() {
	h.requests = 0
	h.failures = 0
	h.measured = false
}
