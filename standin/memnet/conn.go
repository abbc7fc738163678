package memnet

import (
	"io"
	"net"
	"sync"
	"time"
)

// addr is the address of one end; it implements net.Addr.
type addr string

func (a addr) Network() string { return network }
func (a addr) String() string  { return string(a) }

// listener hands out the server ends of dialled connections.
type listener struct {
	network *Network
	address addr
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[string(l.address)] == l {
			delete(l.network.listeners, string(l.address))
		}
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }

// pair is one connection: two ends over one half for each direction.
type pair struct {
	from, to       string
	client, server *conn
}

func newPair(n *Network, from, to string) *pair {
	up, down := newHalf(n, from, to), newHalf(n, to, from)
	p := &pair{from: from, to: to}
	p.client = &conn{network: n, pair: p, local: addr(from), remote: addr(to), in: down, out: up}
	p.server = &conn{network: n, pair: p, local: addr(to), remote: addr(from), in: up, out: down}
	return p
}

func (p *pair) halves() [2]*half { return [2]*half{p.client.in, p.client.out} }

func (p *pair) reset() {
	for _, h := range p.halves() {
		h.update(func() { h.reset = true })
	}
}

func (p *pair) silence() {
	for _, h := range p.halves() {
		h.update(func() { h.silent = true })
	}
}

func (p *pair) hold(held bool) {
	for _, h := range p.halves() {
		h.update(func() { h.held = held })
	}
}

// conn is one end of a connection.
type conn struct {
	network       *Network
	pair          *pair
	local, remote addr
	in, out       *half
}

var _ net.Conn = (*conn)(nil)

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.in.read(b)
	return n, c.wrap("read", err)
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.out.write(b)
	return n, c.wrap("write", err)
}

// Close ends both directions. The other end reads what was written and then io.EOF; its writes fail.
func (c *conn) Close() error {
	c.out.closeWrite()
	c.in.closeRead()
	c.network.forget(c.pair)
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// wrap adds the operation and the addresses to an error, as the net package does. io.EOF stays as it is.
func (c *conn) wrap(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: op, Net: network, Source: c.local, Addr: c.remote, Err: err}
}
