package engine

import (
	"context"
	"errors"
	"net/http"
	"strconv"
)

// errEnded breaks a response off whose run was cancelled or whose engine was closed.
var errEnded = errors.New("run was cancelled or engine was closed")

// stream writes the run's events from a position on. The run goes on when the connection is lost.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *run, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", r.id)
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	_ = out.Flush()
	limit := e.takeEndEarly(r.id)
	for next := from; limit < 0 || next-from < limit; next++ {
		source := e.source(r, next-from)
		event, err := e.event(ctx, source, next)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if event == nil {
			return
		}
		if _, err := w.Write(event); err != nil {
			return
		}
		if e.pending(source, next+1) {
			continue // more is ready; flush once for all
		}
		if out.Flush() != nil {
			return
		}
	}
}

// takeEndEarly returns the number of events after which this connection ends, or -1.
func (e *Engine) takeEndEarly(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, ok := e.faults.endEarly[id]
	if !ok {
		return -1
	}
	delete(e.faults.endEarly, id)
	return n
}

// source returns the run whose event comes next on the connection, which the Cross fault changes.
func (e *Engine) source(r *run, written int) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := e.runs[e.faults.crossed[r.id]]
	if other == nil || written == 0 {
		return r
	}
	return other
}

func (e *Engine) pending(r *run, i int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return i < len(r.events)
}

// event waits for the i-th event of a run. It returns nil after the last one.
func (e *Engine) event(ctx context.Context, r *run, i int) ([]byte, error) {
	for {
		e.mu.Lock()
		changed, cancelled, ended := r.changed, r.cancelled, r.ended
		var event []byte
		if i < len(r.events) {
			event = r.events[i]
		}
		e.mu.Unlock()
		switch {
		case cancelled:
			return nil, errEnded
		case event != nil || ended:
			return event, nil
		}
		if err := e.await(ctx, changed); err != nil {
			return nil, err
		}
	}
}

func (e *Engine) await(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.closed:
		return errEnded
	}
}

// answer waits for the run and writes its answer in one piece.
func (e *Engine) answer(ctx context.Context, w http.ResponseWriter, r *run) {
	for {
		e.mu.Lock()
		changed, cancelled, ended := r.changed, r.cancelled, r.ended
		e.mu.Unlock()
		if cancelled || !ended && e.await(ctx, changed) != nil {
			panic(http.ErrAbortHandler)
		}
		if ended {
			break
		}
	}
	body := r.whole()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", r.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
