package batch

import (
	"math"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// YieldPolicy configures how batch requests use idle capacity and yield it to online requests. Engines admit requests in the order of arrival
// and have no priorities, so the limit must be enforced before requests are sent.
type YieldPolicy struct {
	// Ceiling is the share of a target's MaxRunning up to which batch requests may load it. The rest is left free for online requests that
	// arrive before a load report shows them.
	Ceiling float64
	// AtRiskCeiling replaces Ceiling for starting requests of jobs that may miss their deadline. Cancelling ignores it: Excess uses Ceiling
	// and Slack for the requests of all jobs.
	AtRiskCeiling float64
	// Slack is the share above Ceiling from which running batch requests are cancelled. Without it, batch requests would be started and
	// cancelled in alternation.
	Slack float64
	// Growth is added to a target's limit for each batch request that ends while there is no sign of online demand. A sign of
	// online demand is an online request that needs capacity which batch requests use, or a load report above Ceiling plus Slack.
	Growth float64
	// Shrink is the factor by which each sign of online demand multiplies the limit.
	Shrink float64
	// GrowthPause is the time after a sign of online demand during which the limit doesn't grow.
	GrowthPause time.Duration
	// StaticLimit is a fixed limit for each instance and target, which neither grows nor yields; 0 means that limits adapt. It
	// serves as the baseline with which measurements compare the adaptive limits.
	StaticLimit int
}

// DefaultYieldPolicy returns the policy that favours the latency of online requests.
func DefaultYieldPolicy() YieldPolicy {
	return YieldPolicy{Ceiling: 0.85, AtRiskCeiling: 1, Slack: 0.05, Growth: 1, Shrink: 0.5, GrowthPause: time.Second}
}

// The increase of online latency, in percent of its p99, between which WithMaxHarm raises Ceiling from its default to maxCeiling.
const (
	minHarmPercent = 2
	maxHarmPercent = 5
	maxCeiling     = 0.95
)

// WithMaxHarm returns the policy with the Ceiling for a given limit on the increase of online latency, in percent of its p99, which the bundle
// sets. Up to 2 percent Ceiling is unchanged, from 5 percent on it is 0.95, and in between it rises linearly.
func (p YieldPolicy) WithMaxHarm(percent int) YieldPolicy {
	fraction := float64(percent-minHarmPercent) / (maxHarmPercent - minHarmPercent)
	p.Ceiling += (maxCeiling - p.Ceiling) * min(max(fraction, 0), 1)
	return p
}

// TargetLoad is the load of a target as an instance sees it when it decides about batch requests.
type TargetLoad struct {
	MaxRunning int
	Load       float64 // estimated requests in flight, online and batch, of all instances
	Waiting    int     // requests waiting in the engine, from its last load report
	OwnBatch   int     // batch requests that this instance has in flight at the target
}

// senders estimates how many instances send batch requests to the target, assuming that the others send as many as this one: the total load
// divided by OwnBatch, at least 1. An instance that causes the whole load counts only itself, while one of many takes a small share.
func (t TargetLoad) senders() float64 {
	return max(1, t.Load/float64(max(t.OwnBatch, 1)))
}

// TargetLimits holds the limit of this instance's batch requests in flight at each target. It isn't safe for concurrent use.
type TargetLimits struct {
	policy YieldPolicy
	limits map[fleet.TargetID]*batchLimit
}

type batchLimit struct {
	limit        float64
	lastDemandAt time.Time
}

// NewTargetLimits returns TargetLimits in which the limit of each target starts at one request.
func NewTargetLimits(policy YieldPolicy) *TargetLimits {
	return &TargetLimits{policy: policy, limits: make(map[fleet.TargetID]*batchLimit)}
}

// SetPolicy replaces the policy and keeps the current limits.
func (tl *TargetLimits) SetPolicy(policy YieldPolicy) { tl.policy = policy }

func (tl *TargetLimits) limitOf(id fleet.TargetID) *batchLimit {
	l, ok := tl.limits[id]
	if !ok {
		l = &batchLimit{limit: 1}
		tl.limits[id] = l
	}
	return l
}

// Allowance returns how many batch requests this instance may start at the target now: 0 if no capacity is free below the ceiling or if requests
// wait in the engine. All instances see the same free capacity, so each takes only its share of it (at least one request) within its limit.
// atRisk selects AtRiskCeiling instead of Ceiling.
func (tl *TargetLimits) Allowance(id fleet.TargetID, t TargetLoad, atRisk bool) int {
	ceiling := tl.policy.Ceiling
	if atRisk {
		ceiling = tl.policy.AtRiskCeiling
	}
	if tl.policy.StaticLimit > 0 {
		return max(tl.policy.StaticLimit-t.OwnBatch, 0)
	}
	free := float64(t.MaxRunning)*ceiling - t.Load
	if free < 1 || t.Waiting > 0 {
		return 0
	}
	share := max(1, math.Floor(free/t.senders()))
	room := min(share, math.Floor(tl.limitOf(id).limit)-float64(t.OwnBatch))
	return int(max(room, 0))
}

// RecordEnd records that a batch request ended normally, and raises the limit unless RecordOnlineDemand was called within GrowthPause. The limit
// grows only while it is fully used, so that it doesn't exceed what the target has been seen to handle.
func (tl *TargetLimits) RecordEnd(id fleet.TargetID, t TargetLoad, now time.Time) {
	l := tl.limitOf(id)
	if now.Sub(l.lastDemandAt) < tl.policy.GrowthPause {
		return
	}
	if float64(t.OwnBatch+1) >= math.Floor(l.limit) {
		l.limit = min(l.limit+tl.policy.Growth, float64(max(t.MaxRunning, 1)))
	}
}

// RecordOnlineDemand records a sign of online demand at the target, which lowers the limit. It reports whether batch requests yield; with a
// static limit they don't.
func (tl *TargetLimits) RecordOnlineDemand(id fleet.TargetID, now time.Time) bool {
	if tl.policy.StaticLimit > 0 {
		return false
	}
	l := tl.limitOf(id)
	l.limit = max(l.limit*tl.policy.Shrink, 1)
	l.lastDemandAt = now
	return true
}

// Excess returns how many of its batch requests at the target this instance has to cancel. When online requests that arrived later raise the
// load above Ceiling plus Slack, each instance takes its share of the load above that limit, because all of them see the same load.
// Requests that were started up to AtRiskCeiling count like all others, so with an AtRiskCeiling above that limit the result may be positive
// without new online requests.
func (tl *TargetLimits) Excess(t TargetLoad) int {
	if tl.policy.StaticLimit > 0 || t.OwnBatch == 0 {
		return 0
	}
	allowed := float64(t.MaxRunning) * (tl.policy.Ceiling + tl.policy.Slack)
	above := t.Load - allowed
	if above <= 0 {
		return 0
	}
	return min(int(math.Ceil(above/t.senders())), t.OwnBatch)
}

// RemoveUnknown removes the limits of targets for which exists returns false.
func (tl *TargetLimits) RemoveUnknown(exists func(fleet.TargetID) bool) {
	for id := range tl.limits {
		if !exists(id) {
			delete(tl.limits, id)
		}
	}
}
