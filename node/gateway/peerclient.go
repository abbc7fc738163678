package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"eelgrassproxy.example/adapters/httpcall"
)

const (
	// peerCallTimeout is the timeout of a call to a peer, in addition to the processing time that the caller allows. The latency between regions is
	// 12 ms.
	peerCallTimeout = 400 * time.Millisecond
	// maxPeerResponseBytes is the maximum size in bytes of a peer's response: a page of results, or the copies of the store's keys.
	maxPeerResponseBytes = 8 << 20
	// maxIdleConnsPerPeer and peerIdleTimeout limit the number and the idle time of the pooled connections to each peer.
	maxIdleConnsPerPeer = 4
	peerIdleTimeout     = 10 * time.Second
)

// PeerStatusError is a response of a peer with a status other than 200.
type PeerStatusError struct{ Status int }

// Error implements error.
func (e *PeerStatusError) Error() string { return fmt.Sprintf("peer returned status %d", e.Status) }

// PeerNotSentError means that no byte of a call was sent, since no connection to the peer could be opened.
type PeerNotSentError struct{ cause error }

// Error implements error.
func (e *PeerNotSentError) Error() string { return "call to a peer was not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *PeerNotSentError) Unwrap() error { return e.cause }

// PeerClient makes HTTP calls to other instances. It is safe for concurrent use.
type PeerClient struct{ client *http.Client }

// NewPeerClient returns a client that opens connections with dial.
func NewPeerClient(dial httpcall.DialFunc) *PeerClient {
	return &PeerClient{client: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: peerIdleTimeout}}}
}

// CloseIdle closes the idle pooled connections.
func (c *PeerClient) CloseIdle() { c.client.CloseIdleConnections() }

// Do makes one call and returns the body of the response. processingTime is the time that the peer may take for processing, in addition to
// peerCallTimeout. A response with a status other than 200 results in a *PeerStatusError, and a call that was certainly not sent in a
// *PeerNotSentError.
func (c *PeerClient) Do(ctx context.Context, method, address, path string, query url.Values, body []byte, processingTime time.Duration) ([]byte, error) {
	return c.DoAdmitted(ctx, method, address, path, query, body, processingTime, nil)
}

// DoAdmitted is Do with a function that is called with the size of the body of a response with status 200 in bytes before it is read. Its error ends the
// call. The size is -1 if the response does not state it. admit may be nil.
func (c *PeerClient) DoAdmitted(ctx context.Context, method, address, path string, query url.Values, body []byte, processingTime time.Duration, admit func(size int64) error) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, processingTime+peerCallTimeout)
	defer cancel()
	target := httpcall.BaseURL(address)
	target.Path, target.RawQuery = path, query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	var asked, connected atomic.Bool
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}))
	response, err := c.client.Do(request)
	switch {
	case err != nil && asked.Load() && !connected.Load():
		return nil, &PeerNotSentError{err}
	case err != nil:
		return nil, err
	}
	defer response.Body.Close()
	if admit != nil && response.StatusCode == http.StatusOK {
		if err := admit(response.ContentLength); err != nil {
			return nil, err
		}
	}
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxPeerResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, &PeerStatusError{response.StatusCode}
	}
	return responseBody, nil
}
