package limits

import (
	"strconv"
	"time"
)

// RetryAttemptHeader carries how often a request was already tried: absent or 0 for the first attempt. Every retry and
// hedge raises it, also across instances.
const RetryAttemptHeader = "X-Retry-Attempt"

const (
	// retrySlots and retrySlot make a window of ten seconds, the time in which a burst and its retries happen.
	retrySlots = 10
	retrySlot  = time.Second
	// maxAttempt bounds the count that is read from a header.
	maxAttempt = 100
)

// RetryPolicy bounds retries and hedges.
type RetryPolicy struct {
	Percent      float64 // retries for each 100 first attempts
	MinPerSecond float64 // always allowed, so that a quiet instance can retry at all
	MaxAttempts  int     // attempts of one request over all instances, the first included
}

// DefaultRetryPolicy adds at most a fifth to the load and tries a request three times.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{Percent: 20, MinPerSecond: 0.5, MaxAttempts: 3}
}

// RetryBudget counts first attempts, arrivals that are retries of others, and own retries over a sliding window.
// Guarded by its owner.
type RetryBudget struct {
	policy RetryPolicy
	slots  [retrySlots]retryCount
	newest int64 // number of the newest slot since the Unix epoch
}

type retryCount struct {
	first  float64
	marked float64 // arrivals with a retry mark
	own    float64 // retries and hedges granted here
}

// NewRetryBudget returns a budget with an empty window.
func NewRetryBudget(policy RetryPolicy) *RetryBudget {
	return &RetryBudget{policy: policy}
}

// ParseAttempt reads the header's value: 0 if absent or malformed, at most 100.
func ParseAttempt(header string) int {
	attempt, err := strconv.Atoi(header)
	if err != nil || attempt < 0 {
		return 0
	}
	return min(attempt, maxAttempt)
}

// Arrived counts a request that this instance received with the given attempt count. A marked request earns no budget
// and uses some: instances that retry through each other would otherwise multiply a burst.
func (b *RetryBudget) Arrived(attempt int, now time.Time) {
	slot := b.slot(now)
	if attempt > 0 {
		slot.marked++
		return
	}
	slot.first++
}

// TryRetry takes one retry or hedge of a request that has been tried attempt+1 times. It returns false if the request
// has had all its attempts or the budget is used up. Marked arrivals use up the percentage only, not the minimum rate,
// so that a caller who sets the header cannot switch off retries altogether.
func (b *RetryBudget) TryRetry(attempt int, now time.Time) bool {
	if attempt+1 >= b.policy.MaxAttempts {
		return false
	}
	slot := b.slot(now)
	if b.remaining() < 1 {
		return false
	}
	slot.own++
	return true
}

// Remaining returns how many retries the window still allows.
func (b *RetryBudget) Remaining(now time.Time) int {
	b.slot(now)
	return int(max(b.remaining(), 0))
}

func (b *RetryBudget) remaining() float64 {
	var sum retryCount
	for _, s := range b.slots {
		sum.first += s.first
		sum.marked += s.marked
		sum.own += s.own
	}
	window := retrySlots * retrySlot
	least := b.policy.MinPerSecond * window.Seconds()
	earned := sum.first * b.policy.Percent / 100
	return least + max(earned-sum.marked, 0) - sum.own
}

// slot moves the window to now and returns its newest slot. A clock that steps back uses the newest slot.
func (b *RetryBudget) slot(now time.Time) *retryCount {
	current := now.UnixNano() / int64(retrySlot)
	if gap := current - b.newest; gap > 0 {
		for i := range min(gap, retrySlots) {
			b.slots[(current-i)%retrySlots] = retryCount{}
		}
		b.newest = current
	}
	return &b.slots[b.newest%retrySlots]
}
