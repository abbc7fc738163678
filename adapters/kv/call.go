package kv

import (
	"context"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/platform"
)

// operation describes one call for its metrics and the meaning of its errors.
type operation struct {
	name  string
	write bool // a failure may leave an effect behind
}

// call runs one operation: it bounds the time, counts, sends, and converts the answer or the error. A is the API's union of
// answers, W the answer that means success, R the result.
func call[A any, W any, R any](
	ctx context.Context, c *Client, op operation,
	send func(context.Context) (A, error), convert func(*W) (R, error),
) (R, error) {
	var zero R
	if err := ctx.Err(); err != nil {
		return zero, eris.Wrapf(ErrUnavailable, "%s not sent: %v", op.name, err)
	}
	done := c.metrics.begin(op.name, Purpose(ctx))
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	var progress sendProgress
	answer, err := send(progress.trace(ctx))
	result, err := interpret(op, &progress, answer, err, convert)
	done(err)
	return result, err
}

func interpret[A any, W any, R any](
	op operation, progress *sendProgress, answer A, err error, convert func(*W) (R, error),
) (R, error) {
	var zero R
	if err != nil {
		return zero, eris.Wrapf(failure(op, progress), "%s: %v", op.name, err)
	}
	switch answer := any(answer).(type) {
	case *W:
		result, err := convert(answer)
		if err != nil {
			return zero, eris.Wrapf(undecided(op), "%s: invalid answer: %v", op.name, err)
		}
		return result, nil
	case *platform.ErrorStatusCode:
		return zero, eris.Wrapf(refusal(op, answer), "%s: status %d, code %d: %s", op.name, answer.StatusCode,
			answer.Response.Code.Value, answer.Response.Message.Value)
	}
	return zero, eris.Wrapf(undecided(op), "%s: unexpected answer %T", op.name, answer)
}

// undecided is the error of a call that may have reached the store.
func undecided(op operation) error {
	if op.write {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

// failure is the error of a call that got no usable answer.
func failure(op operation, progress *sendProgress) error {
	if progress.neverSent() {
		return ErrUnavailable
	}
	return undecided(op)
}

// sendProgress observes how far a request got. Only the lack of a connection proves that nothing was sent: the transport writes
// on its own goroutine, so that a canceled request whose headers are not yet reported as written may still be written.
type sendProgress struct {
	state atomic.Int32
}

const (
	progressNone       int32 = iota // nothing reported; the transport may not support tracing
	progressConnecting              // waiting for a connection
	progressConnected               // has a connection; anything may have been written
)

// trace returns ctx with hooks that record the progress. The transport asks for another connection only after the previous one
// took nothing of the request, so that a new attempt resets the state.
func (p *sendProgress) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn:      func(string) { p.state.Store(progressConnecting) },
		GotConn:      func(httptrace.GotConnInfo) { p.state.Store(progressConnected) },
		WroteHeaders: func() { p.state.Store(progressConnected) },
	})
}

func (p *sendProgress) neverSent() bool {
	return p.state.Load() == progressConnecting
}

// gRPC status codes in the store's error answers.
const (
	codeInvalidArgument    = 3
	codeNotFound           = 5
	codePermissionDenied   = 7
	codeResourceExhausted  = 8
	codeFailedPrecondition = 9
	codeOutOfRange         = 11
	codeUnimplemented      = 12
	codeUnavailable        = 14
	codeUnauthenticated    = 16
)

// storePrefix starts the messages that the store itself makes; others come from a gateway, which may have lost the store's answer.
const storePrefix = "etcdserver: "

// Messages that decide the meaning of a refusal.
const (
	messageTooLarge      = storePrefix + "request is too large"
	messageLeaseNotFound = storePrefix + "requested lease not found"
	messageNoLeader      = storePrefix + "no leader"
)

// refusal returns the meaning of an error answer.
func refusal(op operation, answer *platform.ErrorStatusCode) error {
	switch answer.Response.Message.Value {
	case messageTooLarge:
		return ErrValueTooLarge
	case messageLeaseNotFound:
		return ErrLeaseGone
	}
	if hadNoEffect(answer.Response) {
		return ErrUnavailable
	}
	return undecided(op)
}

// hadNoEffect tells whether the store states that it did not run the call. The code UNAVAILABLE does so only with "no leader":
// its other messages, such as "request timed out" and "leader changed", may follow a proposal that is applied later.
func hadNoEffect(status platform.Status) bool {
	if !strings.HasPrefix(status.Message.Value, storePrefix) {
		return false
	}
	switch status.Code.Value {
	case codeInvalidArgument, codeNotFound, codePermissionDenied, codeResourceExhausted, codeFailedPrecondition,
		codeOutOfRange, codeUnimplemented, codeUnauthenticated:
		return true
	case codeUnavailable:
		return status.Message.Value == messageNoLeader
	}
	return false
}
