package dispatch

import (
	"sync"
	"time"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
)

const (
	// linkBurst is how long unused bandwidth of the region link accumulates.
	linkBurst = time.Second
	// expectedBatchResponseBytes is the expected size of the response to a batch item. The difference to the actual size is settled
	// afterwards.
	expectedBatchResponseBytes = 4 << 10
	percent                    = 100
)

// linkMeter accounts for the bytes that this instance sends and receives over the region link. Each serving instance gets an equal share
// of the bundle's limit. It is safe for concurrent use.
type linkMeter struct {
	mu     sync.Mutex // guards the fields below; no other lock is acquired while it is held
	policy limits.LinkPolicy
	budget *limits.LinkBudget
}

// currentBudget returns the budget under the bundle's policy, or nil if the link is not limited. It starts a new budget when the policy
// changes. The caller must hold l.mu.
func (l *linkMeter) currentBudget(link bundle.Link, serving int, now time.Time) *limits.LinkBudget {
	if link.BytesPerSecond <= 0 {
		return nil
	}
	policy := limits.LinkPolicy{
		BytesPerSecond: float64(link.BytesPerSecond) / float64(max(serving, 1)),
		OnlineReserve:  float64(link.OnlineReservePercent) / percent,
		Burst:          linkBurst,
	}
	if l.budget == nil || policy != l.policy {
		l.policy, l.budget = policy, limits.NewLinkBudget(policy, now)
	}
	return l.budget
}

// chargeOnline charges the bytes of an online request, which are never held back.
func (l *linkMeter) chargeOnline(link bundle.Link, serving int, bytes int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if budget := l.currentBudget(link, serving, now); budget != nil {
		budget.SpendOnline(bytes, now)
	}
}

// tryBatch charges bytes for a batch item if online requests leave enough of the budget, and reports whether it did.
func (l *linkMeter) tryBatch(link bundle.Link, serving int, bytes int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	budget := l.currentBudget(link, serving, now)
	if budget == nil {
		return true
	}
	ok, _ := budget.TryBatch(bytes, now)
	return ok
}

// settleBatch corrects a charge of tryBatch. extra is the difference between the actual and the charged bytes, and may be negative.
func (l *linkMeter) settleBatch(link bundle.Link, serving int, extra int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if budget := l.currentBudget(link, serving, now); budget != nil {
		budget.SettleBatch(extra, now)
	}
}

// expectedLinkBytes returns the expected number of bytes of a batch item on the link: its request and its response.
func (x *execution) expectedLinkBytes() int64 {
	return int64(len(x.request.Body)) + expectedBatchResponseBytes
}

// chargeLink charges the bytes of an attempt to the link if its target is in another region.
func (a *attempt) chargeLink() {
	if a.target.Distance != fleet.OtherRegion {
		return
	}
	d, link, now := a.dispatcher, a.request.Bundle.Link(), time.Now()
	bytes := int64(len(a.request.Body)) + a.receivedBytes
	if a.request.Batch {
		d.link.settleBatch(link, d.Pools.ServingInstances(), bytes-a.expectedLinkBytes(), now)
		return
	}
	d.link.chargeOnline(link, d.Pools.ServingInstances(), bytes, now)
}
