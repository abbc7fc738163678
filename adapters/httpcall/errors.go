// Package httpcall holds what the clients of targets share: a transport with a bounded connect time, a sender that never sends a
// request body twice and that knows whether anything was sent, and the typed errors of a call.
package httpcall

import (
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
)

// Errors of a call. Callers compare with errors.Is.
var (
	// ErrNotSent means that no byte of the request was handed to a connection. The call may be repeated.
	ErrNotSent = eris.New("request was not sent")
	// ErrNotRun means that the target itself said that it did not run the request (X-Not-Run: true). The call may be repeated.
	ErrNotRun = eris.New("target did not run the request")
	// ErrLeaving means that the target is leaving and did not run the request. Such an error is also ErrNotRun.
	ErrLeaving = eris.New("target is leaving")
	// ErrOutcomeUnknown means that the request may have reached the target, and no usable answer came back.
	ErrOutcomeUnknown = eris.New("outcome of the request is unknown")
	// ErrRejected means that the target answered with a status from 400 to 499; see StatusError.
	ErrRejected = eris.New("target rejected the request")
	// ErrFailed means that the target answered with a status of 500 or more, or with a redirect, and did not say that the request
	// did not run. The request may have had effects.
	ErrFailed = eris.New("target failed the request")
)

// Headers of a target's answer.
const (
	HeaderNotRun    = "X-Not-Run"
	HeaderLeaving   = "X-Leaving"
	HeaderRequestID = "X-Request-Id"
)

// MaxErrorBody bounds the bytes kept of the body of an error answer.
const MaxErrorBody = 64 << 10

// StatusError is an answer that is not a success. It is ErrRejected or ErrFailed by its status, ErrNotRun if the target said so,
// and ErrLeaving besides if the target is leaving.
type StatusError struct {
	Status int
	Header http.Header
	Body   []byte // at most MaxErrorBody bytes
}

// Error returns the status and the first bytes of the body.
func (e *StatusError) Error() string {
	const shown = 200
	return fmt.Sprintf("target answered status %d: %.*q", e.Status, shown, e.Body)
}

// Is reports which of the package's errors the answer is.
func (e *StatusError) Is(target error) bool {
	switch target {
	case ErrNotRun:
		return e.notRun()
	case ErrLeaving:
		return e.notRun() && e.Header.Get(HeaderLeaving) == "true"
	case ErrRejected:
		return e.rejected()
	case ErrFailed:
		return !e.rejected() && !e.notRun()
	}
	return false
}

func (e *StatusError) notRun() bool {
	return e.Header.Get(HeaderNotRun) == "true" && e.Status >= http.StatusBadRequest
}

func (e *StatusError) rejected() bool {
	return e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError
}

// NotSent wraps a cause as ErrNotSent.
func NotSent(cause error) error { return fmt.Errorf("%w: %w", ErrNotSent, cause) }

// OutcomeUnknown wraps a cause as ErrOutcomeUnknown.
func OutcomeUnknown(cause error) error { return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause) }
