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
	// firstEventTime is the time from placement to the first event at a target with a free slot: the network round trip and processing the prompt.
	firstEventTime = 60 * time.Millisecond
	// maxWaiting is the maximum number of requests that wait for one service at an instance.
	maxWaiting = 1024
	// queueCheckInterval is the interval at which waiting requests check for room that appeared without a signal from the board.
	queueCheckInterval = 20 * time.Millisecond
	// minServeInterval is the minimum interval between two searches of a queue for requests that can start, unless the board has signalled room
	// since. Each waiting request asks for one at its own intervals, and a search goes through all of them.
	minServeInterval = 5 * time.Millisecond
	// sharesMemory is the time over which the work done for client accounts is compared, a few times that of a usual burst.
	sharesMemory = 5 * time.Second
)

// errNoTarget means that the service has no target that may be used. The request then fails at once instead of waiting.
var errNoTarget = errors.New("no target may be used")

// refusedError means that a request was not queued: the queue is full, or the wait would probably exceed the deadline. retryAfter is advice
// for the client.
type refusedError struct {
	reason     limits.AdmissionReason
	retryAfter time.Duration
}

// Error implements error.
func (e *refusedError) Error() string { return "refused: " + string(e.reason) }

// waitQueues holds a queue for each service of the online requests that wait because all targets are full. It is safe for concurrent use.
type waitQueues struct {
	board  *Board
	mu     sync.Mutex // guards the fields below and their contents; taken before the board's mutex
	queues map[string]*waitQueue
	shares *slots.Shares                      // of the client accounts, by quotaName, over all services
	spend  func(account string, tokens int64) // passes on what this instance spends on an account; called with mu held
	parts  *PartGuard                         // may be nil
}

// waitQueue holds the requests that wait for one service.
type waitQueue struct {
	order    *slots.Queue
	waiters  map[*slots.Waiting]*waiter
	rate     limits.ServiceRate
	room     <-chan struct{} // the board's signal of room when the queue was last served
	servedAt time.Time
}

// waiter is one waiting request.
type waiter struct {
	salt     string // breaks ties between equally loaded targets
	exclude  map[fleet.TargetID]bool
	reserved chan *Reservation  // receives the reservation, once
	refused  chan *refusedError // receives the reason, once, if the request leaves the full queue for another one
}

func newWaitQueues(board *Board) *waitQueues {
	return &waitQueues{board: board, queues: make(map[string]*waitQueue), shares: slots.NewShares(sharesMemory), spend: func(string, int64) {}}
}

// queueFor returns the queue of a service; w.mu is held.
func (w *waitQueues) queueFor(service string) *waitQueue {
	found, ok := w.queues[service]
	if !ok {
		found = &waitQueue{order: slots.NewQueue(firstEventTime, w.shares), waiters: make(map[*slots.Waiting]*waiter)}
		w.queues[service] = found
	}
	return found
}

// enter reserves a slot for the request. It waits if all targets are full, for one of again as well: the request may have run there and may return. The
// error is errNoTarget, a *refusedError, or wraps errPartBlocked or the cause of ctx. exclude holds the targets that must not be chosen, apart from those
// in again.
func (w *waitQueues) enter(ctx context.Context, r *Request, exclude, again map[fleet.TargetID]bool) (*Reservation, error) {
	room, blocked := w.board.RoomChanged(), w.parts.blockedChanged()
	if err := w.parts.check(r); err != nil {
		return nil, err
	}
	entry, own, reservation, err := w.join(r, exclude, again)
	if reservation != nil || err != nil {
		return reservation, err
	}
	ticker := time.NewTicker(queueCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case reservation := <-own.reserved:
			return reservation, nil
		case refused := <-own.refused:
			return nil, refused
		case <-blocked:
			blocked = w.parts.blockedChanged()
			if err := w.parts.check(r); err != nil {
				w.abandon(r.Service, entry, own)
				return nil, err
			}
		case <-room:
		case <-ticker.C:
		case <-ctx.Done():
			return nil, w.leave(ctx, r.Service, entry, own)
		}
		room = w.board.RoomChanged()
		w.serve(r.Service)
		if reservation, _ := w.board.reserveAmong(r.Service, string(r.ID), again); reservation != nil {
			if queued, err := w.leaveWithoutTarget(r.Service, entry, own); err == nil {
				reservation.Release()
				return queued, nil
			}
			return reservation, nil
		}
		if !w.board.hasTarget(r.Service, exclude) {
			return w.leaveWithoutTarget(r.Service, entry, own)
		}
	}
}

