package memnet

import (
	"net"
	"os"
	"sync"
	"time"
)

// packetQueue bounds the datagrams that wait at a receiver; further ones are lost, like at a full socket buffer.
const packetQueue = 256

// packet is a datagram on its way.
type packet struct {
	from addr
	data []byte
}

// packetConn is an unconnected datagram socket.
type packetConn struct {
	network *Network
	address addr
	queue   chan packet
	once    sync.Once
	closed  chan struct{}
}

var _ net.PacketConn = (*packetConn)(nil)

// ListenPacket opens a datagram socket at the address. Datagrams to addresses where nobody listens, across a partition, and from or to a
// crashed address are lost.
func (n *Network) ListenPacket(address string) (net.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.packets[address]; taken || n.closed {
		return nil, net.ErrClosed
	}
	c := &packetConn{network: n, address: addr(address), queue: make(chan packet, packetQueue), closed: make(chan struct{})}
	n.packets[address] = c
	return c, nil
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.queue:
		return copy(b, p.data), p.from, nil
	case <-c.closed:
		return 0, nil, &net.OpError{Op: "read", Net: network, Addr: c.address, Err: net.ErrClosed}
	}
}

// WriteTo implements net.PacketConn.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-c.closed:
		return 0, &net.OpError{Op: "write", Net: network, Addr: c.address, Err: net.ErrClosed}
	default:
	}
	p := packet{from: c.address, data: append([]byte(nil), b...)}
	delay := c.network.delay(string(c.address), to.String())
	if delay <= 0 {
		// Without a timer: the race detector's runtime (Go 1.26) crashed in timers that were due at once inside a synctest bubble.
		c.network.deliver(p, to.String())
		return len(b), nil
	}
	time.AfterFunc(delay, func() { c.network.deliver(p, to.String()) })
	return len(b), nil
}

// deliver hands a datagram to its receiver, or loses it.
func (n *Network) deliver(p packet, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	receiver, ok := n.packets[to]
	if !ok || n.closed || n.crashed[to] || n.crashed[string(p.from)] || n.separated(string(p.from), to) {
		return
	}
	select {
	case receiver.queue <- p:
	default:
	}
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	c.once.Do(func() {
		c.network.mu.Lock()
		delete(c.network.packets, string(c.address))
		c.network.mu.Unlock()
		close(c.closed)
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return c.address }

// SetDeadline implements net.PacketConn; datagram sockets of the project set none.
func (c *packetConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.PacketConn.
func (c *packetConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.PacketConn.
func (c *packetConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
