// Package problem defines the errors that callers receive: a stable code, the HTTP status, and whether it is certain that the
// request was not run.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/core/fleet"
)

// ErrIncomplete means that a response was started and could not be completed.
var ErrIncomplete = eris.New("response could not be completed")

// Code identifies a kind of error in the caller API. Codes are stable.
type Code string

// The codes of the caller API.
const (
	CodeInvalidRequest   Code = "invalid_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeNotAllowed       Code = "not_allowed"
	CodeNotFound         Code = "not_found"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeKeyRequired      Code = "idempotency_key_required"
	CodeKeyMismatch      Code = "idempotency_key_mismatch"
	CodeInProgress       Code = "in_progress"
	CodeRateLimited      Code = "rate_limited"
	CodeOverloaded       Code = "overloaded"
	CodeNoTarget         Code = "no_target"
	CodeStoreUnavailable Code = "store_unavailable"
	// CodeStorageUnavailable means that the disks for bulk data could not store or return the data that the request needs.
	CodeStorageUnavailable Code = "storage_unavailable"
	CodeNotReady           Code = "not_ready"
	CodeDeadline           Code = "deadline_exceeded"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeIncompleteAnswer   Code = "incomplete_answer"
	CodeAnswerNotKept      Code = "answer_not_kept"
	CodeTargetRejected     Code = "target_rejected"
	CodeJobEnded           Code = "job_ended"
	CodeInternal           Code = "internal"
)

var statuses = map[Code]int{
	CodeInvalidRequest:     http.StatusBadRequest,
	CodeUnauthorized:       http.StatusUnauthorized,
	CodeNotAllowed:         http.StatusForbidden,
	CodeNotFound:           http.StatusNotFound,
	CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	CodeKeyRequired:        http.StatusBadRequest,
	CodeKeyMismatch:        http.StatusUnprocessableEntity,
	CodeInProgress:         http.StatusConflict,
	CodeRateLimited:        http.StatusTooManyRequests,
	CodeOverloaded:         http.StatusServiceUnavailable,
	CodeNoTarget:           http.StatusServiceUnavailable,
	CodeStoreUnavailable:   http.StatusServiceUnavailable,
	CodeStorageUnavailable: http.StatusServiceUnavailable,
	CodeNotReady:           http.StatusServiceUnavailable,
	CodeDeadline:           http.StatusGatewayTimeout,
	CodeOutcomeUnknown:     http.StatusBadGateway,
	CodeIncompleteAnswer:   http.StatusBadGateway,
	CodeAnswerNotKept:      http.StatusConflict,
	CodeTargetRejected:     http.StatusBadGateway,
	CodeJobEnded:           http.StatusConflict,
	CodeInternal:           http.StatusInternalServerError,
}

// Error is an error response to a caller.
type Error struct {
	Code       Code
	Message    string
	NotRun     bool          // true only when no target ran any part of the request
	RetryAfter time.Duration // when the caller should retry; 0 to leave it out of the response
}

// NotRun returns an error for a request that no target has run, not even in part.
func NotRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// MayHaveRun returns an error for a request that a target may have run.
func MayHaveRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets RetryAfter to d and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Status returns the HTTP status of the error's code, or 500 if the code is not one of this package.
func (e *Error) Status() int {
	if status, ok := statuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Response returns the error as a message of the caller API. An empty request ID is left out.
func (e *Error) Response(request fleet.RequestID) *caller.ErrorResponse {
	body := caller.Error{Code: string(e.Code), Message: e.Message, NotRun: e.NotRun}
	if request != "" {
		body.RequestID.SetTo(string(request))
	}
	if e.RetryAfter > 0 {
		body.RetryAfterMs.SetTo(e.RetryAfter.Milliseconds())
	}
	return &caller.ErrorResponse{Error: body}
}

// Write writes the error to w as the complete response. The Retry-After header is in whole seconds, rounded up.
func (e *Error) Write(w http.ResponseWriter, request fleet.RequestID) {
	body, err := json.Marshal(e.Response(request))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(e.Status())
	_, _ = w.Write(body)
}