// enterAgain reserves a slot for a request at one of the targets at which it may have run. It waits, outside of the queue, if these are full: the request
// was served before those that wait there. Errors are as of enter.
func (w *waitQueues) enterAgain(ctx context.Context, r *Request, targets map[fleet.TargetID]bool) (*Reservation, error) {
	ticker := time.NewTicker(queueCheckInterval)
	defer ticker.Stop()
	for {
		if err := w.parts.check(r); err != nil {
			return nil, err
		}
		room := w.board.RoomChanged()
		reservation, result := w.board.reserveAmong(r.Service, string(r.ID), targets)
		switch {
		case reservation != nil:
			return reservation, nil
		case result == slots.NoTarget:
			return nil, errNoTarget
		}
		select {
		case <-room:
		case <-ticker.C:
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for a free slot: %w", context.Cause(ctx))
		}
	}
}

// leaveWithoutTarget removes a request from the queue that no target may get any more. It returns the slot that the request may have got before
// that, otherwise errNoTarget.
func (w *waitQueues) leaveWithoutTarget(service string, entry *slots.Waiting, own *waiter) (*Reservation, error) {
	w.remove(service, entry)
	select {
	case reservation := <-own.reserved:
		return reservation, nil
	default:
		return nil, errNoTarget
	}
}

// join reserves a slot if nothing waits and a target has room, or if one of again has, and queues or refuses the request otherwise.
func (w *waitQueues) join(r *Request, exclude, again map[fleet.TargetID]bool) (*slots.Waiting, *waiter, *Reservation, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queueFor(r.Service)
	if !w.board.hasTarget(r.Service, exclude) {
		return nil, nil, nil, errNoTarget
	}
	entry := waitingEntry(r)
	if queue.order.Len() == 0 {
		reservation, result := w.board.ReserveOnline(r.Service, string(r.ID), exclude)
		if result == slots.NoTarget {
			return nil, nil, nil, errNoTarget
		}
		if reservation != nil {
			w.charge(entry)
			return nil, nil, reservation, nil
		}
	}
	if reservation, _ := w.board.reserveAmong(r.Service, string(r.ID), again); reservation != nil {
		return nil, nil, reservation, nil
	}
	if refused := queue.admit(w.board.Pool(r.Service), entry); refused != nil {
		return nil, nil, nil, refused
	}
	own := &waiter{salt: string(r.ID), exclude: exclude, reserved: make(chan *Reservation, 1), refused: make(chan *refusedError, 1)}
	queue.order.Add(entry)
	queue.waiters[entry] = own
	return entry, own, nil, nil
}

// waitingEntry returns the entry of a request in a queue.
func waitingEntry(r *Request) *slots.Waiting {
	entry := &slots.Waiting{Objective: r.Arrived.Add(r.Route.Objective), Deadline: r.Deadline, Tokens: r.Tokens}
	if r.Account != nil {
		entry.Rank = slots.Rank{Account: r.Account.Priority, Route: r.Route.Priority}
		entry.Account, entry.Weight = quotaName(r.Account.Name), r.Weight
	}
	return entry
}

// charge records that a request got a slot; w.mu is held.
func (w *waitQueues) charge(entry *slots.Waiting) {
	if entry.Account != "" {
		w.shares.Charge(entry.Account, entry.Tokens, time.Now())
		w.spend(entry.Account, entry.Tokens)
	}
}

// chargeOthers records what other instances have spent on accounts.
func (w *waitQueues) chargeOthers(tokens map[string]int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for account, n := range tokens {
		w.shares.ChargeOthers(account, float64(n), now)
	}
}

