package engine

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/jx"

	api "eelgrassproxy.example/api/engine"
)

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
	w.Header().Set("X-Request-Id", id)
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
