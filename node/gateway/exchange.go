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
	// heartbeat is the longest pause between two datagrams to a near peer, see reach.
	heartbeat = 250 * time.Millisecond
	// farHeartbeat is the pause between two datagrams to a far peer, whose bytes are paid for.
	farHeartbeat = 2 * time.Second
	// missedHeartbeats is the number of heartbeats after which a silent peer is suspected, so that some lost datagrams in a row do no harm.
	missedHeartbeats = 4
	// sendPause is the least time between two datagrams that tell of a change, for each peer. With it an instance sends at most about 400
	// such datagrams a second, whatever the size of the fleet.
	sendPause = 2500 * time.Microsecond
	// largeFleetPause is the least time between two rounds in a fleet with a working set, where few requests go to the targets of others.
	largeFleetPause = 50 * time.Millisecond
	// farRound is the pause between two rounds to far peers, and maxFarRound bounds the datagrams of one, and of a round to peers that were near:
	// a round to hundreds of peers at once would keep changes from the near ones.
	farRound    = 100 * time.Millisecond
	maxFarRound = 64
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
	Beat     int64            `json:"b,omitempty"` // milliseconds until the sender sends the receiver the next one at the latest
	SyncState
	Member  json.RawMessage           `json:"m,omitempty"` // the sender's membership record, in one datagram of a few
	Counts  map[fleet.TargetID][3]int `json:"c,omitempty"` // online, firm and yieldable requests at each target
	Waiting map[string]int64          `json:"w,omitempty"` // tokens of unfinished batch items by route
	Jobs    []string                  `json:"j,omitempty"` // jobs that the sender has owned for a few seconds at most
	Silent  []fleet.InstanceID        `json:"s,omitempty"` // listed instances that the sender has not heard lately, in a fleet with a working set
}

// send tells the peers of each change, and of no change once in a heartbeat.
func (p *Peers) send(ctx context.Context) {
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	var arranged time.Time
	for {
		changed := false
		select {
		case <-p.dirty:
			changed = true
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if now := time.Now(); now.Sub(arranged) >= arrangePeriod {
			arranged = now
			p.findSilent()
			p.arrange()
		}
		told := p.sendOnce(changed)
		pause, next := time.Duration(max(told, 1))*sendPause, heartbeat
		if p.large() {
			pause, next = max(pause, largeFleetPause), farRound
		}
		timer.Reset(next)
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// sendOnce sends a datagram to each peer that is due one, and returns the number of those that are told of changes at once.
func (p *Peers) sendOnce(changed bool) int {
	own := p.board.Own()
	message := datagram{From: p.self.ID, Process: p.self.Incarnation, Counts: encodeCounts(own)}
	message.Waiting, message.Jobs = p.waiting()
	message.SyncState = p.state()
	now := time.Now()
	p.mu.Lock()
	p.setActive(len(own) > 0, now)
	p.sequence++
	message.Sequence, message.Draining, message.Silent = p.sequence, p.draining, p.silentPeers(now)
	near, parting, far := p.audience(changed, now)
	introduce := now.Sub(p.told) >= introducePeriod
	if introduce {
		p.told = now
	}
	p.mu.Unlock()
	p.sendTo(message, heartbeat, introduce, near)
	p.sendTo(message, farHeartbeat, introduce, parting)
	p.sendTo(message, farHeartbeat, true, far)
	return len(near)
}

// sendTo sends one datagram to each address, with the membership record if the receivers are to learn it.
func (p *Peers) sendTo(message datagram, beat time.Duration, introduce bool, addresses []netip.AddrPort) {
	if len(addresses) == 0 {
		return
	}
	message.Beat = beat.Milliseconds()
	if introduce {
		record, err := membership.EncodeRecord(p.Self())
		if err != nil {
			klog.ErrorS(err, "Membership record could not be encoded")
		}
		message.Member = record
	}
	raw, err := json.Marshal(message)
	if err != nil {
		klog.ErrorS(err, "Datagram to peers could not be encoded")
		return
	}
	for _, address := range addresses {
		// A datagram that is lost is made good by the next one; a peer that cannot be reached falls silent.
		_, _ = p.conn.WriteTo(raw, net.UDPAddrFromAddrPort(address))
	}
}

// introducePeriod is how often a datagram to near peers holds the membership record, for those that cannot read it in the store.
const introducePeriod = time.Second

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

// clampBeat bounds what a datagram says of the next one.
func clampBeat(ms int64) int64 {
	return min(max(ms, heartbeat.Milliseconds()), farHeartbeat.Milliseconds())
}

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
	if active := len(message.Counts) > 0; active != state.active {
		state.active = active
		state.setReach(p.reachOf(message.From), time.Now())
	}
	state.beat, state.reports = time.Duration(clampBeat(message.Beat))*time.Millisecond, message.Silent
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

// findSilent reports peers that fell silent. They stay suspected until they are heard again: once one has left the working set, it would not be
// missed as soon.
func (p *Peers) findSilent() {
	var lost []fleet.Member
	served := false // callers are sent to one of them
	now := time.Now()
	p.mu.Lock()
	for id, state := range p.peers {
		if state.silent || state.reach == reachNone || now.Sub(state.since()) < state.silentAfter() {
			continue
		}
		state.silent = true
		served = served || p.set != nil && p.set[id]
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
	if served {
		p.Announce() // those that stand by, and answer callers that ask where to connect, miss it later
	}
}
