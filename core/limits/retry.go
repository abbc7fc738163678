package limits

import (
	"strconv"
	"time"
)

// RetryAttemptHeader is the header with the number of earlier attempts of a request: absent or 0 for the first attempt.
// Every retry and hedge increments it, also across instances.
const RetryAttemptHeader = "X-Retry-Attempt"

const (
	// retrySlots slots of retrySlotLength each are the sliding window: ten seconds, in which a burst and its retries happen.
	retrySlots      = 10
	retrySlotLength = time.Second
	// maxAttempt bounds the attempt count that is read from a header.
	maxAttempt = 100
)

// RetryPolicy bounds retries and hedges. Its MaxAttempts is for requests without a route; a request of a route has routetable.Route.MaxAttempts
// instead, and the items of batch jobs have batch.MaxAttempts or itemjob.Record.MaxAttempts.
// As the argument of Tries.CheckRetry it bounds only the tries of this instance that may have run.
type RetryPolicy struct {
	Percent      float64 // retries allowed for each 100 first attempts
	MinPerSecond float64 // retries allowed in any case, so that an instance with little traffic can retry
	MaxAttempts  int     // attempts of one request over all instances, including the first
}

// DefaultRetryPolicy returns a policy that adds at most a fifth to the load, besides the minimum rate, and tries a
// request at most three times.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{Percent: 20, MinPerSecond: 0.5, MaxAttempts: 3}
}

// RetryBudget limits retries over a sliding window. It counts first attempts, arrivals that are retries by other
// instances or by callers, and the retries that it granted. It is not safe for concurrent use; its owner must serialize all calls.
type RetryBudget struct {
	policy RetryPolicy
	slots  [retrySlots]retryCount
	newest int64 // number of the newest slot, counted from the Unix epoch
}

type retryCount struct {
	firstAttempts float64 // arrivals that are first attempts
	retried       float64 // arrivals with a positive attempt count
	granted       float64 // retries and hedges that this budget granted
}

// NewRetryBudget returns a budget with an empty window.
func NewRetryBudget(policy RetryPolicy) *RetryBudget {
	return &RetryBudget{policy: policy}
}

// ParseAttempt parses the value of RetryAttemptHeader. It returns 0 for an absent or malformed value, and at most 100.
func ParseAttempt(header string) int {
	attempt, err := strconv.Atoi(header)
	if err != nil || attempt < 0 {
		return 0
	}
	return min(attempt, maxAttempt)
}

// RecordArrival counts a request that this instance received with the given attempt count. With a positive count it adds no
// budget and uses some, because instances that retry through each other would otherwise multiply a burst.
func (b *RetryBudget) RecordArrival(attempt int, now time.Time) {
	slot := b.slot(now)
	if attempt > 0 {
		slot.retried++
		return
	}
	slot.firstAttempts++
}

// TryRetry takes one retry or hedge of a request that has been tried attempt+1 times from the budget. It returns false
// if the request has had MaxAttempts attempts or the budget is used up. Arrivals that are retries use up the percentage
// only and not the minimum rate, so that a caller who sets the header cannot disable all retries.
func (b *RetryBudget) TryRetry(attempt int, now time.Time) bool {
	if attempt+1 >= b.policy.MaxAttempts {
		return false
	}
	slot := b.slot(now)
	if b.remaining() < 1 {
		return false
	}
	slot.granted++
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
		sum.firstAttempts += s.firstAttempts
		sum.retried += s.retried
		sum.granted += s.granted
	}
	window := retrySlots * retrySlotLength
	minimum := b.policy.MinPerSecond * window.Seconds()
	earned := sum.firstAttempts * b.policy.Percent / 100
	return minimum + max(earned-sum.retried, 0) - sum.granted
}

// slot moves the window to now and returns its newest slot. If the clock was set back, the newest slot stays in use.
func (b *RetryBudget) slot(now time.Time) *retryCount {
	current := now.UnixNano() / int64(retrySlotLength)
	if gap := current - b.newest; gap > 0 {
		for i := range min(gap, retrySlots) {
			b.slots[(current-i)%retrySlots] = retryCount{}
		}
		b.newest = current
	}
	return &b.slots[b.newest%retrySlots]
}
