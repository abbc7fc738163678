package limits

import (
	"container/heap"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Errors of the fair queue.
var (
	// ErrQueueFull means that the queue is full and the new entry would be the last one in the fair order.
	ErrQueueFull = eris.New("admission queue is full")
	// ErrWouldMissDeadline means that the predicted start of the entry misses its deadline or the queue's longest wait.
	ErrWouldMissDeadline = eris.New("predicted start misses the deadline")
)

// Waiting is one entry of a FairQueue. The queue owns its unexported fields, and Push may shorten Deadline.
// The start is the dispatch, which precedes the first token, so the deadline of Admit is an upper bound for Deadline; a caller
// that wants the latest useful start itself must subtract ServiceRate.FirstToken.
type Waiting[T any] struct {
	Caller   fleet.CallerID
	Weight   float64   // share relative to other callers; 0 means 1
	Cost     float64   // work of this entry; 0 means 1
	Deadline time.Time // latest useful start; zero means that only the longest wait bounds it
	Value    T

	start, finish float64 // virtual times of start-time fair queueing
	sequence      uint64  // order of arrival, among entries with equal start
	index         int     // position in the heap; -1 when not queued
}

// FairQueue is a bounded queue with start-time fair queueing between callers. Each entry gets a virtual start time, the
// later of the queue's virtual time and the virtual finish of the caller's previous entry; entries leave in order of
// virtual start. A caller with many entries therefore delays its own entries and not those of others. FairQueue is not
// safe for concurrent use; its owner must serialize all calls.
type FairQueue[T any] struct {
	maxLength   int
	maxWait     time.Duration
	entries     entryHeap[T]
	finish      map[fleet.CallerID]float64 // virtual finish of each caller's last entry
	virtualTime float64                    // largest virtual start of the entries popped since the queue was last empty
	sequence    uint64                     // number of entries queued so far
}

// NewFairQueue returns an empty queue for at most maxLength entries, each of which waits for at most maxWait.
func NewFairQueue[T any](maxLength int, maxWait time.Duration) *FairQueue[T] {
	return &FairQueue[T]{maxLength: maxLength, maxWait: maxWait, finish: make(map[fleet.CallerID]float64)}
}

// Len returns the number of waiting entries.
func (q *FairQueue[T]) Len() int { return len(q.entries) }

// Ahead returns how many entries would leave before a new entry of the caller. It reads every entry, which takes about
// 1 µs for the thousand entries that a queue holds at most.
func (q *FairQueue[T]) Ahead(caller fleet.CallerID) int {
	start := max(q.virtualTime, q.finish[caller])
	ahead := 0
	for _, e := range q.entries {
		if e.start <= start {
			ahead++
		}
	}
	return ahead
}

// Push queues an entry. predictedWait is the predicted time until it starts, computed from Ahead and the measured
// service rate. The error wraps ErrWouldMissDeadline or ErrQueueFull if the entry is refused. If the queue is full and
// its last entry in the fair order comes after the new one, that entry is removed and returned as displaced, and its
// request must be refused. Otherwise one heavy caller could fill the queue and shut out the others. Push changes e.Deadline
// to the end of the queue's longest wait, counted from now, if it is zero or later than that.
func (q *FairQueue[T]) Push(e *Waiting[T], predictedWait time.Duration, now time.Time) (displaced *Waiting[T], err error) {
	if latest := now.Add(q.maxWait); e.Deadline.IsZero() || e.Deadline.After(latest) {
		e.Deadline = latest
	}
	if !now.Add(predictedWait).Before(e.Deadline) {
		return nil, eris.Wrapf(ErrWouldMissDeadline, "predicted wait of %s", predictedWait)
	}
	e.start = max(q.virtualTime, q.finish[e.Caller])
	if len(q.entries) >= q.maxLength {
		displaced = q.last()
		if displaced == nil || displaced.start <= e.start {
			return nil, eris.Wrapf(ErrQueueFull, "%d entries", len(q.entries))
		}
		q.Cancel(displaced)
	}
	e.finish = e.start + positiveOrOne(e.Cost)/positiveOrOne(e.Weight)
	q.sequence++
	e.sequence = q.sequence
	q.finish[e.Caller] = e.finish
	heap.Push(&q.entries, e)
	return displaced, nil
}

// Pop removes and returns the next entry in the fair order, nil if there is none. Entries before it whose deadline has
// passed are removed and returned as expired, so that their requests can be refused.
func (q *FairQueue[T]) Pop(now time.Time) (next *Waiting[T], expired []*Waiting[T]) {
	for len(q.entries) > 0 {
		e := heap.Pop(&q.entries).(*Waiting[T])
		if e.Deadline.After(now) {
			q.virtualTime = max(q.virtualTime, e.start)
			q.dropIdleCallers()
			return e, expired
		}
		q.refund(e)
		expired = append(expired, e)
	}
	q.dropIdleCallers()
	return nil, expired
}

// Cancel removes a waiting entry. It reports whether the entry was still in the queue.
func (q *FairQueue[T]) Cancel(e *Waiting[T]) bool {
	if e.index < 0 || e.index >= len(q.entries) || q.entries[e.index] != e {
		return false
	}
	heap.Remove(&q.entries, e.index)
	q.refund(e)
	return true
}

// refund gives back to the caller the virtual time of an entry that will not run, unless the caller has a later entry,
// whose start depends on it.
func (q *FairQueue[T]) refund(e *Waiting[T]) {
	if q.finish[e.Caller] == e.finish {
		q.finish[e.Caller] = e.start
	}
}

// dropIdleCallers bounds the memory for callers without entries. An empty queue drops all callers and resets its virtual
// time; otherwise callers whose virtual finish has passed are dropped once the map has more than 2*maxLength entries.
func (q *FairQueue[T]) dropIdleCallers() {
	if len(q.entries) == 0 {
		clear(q.finish)
		q.virtualTime = 0
		return
	}
	if len(q.finish) <= 2*q.maxLength {
		return
	}
	for caller, finish := range q.finish {
		if finish <= q.virtualTime {
			delete(q.finish, caller)
		}
	}
}

func (q *FairQueue[T]) last() *Waiting[T] {
	var last *Waiting[T]
	for _, e := range q.entries {
		if last == nil || last.before(e) {
			last = e
		}
	}
	return last
}

func (e *Waiting[T]) before(other *Waiting[T]) bool {
	if e.start != other.start {
		return e.start < other.start
	}
	return e.sequence < other.sequence
}

func positiveOrOne(v float64) float64 {
	if v > 0 {
		return v
	}
	return 1
}

// entryHeap orders entries by virtual start, then by arrival.
type entryHeap[T any] []*Waiting[T]

func (h entryHeap[T]) Len() int           { return len(h) }
func (h entryHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *entryHeap[T]) Push(x any) {
	e := x.(*Waiting[T])
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	e.index = -1
	return e
}
