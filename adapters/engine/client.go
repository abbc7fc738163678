// Package engine is the client of model engines. It sends requests at most once, hands event streams on without buffering, and
// translates answers into typed errors and load reports.
package engine

import (
	"context"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/go-faster/jx"

	"eelgrassproxy.example/adapters/httpcall"
	api "eelgrassproxy.example/api/engine"
	"eelgrassproxy.example/core/fleet"
)

// Path tells which operation of the OpenAI-compatible API a request uses.
type Path int

// Paths of requests.
const (
	PathChat        Path = iota // /v1/chat/completions
	PathCompletions             // /v1/completions
)

// maxRequestID is the longest request id that engines take, in bytes.
const maxRequestID = 160

// Request is one request to an engine.
type Request struct {
	ID   string // upstream request id: 1 to 160 printable ASCII characters without spaces
	Path Path
	Body []byte // JSON; must not change until Start returns
}

// Answer is a successful answer. The caller closes Body. Cancelling the context given to the call ends Body with an error.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Stream bool              // Body is an event stream
	Load   *fleet.LoadReport // nil if the engine sent none
}

// Client calls the engines of one fleet. It is safe for concurrent use.
type Client struct {
	generated *api.Client
}

// NewClient returns a client that sends over the given HTTP client, see httpcall.NewClient.
func NewClient(client *http.Client) (*Client, error) {
	generated, err := api.NewClient("http://engine.invalid", api.WithClient(exchange{httpcall.NewSender(client)}))
	if err != nil {
		return nil, fmt.Errorf("client of engines: %w", err)
	}
	return &Client{generated: generated}, nil
}

// Start sends a request. It is sent at most once. Errors: ErrInvalidRequest, ErrNotSent, ErrNotRun, ErrLeaving, ErrRejected,
// ErrFailed, ErrOutcomeUnknown; answers that are no success are also a *StatusError.
func (c *Client) Start(ctx context.Context, address string, r Request) (*Answer, error) {
	if err := checkRequest(r); err != nil {
		return nil, err
	}
	return raw(ctx, address, func(ctx context.Context) error {
		if r.Path == PathCompletions {
			_, err := c.generated.CreateCompletion(ctx, jx.Raw(r.Body), api.CreateCompletionParams{XRequestID: r.ID})
			return err
		}
		_, err := c.generated.CreateChatCompletion(ctx, jx.Raw(r.Body), api.CreateChatCompletionParams{XRequestID: r.ID})
		return err
	})
}

// Resume asks for the events of a stream from a position on. Errors are those of Start, and ErrUnknownStream.
func (c *Client) Resume(ctx context.Context, address, id string, from int64) (*Answer, error) {
	answer, err := raw(ctx, address, func(ctx context.Context) error {
		_, err := c.generated.ResumeStream(ctx, api.ResumeStreamParams{RequestID: id, From: from})
		return err
	})
	return answer, withStatus(err, http.StatusNotFound, ErrUnknownStream)
}

func checkRequest(r Request) error {
	invalid := func(reason string) error {
		return fmt.Errorf("%w: %w", ErrInvalidRequest, httpcall.NotSent(fmt.Errorf("%s", reason)))
	}
	if len(r.ID) == 0 || len(r.ID) > maxRequestID {
		return invalid(fmt.Sprintf("request id has %d bytes, allowed are 1 to %d", len(r.ID), maxRequestID))
	}
	for i := range len(r.ID) {
		if r.ID[i] <= ' ' || r.ID[i] > '~' {
			return invalid(fmt.Sprintf("request id %q has a character that is not printable ASCII", r.ID))
		}
	}
	if len(r.Body) == 0 {
		return invalid("request body is empty")
	}
	return nil
}

// raw runs an operation whose answer is handed on as it arrives.
func raw(ctx context.Context, address string, operation func(context.Context) error) (*Answer, error) {
	ctx, recorded := begin(ctx, true)
	err := operation(api.WithServerURL(ctx, httpcall.BaseURL(address)))
	if err != nil {
		if recorded.response != nil {
			recorded.response.Body.Close()
		}
		return nil, translate(err, recorded.called)
	}
	response := recorded.response
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   response.Body,
		Stream: mediaType == "text/event-stream",
		Load:   loadOf(response.Header, time.Now()),
	}, nil
}
