package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"eelgrassproxy.example/adapters/engine"
	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/service"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/problem"
)

// errDeadline is the cause of cancelling an attempt whose first byte did not come in time.
var errDeadline = errors.New("no answer before the deadline")

// failure says how an attempt failed.
type failure struct {
	target     fleet.TargetID
	cause      error
	mayHaveRun bool
	deadline   bool
	lost       bool           // another attempt answered first
	preempted  bool           // gave way to online requests
	unreached  bool           // the engine said that it does not know the request
	final      *problem.Error // the target's own verdict on the request, which another target would repeat
}

// mayHaveWorked tells whether the attempt may have put work on its target.
func (f *failure) mayHaveWorked() bool { return f.mayHaveRun && !f.unreached }

// Error implements error.
func (f *failure) Error() string { return fmt.Sprintf("%s: %v", f.target, f.cause) }

// attempt is one try of a request at one target.
type attempt struct {
	*execution
	number     int // attempts begun before this one
	target     *routing.Candidate
	upstreamID string // unique for each attempt, so that answers of another attempt are told apart
	started    time.Time
	firstByte  time.Duration // 0 until the first byte of the answer came
	abort      context.CancelCauseFunc
	received   int64 // bytes of the answer's body
}

// begin claims the target and registers the attempt. It returns nil if the target's circuit opened meanwhile.
func (x *execution) begin(ctx context.Context, target *routing.Candidate) (context.Context, *attempt) {
	now := time.Now()
	if !x.dispatcher.Pools.Begin(x.request.Pool(), target.Target, now) {
		return ctx, nil
	}
	a := &attempt{
		execution:  x,
		number:     x.attempt,
		target:     target,
		upstreamID: x.dispatcher.upstreamID(x.request.ID),
		started:    now,
	}
	ctx, a.abort = context.WithCancelCause(ctx)
	x.mu.Lock()
	x.launched = append(x.launched, a)
	x.mu.Unlock()
	x.dispatcher.Board.Loads.Started(target.Target, now)
	return ctx, a
}

// maxIDPrefix bounds the part of a caller's request id that is kept in upstream ids, which engines limit to 160 bytes.
const maxIDPrefix = 64

// upstreamID returns an id that no other attempt of any instance has: the process is unique for each start of an instance.
func (d *Dispatcher) upstreamID(request fleet.RequestID) string {
	prefix := string(request[:min(len(request), maxIDPrefix)])
	return fmt.Sprintf("%s.%s.%x.%d", prefix, d.Instance, d.Process, d.sequence.Add(1))
}

// try sends the request to the target and relays its answer. It returns nil when the whole answer was written.
func (a *attempt) try(ctx context.Context) *failure {
	defer a.abort(nil)
	failed := a.run(ctx)
	a.dispatcher.Board.Loads.Ended(a.target.Target, time.Now())
	a.observe(ctx, failed)
	a.accountLink()
	return failed
}

func (a *attempt) run(ctx context.Context) *failure {
	deadline := time.AfterFunc(time.Until(a.request.Deadline), func() { a.abort(errDeadline) })
	defer deadline.Stop()
	answer, err := a.send(ctx)
	if errors.Is(err, errSilent) {
		return a.relayStream(ctx, nil, deadline)
	}
	if err != nil {
		return a.failed(ctx, err)
	}
	defer answer.body.Close()
	if answer.load != nil {
		a.dispatcher.LoadReported(a.target.Target, *answer.load)
	}
	if answer.stream {
		return a.relayStream(ctx, answer, deadline)
	}
	return a.relayWhole(ctx, answer)
}

