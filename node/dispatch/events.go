package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"eelgrassproxy.example/adapters/engine"
	"eelgrassproxy.example/core/stream"
	"eelgrassproxy.example/node/decisionlog"
	"eelgrassproxy.example/node/internal/wait"
	"eelgrassproxy.example/node/problem"
)

const (
	// maxEventBytes bounds the size of one event; an event with one token has a few hundred bytes.
	maxEventBytes = 256 << 10
	// maxResumes bounds the consecutive resumes without a new event. Each resume opens a new connection, so a stream survives several
	// broken network paths in a row, while an engine that hangs is given up.
	maxResumes = 4
	// minPatience is the least time without an event after which the silence of an engine ends a stream that the caller has begun to receive. A sound
	// engine may be silent for a second or so, and no other one can go on with the stream, however short the bundle's progress timeout is.
	minPatience = 3 * time.Second
	// resumeBackoff is the delay after a failed resume, which gives a target that refuses connections time to recover.
	resumeBackoff = 50 * time.Millisecond
)

// Reasons why a connection of a stream ended. They are not returned to callers of this package.
var (
	errStalled      = errors.New("stream made no progress")
	errForeignEvent = errors.New("connection carried an event of another request")
	errGap          = errors.New("events are missing")
	// errCallerDisconnected wraps errors of writing to the caller.
	errCallerDisconnected = errors.New("caller's connection failed")
)

// relay forwards the stream of one attempt to the caller.
type relay struct {
	*attempt
	tracker       *stream.Tracker
	decoder       *stream.Decoder
	controller    *http.ResponseController
	buffer        []byte        // encoded events not yet written
	stallTimeout  time.Duration // longest time without a new event
	resumes       int           // consecutive resumes without a new event
	progressed    time.Time     // when the last new event arrived, or the attempt began
	headerWritten bool          // the response header was written
	requestID     string        // the request id, which replaces the upstream id in events
}

// relayStream forwards events in order until the end of the stream. When a connection fails, it resumes the stream at the next event.
// firstDeadline is stopped when the first event arrives. A nil response means that no response header arrived on the connection on which
// the request was sent.
func (a *attempt) relayStream(ctx context.Context, response *upstreamResponse, firstDeadline *time.Timer) *failure {
	r := &relay{
		attempt:      a,
		tracker:      stream.NewTracker(a.upstreamID),
		decoder:      stream.NewDecoder(maxEventBytes),
		controller:   http.NewResponseController(a.writer),
		stallTimeout: a.progressTimeout(),
		progressed:   a.started,
		requestID:    string(a.request.ID),
	}
	for {
		var err error
		if response != nil {
			err = r.relayConnection(ctx, response, firstDeadline)
		} else {
			err = r.handleStall()
		}
		if r.tracker.Ended() {
			return nil
		}
		if errors.Is(err, errCallerDisconnected) || errors.Is(err, errSuperseded) {
			return r.toFailure(ctx, err)
		}
		response, err = r.resume(ctx, err)
		if err != nil {
			return r.toFailure(ctx, err)
		}
	}
}

// relayConnection forwards the events of one connection. It returns nil at the end of the stream, and else why the connection ended.
func (r *relay) relayConnection(ctx context.Context, response *upstreamResponse, firstDeadline *time.Timer) error {
	defer response.body.Close()
	r.decoder.Reset()
	var stalled atomic.Bool
	watchdog := time.AfterFunc(r.stallTimeout, func() {
		stalled.Store(true)
		response.body.Close()
	})
	defer watchdog.Stop()
	for {
		n, readErr := response.body.Read(r.decoder.Buffer())
		r.decoder.Advance(n)
		r.receivedBytes += int64(n)
		before := r.tracker.Next()
		err := r.forwardEvents()
		if r.tracker.Next() > before {
			firstDeadline.Stop()
			watchdog.Reset(r.stallTimeout)
			r.resumes, r.progressed = 0, time.Now()
		}
		if err != nil {
			return err
		}
		switch {
		case r.tracker.Ended():
			drain(response.body, watchdog)
			return nil
		case readErr == nil:
			continue
		case stalled.Load():
			return r.handleStall()
		default:
			return fmt.Errorf("connection ended before event %d: %w", r.tracker.Next(), readErr)
		}
	}
}

const (
	// drainTimeout and maxDrainBytes bound the reading after the last event.
	drainTimeout  = 50 * time.Millisecond
	maxDrainBytes = 4 << 10
)

// drain reads a body to its end after the last event, so that its connection can be reused: net/http closes a connection whose body was
// not read to the end, and the next request has to open a new one. The watchdog closes a body that does not end.
func drain(body io.Reader, watchdog *time.Timer) {
	watchdog.Reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
}

