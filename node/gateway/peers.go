package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/control/membership"
	"eelgrassproxy.example/node/internal/wait"
	"eelgrassproxy.example/node/kvmirror"
)

// Peers knows the other instances: from their records in the store, and from the datagrams by which all tell each other how many
// requests they hold at each target. It is safe for concurrent use.
type Peers struct {
	self          fleet.Member
	topology      fleet.Topology
	board         *Board
	conn          net.PacketConn
	dirty         chan struct{}
	recordChanged chan struct{} // asks for the record to be written
	waiting       func() (tokens map[string]int64, newJobs []string)
	onJobs        func(owner fleet.InstanceID, jobs []string)
	onMembers     func()
	state         func() SyncState
	registry      *membership.Registrar
	records       *kvmirror.Mirror

	mu       sync.Mutex // guards the fields below; a leaf
	draining bool
	sequence uint64
	told     time.Time // when the membership record was last sent to near peers
	toldFar  time.Time // when far peers were last sent to
	peers    map[fleet.InstanceID]*peerState
	active   bool                           // this instance holds requests
	gone     map[fleet.InstanceID]time.Time // instances whose records are gone, since when
	set      map[fleet.InstanceID]bool      // the working set; nil while all instances serve
	slots    int                            // that the working set is chosen for
	slotsAt  time.Time                      // when there were that many
}

// peerState is what is known of a peer.
type peerState struct {
	reach    reach
	beat     time.Duration      // until its next datagram at the latest, as it said last
	sent     time.Time          // when it was last sent a datagram
	parting  bool               // it is due a last datagram as a near peer, see updateReach
	reports  []fleet.InstanceID // those that it has not heard lately
	active   bool               // it holds requests
	reported time.Time          // when several others last told that they had not heard it lately
	member   fleet.Member
	listed   bool // its record is in the store
	address  netip.AddrPort
	process  uint64 // of the last datagram
	sequence uint64
	known    time.Time // when the instance or its process became known, or was first expected to be heard as often as now
	heard    time.Time
	silent   bool // reported as lost since it was heard
	state    SyncState
	waiting  map[string]int64
}

// silentAfter is the silence after which a peer is suspected. A far peer may not know yet that it is one.
func (s *peerState) silentAfter() time.Duration {
	beat := s.beat
	if s.reach == reachFar {
		beat = farHeartbeat
	}
	return missedHeartbeats*beat + beat/2
}

// heardLately tells whether a datagram of the peer came within silentAfter.
func (s *peerState) heardLately(now time.Time) bool { return now.Sub(s.heard) <= s.silentAfter() }

// NewPeers returns the peers of self, which listens for datagrams on conn.
func NewPeers(self fleet.Member, topology fleet.Topology, store kv.Store, board *Board, conn net.PacketConn) *Peers {
	p := &Peers{
		self:          self,
		topology:      topology,
		board:         board,
		conn:          conn,
		dirty:         make(chan struct{}, 1),
		recordChanged: make(chan struct{}, 1),
		waiting:       func() (map[string]int64, []string) { return nil, nil },
		onJobs:        func(fleet.InstanceID, []string) {},
		onMembers:     func() {},
		state:         func() SyncState { return SyncState{} },
		peers:         make(map[fleet.InstanceID]*peerState),
		gone:          make(map[fleet.InstanceID]time.Time),
	}
	p.registry = membership.NewRegistrar(p, store)
	p.registry.LastBackoff = recordRetry
	p.records = kvmirror.New(store, membership.MembersPrefix, p.applyRecords)
	p.records.AllowStale()
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
	for _, s := range p.peers {
		s.sent = time.Time{}
	}
	p.mu.Unlock()
	p.Changed()
}

// OnMembers sets what is called when a peer fell silent, was heard again, lost its record or was replaced by a new process. It must not
// block. Call it before Run.
func (p *Peers) OnMembers(changed func()) { p.onMembers = changed }

// OnState sets the source of what peers are told of this instance's reach of the store and of its routing table. Call it before Run.
func (p *Peers) OnState(state func() SyncState) { p.state = state }

// Records returns the mirror of the membership records.
func (p *Peers) Records() *kvmirror.Mirror { return p.records }

// Changed asks for a datagram soon.
func (p *Peers) Changed() {
	wait.Wake(p.dirty)
}

// Self implements membership.RecordSource.
func (p *Peers) Self() fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current()
}

// current returns this instance with its state; p.mu is held.
func (p *Peers) current() fleet.Member {
	self := p.self
	if p.draining {
		self.State = fleet.MemberDraining
	}
	return self
}

// Drain tells all that this instance takes no new callers.
func (p *Peers) Drain() {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.Announce()
	wait.Wake(p.recordChanged)
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
		state = &peerState{known: time.Now(), beat: heartbeat, member: m}
		state.reach = p.reachOf(m.ID)
		p.peers[m.ID] = state
	}
	replaced := known && state.member.Incarnation < m.Incarnation
	if !known || m.Incarnation >= state.member.Incarnation {
		state.member, state.address = m, address
	}
	if replaced {
		state.known, state.silent = time.Now(), false
	}
	delete(p.gone, m.ID)
	state.listed = state.listed || listed
	p.mu.Unlock()
	if !known || replaced {
		klog.InfoS("Peer is known", "instance", m.ID, "incarnation", m.Incarnation, "address", m.PeerAddress, "draining", m.State == fleet.MemberDraining)
		p.Changed()
	}
	if replaced {
		p.onMembers()
	}
}

// unlisted handles a record that is gone. A peer that is still heard stays: the store may have lost its lease, not the peer.
func (p *Peers) unlisted(id fleet.InstanceID) {
	p.mu.Lock()
	state, known := p.peers[id]
	if known {
		state.listed = false
		if now := time.Now(); state.silent || !state.heardLately(now) {
			delete(p.peers, id)
			p.gone[id] = now
		}
	}
	p.mu.Unlock()
	if known {
		klog.InfoS("Peer's record is gone", "instance", id)
		p.board.Forget(id)
		p.onMembers()
	}
}
