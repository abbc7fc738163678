package dispatch

import (
	"sync"
	"time"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
)

const (
	// linkBurst is how much unused rate of the region link may be saved up.
	linkBurst = time.Second
	// batchAnswerBytes is the answer that a batch item is expected to bring over the link; the difference is settled afterwards.
	batchAnswerBytes = 4 << 10
	percent          = 100
)

// linkMeter accounts for this instance's bytes over the region link. Each serving instance has an equal part of the bundle's budget.
type linkMeter struct {
	mu     sync.Mutex // guards the fields below; a leaf
	policy limits.LinkPolicy
	budget *limits.LinkBudget
}

// current returns the budget under the bundle's policy, or nil if the link is not limited; l.mu is held.
func (l *linkMeter) current(link bundle.Link, serving int, now time.Time) *limits.LinkBudget {
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

// online accounts for bytes of an online request, which are never held back.
func (l *linkMeter) online(link bundle.Link, serving int, bytes int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if budget := l.current(link, serving, now); budget != nil {
		budget.SpendOnline(bytes, now)
	}
}

// tryBatch takes bytes for a batch item if online requests leave them.
func (l *linkMeter) tryBatch(link bundle.Link, serving int, bytes int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	budget := l.current(link, serving, now)
	if budget == nil {
		return true
	}
	ok, _ := budget.TryBatch(bytes, now)
	return ok
}

// settleBatch corrects what tryBatch took by the bytes that were sent beyond it.
func (l *linkMeter) settleBatch(link bundle.Link, serving int, extra int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if budget := l.current(link, serving, now); budget != nil {
		budget.SettleBatch(extra, now)
	}
}

// batchEstimate is what a batch item is expected to cost on the link.
func (x *execution) batchEstimate() int64 { return int64(len(x.request.Body)) + batchAnswerBytes }

// accountLink charges an attempt at a target of another region to the link.
func (a *attempt) accountLink() {
	if a.target.Distance != fleet.OtherRegion {
		return
	}
	d, link, now := a.dispatcher, a.request.Bundle.Link(), time.Now()
	bytes := int64(len(a.request.Body)) + a.received
	if a.request.Batch {
		d.link.settleBatch(link, d.Pools.Serving(), bytes-a.batchEstimate(), now)
		return
	}
	d.link.online(link, d.Pools.Serving(), bytes, now)
}
