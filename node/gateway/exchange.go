package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/control/membership"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// heartbeatInterval is the maximum interval between two datagrams to a near peer (see contact).
	heartbeatInterval = 250 * time.Millisecond
	// farHeartbeatInterval is the interval between two datagrams to a far peer (see contact). It is long because traffic to far peers is paid for.
	farHeartbeatInterval = 2 * time.Second
	// missedHeartbeats is the number of heartbeats after which a peer is suspected if none of its datagrams arrived. A few lost datagrams in a
	// row do not suffice.
	missedHeartbeats = 4
	// sendPausePerPeer is the pause after a round of datagrams for each near peer in the round. It limits an instance to about 400 datagrams about
	// changes a second, regardless of the size of the fleet.
	sendPausePerPeer = 2500 * time.Microsecond
	// minLargeFleetPause is the minimum pause between two rounds in a fleet with a working set. Longer pauses do little harm there, since few
	// requests go to targets that are assigned to other instances.
	minLargeFleetPause = 50 * time.Millisecond
	// farRoundInterval is the minimum interval between two rounds to far peers. maxFarRoundPeers is the maximum number of datagrams in such a
	// round, and in a round to peers that have just stopped being near: a round to hundreds of peers at once would delay changes for the near
	// ones.
	farRoundInterval = 100 * time.Millisecond
	maxFarRoundPeers = 64
	// maxDatagramBytes is the size in bytes of the receive buffer; longer datagrams are cut off and fail to decode.
	maxDatagramBytes = 32 << 10
	// maxRecordRetryDelay is the maximum delay between two attempts to write the membership record.
	maxRecordRetryDelay = time.Second
	// registerInterval is the interval at which the membership record is checked, so that the instance soon registers again if the store has lost
	// it in a restart.
	registerInterval = membership.RegisterInterval
)

// SyncState describes an instance's copies of the store's keys to its peers. It is part of each datagram.
type SyncState struct {
	StoreLost bool   `json:"l,omitempty"` // the store is unreachable for the sender
	Version   int64  `json:"v,omitempty"` // of the sender's routing table
	Targets   uint64 `json:"t,omitempty"` // of the sender's list of targets, see TargetDigests.Placement
	// Registrations is that of TargetDigests; earlier builds do not send it.
	Registrations uint64      `json:"g,omitempty"`
	Revision      kv.Revision `json:"r,omitempty"` // revision of the store that the list corresponds to
	Watches       bool        `json:"f,omitempty"` // the sender watches the store
}

// datagram is the message that an instance sends to its peers after each change of its own state, and as a heartbeat.
type datagram struct {
	From         fleet.InstanceID `json:"i"`
	Process      uint64           `json:"p"` // incarnation of the process; a higher one replaces a lower one
	Sequence     uint64           `json:"n"` // increases with each datagram of a process
	Draining     bool             `json:"d,omitempty"`
	NextWithinMs int64            `json:"b,omitempty"` // maximum time in milliseconds until the sender's next datagram to the receiver
	SyncState
	Member     json.RawMessage           `json:"m,omitempty"` // the sender's membership record; only some datagrams have it
	Counts     map[fleet.TargetID][3]int `json:"c,omitempty"` // online, firm and yieldable requests at each target
	Unfinished map[string]int64          `json:"w,omitempty"` // tokens of unfinished batch items by itemjob.LimitKey
	Jobs       []string                  `json:"j,omitempty"` // jobs that the sender took ownership of in the last few seconds
	Silent     []fleet.InstanceID        `json:"s,omitempty"` // listed instances whose datagrams stopped arriving, in a fleet with a working set
	// Parts says which parts a datagram has, see partCounts; 0 means all. Earlier builds do not know it, and get datagrams with all parts.
	Parts     int        `json:"q,omitempty"`
	Compact   []byte     `json:"k,omitempty"` // the counts in the form of encodeCompact, instead of Counts
	Format    int        `json:"e,omitempty"` // newest format that the sender understands, see formatCompact
	Announced *announced `json:"x,omitempty"` // makes the datagram an announcement, see Peers.Announce
}

