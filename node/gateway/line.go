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
	// maxLine bounds the requests that wait at one instance for one service.
	maxLine = 1024
	// lineLook is how often waiting requests look for room that no notice announced.
	lineLook = 20 * time.Millisecond
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

// lines holds, for each service, the online requests that wait while all targets are full. It is safe for concurrent use.
type lines struct {
	board *Board
	mu    sync.Mutex // guards the lines and what they hold; taken before the board's mutex
	lines map[string]*line
}

// line is the requests that wait for one service.
type line struct {
	queue   *slots.Queue
	waiters map[*slots.Waiting]*waiter
	rate    limits.ServiceRate
}

// waiter is one waiting request.
type waiter struct {
	salt    string
	exclude map[fleet.TargetID]bool
	held    chan *Held // takes the place, once
}

func newLines(board *Board) *lines { return &lines{board: board, lines: make(map[string]*line)} }

func (l *lines) of(service string) *line {
	found, ok := l.lines[service]
	if !ok {
		found = &line{queue: slots.NewQueue(firstEvent), waiters: make(map[*slots.Waiting]*waiter)}
		l.lines[service] = found
	}
	return found
}

// enter returns a place for the request, after a wait if all targets are full. Errors: errNoTarget, *refusedError, and the cause of ctx.
func (l *lines) enter(ctx context.Context, r *Request, exclude map[fleet.TargetID]bool) (*Held, error) {
	room := l.board.Room()
	w, mine, held, err := l.join(r, exclude)
	if held != nil || err != nil {
		return held, err
	}
	timer := time.NewTicker(lineLook)
	defer timer.Stop()
	for {
		select {
		case held := <-mine.held:
			return held, nil
		case <-room:
		case <-timer.C:
		case <-ctx.Done():
			return nil, l.leave(ctx, r.Service, w, mine)
		}
		room = l.board.Room()
		l.serve(r.Service)
	}
}

// join places the request at once or queues it.
func (l *lines) join(r *Request, exclude map[fleet.TargetID]bool) (*slots.Waiting, *waiter, *Held, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.of(r.Service)
	if line.queue.Len() == 0 {
		held, room := l.board.Online(r.Service, string(r.ID), exclude)
		if room == slots.NoTarget {
			return nil, nil, nil, errNoTarget
		}
		if held != nil {
			return nil, nil, held, nil
		}
	}
	if refused := line.admit(l.board.Pool(r.Service), r.Deadline); refused != nil {
		return nil, nil, nil, refused
	}
	w := &slots.Waiting{Objective: r.Arrived.Add(r.Route.Objective), Deadline: r.Deadline}
	mine := &waiter{salt: string(r.ID), exclude: exclude, held: make(chan *Held, 1)}
	line.queue.Add(w)
	line.waiters[w] = mine
	return w, mine, nil, nil
}

// admit refuses a request that would wait past its deadline at the rate at which this instance's requests end.
func (line *line) admit(pool slots.Pool, deadline time.Time) *refusedError {
	load := limits.Load{Capacity: pool.Slots, InFlight: pool.Slots, Queued: line.queue.Len(), Ahead: line.queue.Len()}
	bounds := limits.AdmissionLimits{MaxQueue: maxLine, MaxWait: time.Until(deadline)}
	decision := limits.Admit(bounds, load, &line.rate, deadline, time.Now())
	if decision.Verdict != limits.Refuse {
		return nil
	}
	return &refusedError{decision.Reason, decision.RetryAfter}
}

// serve gives free places to the waiting requests whose turn it is.
func (l *lines) serve(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.of(service)
	for {
		w := line.queue.Next(time.Now())
		if w == nil {
			return
		}
		mine := line.waiters[w]
		held, _ := l.board.Online(service, mine.salt, mine.exclude)
		if held == nil {
			return
		}
		line.queue.Remove(w)
		delete(line.waiters, w)
		mine.held <- held
	}
}

// leave takes a request out that gave up.
func (l *lines) leave(ctx context.Context, service string, w *slots.Waiting, mine *waiter) error {
	l.mu.Lock()
	line := l.of(service)
	line.queue.Remove(w)
	delete(line.waiters, w)
	l.mu.Unlock()
	select {
	case held := <-mine.held:
		held.Release()
	default:
	}
	return fmt.Errorf("waited for a free slot: %w", context.Cause(ctx))
}

// ended records how long a request held its place, and serves the next one.
func (l *lines) ended(service string, took time.Duration) {
	now := time.Now()
	l.mu.Lock()
	line := l.of(service)
	waiting := line.queue.Len() > 0
	line.rate.ObserveCompletion(took, waiting, now)
	l.mu.Unlock()
	if waiting {
		l.serve(service)
	}
}
