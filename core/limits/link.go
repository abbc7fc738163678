package limits

import (
	"time"
)

// LinkPolicy is the budget of one direction of a region link.
type LinkPolicy struct {
	BytesPerSecond float64
	OnlineReserve  float64       // share of the rate that batch traffic never gets, 0 to 1
	Burst          time.Duration // time for which unused rate accumulates at most
}

// LinkBudget accounts for the bytes sent over one direction of a region link. Online traffic always passes, also when
// it overdraws the budget; batch traffic passes only while budget is left. Both may leave a negative budget: a large
// batch transfer starts while its budget is positive and blocks further ones until the budget is refilled. LinkBudget is
// not safe for concurrent use; its owner must serialize all calls.
type LinkBudget struct {
	policy  LinkPolicy
	total   float64 // bytes left for all traffic; negative if overdrawn
	batch   float64 // bytes left for batch traffic; negative if overdrawn
	updated time.Time
}

// NewLinkBudget returns a budget with a full burst at now.
func NewLinkBudget(policy LinkPolicy, now time.Time) *LinkBudget {
	b := &LinkBudget{policy: policy, updated: now}
	b.total = b.totalBurst()
	b.batch = b.batchBurst()
	return b
}

// SpendOnline deducts bytes of online traffic, which is never refused.
func (b *LinkBudget) SpendOnline(bytes int64, now time.Time) {
	b.refill(now)
	b.total -= float64(bytes)
}

// TryBatch deducts bytes of batch traffic if it may pass, and reports whether it may. Otherwise wait is the time after
// which it may pass if there is no other traffic until then.
func (b *LinkBudget) TryBatch(bytes int64, now time.Time) (ok bool, wait time.Duration) {
	b.refill(now)
	if wait = b.batchWait(); wait > 0 {
		return false, wait
	}
	b.total -= float64(bytes)
	b.batch -= float64(bytes)
	return true, 0
}

// SettleBatch corrects an earlier TryBatch, whose byte count was an estimate. extra is the number of bytes sent beyond
// the estimate, negative if fewer were sent.
func (b *LinkBudget) SettleBatch(extra int64, now time.Time) {
	b.refill(now)
	b.total = min(b.total-float64(extra), b.totalBurst())
	b.batch = min(b.batch-float64(extra), b.batchBurst())
}

// Overdrawn returns the number of bytes by which the budget for all traffic is overdrawn.
func (b *LinkBudget) Overdrawn(now time.Time) int64 {
	b.refill(now)
	return int64(max(-b.total, 0))
}

// batchWait returns the time until batch traffic may pass: 0 if the batch budget is positive and the total budget
// exceeds the part that is reserved for online bursts.
func (b *LinkBudget) batchWait() time.Duration {
	reserved := b.policy.OnlineReserve * b.totalBurst()
	return max(timeToExceed(b.batch, 0, b.batchRate()), timeToExceed(b.total, reserved, b.policy.BytesPerSecond))
}

// timeToExceed returns how long a budget that is refilled at rate needs to exceed the level.
func timeToExceed(budget, level, rate float64) time.Duration {
	if budget > level {
		return 0
	}
	if rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return seconds((level + 1 - budget) / rate)
}

func (b *LinkBudget) refill(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.total = min(b.total+elapsed*b.policy.BytesPerSecond, b.totalBurst())
	b.batch = min(b.batch+elapsed*b.batchRate(), b.batchBurst())
}

func (b *LinkBudget) batchRate() float64 {
	return b.policy.BytesPerSecond * (1 - b.policy.OnlineReserve)
}
func (b *LinkBudget) totalBurst() float64 { return b.policy.BytesPerSecond * b.policy.Burst.Seconds() }
func (b *LinkBudget) batchBurst() float64 { return b.batchRate() * b.policy.Burst.Seconds() }
