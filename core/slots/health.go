package slots

import (
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
)

func (v *View) healthOf(service string) *limits.OutlierDetector {
	found, ok := v.health[service]
	if !ok {
		found = limits.NewOutlierDetector(v.policy.Health)
		v.health[service] = found
	}
	return found
}

// Begin must be called right before a request is sent to a target. The first request after the end of an ejection is a probe.
func (v *View) Begin(id fleet.TargetID, now time.Time) {
	if t, ok := v.targets[id]; ok {
		v.healthOf(t.Service).Begin(id, now)
	}
}

// Observe records the outcome of a request at a target. It returns the reason if that ejected the target, otherwise "".
// When an evaluation of the service is due, the call may also eject other targets of the service. These are not reported; they are only no
// longer usable.
func (v *View) Observe(id fleet.TargetID, outcome limits.Outcome, now time.Time) limits.EjectReason {
	t, ok := v.targets[id]
	if !ok {
		return ""
	}
	health := v.healthOf(t.Service)
	ejected := health.Observe(id, outcome, now)
	ejected = slices.Contains(health.Evaluate(now), id) || ejected
	if !ejected {
		return ""
	}
	return health.Reason(id)
}

// EndWithoutOutcome ends a request whose outcome says nothing about the health of its target. A probe of the target that is in flight ends
// with it, and the next request may become the probe.
func (v *View) EndWithoutOutcome(id fleet.TargetID) {
	if t, ok := v.targets[id]; ok {
		v.healthOf(t.Service).EndProbe(id)
	}
}

// Avoid keeps new requests from a target until the given time, unless no other target is left. A later end that was set before stays.
// It reports whether the target was not avoided at now; false for an unknown target.
func (v *View) Avoid(id fleet.TargetID, now, until time.Time) bool {
	t, ok := v.targets[id]
	if !ok {
		return false
	}
	began := !now.Before(t.avoidUntil)
	if until.After(t.avoidUntil) {
		t.avoidUntil = until
	}
	return began
}

// StopAvoiding lets a target get new requests again before the end that Avoid set.
func (v *View) StopAvoiding(id fleet.TargetID) {
	if t, ok := v.targets[id]; ok {
		t.avoidUntil = time.Time{}
	}
}

const (
	// minOverlongPause and maxOverlongPause bound the time for which batch items avoid a target that sent too much. It doubles each time.
	minOverlongPause = 500 * time.Millisecond
	maxOverlongPause = 4 * time.Second
)

// MarkOverlong records that a target sent more than a request asked for. Batch items avoid it for the returned time. After that, one item of this
// instance at a time tries it, if it gets no slot elsewhere, until ClearOverlong. What the target sends costs memory and a slot that sound targets would
// use better. Unlike an ejection, this has no bound on the share of the targets, since items can wait.
func (v *View) MarkOverlong(id fleet.TargetID, now time.Time) time.Duration {
	t, ok := v.targets[id]
	if !ok {
		return 0
	}
	pause := min(minOverlongPause<<min(t.overlong, maxOverlongDoublings), maxOverlongPause)
	if !now.Before(t.batchFrom) { // requests that ran at the same time count once
		t.overlong++
		t.batchFrom = now.Add(pause)
	}
	return t.batchFrom.Sub(now)
}

// maxOverlongDoublings bounds the doublings of minOverlongPause.
const maxOverlongDoublings = 3

// ClearOverlong records that a target sent a whole response to a batch item. It reports whether items avoided the target.
func (v *View) ClearOverlong(id fleet.TargetID) bool {
	t, ok := v.targets[id]
	if !ok || t.overlong == 0 {
		return false
	}
	t.overlong, t.batchFrom = 0, time.Time{}
	return true
}

// takesItems reports whether batch items may use a target that is usable. See MarkOverlong.
func (t *target) takesItems(now time.Time) bool {
	return t.overlong == 0 || !now.Before(t.batchFrom) && t.own.Yieldable+t.own.Firm == 0
}

// accepts reports whether a target may get new requests: it is live, and has not said since that it is leaving.
func (v *View) accepts(t *target) bool {
	return t.State == fleet.TargetLive && !v.isLeavingMarked(t.ID)
}

// usable reports whether a target accepts requests and is neither avoided nor ejected.
func (v *View) usable(t *target, now time.Time) bool {
	return v.accepts(t) && !now.Before(t.avoidUntil) && v.healthOf(t.Service).Usable(t.ID, now)
}
