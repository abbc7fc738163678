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
	"eelgrassproxy.example/node/problem"
)

// Bounds of the callers' listener.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 30 * time.Second // a caller that sends its body more slowly is cut off
	idleTimeout       = 2 * time.Minute
)

// Options of the listener.
type Options struct {
	MaxBodyBytes int64
	MaxInFlight  int // requests held at once, from their header to the end of their answer
	// Draining tells whether the instance is shutting down; answers then ask callers to close their connections. nil means never.
	Draining func() bool
}

// NewServer returns the HTTP server of the callers' listener.
func NewServer(handler *Handler, o Options) (*http.Server, error) {
	generated, err := caller.NewServer(handler, handler, authenticator{board: handler.board}, caller.WithErrorHandler(writeError))
	if err != nil {
		return nil, err
	}
	return &http.Server{
		Handler:           bound(generated, handler.files, o),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}, nil
}

// bound refuses requests over the number held at once and limits the size and the time of bodies.
func bound(next http.Handler, files Files, o Options) http.Handler {
	slots := make(chan struct{}, o.MaxInFlight)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		default:
			problem.NotRun(problem.CodeOverloaded, "instance holds %d requests already", o.MaxInFlight).After(time.Second).Write(w, requestIDOf(r))
			return
		}
		defer func() { <-slots }()
		if o.Draining != nil && o.Draining() {
			// The server closes idle connections at the end of a drain. A caller that sends at that moment would lose its request.
			w.Header().Set("Connection", "close")
		}
		if files != nil && isUpload(r) {
			r = boundUpload(w, r, files.MaxBytes())
		} else {
			r.Body = boundBody(w, r, o.MaxBodyBytes)
		}
		ctx := context.WithValue(r.Context(), attemptKey{}, limits.ParseAttempt(r.Header.Get(limits.RetryAttemptHeader)))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// boundBody limits the size of the body and the time to read it.
func boundBody(w http.ResponseWriter, r *http.Request, maxBytes int64) io.ReadCloser {
	limited := http.MaxBytesReader(w, r.Body, maxBytes)
	if r.Body == http.NoBody {
		return limited
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(readBodyTimeout))
	return &timedBody{ReadCloser: limited, control: control}
}

// timedBody ends the deadline on reading with the body. Left in place, it would cancel the request's context when it passes, since the
// server goes on reading to notice that the caller has gone, and cut off answers that last longer.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

type attemptKey struct{}

// authenticator checks API keys against the bundle in force.
type authenticator struct{ board *blackboard.Board }

var _ caller.SecurityHandler = authenticator{}

// HandleBearer implements caller.SecurityHandler.
func (a authenticator) HandleBearer(ctx context.Context, _ caller.OperationName, t caller.Bearer) (context.Context, error) {
	active := a.board.Bundle.Current()
	if active == nil {
		return ctx, problem.NotRun(problem.CodeNotReady, "no bundle is in force yet").After(time.Second)
	}
	resolved, ok := active.Authenticate(t.Token)
	if !ok {
		return ctx, problem.NotRun(problem.CodeUnauthorized, "API key is not known")
	}
	attempt, _ := ctx.Value(attemptKey{}).(int)
	return context.WithValue(ctx, sessionKey{}, session{bundle: active, caller: resolved, attempt: attempt}), nil
}

// writeError converts errors of decoding, authentication and dispatch into the caller API's form. Everything that fails before the
// dispatcher was called was not run.
func writeError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	toProblem(err).Write(w, requestIDOf(r))
}

func toProblem(err error) *problem.Error {
	var p *problem.Error
	if errors.As(err, &p) {
		return p
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
	klog.ErrorS(err, "Request failed with an error of no known kind")
	return problem.MayHaveRun(problem.CodeInternal, "internal error")
}
