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
	// maxEventBytes bounds one event; an event of one token has a few hundred bytes.
	maxEventBytes = 256 << 10
	// maxResumes bounds the resumes in a row without a new event. Each one uses a fresh connection, so that several lost paths in a
	// row are survived, while an engine that hangs is given up.
	maxResumes = 4
	// resumeBackoff gives a target that refuses connections time to come back before the next try.
	resumeBackoff = 50 * time.Millisecond
)

// Errors of relaying a stream. They stay inside the package.
var (
	errSilent  = errors.New("stream made no progress")
	errForeign = errors.New("connection carried an event of another request")
	errGap     = errors.New("events are missing")
	// errCallerGone means that the caller's connection failed.
	errCallerGone = errors.New("caller's connection failed")
)

// relay is the state of one stream on its way to the caller.
type relay struct {
	*attempt
	tracker  *stream.Tracker
	decoder  *stream.Decoder
	out      *http.ResponseController
	buffer   []byte // encoded events not yet written
	progress time.Duration
	resumes  int  // in a row without a new event
	began    bool // a byte of the answer was written
	callerID string
}

// relayStream forwards events in order until the end of the stream, resuming it by position when a connection fails. firstDeadline is
// stopped when the first event came. A nil answer means that the connection of the request itself was silent.
func (a *attempt) relayStream(ctx context.Context, answer *upstream, firstDeadline *time.Timer) *failure {
	r := &relay{
		attempt:  a,
		tracker:  stream.NewTracker(a.upstreamID),
		decoder:  stream.NewDecoder(maxEventBytes),
		out:      http.NewResponseController(a.writer),
		progress: a.progressTimeout(),
		callerID: string(a.request.ID),
	}
	for {
		var err error
		if answer != nil {
			err = r.connection(ctx, answer, firstDeadline)
		} else {
			err = r.silence()
		}
		if r.tracker.Ended() {
			return nil
		}
		if errors.Is(err, errCallerGone) || errors.Is(err, errLost) {
			return r.failed(ctx, err)
		}
		answer, err = r.resume(ctx, err)
		if err != nil {
			return r.failed(ctx, err)
		}
	}
}

// connection relays what one connection delivers. It returns why the connection ended.
func (r *relay) connection(ctx context.Context, answer *upstream, firstDeadline *time.Timer) error {
	defer answer.body.Close()
	r.decoder.Reset()
	var silent atomic.Bool
	watchdog := time.AfterFunc(r.progress, func() {
		silent.Store(true)
		answer.body.Close()
	})
	defer watchdog.Stop()
	for {
		n, readErr := answer.body.Read(r.decoder.Buffer())
		r.decoder.Advance(n)
		r.received += int64(n)
		before := r.tracker.Next()
		err := r.take()
		if r.tracker.Next() > before {
			firstDeadline.Stop()
			watchdog.Reset(r.progress)
			r.resumes = 0
		}
		if err != nil {
			return err
		}
		switch {
		case r.tracker.Ended():
			drain(answer.body, watchdog)
			return nil
		case readErr == nil:
			continue
		case silent.Load():
			return r.silence()
		default:
			return fmt.Errorf("connection ended before event %d: %w", r.tracker.Next(), readErr)
		}
	}
}

const (
	// drainTime and drainBytes bound the reading of what follows the last event.
	drainTime  = 50 * time.Millisecond
	drainBytes = 4 << 10
)

// drain reads to the end of a body whose last event was seen, so that its connection can be used again: without the end of the body,
// net/http closes the connection, and the next request pays for a new one. The watchdog closes a body that does not end.
func drain(body io.Reader, watchdog *time.Timer) {
	watchdog.Reset(drainTime)
	_, _ = io.CopyN(io.Discard, body, drainBytes)
}

// silence ends a connection without progress. Before the first event the request may still wait in the engine's queue, so that only
// the deadline bounds how often that is asked; a broken path is left behind with each new connection.
func (r *relay) silence() error {
	if r.tracker.Next() == 0 {
		r.resumes = 0
	}
	r.dispatcher.DropIdle()
	return errSilent
}

// take forwards the events that are decoded so far, in one write.
func (r *relay) take() error {
	r.buffer = r.buffer[:0]
	for {
		event, ok, err := r.decoder.Next()
		if err != nil || !ok {
			return errors.Join(err, r.flush())
		}
		sequence := r.tracker.Next()
		switch r.tracker.Check(event) {
		case stream.InOrder, stream.End:
			r.buffer = stream.AppendEvent(r.buffer, r.callerID, sequence, event.Data)
		case stream.Gap:
			return errors.Join(errGap, r.flush())
		case stream.Foreign:
			return errors.Join(errForeign, r.flush())
		}
	}
}

// flush writes the gathered events. A caller that has gone is noticed by its request's context.
func (r *relay) flush() error {
	if len(r.buffer) == 0 {
		return nil
	}
	if !r.began {
		if !r.win() {
			return errLost
		}
		r.began = true
		r.firstByteCame()
		r.writer.Header().Set("Content-Type", "text/event-stream")
		r.writer.Header().Set("Cache-Control", "no-store")
		r.writer.WriteHeader(http.StatusOK)
	}
	if _, err := r.writer.Write(r.buffer); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if err := r.out.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// resume asks the same engine, on a new connection, for the rest of the stream.
func (r *relay) resume(ctx context.Context, cause error) (*upstream, error) {
	for r.resumes < maxResumes && ctx.Err() == nil {
		r.resumes++
		r.dispatcher.log(r.request, decisionlog.Entry{
			Kind:    decisionlog.KindResume,
			Attempt: r.number,
			Target:  r.target.Target,
			Reason:  fmt.Sprintf("resume from event %d after: %v", r.tracker.Next(), cause),
		})
		answer, err := r.resumeOnce(ctx)
		if err == nil {
			return &upstream{header: answer.Header, body: answer.Body, stream: true, load: answer.Load}, nil
		}
		cause = err
		if errors.Is(err, engine.ErrUnknownStream) {
			break
		}
		wait.For(ctx, resumeBackoff)
	}
	return nil, cause
}

// resumeOnce bounds the wait for the answer's header by the progress timeout; the body that follows is bounded by connection.
func (r *relay) resumeOnce(ctx context.Context) (*engine.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(r.progress, func() { cancel(errSilent) })
	defer timer.Stop()
	answer, err := r.dispatcher.FreshEngines.Resume(ctx, r.target.Address, r.upstreamID, r.tracker.Next())
	if err != nil {
		cancel(nil)
		return nil, err
	}
	answer.Body = &cancelBody{ReadCloser: answer.Body, cancel: func() { cancel(nil) }}
	return answer, nil
}

// endIncomplete tells the caller, in the stream, that the answer is not whole. The stream's normal end is never sent.
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
	return &incomplete{told: p}
}
