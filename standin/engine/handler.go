package engine

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/jx"

	api "eelgrassproxy.example/api/engine"
)

// errEnded breaks a response off whose run was cancelled or whose engine was closed.
var errEnded = errors.New("run was cancelled or engine was closed")

// handler implements the generated server's interfaces.
type handler struct{ *Engine }

var (
	_ api.Handler    = handler{}
	_ api.RawHandler = handler{}
)

// CreateChatCompletion implements the chat operation.
func (h handler) CreateChatCompletion(
	ctx context.Context, body jx.Raw, params api.CreateChatCompletionParams, w http.ResponseWriter,
) error {
	h.start(ctx, w, params.XRequestID, true, body)
	return nil
}

// CreateCompletion implements the completion operation.
func (h handler) CreateCompletion(
	ctx context.Context, body jx.Raw, params api.CreateCompletionParams, w http.ResponseWriter,
) error {
	h.start(ctx, w, params.XRequestID, false, body)
	return nil
}

// ResumeStream implements the resume operation.
func (h handler) ResumeStream(ctx context.Context, params api.ResumeStreamParams, w http.ResponseWriter) error {
	e := h.Engine
	e.mu.Lock()
	e.forgetEnded(time.Now())
	r := e.runs[params.RequestID]
	e.mu.Unlock()
	if r == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "no stream is kept for this request id")
		return nil
	}
	e.stream(ctx, w, r, int(params.From))
	return nil
}

// CancelStream implements the cancel operation.
func (h handler) CancelStream(_ context.Context, params api.CancelStreamParams) (api.CancelStreamRes, error) {
	h.cancel(params.RequestID)
	return &api.CancelStreamNoContent{}, nil
}

// GetLoad implements the load operation.
func (h handler) GetLoad(context.Context) (api.GetLoadRes, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Engine.load(time.Now()), nil
}

// GetCacheEvents implements the cache events operation.
func (h handler) GetCacheEvents(_ context.Context, params api.GetCacheEventsParams) (api.GetCacheEventsRes, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cache.published(params.Since.Or(0), time.Now().Add(-h.options.CacheEventLag)), nil
}

// GetState implements the state operation.
func (h handler) GetState(context.Context) (api.GetStateRes, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state(), nil
}

// ExportKV implements the export operation: one line with the hash for each block that is cached.
func (h handler) ExportKV(_ context.Context, request *api.ExportRequest) (api.ExportKVRes, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out bytes.Buffer
	for _, hash := range request.Blocks {
		if h.cache.blocks[hash] != nil {
			out.WriteString(hash + "\n")
		}
	}
	return &api.ExportKVOK{Data: &out}, nil
}

// ImportKV implements the import operation and answers the number of blocks cached afterwards.
func (h handler) ImportKV(_ context.Context, request api.ImportKVReq) (api.ImportKVRes, error) {
	var in bytes.Buffer
	if _, err := in.ReadFrom(request); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cache.store(strings.Fields(in.String()), time.Now())
	return &api.ImportResult{Blocks: int32(len(h.cache.blocks))}, nil
}

// start accepts a request or rejects it without running it, and writes the answer.
func (e *Engine) start(ctx context.Context, w http.ResponseWriter, id string, chat bool, body []byte) {
	r, err := parseRequest(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	e.mu.Lock()
	leaving, held := e.leaving, e.holds(r.Model)
	e.mu.Unlock()
	switch {
	case leaving:
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("X-Leaving", "true")
		writeError(w, http.StatusServiceUnavailable, "leaving", "engine is leaving")
	case !held:
		w.Header().Set("X-Not-Run", "true")
		writeError(w, http.StatusNotFound, "model_not_loaded", "model "+strconv.Quote(r.Model)+" is not loaded")
	case r.Stream:
		e.stream(ctx, w, e.accept(id, chat, r), 0)
	default:
		e.answer(ctx, w, e.accept(id, chat, r))
	}
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	response := failure(status, code, "%s", message).Response
	e := new(jx.Encoder)
	response.Encode(e)
	_, _ = e.WriteTo(w)
}

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
