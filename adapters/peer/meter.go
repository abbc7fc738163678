package peer

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Meter counts the bytes that the peers' connections carry, HTTP headers included and TCP/IP headers not. A node may spend
// 3 KB/s on control traffic. All methods are safe for concurrent use.
type Meter struct {
	sent, received               atomic.Int64
	sentCounter, receivedCounter tally.Counter
}

// NewMeter returns a meter that reports the counters peer_sent_bytes and peer_received_bytes to scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{
		sentCounter:     scope.Counter("peer_sent_bytes"),
		receivedCounter: scope.Counter("peer_received_bytes"),
	}
}

// Bytes returns the bytes sent and received since the start.
func (m *Meter) Bytes() (sent, received int64) {
	return m.sent.Load(), m.received.Load()
}

// Listen wraps a listener so that the bytes of its connections are counted.
func (m *Meter) Listen(l net.Listener) net.Listener {
	return &meteredListener{Listener: l, meter: m}
}

func (m *Meter) dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m}, nil
	}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(int64(n))
	c.meter.receivedCounter.Inc(int64(n))
	return n, err
}

// Write counts before it writes, so that bytes which have arrived are always counted. A write that fails midway counts in full.
func (c *meteredConn) Write(b []byte) (int, error) {
	c.meter.sent.Add(int64(len(b)))
	c.meter.sentCounter.Inc(int64(len(b)))
	return c.Conn.Write(b)
}
