package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/claims"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/node/problem"
	"eelgrassproxy.example/node/request"
)

// inference is the common form of requests for chat completions and completions.
type inference struct {
	model  string
	path   string
	stream bool
	prompt []byte
	encode func(model string) ([]byte, error) // returns the body with the given model name
}

// headers are the optional headers of a request.
type headers struct {
	requestID      string
	idempotencyKey string
	timeout        time.Duration // 0 if the caller sent none
}

func headersOf(requestID, idempotencyKey caller.OptString, timeoutMs caller.OptInt64) headers {
	return headers{
		requestID:      requestID.Or(""),
		idempotencyKey: idempotencyKey.Or(""),
		timeout:        time.Duration(timeoutMs.Or(0)) * time.Millisecond,
	}
}

func (h *Handler) infer(ctx context.Context, in inference, head headers, w http.ResponseWriter) error {
	s := sessionOf(ctx)
	model, err := s.bundle.Model(s.caller, in.model)
	if err != nil {
		return resolveProblem(err, in.model)
	}
	model = h.versions.servingModel(s.bundle, model)
	r := h.newRequest(s, head, in.stream)
	r.Kind = fleet.KindEngine
	r.Model = model
	r.Path = in.path
	r.Stream = in.stream
	r.Prefix = routing.PrefixOf(model.Base+"@"+model.Version, in.prompt)
	if err := fingerprint(r, in); err != nil {
		return err
	}
	r.Body, err = in.encode(request.EngineModel(model))
	if err != nil {
		return problem.NotRun(problem.CodeInvalidRequest, "request body cannot be encoded: %v", err)
	}
	return h.dispatch(ctx, r, w)
}

// fingerprint sets the request's fingerprint, if it has an idempotency key. The fingerprint covers the request as the caller sent it, so a
// resend has the same one even if the bundle has changed the model's version in between.
func fingerprint(r *request.Request, in inference) error {
	if r.IdempotencyKey == "" {
		return nil
	}
	body, err := in.encode(in.model)
	if err != nil {
		return problem.NotRun(problem.CodeInvalidRequest, "request body cannot be encoded: %v", err)
	}
	r.Fingerprint = claims.Digest(in.path, body)
	return nil
}

// bufferedResponseTimeout is the default timeout of requests whose response is not a stream: 1,000 tokens at 60 ms each.
const bufferedResponseTimeout = time.Minute

func (h *Handler) newRequest(s session, head headers, stream bool) *request.Request {
	id := head.requestID
	if id == "" {
		id = ulid.Make().String()
	}
	return &request.Request{
		ID:             fleet.RequestID(id),
		Caller:         s.caller,
		Bundle:         s.bundle,
		IdempotencyKey: head.idempotencyKey,
		Attempt:        s.attempt,
		Deadline:       time.Now().Add(h.timeout(s, head, stream)),
	}
}

// timeout returns the time until the first byte of the response must arrive: the caller's timeout or the default. A target sends the first
// byte of a response that is not a stream only when the response is complete.
func (h *Handler) timeout(s session, head headers, stream bool) time.Duration {
	switch {
	case head.timeout > 0:
		return head.timeout
	case stream:
		return time.Duration(s.bundle.Limits().FirstTokenTimeoutMs) * time.Millisecond
	default:
		return bufferedResponseTimeout
	}
}

// resolveProblem converts an error of looking up a model or a service in the bundle.
func resolveProblem(err error, name string) error {
	switch {
	case errors.Is(err, bundle.ErrNotAllowed):
		return problem.NotRun(problem.CodeNotAllowed, "caller may not use %q", name)
	case errors.Is(err, bundle.ErrUnknownModel), errors.Is(err, bundle.ErrUnknownService):
		return problem.NotRun(problem.CodeNotFound, "%q is not in the bundle in force", name)
	default:
		return problem.NotRun(problem.CodeInternal, "resolve %q: %v", name, err)
	}
}

// chatPrompt concatenates the roles and the raw contents of the messages. Its beginning determines the preferred targets.
func chatPrompt(req *caller.ChatCompletionRequest) []byte {
	var prompt []byte
	for _, m := range req.Messages {
		prompt = append(prompt, m.Role...)
		prompt = append(prompt, m.Content...)
	}
	return prompt
}

// requestIDOf returns the caller's request id from the header, for errors that occur before the request is decoded.
func requestIDOf(r *http.Request) fleet.RequestID {
	return fleet.RequestID(r.Header.Get("X-Request-Id"))
}
