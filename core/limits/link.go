package limits

import (
	"time"
)

// LinkPolicy is the budget of one direction of a region link.
type LinkPolicy struct {
	BytesPerSecond float64
	OnlineReserve  float64       // share of the rate that batch never gets, 0 to 1
	Burst          time.Duration // how much unused rate may be saved up
}

// LinkBudget accounts for the bytes sent over one direction of a region link. Online traffic always passes and may
// leave a debt; batch passes only on what is left. Both carry their debt: a large batch transfer starts when its budget
// is positive and blocks the next one until it is paid for. Guarded by its owner.
type LinkBudget struct {
	policy  LinkPolicy
	total   float64 // bytes left for all traffic; negative is debt
	batch   float64 // bytes left for batch; negative is debt
	updated time.Time
}

// NewLinkBudget returns a budget with nothing spent.
func NewLinkBudget(policy LinkPolicy, now time.Time) *LinkBudget {
	b := &LinkBudget{policy: policy, updated: now}
	b.total = b.totalBurst()
	b.batch = b.batchBurst()
	return b
}

// SpendOnline accounts for online traffic.
func (b *LinkBudget) SpendOnline(bytes int64, now time.Time) {
	b.refill(now)
	b.total -= float64(bytes)
}

// TryBatch takes bytes for batch. If refused, wait is the time until it would pass without further traffic.
func (b *LinkBudget) TryBatch(bytes int64, now time.Time) (ok bool, wait time.Duration) {
	b.refill(now)
	if wait = b.batchWait(); wait > 0 {
		return false, wait
	}
	b.total -= float64(bytes)
	b.batch -= float64(bytes)
	return true, 0
}

// SettleBatch corrects an earlier TryBatch by the bytes sent beyond the estimate; negative if fewer were sent.
func (b *LinkBudget) SettleBatch(extra int64, now time.Time) {
	b.refill(now)
	b.total = min(b.total-float64(extra), b.totalBurst())
	b.batch = min(b.batch-float64(extra), b.batchBurst())
}

// Debt returns the bytes that traffic has used beyond the rate.
func (b *LinkBudget) Debt(now time.Time) int64 {
	b.refill(now)
	return int64(max(-b.total, 0))
}

// batchWait is 0 when batch has budget of its own and the total exceeds the reserve that is kept for online bursts.
func (b *LinkBudget) batchWait() time.Duration {
	reserved := b.policy.OnlineReserve * b.totalBurst()
	return max(timeToExceed(b.batch, 0, b.batchRate()), timeToExceed(b.total, reserved, b.policy.BytesPerSecond))
}

// timeToExceed returns how long a budget needs to rise above the level.
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