// Parts of a datagram. A receiver keeps what it knows of the parts that a datagram does not have.
const (
	partCounts = 1 << iota // Counts or Compact
	partState              // SyncState, Unfinished, Jobs and Silent
)

// has reports whether the datagram has a part.
func (d *datagram) has(part int) bool { return d.Parts == 0 || d.Parts&part != 0 }

// recipient is a peer that gets a datagram.
type recipient struct {
	address   netip.AddrPort
	parts     int
	heartbeat time.Duration // maximum time until it gets the next one
	record    bool          // the datagram has the membership record
	compact   bool          // it understands parts and compact counts
}

// sendLoop sends datagrams to the peers after each change and at each heartbeat, and updates the working set, until ctx ends.
func (p *Peers) sendLoop(ctx context.Context) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	var updated time.Time
	for {
		changed := false
		select {
		case <-p.sendRequested:
			changed = true
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if now := time.Now(); now.Sub(updated) >= workingSetInterval {
			updated = now
			p.suspectSilentPeers()
			p.updateWorkingSet()
		}
		sent := p.sendOnce(changed)
		pause, next := time.Duration(max(sent, 1))*sendPausePerPeer, heartbeatInterval
		switch {
		case p.isGrouped():
			pause, next = groupRoundPause, groupRoundInterval
		case p.hasWorkingSet():
			pause, next = max(pause, minLargeFleetPause), farRoundInterval
		}
		timer.Reset(next)
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// sendOnce sends one round: a datagram to each peer that is due one. It returns the number of near peers in the round.
func (p *Peers) sendOnce(changed bool) int {
	own := p.board.OwnCounts()
	message := datagram{From: p.self.ID, Process: p.self.Incarnation, Format: formatCompact}
	message.Unfinished, message.Jobs = p.unfinishedWork()
	message.SyncState = p.syncState()
	now := time.Now()
	p.mu.Lock()
	p.setActive(len(own) > 0, now)
	p.sequence++
	message.Sequence, message.Draining, message.Silent = p.sequence, p.draining, p.silentPeers(now)
	if p.grouping != nil {
		p.noteOwnState(message.SyncState)
		recipients := p.groupRecipients(changed, now)
		p.stateChanged = false
		p.mu.Unlock()
		p.sendTo(message, own, recipients)
		return len(recipients)
	}
	near, downgraded, far := p.recipients(changed, now)
	withRecord := now.Sub(p.recordSent) >= recordSendInterval
	if withRecord {
		p.recordSent = now
	}
	p.mu.Unlock()
	p.sendTo(message, own, recipientsOf(near, heartbeatInterval, withRecord))
	p.sendTo(message, own, recipientsOf(downgraded, farHeartbeatInterval, withRecord))
	p.sendTo(message, own, recipientsOf(far, farHeartbeatInterval, true))
	return len(near)
}

// recipientsOf returns recipients that get datagrams with all parts.
func recipientsOf(addresses []netip.AddrPort, heartbeat time.Duration, record bool) []recipient {
	recipients := make([]recipient, len(addresses))
	for i, address := range addresses {
		recipients[i] = recipient{address: address, parts: partCounts | partState, heartbeat: heartbeat, record: record}
	}
	return recipients
}

// sendTo sends each recipient the parts of the message that it gets, with counts if these are among them. Failures are logged or ignored.
func (p *Peers) sendTo(message datagram, counts map[fleet.TargetID]slots.Count, recipients []recipient) {
	encoded := make(map[recipient][]byte) // by recipient without the address
	for _, r := range recipients {
		kind := r
		kind.address = netip.AddrPort{}
		raw, ok := encoded[kind]
		if !ok {
			raw = p.encode(message, counts, kind)
			encoded[kind] = raw
		}
		if raw == nil {
			continue
		}
		// Errors are ignored: the next datagram replaces a lost one, and peers suspect an instance whose datagrams do not arrive.
		_, _ = p.conn.WriteTo(raw, net.UDPAddrFromAddrPort(r.address))
		p.traffic.sent(len(raw), message.Announced != nil, r.parts)
	}
}

// encode returns the datagram with what a recipient gets of a message and of the counts, or nil if it cannot be encoded.
func (p *Peers) encode(message datagram, counts map[fleet.TargetID]slots.Count, r recipient) []byte {
	message.NextWithinMs = r.heartbeat.Milliseconds()
	if r.compact {
		message.Parts = r.parts
	}
	switch {
	case !message.has(partCounts):
	case r.compact:
		message.Compact = encodeCompact(counts)
	default:
		message.Counts = encodeCounts(counts)
	}
	if !message.has(partState) {
		message.SyncState, message.Unfinished, message.Jobs, message.Silent = SyncState{}, nil, nil, nil
	}
	if r.heartbeat > heartbeatInterval && r.compact {
		message.Jobs = nil // they would be too old in the next datagram
	}
	if r.record {
		record, err := membership.EncodeRecord(p.Self())
		if err != nil {
			klog.ErrorS(err, "Failed to encode the membership record")
		}
		message.Member = record
	}
	raw, err := json.Marshal(message)
	if err != nil {
		klog.ErrorS(err, "Failed to encode a datagram to peers")
		return nil
	}
	return raw
}

// recordSendInterval is the interval at which datagrams to near peers include the membership record, for peers that cannot read it in the store.
const recordSendInterval = time.Second

// encodeCounts converts counts to the form that datagrams have them in.
func encodeCounts(counts map[fleet.TargetID]slots.Count) map[fleet.TargetID][3]int {
	encoded := make(map[fleet.TargetID][3]int, len(counts))
	for id, c := range counts {
		encoded[id] = [3]int{c.Online, c.Firm, c.Yieldable}
	}
	return encoded
}

// malformedLogInterval is the minimum interval between two log lines about malformed datagrams.
const malformedLogInterval = 10 * time.Second

// receiveLoop handles datagrams until the connection is closed.
func (p *Peers) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	malformed, logAfter := 0, time.Time{}
	for {
		n, _, err := p.conn.ReadFrom(buffer)
		if err != nil {
			if n == 0 && errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if slices.ContainsFunc(p.handlers, func(handles func([]byte) bool) bool { return handles(buffer[:n]) }) {
			continue
		}
		var message datagram
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			malformed++
			if now := time.Now(); now.After(logAfter) {
				klog.ErrorS(err, "Malformed datagram from a peer skipped", "bytes", n, "so_far", malformed)
				logAfter = now.Add(malformedLogInterval)
			}
			continue
		}
		p.traffic.received(n)
		p.handleDatagram(&message)
	}
}

// handleDatagram applies a decoded datagram.
func (p *Peers) handleDatagram(message *datagram) {
	counts := make(map[fleet.TargetID]slots.Count, len(message.Counts))
	for id, c := range message.Counts {
		counts[id] = slots.Count{Online: clampCount(c[0]), Firm: clampCount(c[1]), Yieldable: clampCount(c[2])}
	}
	decodeCompact(message.Compact, p.board.targetByHash, counts)
	if len(message.Member) > 0 {
		if member, err := membership.DecodeRecord(message.Member); err == nil && member.ID == message.From {
			p.updateMember(member, false)
		}
	}
	accepted, near, news := p.accept(message)
	if !accepted {
		return
	}
	switch {
	case message.has(partCounts):
		p.board.SetPeerCounts(message.From, counts)
	case !near:
		p.board.RemovePeer(message.From) // it no longer tells its counts
	}
	if news {
		wait.Wake(p.announceRequested)
		p.onAnnounced()
	}
	if len(message.Jobs) > 0 {
		p.onJobs(message.From, message.Jobs)
	}
}

// clampCount bounds a count in a datagram, which may come from a faulty or unknown sender.
func clampCount(n int) int { return min(max(n, 0), math.MaxInt16) }

// maxReportedTokens bounds the tokens of a route in a datagram, so that sums over all peers do not overflow.
const maxReportedTokens = 1 << 50

// clampTokens bounds the numbers of tokens in a datagram.
func clampTokens(tokens map[string]int64) map[string]int64 {
	for route, n := range tokens {
		tokens[route] = min(max(n, 0), maxReportedTokens)
	}
	return tokens
}

// clampHeartbeatMs bounds the time in milliseconds until the next datagram, as announced in a datagram.
func clampHeartbeatMs(ms int64) int64 {
	return min(max(ms, heartbeatInterval.Milliseconds()), maxFarInterval.Milliseconds())
}

// accept records the state in a datagram. accepted is false, and nothing is recorded, if the sender is not a known peer or if a datagram that is as
// new or newer has already been accepted. near says that the sender is a near peer, and news that the datagram announces something new.
func (p *Peers) accept(message *datagram) (accepted, near, news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.peers[message.From]
	if !ok || message.Process < state.process || message.Process == state.process && message.Sequence <= state.sequence {
		return false, false, false
	}
	if message.Process > state.process && !state.lost {
		p.keepWork(message.From, state, time.Now())
	}
	state.process, state.sequence = message.Process, message.Sequence
	state.lastReceived, state.format = time.Now(), message.Format
	if active := len(message.Counts)+len(message.Compact) > 0; message.has(partCounts) && active != state.active {
		state.active = active
		state.setContact(p.contactWith(message.From), time.Now())
	}
	state.heartbeat = time.Duration(clampHeartbeatMs(message.NextWithinMs)) * time.Millisecond
	if message.has(partState) {
		state.unfinished, state.reportedSilent, state.syncState = clampTokens(message.Unfinished), message.Silent, message.SyncState
		news = p.noteAnnounced(message, state.member.FailureDomain)
	}
	state.domainSilent, state.lostByReports = false, false
	if state.lost {
		klog.InfoS("Peer is heard again", "instance", message.From, "process", message.Process)
		state.lost = false
		p.dropWork(message.From, message.Process)
		p.onMembers()
	}
	if message.Draining && message.Process == state.member.Incarnation {
		state.member.State = fleet.MemberDraining
	}
	return true, state.contact == contactNear, news
}

// unlistedPeerTTL is how long a peer is kept after its latest datagram if none are expected from it and it has no membership record here. It leaves
// time to read a new copy of the records, and ends before others stop reporting the peer as silent.
const unlistedPeerTTL = removedRecordTTL

// suspectSilentPeers marks the peers whose datagrams have stopped arriving, and drops their counts. They stay suspected until the next datagram
// arrives: a suspected peer leaves the working set and is then expected to send less often, so that its silence alone would not keep it
// suspected.
func (p *Peers) suspectSilentPeers() {
	type loss struct {
		fleet.Member
		cause string
		since time.Time
	}
	var lost []loss
	served := false // callers are sent to one of them, as it is in the working set
	now := time.Now()
	p.mu.Lock()
	p.updateSilentDomains(now)
	for id, state := range p.peers {
		if state.contact == contactNone && !state.listed && now.Sub(state.silentSince()) > unlistedPeerTTL {
			klog.InfoS("Peer without a membership record is dropped", "instance", id, "incarnation", state.member.Incarnation)
			delete(p.peers, id)
			continue
		}
		if state.lost || state.contact == contactNone {
			continue
		}
		if now.Sub(state.silentSince()) < state.silenceTimeout() && !state.domainSilent {
			// Far peers are heard rarely: reports of others decide before their datagrams are overdue here.
			if p.grouping == nil || !state.isSuspected(now) {
				continue
			}
			state.lostByReports = true
		}
		state.lost = true
		p.keepWork(id, state, now)
		serving := p.workingSet != nil && p.workingSet[id]
		if p.grouping == nil {
			served = served || serving
		} else if serving && state.contact == contactNear && p.mustReportLoss(id) {
			p.pushToFar()
		}
		lost = append(lost, loss{state.member, state.lossCause(), state.silentSince()})
		if !state.listed {
			p.forget(id, now)
		}
	}
	p.mu.Unlock()
	for _, m := range lost {
		klog.InfoS("Peer fell silent", "instance", m.ID, "incarnation", m.Incarnation, "cause", m.cause, "silent_ms", now.Sub(m.since).Milliseconds())
		p.board.RemovePeer(m.ID)
		p.onMembers()
	}
	if served {
		p.SendToAll() // instances on standby also tell callers where to connect, but notice the loss later
	}
}
