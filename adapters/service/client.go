// Package service is the client of plain services. It sends each call at most once and translates answers into typed errors.
package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

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
	// ErrInvalidCall means that the call cannot be put into a request; nothing was sent.
	ErrInvalidCall = eris.New("call of the service is invalid")
)

// StatusError is an answer that is not a success.
type StatusError = httpcall.StatusError

// HeaderIdempotencyKey carries the caller's idempotency key to the service.
const HeaderIdempotencyKey = "Idempotency-Key"

// Call is one call of an operation.
type Call struct {
	ID             string // upstream request id
	Operation      string // name of the operation, one path segment
	IdempotencyKey string // empty for none
	Body           []byte // JSON; must not change until Call returns
}

// Answer is a successful answer. The caller closes Body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	sender *httpcall.Sender
}

// NewClient returns a client that sends over the given HTTP client, see httpcall.NewClient.
func NewClient(client *http.Client) *Client {
	return &Client{sender: httpcall.NewSender(client)}
}

// Call sends a call. It is sent at most once, with or without an idempotency key. Errors: ErrInvalidCall, ErrNotSent, ErrNotRun,
// ErrLeaving, ErrRejected, ErrFailed, ErrOutcomeUnknown; answers that are no success are also a *StatusError.
func (c *Client) Call(ctx context.Context, address string, call Call) (*Answer, error) {
	if call.ID == "" || call.Operation == "" || strings.ContainsAny(call.Operation, "/?#%") {
		return nil, invalid(fmt.Errorf("request id %q, operation %q", call.ID, call.Operation))
	}
	url := httpcall.BaseURL(address).JoinPath(call.Operation)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, invalid(err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(httpcall.HeaderRequestID, call.ID)
	if call.IdempotencyKey != "" {
		r.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	response, err := c.sender.Do(r)
	if err != nil {
		return nil, err
	}
	if err := httpcall.Success(response); err != nil {
		return nil, err
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
}

func invalid(cause error) error { return fmt.Errorf("%w: %w", ErrInvalidCall, httpcall.NotSent(cause)) }
