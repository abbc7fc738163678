package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassproxy.example/core/intake"
)

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	guard   *Guard
	clients *intake.Listener
}

// receiveBuffer is the size in bytes of the receive buffer of a connection in the operating system, which would otherwise grow to megabytes.
const receiveBuffer = 64 << 10

// A new connection for which there is no room is tried again while those that gave way are being closed.
const (
	acceptTries = 10
	acceptPause = 5 * time.Millisecond
)

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		for range acceptTries {
			if c, ok := l.add(raw); ok {
				return c, nil
			}
			time.Sleep(acceptPause)
		}
		raw.Close()
		l.guard.count("refused", reasonConnections)
		l.guard.log.Info("Connection refused, the listener has too many", "listener", l.Addr().String(), "client", raw.RemoteAddr().String())
	}
}

// add adds a new connection. It returns false if there are too many.
func (l *listener) add(raw net.Conn) (*conn, bool) {
	g := l.guard
	g.mu.Lock()
	client, victim, ok := l.clients.Accept(time.Now(), time.Time{})
	if !ok {
		g.mu.Unlock()
		return nil, false
	}
	c := &conn{Conn: raw, guard: g, client: client}
	client.Conn = c
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	if victim != nil {
		victim.Conn.(*conn).evict(reasonConnections)
	}
	if sized, ok := raw.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = sized.SetReadBuffer(receiveBuffer) // fails only for a closed connection, whose first use fails too
	}
	return c, true
}

// conn is a connection of a client. net/http reads from it, and handlers through its request's body.
type conn struct {
	net.Conn
	guard   *Guard
	client  *intake.Client // guarded by guard.mu
	header  int            // bytes that arrived of a header that is not complete; guarded by guard.mu
	inBody  bool           // the header is complete; guarded by guard.mu
	refused bool           // there was no memory for the header; guarded by guard.mu
	writing atomic.Int64   // when the present write began, in nanoseconds of Unix time; 0 without one

	mu     sync.Mutex // guards reason and the order of calls of SetReadDeadline
	reason reason     // why it gave way; empty if it did not
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func withConn(ctx context.Context, raw net.Conn) context.Context {
	if c := connOf(raw); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connOf returns the connection below TLS, or nil if the guard does not count it.
func connOf(raw net.Conn) *conn {
	if secure, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = secure.NetConn()
	}
	c, _ := raw.(*conn)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.guard.reserve(c, c.arrived(n)) && !c.refuseLater() {
		return 0, os.ErrDeadlineExceeded // net/http closes the connection
	}
	return n, err
}

// refuseLater makes begin refuse the request for whose header there is no memory, so that a request that has been read whole gets an answer. It returns
// false if the header goes on after the first usualHeader bytes, or after a part that found no memory before.
func (c *conn) refuseLater() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.refused || c.header > usualHeader {
		return false
	}
	c.refused = true
	return true
}

// arrived counts n bytes that were read. It returns the memory that they take up as a part of a header, in bytes.
func (c *conn) arrived(n int) (cost int64) {
	now := time.Now()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.client.Phase() == intake.Idle {
		c.client.Begin(now, time.Time{})
		c.header, c.inBody, c.refused = 0, false, false
	}
	if c.client.Phase() != intake.Receiving {
		return 0
	}
	c.client.Received(n, now)
	if c.inBody {
		return 0
	}
	before := headerCost(c.header)
	c.header += n
	return headerCost(c.header) - before
}

const (
	// headerCopies is how much memory a header takes up for each byte, at most, while it is read: short fields have a place in a map that grows by
	// doubling. usualHeader is the size in bytes up to which a header counts with usualCopies, so that what is read at first never counts as large.
	headerCopies = 16
	usualHeader  = 4 << 10
	usualCopies  = intake.SmallRequest / usualHeader
	// fieldBytes is the memory of a field in a header that was read, beside its text.
	fieldBytes = 96
)

// headerCost returns the memory for n bytes of a header.
func headerCost(n int) int64 {
	usual := min(n, usualHeader)
	return usualCopies*int64(usual) + headerCopies*int64(n-usual)
}

// headerSize returns the memory of a header that was read.
func headerSize(r *http.Request) int64 {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		size += len(name) + fieldBytes
		for _, value := range values {
			size += len(value) + 16
		}
	}
	return int64(size)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	defer c.writing.Store(0)
	written := 0
	for {
		piece := p[written:min(written+writeBytes, len(p))]
		c.writing.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(piece)
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn. The deadline of a connection that gave way stays.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite closes the side of the connection on which responses are sent, so that the client can read the last one.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.client.Close()
	delete(g.conns, c)
	g.memoryReturned()
	return err
}

// aLongTimeAgo is a deadline that has passed.
var aLongTimeAgo = time.Unix(1, 0)

// evict makes all reads of a connection that gave way fail. A handler that reads its request's body refuses the request; otherwise, net/http closes the
// connection.
func (c *conn) evict(why reason) {
	c.mu.Lock()
	c.reason = why
	_ = c.Conn.SetReadDeadline(aLongTimeAgo) // fails only for a closed connection
	c.mu.Unlock()
	c.guard.count("closed", why)
	c.guard.log.Info("Connection of a client gives way", "client", c.RemoteAddr().String(), "reason", why)
}

// evicted returns why the connection gave way, or "" if it did not.
func (c *conn) evicted() reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason
}

// abandon makes the writes of a connection fail whose client does not read.
func (c *conn) abandon() {
	_ = c.Conn.SetWriteDeadline(aLongTimeAgo) // fails only for a closed connection
	c.guard.count("closed", reasonUnread)
	c.guard.log.Info("Connection of a client is closed, it does not read the response", "client", c.RemoteAddr().String(), "limit_ms", writeTimeout.Milliseconds())
}

// begin is called when a request's header has arrived. It makes the request's body count. It returns false if there is no memory for the request.
func (c *conn) begin(r *http.Request) bool {
	now := time.Now()
	c.guard.mu.Lock()
	c.inBody = true
	refused := c.refused
	c.client.Release()
	c.guard.memoryReturned()
	if r.Body == nil || r.Body == http.NoBody {
		c.client.Complete(now)
	} else {
		c.client.Advance(now, now.Add(bodyTimeout))
		r.Body = &body{ReadCloser: r.Body, conn: c}
	}
	c.guard.mu.Unlock()
	return !refused && c.guard.reserve(c, headerSize(r))
}

// setDeadline sets the time by which the request must be complete; zero means none.
func (c *conn) setDeadline(deadline time.Time) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.client.SetDeadline(deadline)
}

// giveBack returns n bytes that were reserved.
func (c *conn) giveBack(n int64) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.client.Return(n)
	c.guard.memoryReturned()
}

// complete is called at the end of the request's body. It returns false if the connection gave way before: its reads fail, so that net/http cancels the
// context of the request once it watches the connection, and the request must not run.
func (c *conn) complete() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.client.Leaving() {
		return false
	}
	if c.client.Phase() == intake.Receiving {
		c.client.Complete(time.Now())
	}
	return true
}

// end is called when the handler has returned. net/http may still read what is left of the body.
func (c *conn) end() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.client.Release()
	if c.client.Phase() == intake.Receiving {
		c.client.SetDeadline(time.Now().Add(lingerTimeout))
	}
	g.memoryReturned()
}

// rest is called when the connection waits for the next request.
func (c *conn) rest() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.client.Rest(time.Now(), time.Time{})
}

// isTimeout reports whether a read failed because its deadline has passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
