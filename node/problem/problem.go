// Package problem defines the errors that callers see: a stable code, the HTTP status, and whether the request certainly was not run.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/core/fleet"
)

// Code names a kind of error; codes are stable.
type Code string

// Codes of errors.
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
	// CodeStorageUnavailable means that the disks for bulk data did not take or give what the request needs.
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

// Error is an error for a caller.
type Error struct {
	Code       Code
	Message    string
	NotRun     bool          // true only when no target ran any part of the request
	RetryAfter time.Duration // 0 means no advice
}

// NotRun returns an error for a request that certainly was not run.
func NotRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// MayHaveRun returns an error for a request that a target may have run.
func MayHaveRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// After adds the advice to come again after d.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Status returns the HTTP status of the error's code.
func (e *Error) Status() int {
	if status, ok := statuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Response returns the error in the form of the caller API.
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

// Write sends the error as the whole answer.
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
