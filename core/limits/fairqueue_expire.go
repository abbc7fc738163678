package limits

import (
	"container/heap"
	"time"
)

// Expire removes and returns the entries whose deadline has passed, so that their requests can be refused even while no entry is popped.
func (q *FairQueue[T]) Expire(now time.Time) []*Waiting[T] {
	var expired []*Waiting[T]
	for _, e := range q.entries {
		if !e.Deadline.After(now) {
			expired = append(expired, e)
		}
	}
	for _, e := range expired {
		heap.Remove(&q.entries, e.index)
		q.refund(e)
	}
	return expired
}

// SetMaxWait sets the longest wait of entries that are pushed from now on.
func (q *FairQueue[T]) SetMaxWait(d time.Duration) { q.maxWait = d }