// handleStall handles a connection that timed out without progress. Before the first event the request may still wait in the engine's
// queue, so it resets the count of resumes and only the request's deadline bounds them. It closes idle pooled connections to targets,
// which may use the same broken network path. It returns errStalled.
func (r *relay) handleStall() error {
	if r.tracker.Next() == 0 {
		r.resumes = 0
	}
	r.dispatcher.CloseIdleConnections()
	return errStalled
}

// forwardEvents forwards the events decoded so far in one write.
func (r *relay) forwardEvents() error {
	r.buffer = r.buffer[:0]
	for {
		event, ok, err := r.decoder.Next()
		if err != nil || !ok {
			return errors.Join(err, r.flush())
		}
		sequence := r.tracker.Next()
		switch r.tracker.Check(event) {
		case stream.InOrder, stream.End:
			r.buffer = stream.AppendEvent(r.buffer, r.requestID, sequence, event.Data)
		case stream.Gap:
			return errors.Join(errGap, r.flush())
		case stream.Foreign:
			return errors.Join(errForeignEvent, r.flush())
		}
	}
}

// flush writes the buffered events to the caller, and the response header before the first of them. It returns errSuperseded if another
// attempt already writes the response, and errCallerDisconnected if writing fails. A disconnected caller is also detected by the context of
// its request.
func (r *relay) flush() error {
	if len(r.buffer) == 0 {
		return nil
	}
	if !r.headerWritten {
		if !r.becomeWinner() {
			return errSuperseded
		}
		r.headerWritten = true
		r.recordFirstByte()
		r.writer.Header().Set("Content-Type", "text/event-stream")
		r.writer.Header().Set("Cache-Control", "no-store")
		r.writer.WriteHeader(http.StatusOK)
	}
	if _, err := r.writer.Write(r.buffer); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	if err := r.controller.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	return nil
}

// resume requests the rest of the stream from the same engine on a new connection, up to maxResumes times in a row, and further while the engine is only
// silent and minPatience has not passed. It returns the last error if all tries fail or the engine has no such stream.
func (r *relay) resume(ctx context.Context, cause error) (*upstreamResponse, error) {
	for (r.resumes < maxResumes || r.isOnlySilent(cause)) && ctx.Err() == nil {
		r.resumes++
		r.dispatcher.log(r.request, decisionlog.Entry{
			Kind:    decisionlog.KindResume,
			Attempt: r.number,
			Target:  r.target.Target,
			Reason:  fmt.Sprintf("resume from event %d after: %v", r.tracker.Next(), cause),
		})
		response, err := r.resumeOnce(ctx)
		if err == nil {
			return &upstreamResponse{header: response.Header, body: response.Body, stream: true, load: response.Load}, nil
		}
		cause = err
		if errors.Is(err, engine.ErrUnknownStream) {
			break
		}
		wait.For(ctx, resumeBackoff)
	}
	return nil, cause
}

// isOnlySilent reports whether a stream that the caller has begun to receive lacks events because its engine has been silent for less than minPatience.
func (r *relay) isOnlySilent(cause error) bool {
	return r.headerWritten && errors.Is(cause, errStalled) && time.Since(r.progressed) < minPatience
}

// resumeOnce makes one try to resume the stream. It waits for the response header for at most stallTimeout; relayConnection applies the
// same timeout to the body. The error wraps errStalled if the engine was silent.
func (r *relay) resumeOnce(ctx context.Context) (*engine.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(r.stallTimeout, func() { cancel(errStalled) })
	defer timer.Stop()
	response, err := r.dispatcher.UnpooledEngines.Resume(ctx, r.target.Address, r.upstreamID, r.tracker.Next())
	if err != nil {
		if errors.Is(context.Cause(ctx), errStalled) {
			err = fmt.Errorf("%w: %w", errStalled, err)
		}
		cancel(nil)
		return nil, err
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: func() { cancel(nil) }}
	return response, nil
}

// endIncomplete writes an error event to the caller's stream, which says that the response is incomplete. The normal end of the stream is
// never sent.
func (x *execution) endIncomplete(f *failure) error {
	p := problem.MayHaveRun(problem.CodeIncompleteAnswer, "the answer is incomplete, the rest of it was lost")
	body, err := json.Marshal(p.Response(x.request.ID))
	if err != nil {
		return p
	}
	event := append([]byte("event: error\n"), stream.AppendData(nil, body)...)
	_, _ = x.writer.Write(event)
	_ = http.NewResponseController(x.writer).Flush()
	x.dispatcher.log(x.request, decisionlog.Entry{Kind: decisionlog.KindOutcome, Target: f.target, Reason: "incomplete answer: " + f.cause.Error()})
	return &incompleteError{problem: p}
}
