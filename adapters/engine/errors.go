package engine

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/adapters/httpcall"
)

// Errors of this layer. Callers compare with errors.Is. Those of package httpcall have the meaning stated there.
var (
	ErrNotSent        = httpcall.ErrNotSent
	ErrNotRun         = httpcall.ErrNotRun
	ErrLeaving        = httpcall.ErrLeaving
	ErrOutcomeUnknown = httpcall.ErrOutcomeUnknown
	ErrRejected       = httpcall.ErrRejected
	ErrFailed         = httpcall.ErrFailed
	// ErrUnknownStream means that the engine keeps no stream for the request id: it never ran, was cancelled or ended too long ago.
	ErrUnknownStream = eris.New("engine does not know the stream")
	// ErrStaleFence means that the engine has seen an order with a higher fencing number.
	ErrStaleFence = eris.New("order has a stale fencing number")
	// ErrInvalidRequest means that the request is not valid JSON or breaks a bound; nothing was sent.
	ErrInvalidRequest = eris.New("request to the engine is invalid")
)

// StatusError is an answer that is not a success.
type StatusError = httpcall.StatusError

// translate gives an error of the generated client its type. The errors of exchange are typed already. Any other error arises
// before exchange was called, so that nothing was sent, or while reading the answer, which leaves the outcome unknown.
func translate(err error, called bool) error {
	var status *StatusError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &status) || errors.Is(err, ErrNotSent) || errors.Is(err, ErrOutcomeUnknown):
		return err
	case !called:
		return fmt.Errorf("%w: %w", ErrInvalidRequest, httpcall.NotSent(err))
	}
	return httpcall.OutcomeUnknown(err)
}

// unexpectedResult is the error for a result of the generated client other than the wanted one.
func unexpectedResult(result any) error {
	return httpcall.OutcomeUnknown(fmt.Errorf("unexpected result of type %T", result))
}
