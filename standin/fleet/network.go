package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/standin/memnet"
)

// Network gives addresses to the parts of a fleet and connects them.
type Network interface {
	// Address reserves an address for a part in a failure domain.
	Address(part string, domain fleet.FailureDomain) (string, error)
	// Listen opens a reserved address.
	Listen(network, address string) (net.Listener, error)
	// Dial returns the dial function of a part.
	Dial(part string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// Loopback is the operating system's loopback network with free ports.
type Loopback struct {
	mu       sync.Mutex
	reserved map[string]net.Listener
}

// NewLoopback returns a loopback network.
func NewLoopback() *Loopback {
	return &Loopback{reserved: make(map[string]net.Listener)}
}

// Address implements Network. The port is opened at once, so that nobody else takes it.
func (n *Loopback) Address(string, fleet.FailureDomain) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	address := l.Addr().String()
	n.reserved[address] = l
	return address, nil
}

// Release closes a reserved address, so that another process can open it.
func (n *Loopback) Release(address string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.reserved[address]
	if !ok {
		return nil
	}
	delete(n.reserved, address)
	return l.Close()
}

// Listen implements Network.
func (n *Loopback) Listen(network, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.reserved[address]; ok {
		delete(n.reserved, address)
		return l, nil
	}
	return net.Listen(network, address)
}

// Dial implements Network.
func (*Loopback) Dial(string) func(context.Context, string, string) (net.Conn, error) {
	return new(net.Dialer).DialContext
}

// Virtual is an in-memory network with the deployment's latencies, for virtual time.
type Virtual struct {
	*memnet.Network
	deployment Deployment

	mu    sync.Mutex // guards the fields below
	parts map[string]place
	next  int
}

// place is where a part stands and the addresses that it listens on.
type place struct {
	domain    fleet.FailureDomain
	addresses []string
}

// NewVirtual returns an in-memory network for the deployment.
func NewVirtual(d Deployment) *Virtual {
	return &Virtual{Network: memnet.New(), deployment: d, parts: make(map[string]place)}
}

// Address implements Network. It sets the latencies between the new address and all parts.
func (n *Virtual) Address(part string, domain fleet.FailureDomain) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	address := fmt.Sprintf("10.0.%d.%d:80", n.next/250, n.next%250+1)
	here := n.parts[part]
	here.domain = domain
	here.addresses = append(here.addresses, address)
	n.parts[part] = here
	for other, there := range n.parts {
		oneWay := n.deployment.OneWay(there.domain, domain)
		n.Delay(other, address, oneWay)
		n.Delay(address, other, oneWay)
		for _, a := range there.addresses {
			n.Delay(part, a, oneWay)
			n.Delay(a, part, oneWay)
		}
	}
	return address, nil
}

// Place registers a part that only dials, such as a caller.
func (n *Virtual) Place(part string, domain fleet.FailureDomain) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parts[part] = place{domain: domain}
	for _, there := range n.parts {
		oneWay := n.deployment.OneWay(there.domain, domain)
		for _, a := range there.addresses {
			n.Delay(part, a, oneWay)
			n.Delay(a, part, oneWay)
		}
	}
}

// Listen implements Network.
func (n *Virtual) Listen(_, address string) (net.Listener, error) {
	return n.Network.Listen(address)
}

// Dial implements Network.
func (n *Virtual) Dial(part string) func(context.Context, string, string) (net.Conn, error) {
	return n.DialContext(part)
}

// Names returns the names by which the network knows a part, for Partition.
func (n *Virtual) Names(part string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string{part}, n.parts[part].addresses...)
}
