package gateway

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/control/membership"
	"eelgrassproxy.example/node/kvmirror"
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

// State is what an instance tells its peers of its copies of the store's keys.
type State struct {
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
	State
	Member  json.RawMessage           `json:"m,omitempty"` // the sender's membership record, in one datagram of a few
	Counts  map[fleet.TargetID][3]int `json:"c,omitempty"` // online, firm and yieldable requests at each target
	Waiting map[string]int64          `json:"w,omitempty"` // tokens of unfinished batch items by route
	Jobs    []string                  `json:"j,omitempty"` // jobs that the sender has owned for a few seconds at most
}

// Peers knows the other instances: from their records in the store, and from the datagrams by which all tell each other how many
// requests they hold at each target. It is safe for concurrent use.
type Peers struct {
	self          fleet.Member
	board         *Board
	conn          net.PacketConn
	dirty         chan struct{}
	recordChanged chan struct{} // asks for the record to be written
	waiting       func() (tokens map[string]int64, newJobs []string)
	onJobs        func(owner fleet.InstanceID, jobs []string)
	onMembers     func()
	state         func() State
	registry      *membership.Registrar
	records       *kvmirror.Mirror

	mu       sync.Mutex // guards the fields below; a leaf
	draining bool
	sequence uint64
	told     time.Time                    // when the membership record was last sent
	toldFar  time.Time                    // when far peers were last sent to
	used     map[fleet.FailureDomain]bool // where this instance held requests as of the last datagram
	peers    map[fleet.InstanceID]*peerState
}

// silentAfter is the silence after which a peer is suspected.
func (s *peerState) silentAfter() time.Duration {
	if s.near {
		return missedHeartbeats*heartbeat + heartbeat/2
	}
	return missedHeartbeats*farHeartbeat + farHeartbeat/2
}

// isSilent tells whether a peer is suspected. One that has just become known has the time to be heard.
func (s *peerState) isSilent(now time.Time) bool {
	since := s.heard
	if s.known.After(since) {
		since = s.known
	}
	return now.Sub(since) > s.silentAfter()
}

type peerState struct {
	near     bool
	member   fleet.Member
	listed   bool // its record is in the store
	address  netip.AddrPort
	process  uint64 // of the last datagram
	sequence uint64
	known    time.Time // when the instance, or its process, became known
	heard    time.Time
	silent   bool // reported as lost since it was heard
	state    State
	waiting  map[string]int64
}

// NewPeers returns the peers of self, which listens for datagrams on conn.
func NewPeers(self fleet.Member, store kv.Store, board *Board, conn net.PacketConn) *Peers {
	p := &Peers{
		self:          self,
		board:         board,
		conn:          conn,
		dirty:         make(chan struct{}, 1),
		recordChanged: make(chan struct{}, 1),
		waiting:       func() (map[string]int64, []string) { return nil, nil },
		onJobs:        func(fleet.InstanceID, []string) {},
		onMembers:     func() {},
		state:         func() State { return State{} },
		peers:         make(map[fleet.InstanceID]*peerState),
	}
	p.registry = membership.NewRegistrar(p, store)
	p.registry.LastBackoff = recordRetry
	p.records = kvmirror.New(store, membership.MembersPrefix, p.applyRecords)
	board.OnChange(p.Changed)
	return p
}

// OnWaiting sets the source of the tokens that wait, and of the jobs that this instance has owned for a short time. Call it before Run.
func (p *Peers) OnWaiting(waiting func() (tokens map[string]int64, newJobs []string)) {
	p.waiting = waiting
}

// OnJobs sets what is told of the jobs that peers own. It must not block. Call it before Run.
func (p *Peers) OnJobs(told func(owner fleet.InstanceID, jobs []string)) { p.onJobs = told }

// Announce asks for a datagram to all peers soon.
func (p *Peers) Announce() {
	p.mu.Lock()
	p.toldFar = time.Time{}
	p.mu.Unlock()
	p.Changed()
}

// OnMembers sets what is called when a peer fell silent, was heard again, lost its record or was replaced by a new process. It must not
// block. Call it before Run.
func (p *Peers) OnMembers(changed func()) { p.onMembers = changed }

// OnState sets the source of what peers are told of this instance's reach of the store and of its routing table. Call it before Run.
func (p *Peers) OnState(state func() State) { p.state = state }

// Records returns the mirror of the membership records.
func (p *Peers) Records() *kvmirror.Mirror { return p.records }

// Changed asks for a datagram soon.
func (p *Peers) Changed() {
	select {
	case p.dirty <- struct{}{}:
	default:
	}
}

// Self implements membership.RecordSource.
func (p *Peers) Self() fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.self
	if p.draining {
		self.State = fleet.MemberDraining
	}
	return self
}

// Loaded implements membership.RecordSource.
func (p *Peers) Loaded(members []fleet.Member) {
	for _, m := range members {
		p.know(m, true)
	}
}

// Drain tells all that this instance takes no new callers.
func (p *Peers) Drain() {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.Changed()
	select {
	case p.recordChanged <- struct{}{}:
	default:
	}
}

// closeTimeout bounds the store call that removes the membership record; without it the record's lease runs out.
const closeTimeout = 150 * time.Millisecond

