// Package memnet is an in-memory network with injectable faults. Its connections block only on channels, conditions and timers,
// so that net/http servers and clients over them run on the virtual time of testing/synctest.
package memnet

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// network is the name that addresses of this package report as their network.
const network = "mem"

// acceptBacklog is the number of dialled connections that wait for Accept at one listener.
const acceptBacklog = 256

// Network connects named addresses. All methods are safe for concurrent use.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	conns      map[*pair]struct{}
	refused    map[string]bool
	crashed    map[string]bool
	delays     map[route]time.Duration
	dials      map[string]int // connections opened, by the address dialled
	packets    map[string]*packetConn
	partitions []partition
	closed     bool
	changed    chan struct{} // closed and replaced when partitions change
}

// route is one direction between two addresses.
type route struct{ from, to string }

// partition separates two groups of addresses.
type partition struct{ a, b []string }

// New returns a network without listeners and faults.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		conns:     map[*pair]struct{}{},
		refused:   map[string]bool{},
		crashed:   map[string]bool{},
		delays:    map[route]time.Duration{},
		dials:     map[string]int{},
		packets:   map[string]*packetConn{},
		changed:   make(chan struct{}),
	}
}

// Listen announces the address. It fails with EADDRINUSE while another listener holds the address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: addr(address), queue: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext returns a dial function for the host named from, in the form that http.Transport takes. The address dialled must
// have a listener; a partition makes the dial wait until ctx ends or the partition heals.
func (n *Network) DialContext(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		c, err := n.dial(ctx, from, to)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Source: addr(from), Addr: addr(to), Err: err}
		}
		return c, nil
	}
}

func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	if err := n.awaitRoute(ctx, from, to); err != nil {
		return nil, err
	}
	l, err := n.listenerAt(to)
	if err != nil {
		return nil, err
	}
	p := n.connect(from, to)
	if p == nil {
		return nil, syscall.ECONNREFUSED
	}
	select {
	case l.queue <- p.server:
		return p.client, nil
	case <-l.closed:
		n.forget(p)
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		n.forget(p)
		return nil, ctx.Err()
	}
}

// connect creates a connection and records it, so that faults reach it. It returns nil on a closed network and for a crashed
// end.
func (n *Network) connect(from, to string) *pair {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.crashed[from] || n.crashed[to] {
		return nil
	}
	p := newPair(n, from, to)
	p.hold(n.separated(from, to))
	n.conns[p] = struct{}{}
	n.dials[to]++
	return p
}

// awaitRoute waits out partitions and then one round trip between the two addresses.
func (n *Network) awaitRoute(ctx context.Context, from, to string) error {
	for {
		n.mu.Lock()
		separated, changed := n.separated(from, to), n.changed
		roundTrip := n.delays[route{from, to}] + n.delays[route{to, from}]
		n.mu.Unlock()
		if !separated {
			return sleep(ctx, roundTrip)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Network) listenerAt(address string) (*listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil || n.refused[address] {
		return nil, syscall.ECONNREFUSED
	}
	return l, nil
}

// Dials returns the number of connections that were opened to the address.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

func (n *Network) delay(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delays[route{from, to}]
}

func (n *Network) separated(x, y string) bool {
	return slices.ContainsFunc(n.partitions, func(p partition) bool {
		return slices.Contains(p.a, x) && slices.Contains(p.b, y) || slices.Contains(p.b, x) && slices.Contains(p.a, y)
	})
}

func (n *Network) forget(p *pair) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, p)
}

// at returns the open connections that have one end at the address.
func (n *Network) at(address string) []*pair {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*pair
	for p := range n.conns {
		if p.from == address || p.to == address {
			found = append(found, p)
		}
	}
	return found
}
