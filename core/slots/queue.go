package slots

import (
	"slices"
	"time"
)

// Waiting is an online request that waits for a slot.
type Waiting struct {
	Objective time.Time // by which its first event is in time
	Deadline  time.Time // after which nobody waits for it
	arrival   uint64
}

// Queue orders the online requests of an instance that wait while all targets are full. It answers bursts beyond the capacity of the fleet:
// served in order of arrival, each request would wait behind those that are late already, until all are late. So the requests that can still
// be in time go first, in the order of their objectives, and late ones follow while there is nothing better to do. Guarded by its owner.
type Queue struct {
	firstEvent time.Duration // from a free slot to the first event
	waiting    []*Waiting
	arrivals   uint64
}

// NewQueue returns an empty queue. firstEvent is the time that a target with a free slot takes to the first event.
func NewQueue(firstEvent time.Duration) *Queue { return &Queue{firstEvent: firstEvent} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add queues a request.
func (q *Queue) Add(w *Waiting) {
	q.arrivals++
	w.arrival = q.arrivals
	q.waiting = append(q.waiting, w)
}

// Remove takes a request out; it does nothing for one that is not queued.
func (q *Queue) Remove(w *Waiting) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Waiting) bool { return other == w })
}

// Next returns the request that takes the next free slot, or nil.
func (q *Queue) Next(now time.Time) *Waiting {
	var best *Waiting
	for _, w := range q.waiting {
		if best == nil || q.before(w, best, now) {
			best = w
		}
	}
	return best
}

func (q *Queue) before(a, b *Waiting, now time.Time) bool {
	inTimeA, inTimeB := q.inTime(a, now), q.inTime(b, now)
	switch {
	case inTimeA != inTimeB:
		return inTimeA
	case inTimeA && !a.Objective.Equal(b.Objective):
		return a.Objective.Before(b.Objective)
	case !inTimeA && !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Before(b.Deadline)
	}
	return a.arrival < b.arrival
}

func (q *Queue) inTime(w *Waiting, now time.Time) bool {
	return !now.Add(q.firstEvent).After(w.Objective)
}
