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

// errDeadline is the cancellation cause of an attempt at the request's deadline: of a stream if its first event has not arrived, of another
// response if it is not complete.
var errDeadline = errors.New("no answer before the deadline")

// failure describes how an attempt failed.
type failure struct {
	target        fleet.TargetID
	cause         error
	mayHaveRun    bool
	timedOut      bool
	superseded    bool           // another attempt of the request sent the first byte of its response first
	preempted     bool           // cancelled to make room for online requests
	unknownStream bool           // the engine reported that it has no stream for the request
	rejection     *problem.Error // set if the target rejected the request; another target would reject it too
}

// mayHaveAddedLoad reports whether the attempt may have caused load on its target.
func (f *failure) mayHaveAddedLoad() bool { return f.mayHaveRun && !f.unknownStream }

// Error implements error.
func (f *failure) Error() string { return fmt.Sprintf("%s: %v", f.target, f.cause) }

// attempt is one attempt to run a request at one target.
type attempt struct {
	*execution
	number        int // attempts started before this one
	target        *routing.Candidate
	upstreamID    string // unique per attempt, to detect a response that belongs to another attempt
	started       time.Time
	firstByte     time.Duration // time from started to the first byte of the response; 0 until then
	abort         context.CancelCauseFunc
	receivedBytes int64 // bytes of the response body read so far
}

