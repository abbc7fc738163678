package engine

import (
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/adapters/httpcall"
)

// maxControlAnswer bounds the body of an answer that the generated client reads whole. The largest is a KV export.
const maxControlAnswer = 64 << 20

// errAnswerTooLarge ends the reading of an answer beyond maxControlAnswer.
var errAnswerTooLarge = eris.New("answer of the engine is larger than 64 MiB")

// call records what happened to one call, since the generated client hides the HTTP response.
type call struct {
	raw      bool // the body is handed on as a stream instead of being read by the generated client
	called   bool
	response *http.Response
}

type callKey struct{}

// exchange is the HTTP client that the generated client sends with. It turns answers that are no success into StatusError with
// their headers, and bounds the bodies that the generated client reads.
type exchange struct {
	sender *httpcall.Sender
}

// Do implements the client interface of the generated code.
func (x exchange) Do(r *http.Request) (*http.Response, error) {
	c := r.Context().Value(callKey{}).(*call)
	c.called = true
	response, err := x.sender.Do(r)
	if err != nil {
		return nil, err
	}
	if err := httpcall.Success(response); err != nil {
		return nil, err
	}
	c.response = response
	if !c.raw {
		response.Body = &boundedBody{ReadCloser: response.Body, left: maxControlAnswer}
	}
	return response, nil
}

// begin returns a context that records a call of the generated client.
func begin(ctx context.Context, raw bool) (context.Context, *call) {
	c := &call{raw: raw}
	return context.WithValue(ctx, callKey{}, c), c
}

// boundedBody fails after a number of bytes.
type boundedBody struct {
	io.ReadCloser
	left int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errAnswerTooLarge
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	return n, err
}
