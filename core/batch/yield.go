package batch

import (
	"math"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// YieldPolicy decides how batch work takes idle capacity and gives it back. Engines admit requests as they arrive and know no
// priorities, so that the limit must hold before them.
type YieldPolicy struct {
	// Ceiling is the share of a target's MaxRunning up to which batch may load it. The rest is free at once for online requests that
	// arrive before a load report shows them.
	Ceiling float64
	// AtRiskCeiling is the share for jobs that may miss their deadline.
	AtRiskCeiling float64
	// Slack is the share above the ceiling at which batch gives way, so that it does not start and cancel by turns.
	Slack float64
	// Growth is added to a target's limit for each batch request that ended without pressure.
	Growth float64
	// Shrink multiplies the limit at each sign of online demand.
	Shrink float64
	// Pause is the time without growth after a sign of online demand.
	Pause time.Duration
	// Static fixes the limit of each instance at each target, which then neither grows nor gives way; 0 means adaptive. It is the
	// baseline of measurements.
	Static int
}

// DefaultYieldPolicy favours online latency.
func DefaultYieldPolicy() YieldPolicy {
	return YieldPolicy{Ceiling: 0.85, AtRiskCeiling: 1, Slack: 0.05, Growth: 1, Shrink: 0.5, Pause: time.Second}
}

// Harm to online latency, in percent of its p99, between which the ceiling of batch moves.
const (
	leastHarmPercent = 2
	mostHarmPercent  = 5
	highestCeiling   = 0.95
)

// ForHarm returns the policy with the ceiling that the bundle's bound of harm to online latency allows: the default one up to 2 percent,
// and 0.95 from 5 percent on.
func (p YieldPolicy) ForHarm(percent int) YieldPolicy {
	part := float64(percent-leastHarmPercent) / (mostHarmPercent - leastHarmPercent)
	p.Ceiling += (highestCeiling - p.Ceiling) * min(max(part, 0), 1)
	return p
}

// TargetLoad is what an instance knows of a target when it decides about batch.
type TargetLoad struct {
	MaxRunning int
	Load       float64 // estimated requests of all kinds and instances
	Waiting    int     // requests that the engine's last report showed as waiting
	OwnBatch   int     // batch requests of this instance in flight there
}

// senders estimates how many instances load the target like this one: the whole load in units of the own batch. A single owner of the
// only job counts itself alone, while one of many takes a small part at a time.
func (t TargetLoad) senders() float64 {
	return max(1, t.Load/float64(max(t.OwnBatch, 1)))
}

// Yield holds the limits of an instance's batch requests at each target. Guarded by its owner.
type Yield struct {
	policy YieldPolicy
	limits map[fleet.TargetID]*batchLimit
}

type batchLimit struct {
	limit      float64
	pressureAt time.Time
}

// NewYield returns limits of one request for each target.
func NewYield(policy YieldPolicy) *Yield {
	return &Yield{policy: policy, limits: make(map[fleet.TargetID]*batchLimit)}
}

// SetPolicy replaces the policy; the limits stay.
func (y *Yield) SetPolicy(policy YieldPolicy) { y.policy = policy }

func (y *Yield) target(id fleet.TargetID) *batchLimit {
	l, ok := y.limits[id]
	if !ok {
		l = &batchLimit{limit: 1}
		y.limits[id] = l
	}
	return l
}

// Room returns how many batch requests this instance may start at the target now. The free capacity is shared between the instances
// that all see it; the first request of an idle target is allowed to each.
func (y *Yield) Room(id fleet.TargetID, t TargetLoad, atRisk bool) int {
	ceiling := y.policy.Ceiling
	if atRisk {
		ceiling = y.policy.AtRiskCeiling
	}
	if y.policy.Static > 0 {
		return max(y.policy.Static-t.OwnBatch, 0)
	}
	free := float64(t.MaxRunning)*ceiling - t.Load
	if free < 1 || t.Waiting > 0 {
		return 0
	}
	share := max(1, math.Floor(free/t.senders()))
	room := min(share, math.Floor(y.target(id).limit)-float64(t.OwnBatch))
	return int(max(room, 0))
}

// Ended records that a batch request ended normally, and lets the limit grow unless there was pressure lately. The limit grows only
// while it is used, so that it does not run ahead of what was tried.
func (y *Yield) Ended(id fleet.TargetID, t TargetLoad, now time.Time) {
	l := y.target(id)
	if now.Sub(l.pressureAt) < y.policy.Pause {
		return
	}
	if float64(t.OwnBatch+1) >= math.Floor(l.limit) {
		l.limit = min(l.limit+y.policy.Growth, float64(max(t.MaxRunning, 1)))
	}
}

// Pressure records a sign of online demand at the target. It returns whether batch gives way.
func (y *Yield) Pressure(id fleet.TargetID, now time.Time) bool {
	if y.policy.Static > 0 {
		return false
	}
	l := y.target(id)
	l.limit = max(l.limit*y.policy.Shrink, 1)
	l.pressureAt = now
	return true
}

// Excess returns how many of this instance's batch requests at the target are in the way: those above the ceiling with its slack, which
// online requests have filled since they were started, divided between the instances that all see it.
func (y *Yield) Excess(t TargetLoad) int {
	if y.policy.Static > 0 || t.OwnBatch == 0 {
		return 0
	}
	allowed := float64(t.MaxRunning) * (y.policy.Ceiling + y.policy.Slack)
	over := t.Load - allowed
	if over <= 0 {
		return 0
	}
	return min(int(math.Ceil(over/t.senders())), t.OwnBatch)
}

// Forget drops targets that are gone.
func (y *Yield) Forget(known func(fleet.TargetID) bool) {
	for id := range y.limits {
		if !known(id) {
			delete(y.limits, id)
		}
	}
}