// begin reserves the target and registers the attempt. It returns a nil attempt if the target's circuit has opened since the target was
// chosen.
func (x *execution) begin(ctx context.Context, target *routing.Candidate) (context.Context, *attempt) {
	now := time.Now()
	if !x.dispatcher.Pools.Begin(x.request.Pool(), target.Target, now) {
		return ctx, nil
	}
	a := &attempt{
		execution:  x,
		number:     x.attempts,
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

// maxIDPrefix bounds, in bytes, the part of the caller's request id that goes into an upstream id; engines limit ids to 160 bytes.
const maxIDPrefix = 64

// upstreamID returns an id that is unique among the attempts of all instances: Process is unique per start of an instance.
func (d *Dispatcher) upstreamID(request fleet.RequestID) string {
	prefix := string(request[:min(len(request), maxIDPrefix)])
	return fmt.Sprintf("%s.%s.%x.%d", prefix, d.Instance, d.Process, d.sequence.Add(1))
}

// run makes the attempt and records its outcome for the target's load, circuit and statistics and for the link to it. It returns nil once the
// complete response has been written.
func (a *attempt) run(ctx context.Context) *failure {
	defer a.abort(nil)
	failed := a.sendAndRelay(ctx)
	a.dispatcher.Board.Loads.Ended(a.target.Target, time.Now())
	a.observe(ctx, failed)
	a.chargeLink()
	return failed
}

// sendAndRelay sends the request to the target and relays its response. It returns nil once the complete response has been written.
func (a *attempt) sendAndRelay(ctx context.Context) *failure {
	deadline := time.AfterFunc(time.Until(a.request.Deadline), func() { a.abort(errDeadline) })
	defer deadline.Stop()
	response, err := a.send(ctx)
	if errors.Is(err, errStalled) {
		return a.relayStream(ctx, nil, deadline)
	}
	if err != nil {
		return a.toFailure(ctx, err)
	}
	defer response.body.Close()
	if response.load != nil {
		a.dispatcher.RecordLoadReport(a.target.Target, *response.load)
	}
	if response.stream {
		return a.relayStream(ctx, response, deadline)
	}
	return a.relayBuffered(ctx, response)
}

// send starts the request at the target.
func (a *attempt) send(ctx context.Context) (*upstreamResponse, error) {
	d := a.dispatcher
	if a.request.Kind == fleet.KindService {
		services := d.Services
		if !a.request.Idempotent() {
			services = d.UnpooledServices
		}
		response, err := services.Call(ctx, a.target.Address, service.Call{
			ID:             a.upstreamID,
			Operation:      a.request.Path,
			IdempotencyKey: a.request.IdempotencyKey,
			Body:           a.request.Body,
		})
		if err != nil {
			return nil, err
		}
		return &upstreamResponse{status: response.Status, header: response.Header, body: response.Body}, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	if a.request.Stream {
		// Engines send a stream's response header immediately. If it does not arrive in time, the pooled connection may be broken; the
		// stream is then resumed on a new connection if the engine has started it.
		headers := time.AfterFunc(a.progressTimeout(), func() { cancel(errStalled) })
		defer headers.Stop()
	}
	response, err := d.Engines.Start(ctx, a.target.Address, engine.Request{ID: a.upstreamID, Path: enginePath(a.request.Path), Body: a.request.Body})
	if err != nil {
		defer cancel(nil)
		if errors.Is(context.Cause(ctx), errStalled) {
			return nil, errStalled
		}
		return nil, err
	}
	body := &cancelBody{ReadCloser: response.Body, cancel: func() { cancel(nil) }}
	return &upstreamResponse{status: response.Status, header: response.Header, body: body, stream: response.Stream, load: response.Load}, nil
}

// progressTimeout is the longest time that a stream may go without a new event.
func (a *attempt) progressTimeout() time.Duration {
	return time.Duration(a.request.Bundle.Limits().ProgressTimeoutMs) * time.Millisecond
}

func enginePath(path string) engine.Path {
	if path == "completions" {
		return engine.PathCompletions
	}
	return engine.PathChat
}

// toFailure converts an error of the target's client to a failure. It marks the target as leaving if the target said so, and cancels the
// request at the engine if it may still be running there.
func (a *attempt) toFailure(ctx context.Context, err error) *failure {
	f := &failure{target: a.target.Target, cause: err, mayHaveRun: true}
	f.timedOut = errors.Is(context.Cause(ctx), errDeadline)
	f.superseded = errors.Is(context.Cause(ctx), errSuperseded)
	f.unknownStream = errors.Is(err, engine.ErrUnknownStream)
	f.preempted = errors.Is(context.Cause(ctx), errPreempted)
	switch {
	case errors.Is(err, httpcall.ErrLeaving):
		f.mayHaveRun = false
		a.markTargetLeaving()
	case errors.Is(err, httpcall.ErrNotSent), errors.Is(err, httpcall.ErrNotRun):
		f.mayHaveRun = false
	case f.unknownStream: // also matches ErrRejected (404), but the engine did not judge the request
	case errors.Is(err, httpcall.ErrRejected):
		f.rejection = rejection(err)
	}
	if f.mayHaveRun && f.rejection == nil {
		a.cancelUpstream(ctx)
	}
	return f
}

// rejection converts a target's 4xx response to an error for the caller. The error says that the request may have run, since a rejection
// does not prove that nothing ran.
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

// markTargetLeaving marks the target as leaving, so that this instance sends it no new requests, and calls OnTargetLeaving if the state changed.
func (a *attempt) markTargetLeaving() {
	d := a.dispatcher
	changed := d.Board.Targets.Change(a.target.Target, func(t *blackboard.TargetEntry) bool {
		if t.State == fleet.TargetLeaving {
			return false
		}
		t.State = fleet.TargetLeaving
		return true
	})
	if changed && d.OnTargetLeaving != nil {
		d.OnTargetLeaving(a.target.Target)
	}
}

// cancelTimeout bounds the call that cancels a request at an engine.
const cancelTimeout = 2 * time.Second

// cancelUpstream cancels the attempt at its engine in the background, since its result is no longer needed. It does nothing for services.
func (a *attempt) cancelUpstream(ctx context.Context) {
	if a.request.Kind != fleet.KindEngine {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer cancel()
		// The error is ignored: other requests detect an unreachable engine.
		_ = a.dispatcher.Engines.Cancel(ctx, a.target.Address, a.upstreamID)
	}()
}

// observe reports the attempt's outcome to the target's circuit and latency statistics. Attempts that were cancelled other than
// by the deadline, rejected by the target or refused by a leaving target say nothing about its health and do not count.
func (a *attempt) observe(ctx context.Context, f *failure) {
	d := a.dispatcher
	key := a.request.Pool()
	switch {
	case f == nil:
		d.Pools.Observe(key, a.target.Target, limits.Outcome{Latency: a.firstByte}, time.Now())
	case f.superseded, ctx.Err() != nil && !f.timedOut, f.rejection != nil, errors.Is(f.cause, httpcall.ErrLeaving):
		d.Pools.EndUnobserved(key, a.target.Target)
	default:
		d.Pools.Observe(key, a.target.Target, limits.Outcome{Failed: true, Latency: a.firstByte}, time.Now())
	}
	d.metrics.attempt(a.request, f)
}

// recordFirstByte records the time to the first byte. Calls after the first have no effect.
func (a *attempt) recordFirstByte() {
	if a.firstByte == 0 {
		a.firstByte = time.Since(a.started)
		if a.ticket != nil {
			a.ticket.ObserveFirstToken(a.firstByte)
		}
		a.dispatcher.metrics.firstByte(a.request, a.firstByte)
	}
}