// Run keeps the record of this instance and the exchange with the others until ctx ends, and then removes the record.
func (p *Peers) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { p.records.Run(ctx) })
	group.Go(func() { p.keepRegistered(ctx) })
	group.Go(func() { p.send(ctx) })
	group.Go(p.receive)
	<-ctx.Done()
	p.conn.Close()
	group.Wait()
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := p.registry.Close(closing); err != nil {
		klog.ErrorS(err, "Membership record was not removed and runs out by itself")
	}
}

func (p *Peers) keepRegistered(ctx context.Context) {
	for {
		period := registerPeriod
		if !p.register(ctx) {
			period = recordRetry
		}
		select {
		case <-time.After(period):
		case <-p.recordChanged:
		case <-ctx.Done():
			return
		}
	}
}

// register is called from one goroutine only, as the registrar asks.
func (p *Peers) register(ctx context.Context) bool {
	err := p.registry.Reconcile(ctx)
	if err != nil && ctx.Err() == nil {
		klog.ErrorS(err, "Membership record was not written")
	}
	return err == nil
}

// applyRecords applies a change of the members' records.
func (p *Peers) applyRecords(change kvmirror.Change) {
	for _, item := range change.Put {
		member, err := membership.DecodeRecord(item.Value)
		if err != nil {
			klog.ErrorS(err, "Membership record skipped", "key", item.Key)
			continue
		}
		p.know(member, true)
	}
	for _, key := range change.Removed {
		p.unlisted(fleet.InstanceID(key[len(membership.MembersPrefix):]))
	}
}

// know takes a peer's record, from the store or from the peer itself.
func (p *Peers) know(m fleet.Member, listed bool) {
	if m.ID == p.self.ID {
		return
	}
	address, err := netip.ParseAddrPort(m.PeerAddress)
	if err != nil {
		klog.ErrorS(err, "Membership record without a peer address skipped", "instance", m.ID)
		return
	}
	p.mu.Lock()
	state, known := p.peers[m.ID]
	if !known {
		state = &peerState{known: time.Now()}
		p.peers[m.ID] = state
	}
	replaced := known && state.member.Incarnation < m.Incarnation
	if !known || m.Incarnation >= state.member.Incarnation {
		state.member, state.address = m, address
	}
	if replaced {
		state.known = time.Now()
	}
	state.listed = state.listed || listed
	allNear := p.arrange()
	p.mu.Unlock()
	p.board.SetStale(!allNear)
	if !known || replaced {
		klog.InfoS("Peer is known", "instance", m.ID, "incarnation", m.Incarnation, "address", m.PeerAddress, "draining", m.State == fleet.MemberDraining)
		p.Changed()
	}
	if replaced {
		p.onMembers()
	}
}

// arrange decides which peers are near and returns whether all are; p.mu is held.
func (p *Peers) arrange() bool {
	all := len(p.peers) < maxNear
	for _, state := range p.peers {
		state.near = all || state.member.FailureDomain == p.self.FailureDomain
	}
	return all
}

// unlisted handles a record that is gone. A peer that is still heard stays: the store may have lost its lease, not the peer.
func (p *Peers) unlisted(id fleet.InstanceID) {
	p.mu.Lock()
	state, known := p.peers[id]
	if known {
		state.listed = false
		if time.Since(state.heard) > state.silentAfter() {
			delete(p.peers, id)
		}
	}
	p.mu.Unlock()
	if known {
		klog.InfoS("Peer's record is gone", "instance", id)
		p.board.Forget(id)
		p.onMembers()
	}
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
		select {
		case <-time.After(time.Duration(max(count, 1)) * sendPause):
		case <-ctx.Done():
			return
		}
	}
}

// sendOnce sends one datagram to each peer and returns their number.
func (p *Peers) sendOnce() int {
	own, domains := p.board.Own()
	message := datagram{From: p.self.ID, Process: p.self.Incarnation, Counts: encodeCounts(own)}
	message.Waiting, message.Jobs = p.waiting()
	message.State = p.state()
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
			if n == 0 && isClosed(err) {
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
	state.state = message.State
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

// Members returns all instances, self included. A peer that was not heard lately is suspected.
func (p *Peers) Members() []fleet.Member {
	members := []fleet.Member{p.Self()}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.peers {
		m := state.member
		if m.State == fleet.MemberAlive && state.isSilent(now) {
			m.State = fleet.MemberSuspect
		}
		members = append(members, m)
	}
	return members
}

// Told is what a peer that was heard lately told of its copies.
type Told struct {
	Member fleet.Member
	State
}

// Told returns what the peers that were heard lately told.
func (p *Peers) Told() []Told {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var told []Told
	for _, state := range p.peers {
		if now.Sub(state.heard) <= state.silentAfter() {
			told = append(told, Told{state.member, state.state})
		}
	}
	return told
}

// Reaching returns the peers that were heard lately, reach the store and do not drain.
func (p *Peers) Reaching() []fleet.Member {
	var members []fleet.Member
	for _, t := range p.Told() {
		if !t.Lost && t.Member.State == fleet.MemberAlive {
			members = append(members, t.Member)
		}
	}
	return members
}

// Waiting returns the tokens of unfinished batch items on a route at all peers, as last heard.
func (p *Peers) Waiting(route string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum int64
	for _, state := range p.peers {
		if !state.silent {
			sum += state.waiting[route]
		}
	}
	return sum
}
