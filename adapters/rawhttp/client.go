// Package rawhttp sends opaque HTTP/1.1 requests over connections of its own. Unlike net/http's transport it never sends a request
// twice, looks at a pooled connection before it writes to it, and skips a response that belongs to an earlier request.
package rawhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/adapters/httpcall"
)

// ErrForeignResponse means that the connection kept delivering responses of other requests.
var ErrForeignResponse = eris.New("response belongs to another request")

const (
	// maxIdlePerAddress bounds the pooled connections to one target; a target serves about ten requests of an instance at once.
	maxIdlePerAddress = 32
	// maxIdle bounds the pooled connections to all targets. A target may send on them at any time, and what has arrived and is not read takes up memory of
	// the machine.
	maxIdle = 128
	// receiveBuffer is the size in bytes of the receive buffer of a connection in the operating system, which would otherwise grow to megabytes. Streams
	// need a small part of it, and over the 25 ms to another region it allows 2.5 MB/s.
	receiveBuffer = 64 << 10
	// maxForeign bounds the responses of other requests that are skipped on one connection.
	maxForeign = 2
	// maxForeignBytes bounds the body of a skipped response.
	maxForeignBytes = 64 << 10
	// maxHeadBytes bounds the header of a response, with the informational ones before it. Clients are held to 16 KiB; a target that sends a
	// header without end would fill the memory until the deadline.
	maxHeadBytes = 64 << 10
	// readBuffer is the size in bytes of a connection's read buffer. It holds a response's header and several events.
	readBuffer = 4 << 10
	// defaultIdle is how long a connection is pooled when the target states no timeout.
	defaultIdle = 10 * time.Second
	// idleMargin is subtracted from a stated timeout, so that a request does not cross the target's close.
	idleMargin = 700 * time.Millisecond
)

// Request is one request. Its header must name neither Host, Connection nor a length of the body.
type Request struct {
	Method string
	URI    string // request target as it appears in the request line
	Host   string
	Header http.Header
	Body   []byte
	// Mine tells from the header whether a response is the one to this request; nil means always.
	Mine func(http.Header) bool
	// MaxIdle bounds the age of a pooled connection that may carry this request; 0 means no bound of its own.
	MaxIdle time.Duration
	// ConnectWithin bounds the time to open a connection; 0 means httpcall.ConnectTimeout.
	ConnectWithin time.Duration
}

// Response is a response whose body is still to be read. Body must be closed: a body read to its end returns the connection to the
// pool, any other one closes it, which makes the target stop working on the request.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed tells that the end of the body is marked by its length or by chunks, and not by the end of the connection.
	Framed bool
	// First tells that it is the first response on its connection, so that it cannot belong to an earlier request.
	First bool
}

// Abort closes Body and its connection, also after the body was read to its end.
func (r *Response) Abort() {
	if b, ok := r.Body.(*responseBody); ok {
		b.ended = false
	}
	_ = r.Body.Close()
}

// Client keeps connections to targets. It is safe for concurrent use.
type Client struct {
	dial httpcall.DialFunc

	mu     sync.Mutex // guards the fields below; a leaf
	idle   map[string][]*conn
	pooled int // number of connections in idle
	dialed int64
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	head    *headLimit
	address string
	since   time.Time // when it became idle
	used    bool      // a response was read from it
	expires time.Time
}

// abort closes the connection and drops what was not delivered: after a mere close, the operating system would go on sending, and a request behind
// a path that was cut would reach its target seconds after it was cancelled.
func (k *conn) abort() {
	if c, ok := k.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // it fails only for a connection that is closed
	}
	k.Close()
}

// New returns a client that opens connections with dial.
func New(dial httpcall.DialFunc) *Client {
	return &Client{dial: dial, idle: make(map[string][]*conn)}
}

// Dialed returns the number of connections opened so far.
func (c *Client) Dialed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// CloseIdle closes the pooled connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.pooled -= len(list)
	c.mu.Unlock()
	for _, k := range list {
		k.Close()
	}
}

// Close closes all pooled connections.
func (c *Client) Close() {
	c.mu.Lock()
	all := c.idle
	c.idle, c.pooled = make(map[string][]*conn), 0
	c.mu.Unlock()
	for _, list := range all {
		for _, k := range list {
			k.Close()
		}
	}
}

// Do sends the request once and returns the response as soon as its header is there. When ctx ends, the connection is closed, also
// while the body is read. Errors: httpcall.ErrNotSent if no byte was written, with ErrInvalidRequest if none can be; otherwise httpcall.ErrOutcomeUnknown.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	if err := r.validate(); err != nil {
		return nil, httpcall.NotSent(err)
	}
	k, err := c.get(ctx, address, r)
	if err != nil {
		return nil, httpcall.NotSent(err)
	}
	stop := context.AfterFunc(ctx, k.abort)
	response, first, err := exchange(k, r)
	if err != nil {
		stop()
		k.abort()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, httpcall.OutcomeUnknown(err)
	}
	body := &responseBody{client: c, conn: k, stop: stop, response: response}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body, Framed: framed(response), First: first}, nil
}

// get returns a pooled connection that is still open, or a new one.
func (c *Client) get(ctx context.Context, address string, r *Request) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for {
		k := c.take(address)
		if k == nil {
			break
		}
		now := time.Now()
		if now.Before(k.expires) && (r.MaxIdle == 0 || now.Sub(k.since) < r.MaxIdle) && quiet(k.Conn) {
			return k, nil
		}
		k.Close()
	}
	limit := r.ConnectWithin
	if limit <= 0 {
		limit = httpcall.ConnectTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if sized, ok := raw.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = sized.SetReadBuffer(receiveBuffer) // fails only for a closed connection, whose first use fails too
	}
	c.mu.Lock()
	c.dialed++
	c.mu.Unlock()
	head := &headLimit{source: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(head, readBuffer), head: head, address: address}, nil
}

