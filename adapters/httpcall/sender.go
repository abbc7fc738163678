package httpcall

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Sender sends requests so that a body is never sent twice. net/http resends a request by itself if a reused connection dies,
// provided that it can get the body again (GetBody) and that the method or an Idempotency-Key header marks the request as
// idempotent. Sender removes GetBody and hides the body's type, and follows no redirects, so that net/http has nothing to resend.
// The type satisfies the client interface of generated clients. It is safe for concurrent use.
type Sender struct {
	client *http.Client
}

// NewSender returns a sender over the client; the client itself stays unchanged.
func NewSender(client *http.Client) *Sender {
	own := *client
	own.CheckRedirect = keepRedirect
	return &Sender{client: &own}
}

// Do sends the request once. Errors are ErrNotSent or ErrOutcomeUnknown. Answers of any status are returned as they are, but a failure that does
// not certainly belong to the request is ErrOutcomeUnknown.
func (s *Sender) Do(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, NotSent(err)
	}
	var seen progress
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), seen.trace()))
	if r.Body != nil {
		r.Body = &onceBody{ReadCloser: r.Body, read: &seen.bodyRead}
		r.GetBody = nil
	}
	response, err := s.client.Do(r)
	switch {
	case err == nil:
		if err := seen.checkOwner(r, response); err != nil {
			response.Body.Close()
			return nil, OutcomeUnknown(err)
		}
		return response, nil
	case seen.notSent():
		return nil, NotSent(err)
	}
	return nil, OutcomeUnknown(err)
}

// progress records how far the transport came with a request.
type progress struct {
	asked    atomic.Bool // the transport looked for a connection
	got      atomic.Bool // the transport had a connection
	reused   atomic.Bool // the connection had carried an earlier request
	bodyRead atomic.Bool // the transport read from the body
}

func (p *progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { p.asked.Store(true) },
		GotConn: func(info httptrace.GotConnInfo) {
			p.got.Store(true)
			p.reused.Store(info.Reused)
		},
	}
}

// notSent is true only on positive evidence: a transport that does not report its connections gives none.
func (p *progress) notSent() bool {
	return p.asked.Load() && !p.got.Load() && !p.bodyRead.Load()
}

// checkOwner returns an error for a failure that names another request, and for a refusal that names none and may have been sent for an earlier
// request on the same connection. The owners of successes are checked by their readers.
func (p *progress) checkOwner(r *http.Request, response *http.Response) error {
	sent, stated := r.Header.Get(HeaderRequestID), response.Header.Get(HeaderRequestID)
	switch {
	case sent == "" || sent == stated || response.StatusCode < http.StatusMultipleChoices:
		return nil
	case stated != "":
		return fmt.Errorf("status %d belongs to request %q", response.StatusCode, stated)
	case response.Header.Get(HeaderNotRun) != "" && p.reused.Load():
		return fmt.Errorf("refusal with status %d on a reused connection names no request", response.StatusCode)
	}
	return nil
}

// onceBody is a request body that cannot be rewound. Even an empty one differs from http.NoBody, which net/http would resend.
type onceBody struct {
	io.ReadCloser
	read *atomic.Bool
}

func (b *onceBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.ReadCloser.Read(p)
}

// Success returns nil for a status from 200 to 299. Otherwise it reads and closes the body and returns a StatusError.
func Success(response *http.Response) error {
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxErrorBody))
	failure := &StatusError{Status: response.StatusCode, Header: response.Header, Body: body}
	if err != nil {
		return errors.Join(failure, err)
	}
	return failure
}
