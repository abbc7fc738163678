package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/intake"
	"eelgrassproxy.example/node/problem"
)

// Limits of the callers' listener.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 30 * time.Second // for bodies other than file uploads; a caller that sends its body more slowly is cut off
	idleTimeout       = 2 * time.Minute
)

// Options are the settings of the callers' listener.
type Options struct {
	MaxBodyBytes int64 // required, at least 1; limit in bytes of request bodies, except those of file uploads
	MaxInFlight  int   // required, at least 1; maximum of concurrent requests, each from its header to the end of its response
	// Draining reports whether the instance is shutting down; responses then tell callers to close their connections. nil means never.
	Draining func() bool
}

// NewServer returns the HTTP server for the callers' listener.
func NewServer(handler *Handler, o Options) (*http.Server, error) {
	generated, err := caller.NewServer(handler, handler, authenticator{board: handler.board}, caller.WithErrorHandler(writeError))
	if err != nil {
		return nil, err
	}
	return &http.Server{
		Handler:           limitRequests(generated, handler.files, o),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}, nil
}

// limitRequests refuses requests above the maximum of concurrent requests, and limits the size of bodies and the time to read them.
func limitRequests(next http.Handler, files Files, o Options) http.Handler {
	slots := make(chan struct{}, o.MaxInFlight)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		default:
			problem.NotRun(problem.CodeOverloaded, "instance holds %d requests already", o.MaxInFlight).WithRetryAfter(time.Second).Write(w, requestIDOf(r))
			return
		}
		defer func() { <-slots }()
		if o.Draining != nil && o.Draining() {
			// The server closes idle connections at the end of a drain, so a request that a caller sends at that moment would be lost.
			w.Header().Set("Connection", "close")
		}
		if files != nil && isUpload(r) {
			intake.Uncounted(r)
			r = limitUpload(w, r, files.MaxBytes())
		} else {
			r.Body = limitBody(w, r, o.MaxBodyBytes)
		}
		ctx := context.WithValue(r.Context(), attemptKey{}, limits.ParseAttempt(r.Header.Get(limits.RetryAttemptHeader)))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// limitBody returns the request's body with a limit on its size and on the time to read it.
func limitBody(w http.ResponseWriter, r *http.Request, maxBytes int64) io.ReadCloser {
	limited := http.MaxBytesReader(w, r.Body, maxBytes)
	if r.Body == http.NoBody {
		return limited
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(readBodyTimeout))
	return &deadlineBody{ReadCloser: limited, control: control}
}

// deadlineBody clears the connection's read deadline at the end of the body. The server keeps reading after the body to detect that the
// caller has disconnected; if the deadline passed then, the server would cancel the request's context and so cut off long responses.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

type attemptKey struct{}

// authenticator checks API keys against the active bundle.
type authenticator struct{ board *blackboard.Board }

var _ caller.SecurityHandler = authenticator{}

// HandleBearer implements caller.SecurityHandler.
func (a authenticator) HandleBearer(ctx context.Context, _ caller.OperationName, t caller.Bearer) (context.Context, error) {
	active := a.board.Bundle.Current()
	if active == nil {
		return ctx, problem.NotRun(problem.CodeNotReady, "no bundle is in force yet").WithRetryAfter(time.Second)
	}
	resolved, ok := active.Authenticate(t.Token)
	if !ok {
		return ctx, problem.NotRun(problem.CodeUnauthorized, "API key is not known")
	}
	attempt, _ := ctx.Value(attemptKey{}).(int)
	return context.WithValue(ctx, sessionKey{}, session{bundle: active, caller: resolved, attempt: attempt}), nil
}

// writeError writes errors of decoding, authentication and dispatch in the form of the caller API. Requests that fail before the dispatcher
// is called are reported as not run.
func writeError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	toProblem(err).Write(w, requestIDOf(r))
}

// toProblem converts an error to a problem. An unexpected error is logged and reported as an internal error.
func toProblem(err error) *problem.Error {
	var p *problem.Error
	if errors.As(err, &p) {
		return p
	}
	if errors.Is(err, intake.ErrNoMemory) {
		return problem.NotRun(problem.CodeOverloaded, "instance has no memory for the request body").WithRetryAfter(time.Second)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return problem.NotRun(problem.CodeBodyTooLarge, "body exceeds %d bytes", tooLarge.Limit)
	}
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) || errors.Is(err, ogenerrors.ErrSecurityRequirementIsNotSatisfied) {
		return problem.NotRun(problem.CodeUnauthorized, "a bearer token is required")
	}
	var params *ogenerrors.DecodeParamsError
	var body *ogenerrors.DecodeRequestError
	if errors.As(err, &params) || errors.As(err, &body) {
		return problem.NotRun(problem.CodeInvalidRequest, "%v", err)
	}
	klog.ErrorS(err, "Request failed with an unexpected error")
	return problem.MayHaveRun(problem.CodeInternal, "internal error")
}
