package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/core/slots"
)

const (
	// firstEvent is the time that a target with a free slot takes to the first event: reading the prompt and the way there and back.
	firstEvent = 60 * time.Millisecond
	// maxWaiting bounds the requests that wait at one instance for one service.
	maxWaiting = 1024
	// queueCheckPeriod is how often waiting requests look for room that no notice announced.
	queueCheckPeriod = 20 * time.Millisecond
)

// errNoTarget means that no target may be used.
var errNoTarget = errors.New("no target may be used")

// refusedError means that a request cannot be served before its deadline.
type refusedError struct {
	reason     limits.AdmissionReason
	retryAfter time.Duration
}

// Error implements error.
func (e *refusedError) Error() string { return "refused: " + string(e.reason) }

// waitQueues holds, for each service, the online requests that wait while all targets are full. It is safe for concurrent use.
type waitQueues struct {
	board  *Board
	mu     sync.Mutex // guards the queues and what they hold; taken before the board's mutex
	queues map[string]*waitQueue
}

// waitQueue is the requests that wait for one service.
type waitQueue struct {
	order   *slots.Queue
	waiters map[*slots.Waiting]*waiter
	rate    limits.ServiceRate
}

// waiter is one waiting request.
type waiter struct {
	salt    string
	exclude map[fleet.TargetID]bool
	held    chan *Held // takes the place, once
}

func newWaitQueues(board *Board) *waitQueues {
	return &waitQueues{board: board, queues: make(map[string]*waitQueue)}
}

func (w *waitQueues) of(service string) *waitQueue {
	found, ok := w.queues[service]
	if !ok {
		found = &waitQueue{order: slots.NewQueue(firstEvent), waiters: make(map[*slots.Waiting]*waiter)}
		w.queues[service] = found
	}
	return found
}

// enter returns a place for the request, after a wait if all targets are full. Errors: errNoTarget, *refusedError, and the cause of ctx.
func (w *waitQueues) enter(ctx context.Context, r *Request, exclude map[fleet.TargetID]bool) (*Held, error) {
	room := w.board.Room()
	entry, mine, held, err := w.join(r, exclude)
	if held != nil || err != nil {
		return held, err
	}
	timer := time.NewTicker(queueCheckPeriod)
	defer timer.Stop()
	for {
		select {
		case held := <-mine.held:
			return held, nil
		case <-room:
		case <-timer.C:
		case <-ctx.Done():
			return nil, w.leave(ctx, r.Service, entry, mine)
		}
		room = w.board.Room()
		w.serve(r.Service)
	}
}

// join places the request at once or queues it.
func (w *waitQueues) join(r *Request, exclude map[fleet.TargetID]bool) (*slots.Waiting, *waiter, *Held, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.of(r.Service)
	if queue.order.Len() == 0 {
		held, room := w.board.Online(r.Service, string(r.ID), exclude)
		if room == slots.NoTarget {
			return nil, nil, nil, errNoTarget
		}
		if held != nil {
			return nil, nil, held, nil
		}
	}
	if refused := queue.admit(w.board.Pool(r.Service), r.Deadline); refused != nil {
		return nil, nil, nil, refused
	}
	entry := &slots.Waiting{Objective: r.Arrived.Add(r.Route.Objective), Deadline: r.Deadline}
	mine := &waiter{salt: string(r.ID), exclude: exclude, held: make(chan *Held, 1)}
	queue.order.Add(entry)
	queue.waiters[entry] = mine
	return entry, mine, nil, nil
}

// admit refuses a request that would wait past its deadline at the rate at which this instance's requests end.
func (q *waitQueue) admit(pool slots.Pool, deadline time.Time) *refusedError {
	load := limits.Load{Capacity: pool.Slots, InFlight: pool.Slots, Queued: q.order.Len(), Ahead: q.order.Len()}
	bounds := limits.AdmissionLimits{MaxQueue: maxWaiting, MaxWait: time.Until(deadline)}
	decision := limits.Admit(bounds, load, &q.rate, deadline, time.Now())
	if decision.Verdict != limits.Refuse {
		return nil
	}
	return &refusedError{decision.Reason, decision.RetryAfter}
}

// serve gives free places to the waiting requests whose turn it is.
func (w *waitQueues) serve(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.of(service)
	for {
		entry := queue.order.Next(time.Now())
		if entry == nil {
			return
		}
		mine := queue.waiters[entry]
		held, _ := w.board.Online(service, mine.salt, mine.exclude)
		if held == nil {
			return
		}
		queue.order.Remove(entry)
		delete(queue.waiters, entry)
		mine.held <- held
	}
}

// leave takes a request out that gave up.
func (w *waitQueues) leave(ctx context.Context, service string, entry *slots.Waiting, mine *waiter) error {
	w.mu.Lock()
	queue := w.of(service)
	queue.order.Remove(entry)
	delete(queue.waiters, entry)
	w.mu.Unlock()
	select {
	case held := <-mine.held:
		held.Release()
	default:
	}
	return fmt.Errorf("waited for a free slot: %w", context.Cause(ctx))
}

// ended records how long a request held its place, and serves the next one.
func (w *waitQueues) ended(service string, took time.Duration) {
	now := time.Now()
	w.mu.Lock()
	queue := w.of(service)
	waiting := queue.order.Len() > 0
	queue.rate.ObserveCompletion(took, waiting, now)
	w.mu.Unlock()
	if waiting {
		w.serve(service)
	}
}
