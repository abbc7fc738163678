package slots

import (
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
)

func (v *View) healthOf(service string) *limits.Outlier {
	found, ok := v.health[service]
	if !ok {
		found = limits.NewOutlier(v.policy.Health)
		v.health[service] = found
	}
	return found
}

// Begin is called right before a request is sent to a target. After an ejection, the first one is a probe.
func (v *View) Begin(id fleet.TargetID, now time.Time) {
	if t, ok := v.targets[id]; ok {
		v.healthOf(t.Service).Begin(id, now)
	}
}

// Observe records how a request at a target ended, and returns why it is ejected if that ejected it.
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

// Unobserved ends a request that says nothing of its target's health.
func (v *View) Unobserved(id fleet.TargetID) {
	if t, ok := v.targets[id]; ok {
		v.healthOf(t.Service).ProbeEnded(id)
	}
}

// Avoid keeps new requests from a target until a time, unless nothing else is left. It returns whether the target was not avoided before.
func (v *View) Avoid(id fleet.TargetID, now, until time.Time) bool {
	t, ok := v.targets[id]
	if !ok {
		return false
	}
	began := !now.Before(t.avoid)
	if until.After(t.avoid) {
		t.avoid = until
	}
	return began
}

// Trust ends what Avoid began.
func (v *View) Trust(id fleet.TargetID) {
	if t, ok := v.targets[id]; ok {
		t.avoid = time.Time{}
	}
}

// usable tells whether a target gets requests while there are others.
func (v *View) usable(t *target, now time.Time) bool {
	return t.State == fleet.TargetLive && !now.Before(t.avoid) && v.healthOf(t.Service).Usable(t.ID, now)
}
