package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/control/membership"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// heartbeat is the longest pause between two datagrams to a near peer.
	heartbeat = 250 * time.Millisecond
	// farHeartbeat is the pause between two datagrams to a far peer, whose bytes are paid for.
	farHeartbeat = time.Second
	// maxNear is the largest fleet in which all peers are near. In a larger one, those of the own failure domain are.
	maxNear = 12
	// missedHeartbeats is the number of heartbeats after which a silent peer is suspected, so that some lost datagrams in a row do no harm.
	missedHeartbeats = 4
	// sendPause is the least time between two datagrams to all peers, for each peer. With it an instance sends at most about 400
	// datagrams a second, whatever the size of the fleet.
	sendPause = 2500 * time.Microsecond
	// maxDatagram bounds a datagram that is read.
	maxDatagram = 32 << 10
	// recordRetry is the longest pause between two attempts to write the membership record.
	recordRetry = time.Second
	// registerPeriod is how often the membership record is checked; a restarted store is then registered with soon.
	registerPeriod = membership.RegisterPeriod
)

// SyncState is what an instance tells its peers of its copies of the store's keys.
type SyncState struct {
	Lost     bool        `json:"l,omitempty"` // the store is out of the sender's reach
	Version  int64       `json:"v,omitempty"` // of the sender's routing table
	Targets  uint64      `json:"t,omitempty"` // digest of the sender's list of targets
	Revision kv.Revision `json:"r,omitempty"` // of the store as of that list
}

// datagram is what instances tell each other after each change.
type datagram struct {
	From     fleet.InstanceID `json:"i"`
	Process  uint64           `json:"p"` // incarnation of the process; a higher one replaces a lower one
	Sequence uint64           `json:"n"` // rises with each datagram of a process
	Draining bool             `json:"d,omitempty"`
	SyncState
	Member  json.RawMessage           `json:"m,omitempty"` // the sender's membership record, in one datagram of a few
	Counts  map[fleet.TargetID][3]int `json:"c,omitempty"` // online, firm and yieldable requests at each target
	Waiting map[string]int64          `json:"w,omitempty"` // tokens of unfinished batch items by route
	Jobs    []string                  `json:"j,omitempty"` // jobs that the sender has owned for a few seconds at most
}

// send tells the peers of each change, and of no change once in a heartbeat.
func (p *Peers) send(ctx context.Context) {
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	for {
		select {
		case <-p.dirty:
		case <-timer.C:
			p.findSilent()
		case <-ctx.Done():
			return
		}
		count := p.sendOnce()
		timer.Reset(heartbeat)
		if !wait.For(ctx, time.Duration(max(count, 1))*sendPause) {
			return
		}
	}
}

// sendOnce sends one datagram to each peer and returns their number.
func (p *Peers) sendOnce() int {
	own, domains := p.board.Own()
	message := datagram{From: p.self.ID, Process: p.self.Incarnation, Counts: encodeCounts(own)}
	message.Waiting, message.Jobs = p.waiting()
	message.SyncState = p.state()
	p.introduce(&message)
	p.mu.Lock()
	p.sequence++
	message.Sequence, message.Draining = p.sequence, p.draining
	addresses := p.audience(domains, time.Now())
	p.mu.Unlock()
	raw, err := json.Marshal(message)
	if err != nil {
		klog.ErrorS(err, "Datagram to peers could not be encoded")
		return 0
	}
	for _, address := range addresses {
		// A datagram that is lost is made good by the next one; a peer that cannot be reached falls silent.
		_, _ = p.conn.WriteTo(raw, net.UDPAddrFromAddrPort(address))
	}
	return len(addresses)
}

// audience returns the near peers, those near the targets that this instance uses or used until now, and all from time to time; p.mu is
// held.
func (p *Peers) audience(domains map[fleet.FailureDomain]bool, now time.Time) []netip.AddrPort {
	used := p.used
	p.used = domains
	all := now.Sub(p.toldFar) >= farHeartbeat
	if all {
		p.toldFar = now
	}
	addresses := make([]netip.AddrPort, 0, len(p.peers))
	for _, state := range p.peers {
		domain := state.member.FailureDomain
		if all || state.near || used[domain] || domains[domain] {
			addresses = append(addresses, state.address)
		}
	}
	return addresses
}

// introducePeriod is how often a datagram holds the membership record, for peers that cannot read it in the store.
const introducePeriod = time.Second

// introduce adds the membership record to a datagram from time to time.
func (p *Peers) introduce(message *datagram) {
	now := time.Now()
	p.mu.Lock()
	due := now.Sub(p.told) >= introducePeriod || now.Sub(p.toldFar) >= farHeartbeat
	if due {
		p.told = now
	}
	p.mu.Unlock()
	if !due {
		return
	}
	record, err := membership.EncodeRecord(p.Self())
	if err != nil {
		klog.ErrorS(err, "Membership record could not be encoded")
		return
	}
	message.Member = record
}

func encodeCounts(counts map[fleet.TargetID]slots.Count) map[fleet.TargetID][3]int {
	encoded := make(map[fleet.TargetID][3]int, len(counts))
	for id, c := range counts {
		encoded[id] = [3]int{c.Online, c.Firm, c.Yieldable}
	}
	return encoded
}

// receive takes datagrams until the connection is closed.
func (p *Peers) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFrom(buffer)
		if err != nil {
			if n == 0 && errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var message datagram
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			klog.ErrorS(err, "Datagram of a peer skipped", "bytes", n)
			continue
		}
		p.take(&message)
	}
}

func (p *Peers) take(message *datagram) {
	counts := make(map[fleet.TargetID]slots.Count, len(message.Counts))
	for id, c := range message.Counts {
		counts[id] = slots.Count{Online: clamp(c[0]), Firm: clamp(c[1]), Yieldable: clamp(c[2])}
	}
	if len(message.Member) > 0 {
		if member, err := membership.DecodeRecord(message.Member); err == nil && member.ID == message.From {
			p.know(member, false)
		}
	}
	if !p.accept(message) {
		return
	}
	p.board.Heard(message.From, counts)
	if len(message.Jobs) > 0 {
		p.onJobs(message.From, message.Jobs)
	}
}

func clamp(n int) int { return min(max(n, 0), math.MaxInt16) }

// accept records a datagram of a known peer. It returns false for one that is older than what is known.
func (p *Peers) accept(message *datagram) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.peers[message.From]
	if !ok || message.Process < state.process || message.Process == state.process && message.Sequence <= state.sequence {
		return false
	}
	state.process, state.sequence = message.Process, message.Sequence
	state.heard, state.waiting = time.Now(), message.Waiting
	state.state = message.SyncState
	if state.silent {
		klog.InfoS("Peer is heard again", "instance", message.From, "process", message.Process)
		state.silent = false
		p.onMembers()
	}
	if message.Draining && message.Process == state.member.Incarnation {
		state.member.State = fleet.MemberDraining
	}
	return true
}

// findSilent reports peers that fell silent.
func (p *Peers) findSilent() {
	var lost []fleet.Member
	now := time.Now()
	p.mu.Lock()
	for id, state := range p.peers {
		if state.heard.IsZero() || state.silent || now.Sub(state.heard) < state.silentAfter() {
			continue
		}
		state.silent = true
		lost = append(lost, state.member)
		if !state.listed {
			delete(p.peers, id)
		}
	}
	p.mu.Unlock()
	for _, m := range lost {
		klog.InfoS("Peer fell silent", "instance", m.ID, "incarnation", m.Incarnation)
		p.board.Forget(m.ID)
		p.onMembers()
	}
}