// send starts the request at the target.
func (a *attempt) send(ctx context.Context) (*upstream, error) {
	d := a.dispatcher
	if a.request.Kind == fleet.KindService {
		services := d.Services
		if !a.request.Idempotent() {
			services = d.FreshServices
		}
		answer, err := services.Call(ctx, a.target.Address, service.Call{
			ID:             a.upstreamID,
			Operation:      a.request.Path,
			IdempotencyKey: a.request.IdempotencyKey,
			Body:           a.request.Body,
		})
		if err != nil {
			return nil, err
		}
		return &upstream{status: answer.Status, header: answer.Header, body: answer.Body}, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	if a.request.Stream {
		// A stream's header comes at once. Without it, the pooled connection may have gone silent; the run, if there is one, is joined
		// on a new connection.
		headers := time.AfterFunc(a.progressTimeout(), func() { cancel(errSilent) })
		defer headers.Stop()
	}
	answer, err := d.Engines.Start(ctx, a.target.Address, engine.Request{ID: a.upstreamID, Path: enginePath(a.request.Path), Body: a.request.Body})
	if err != nil {
		defer cancel(nil)
		if errors.Is(context.Cause(ctx), errSilent) {
			return nil, errSilent
		}
		return nil, err
	}
	body := &cancelBody{ReadCloser: answer.Body, cancel: func() { cancel(nil) }}
	return &upstream{status: answer.Status, header: answer.Header, body: body, stream: answer.Stream, load: answer.Load}, nil
}

// progressTimeout is the longest silence of a stream.
func (a *attempt) progressTimeout() time.Duration {
	return time.Duration(a.request.Bundle.Limits().ProgressTimeoutMs) * time.Millisecond
}

func enginePath(path string) engine.Path {
	if path == "completions" {
		return engine.PathCompletions
	}
	return engine.PathChat
}

// failed turns an error of the target's client into a failure and tells the rest of the instance what it means.
func (a *attempt) failed(ctx context.Context, err error) *failure {
	f := &failure{target: a.target.Target, cause: err, mayHaveRun: true}
	f.deadline = errors.Is(context.Cause(ctx), errDeadline)
	f.lost = errors.Is(context.Cause(ctx), errLost)
	f.unreached = errors.Is(err, engine.ErrUnknownStream)
	f.preempted = errors.Is(context.Cause(ctx), errPreempted)
	switch {
	case errors.Is(err, httpcall.ErrLeaving):
		f.mayHaveRun = false
		a.targetLeaves()
	case errors.Is(err, httpcall.ErrNotSent), errors.Is(err, httpcall.ErrNotRun):
		f.mayHaveRun = false
	case f.unreached: // also a 404, which is no verdict on the request
	case errors.Is(err, httpcall.ErrRejected):
		f.final = rejection(err)
	}
	if f.mayHaveRun && f.final == nil {
		a.cancelUpstream(ctx)
	}
	return f
}

// rejection passes a target's 4xx on. The target looked at the request and declined it, which is not proof that nothing ran.
func rejection(err error) *problem.Error {
	var status *httpcall.StatusError
	if !errors.As(err, &status) {
		return problem.MayHaveRun(problem.CodeTargetRejected, "target rejected the request: %v", err)
	}
	if status.Status == http.StatusBadRequest || status.Status == http.StatusUnprocessableEntity {
		return problem.MayHaveRun(problem.CodeInvalidRequest, "target rejected the request with status %d: %s", status.Status, status.Body)
	}
	return problem.MayHaveRun(problem.CodeTargetRejected, "target rejected the request with status %d: %s", status.Status, status.Body)
}

// targetLeaves stops new work to the target here at once and lets peers know.
func (a *attempt) targetLeaves() {
	d := a.dispatcher
	changed := d.Board.Targets.Change(a.target.Target, func(t *blackboard.TargetEntry) bool {
		if t.State == fleet.TargetLeaving {
			return false
		}
		t.State = fleet.TargetLeaving
		return true
	})
	if changed && d.TargetLeft != nil {
		d.TargetLeft(a.target.Target)
	}
}

// cancelTimeout bounds the call that cancels an abandoned stream.
const cancelTimeout = 2 * time.Second

// cancelUpstream frees the engine from a request that nobody waits for. It does not block the request.
func (a *attempt) cancelUpstream(ctx context.Context) {
	if a.request.Kind != fleet.KindEngine {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer cancel()
		// An engine that cannot be reached is noticed by other requests; there is nothing to do here.
		_ = a.dispatcher.Engines.Cancel(ctx, a.target.Address, a.upstreamID)
	}()
}

// observe feeds the target's health. Failures that are the caller's doing say nothing about it.
func (a *attempt) observe(ctx context.Context, f *failure) {
	d := a.dispatcher
	key := a.request.Pool()
	switch {
	case f == nil:
		d.Pools.Observe(key, a.target.Target, limits.Outcome{Latency: a.firstByte}, time.Now())
	case f.lost, ctx.Err() != nil && !f.deadline, f.final != nil, errors.Is(f.cause, httpcall.ErrLeaving):
		d.Pools.Unobserved(key, a.target.Target)
	default:
		d.Pools.Observe(key, a.target.Target, limits.Outcome{Failed: true, Latency: a.firstByte}, time.Now())
	}
	d.metrics.attempt(a.request, f)
}

// firstByteCame records the time to the first byte once.
func (a *attempt) firstByteCame() {
	if a.firstByte == 0 {
		a.firstByte = time.Since(a.started)
		if a.ticket != nil {
			a.ticket.FirstToken(a.firstByte)
		}
		a.dispatcher.metrics.firstByte(a.request, a.firstByte)
	}
}
