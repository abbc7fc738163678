// Package entry implements the callers' listener: it authenticates, validates and resolves requests, and passes them to the dispatcher.
package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-faster/jx"

	"eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/claims"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/jobs"
	"eelgrassproxy.example/node/problem"
	"eelgrassproxy.example/node/request"
)

// Dispatcher runs a request and writes its response. Do returns an error only if nothing was written yet, or problem.ErrIncomplete.
type Dispatcher interface {
	Do(ctx context.Context, r *request.Request, w http.ResponseWriter) error
}

// Handler implements the generated interfaces of the caller API.
type Handler struct {
	board         *blackboard.Board
	versions      *versions
	dispatcher    Dispatcher
	entrypointTTL time.Duration
	failureDomain fleet.FailureDomain
	files         Files   // nil if /v1/files is not served
	batches       Batches // nil if /v1/batches is not served
	jobFiles      jobs.Files
}

// HandlerOption is an option of NewHandler.
type HandlerOption func(*Handler)

var (
	_ caller.Handler    = (*Handler)(nil)
	_ caller.RawHandler = (*Handler)(nil)
)

// NewHandler returns a Handler that uses the board. entrypointTTL is how long callers may cache the response of listEntrypoints.
func NewHandler(board *blackboard.Board, dispatcher Dispatcher, failureDomain fleet.FailureDomain, entrypointTTL time.Duration, options ...HandlerOption) *Handler {
	h := &Handler{
		board:         board,
		versions:      newVersions(board),
		dispatcher:    dispatcher,
		failureDomain: failureDomain,
		entrypointTTL: entrypointTTL,
	}
	for _, option := range options {
		option(h)
	}
	return h
}

// CreateChatCompletion implements caller.RawHandler.
func (h *Handler) CreateChatCompletion(ctx context.Context, req *caller.ChatCompletionRequest, params caller.CreateChatCompletionParams, w http.ResponseWriter) error {
	in := inference{model: req.Model, path: "chat/completions", stream: req.Stream.Or(false), prompt: chatPrompt(req)}
	in.encode = func(model string) ([]byte, error) {
		out := *req
		out.Model = model
		return out.MarshalJSON()
	}
	return h.infer(ctx, in, headersOf(params.XRequestID, params.IdempotencyKey, params.XRequestTimeoutMs), w)
}

// CreateCompletion implements caller.RawHandler.
func (h *Handler) CreateCompletion(ctx context.Context, req *caller.CompletionRequest, params caller.CreateCompletionParams, w http.ResponseWriter) error {
	in := inference{model: req.Model, path: "completions", stream: req.Stream.Or(false), prompt: []byte(req.Prompt)}
	in.encode = func(model string) ([]byte, error) {
		out := *req
		out.Model = model
		return out.MarshalJSON()
	}
	return h.infer(ctx, in, headersOf(params.XRequestID, params.IdempotencyKey, params.XRequestTimeoutMs), w)
}

// CallService implements caller.RawHandler.
func (h *Handler) CallService(ctx context.Context, req jx.Raw, params caller.CallServiceParams, w http.ResponseWriter) error {
	s := sessionOf(ctx)
	service, operation, err := s.bundle.Service(s.caller, params.Service, params.Operation)
	if err != nil {
		return resolveProblem(err, params.Service+"/"+params.Operation)
	}
	r := h.newRequest(s, headersOf(params.XRequestID, params.IdempotencyKey, params.XRequestTimeoutMs), false)
	r.Kind = fleet.KindService
	r.Service, r.Operation = service, operation
	r.Path = operation.Name
	r.Body = req
	r.Fingerprint = claims.Digest(service.Name+"/"+operation.Name, req)
	if !r.Idempotent() && r.IdempotencyKey == "" {
		return problem.NotRun(problem.CodeKeyRequired, "operation %s/%s is not idempotent and needs an Idempotency-Key header", service.Name, operation.Name)
	}
	return h.dispatch(ctx, r, w)
}

// ListModels implements caller.Handler.
func (h *Handler) ListModels(ctx context.Context) (caller.ListModelsRes, error) {
	s := sessionOf(ctx)
	list := &caller.ModelList{Object: "list", Data: []caller.Model{}}
	for _, m := range s.bundle.Models(s.caller) {
		list.Data = append(list.Data, caller.Model{ID: m.Name, Object: "model", OwnedBy: "eelgrassproxy"})
	}
	return list, nil
}

// ListEntrypoints implements caller.Handler.
func (h *Handler) ListEntrypoints(ctx context.Context, params caller.ListEntrypointsParams) (caller.ListEntrypointsRes, error) {
	s := sessionOf(ctx)
	domain := fleet.FailureDomain(params.FailureDomain.Or(string(h.failureDomain)))
	topology := s.bundle.Topology()
	list := &caller.EntrypointList{
		TTLMs:       h.entrypointTTL.Milliseconds(),
		Generation:  int64(s.bundle.Generation()),
		Entrypoints: []caller.Entrypoint{},
	}
	for _, m := range membership.Entrypoints(h.board.Members.All(), topology, domain, time.Now()) {
		list.Entrypoints = append(list.Entrypoints, caller.Entrypoint{
			Instance:      string(m.ID),
			Address:       m.CallerAddress,
			FailureDomain: string(m.FailureDomain),
			Region:        string(topology.RegionOf[m.FailureDomain]),
		})
	}
	return list, nil
}

func (h *Handler) dispatch(ctx context.Context, r *request.Request, w http.ResponseWriter) error {
	w.Header().Set("X-Request-Id", string(r.ID))
	err := h.dispatcher.Do(ctx, r, w)
	if errors.Is(err, problem.ErrIncomplete) {
		// Without the last chunk the response does not look complete, also to a caller that does not know the error event.
		panic(http.ErrAbortHandler)
	}
	return err
}

// session is the result of authentication. It is kept in the request's context.
type session struct {
	bundle  *bundle.Active
	caller  *bundle.ResolvedCaller
	attempt int // retries made before this instance received the request
}

type sessionKey struct{}

func sessionOf(ctx context.Context) session {
	s, _ := ctx.Value(sessionKey{}).(session)
	return s
}