// admit returns an error if the queue is full of requests that go before this one, or if the request would probably wait past its deadline at the
// rate at which this instance's requests complete. If the queue is full of others, the one that would be served last leaves it.
func (q *waitQueue) admit(pool slots.Pool, entry *slots.Waiting) *refusedError {
	now := time.Now()
	queued := q.order.Len()
	ahead := queued
	if entry.Account != "" {
		ahead = q.order.Ahead(entry, now)
	}
	load := limits.Load{Capacity: pool.Slots, InFlight: pool.Slots, Queued: queued, Ahead: ahead}
	bounds := limits.AdmissionLimits{MaxQueue: maxWaiting, MaxWait: entry.Deadline.Sub(now)}
	decision := limits.Admit(bounds, load, &q.rate, entry.Deadline, now)
	if decision.Verdict == limits.Refuse {
		return &refusedError{decision.Reason, decision.RetryAfter}
	}
	if queued >= maxWaiting {
		q.displaceLast(now)
	}
	return nil
}

// displaceLast refuses the request that would be served last.
func (q *waitQueue) displaceLast(now time.Time) {
	last := q.order.Last(now)
	if last == nil {
		return
	}
	q.order.Remove(last)
	q.waiters[last].refused <- &refusedError{limits.QueueFull, displacedRetryAfter}
	delete(q.waiters, last)
}

// displacedRetryAfter is the advice to a request that left a full queue. The queue is full for as long as a burst lasts.
const displacedRetryAfter = 500 * time.Millisecond

// serve reserves free slots for waiting requests, in the order of the queue. A request that may only use targets without room is passed over: it has
// tried the others.
func (w *waitQueues) serve(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queueFor(service)
	if !queue.mayServe(w.board.RoomChanged(), time.Now()) {
		return
	}
	var passedOver map[*slots.Waiting]bool
	for {
		entry := queue.order.NextExcept(passedOver, time.Now())
		if entry == nil {
			return
		}
		next := queue.waiters[entry]
		reservation, _ := w.board.ReserveOnline(service, next.salt, next.exclude)
		switch {
		case reservation != nil:
			queue.order.Start(entry)
			w.charge(entry)
			delete(queue.waiters, entry)
			next.reserved <- reservation
		case len(next.exclude) == 0:
			return
		default:
			if passedOver == nil {
				passedOver = make(map[*slots.Waiting]bool)
			}
			passedOver[entry] = true
		}
	}
}

// mayServe reports whether the queue is to be searched: the board has signalled room since the last search, or minServeInterval has passed. room is
// the signal to wait for next.
func (q *waitQueue) mayServe(room <-chan struct{}, now time.Time) bool {
	if q.room == room && now.Sub(q.servedAt) < minServeInterval {
		return false
	}
	q.room, q.servedAt = room, now
	return true
}

// remove removes a request from the queue if it is still there.
func (w *waitQueues) remove(service string, entry *slots.Waiting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queueFor(service)
	queue.order.Remove(entry)
	delete(queue.waiters, entry)
}

// leave abandons a request whose ctx has ended.
func (w *waitQueues) leave(ctx context.Context, service string, entry *slots.Waiting, own *waiter) error {
	w.abandon(service, entry, own)
	return fmt.Errorf("wait for a free slot: %w", context.Cause(ctx))
}

// abandon removes a request from the queue, and releases the slot that it may have got at the same moment.
func (w *waitQueues) abandon(service string, entry *slots.Waiting, own *waiter) {
	w.remove(service, entry)
	select {
	case reservation := <-own.reserved:
		reservation.Release()
	default:
	}
}

// requestEnded records how long a request held its slot, and serves the next waiting one.
func (w *waitQueues) requestEnded(service string, took time.Duration) {
	now := time.Now()
	w.mu.Lock()
	queue := w.queueFor(service)
	waiting := queue.order.Len() > 0
	queue.rate.ObserveCompletion(took, waiting, now)
	w.mu.Unlock()
	if waiting {
		w.serve(service)
	}
}
