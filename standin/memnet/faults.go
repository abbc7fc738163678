package memnet

import (
	"maps"
	"slices"
	"time"
)

// Refuse makes new connections to the address fail with ECONNREFUSED until Restore.
func (n *Network) Refuse(address string) { n.setRefused(address, true) }

// Restore ends Refuse.
func (n *Network) Restore(address string) { n.setRefused(address, false) }

func (n *Network) setRefused(address string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[address] = refused
}

// Cut resets the existing connections from and to the address: reads and writes at both ends fail with ECONNRESET.
func (n *Network) Cut(address string) {
	for _, p := range n.at(address) {
		p.reset()
	}
}

// Close resets every connection and refuses new ones.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	all := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, p := range all {
		p.reset()
	}
}

// Crash resets every connection of the names, which are hosts that dial or addresses that listen, and refuses new ones from and to
// them until Revive: what a killed process leaves behind.
func (n *Network) Crash(names ...string) {
	n.setCrashed(names, true)
	for _, name := range names {
		n.Cut(name)
	}
}

// Revive ends Crash.
func (n *Network) Revive(names ...string) { n.setCrashed(names, false) }

func (n *Network) setCrashed(names []string, crashed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		n.crashed[name] = crashed
	}
}

// Silence makes the existing connections from and to the address stop delivering in both directions for good, without an error
// at either end. New connections work.
func (n *Network) Silence(address string) {
	for _, p := range n.at(address) {
		p.silence()
	}
}

// Delay sets the one-way latency from one address to another for bytes written from now on.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[route{from, to}] = d
}

// Partition separates each address of a from each address of b until Heal: dials between them wait, and existing connections
// hold their bytes back.
func (n *Network) Partition(a, b []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions = append(n.partitions, partition{a: a, b: b})
	n.partitionsChanged()
}

// Heal ends all partitions; bytes held back are delivered.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions = nil
	n.partitionsChanged()
}

func (n *Network) partitionsChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
	for p := range n.conns {
		p.hold(n.separated(p.from, p.to))
	}
}