// ErrHeadTooLong means that a target sent more than maxHeadBytes without completing the header of its answer.
var ErrHeadTooLong = eris.New("header of the response is too long")

// errSwitched means that a target left HTTP on a connection, which no request asks for.
var errSwitched = eris.New("target switched protocols")

// headLimit bounds the bytes read while a header is expected.
type headLimit struct {
	source io.Reader
	active bool
	left   int
}

// Read implements io.Reader. It fails with ErrHeadTooLong.
func (h *headLimit) Read(p []byte) (int, error) {
	if !h.active {
		return h.source.Read(p)
	}
	if h.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := h.source.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// expectHead begins the bound on the header of the next response.
func (h *headLimit) expectHead() { h.active, h.left = true, maxHeadBytes }

// headDone ends it: what follows is the body, which its reader bounds.
func (h *headLimit) headDone() { h.active = false }

// take removes the connection used last, which is the least likely to have been closed.
func (c *Client) take(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	c.pooled--
	return k
}

// put pools a connection whose response was read to its end. The connection that was idle for the longest time is closed if there are too many to its
// target or to all.
func (c *Client) put(k *conn, header http.Header) {
	k.since = time.Now()
	k.expires = k.since.Add(keepAlive(header))
	c.mu.Lock()
	c.idle[k.address] = append(c.idle[k.address], k)
	c.pooled++
	var surplus *conn
	switch {
	case len(c.idle[k.address]) > maxIdlePerAddress:
		surplus = c.removeOldest(k.address)
	case c.pooled > maxIdle:
		surplus = c.removeOldest(c.oldestAddress())
	}
	c.mu.Unlock()
	if surplus != nil {
		surplus.Close()
	}
}

// oldestAddress returns the address with the connection that was idle for the longest time. c.mu is held, and there is one.
func (c *Client) oldestAddress() string {
	oldest := ""
	for address, list := range c.idle {
		if len(list) > 0 && (oldest == "" || list[0].since.Before(c.idle[oldest][0].since)) {
			oldest = address
		}
	}
	return oldest
}

// removeOldest removes the connection to an address that was idle for the longest time. c.mu is held, and there is one.
func (c *Client) removeOldest(address string) *conn {
	list := c.idle[address]
	c.idle[address] = list[1:]
	c.pooled--
	return list[0]
}

// keepAlive returns how long an idle connection may be used, from the target's Keep-Alive header.
func keepAlive(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// exchange writes the request and reads the header of its response. It also tells whether that is the first response on the connection.
func exchange(k *conn, r *Request) (*http.Response, bool, error) {
	if err := write(k, r); err != nil {
		return nil, false, fmt.Errorf("write request: %w", err)
	}
	asked := &http.Request{Method: r.Method}
	for range maxForeign + 1 {
		k.head.expectHead()
		response, err := readFinal(k.reader, asked)
		k.head.headDone()
		if err != nil {
			return nil, false, fmt.Errorf("read response: %w", err)
		}
		first := !k.used
		k.used = true
		if r.Mine == nil || r.Mine(response.Header) {
			return response, first, nil
		}
		if !framed(response) || response.Close {
			return nil, false, ErrForeignResponse
		}
		if n, err := io.CopyN(io.Discard, response.Body, maxForeignBytes); err != io.EOF {
			return nil, false, fmt.Errorf("%w: skipped %d bytes: %w", ErrForeignResponse, n, err)
		}
	}
	return nil, false, ErrForeignResponse
}

// readFinal reads response headers until one is not informational.
func readFinal(reader *bufio.Reader, asked *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, asked)
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode >= http.StatusOK:
			return response, nil
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitched
		}
	}
}

func framed(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0 && response.TransferEncoding[len(response.TransferEncoding)-1] == "chunked"
	return response.ContentLength >= 0 || chunked
}

// maxJoinedBody is the size in bytes up to which a body is copied, so that it is written together with its header.
const maxJoinedBody = 16 << 10

// write writes the whole request.
func write(w io.Writer, r *Request) error {
	head := encodeHead(r)
	if len(r.Body) <= maxJoinedBody {
		_, err := w.Write(append(head, r.Body...))
		return err
	}
	if _, err := w.Write(head); err != nil {
		return err
	}
	_, err := w.Write(r.Body)
	return err
}

// encodeHead returns the request without its body as it goes over the connection.
func encodeHead(r *Request) []byte {
	buffer := make([]byte, 0, 512+min(len(r.Body), maxJoinedBody))
	buffer = append(buffer, r.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, r.URI...)
	buffer = append(buffer, " HTTP/1.1\r\nHost: "...)
	buffer = append(buffer, r.Host...)
	buffer = append(buffer, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			buffer = append(buffer, name...)
			buffer = append(buffer, ": "...)
			buffer = append(buffer, value...)
			buffer = append(buffer, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(r.Body)), 10)
		buffer = append(buffer, "\r\n"...)
	}
	return append(buffer, "\r\n"...)
}

// responseBody returns its connection to the pool once it was read to the end.
type responseBody struct {
	client   *Client
	conn     *conn
	stop     func() bool // ends the watch on the request's context
	response *http.Response
	ended    bool
	closed   bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	alive := b.stop()
	if alive && b.ended && !b.response.Close && framed(b.response) && b.conn.reader.Buffered() == 0 {
		b.client.put(b.conn, b.response.Header)
		return nil
	}
	if b.ended {
		return b.conn.Close()
	}
	b.conn.abort()
	return nil
}
