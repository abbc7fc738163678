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

// Peers tracks the other instances of the fleet, by their membership records in the store and by the datagrams in which instances send each
// other their request counts at each target. It is safe for concurrent use.
type Peers struct {
	self              fleet.Member
	topology          fleet.Topology
	board             *Board
	conn              net.PacketConn
	sendRequested     chan struct{} // triggers a round of datagrams
	announceRequested chan struct{} // triggers an announcement along the tree
	recordChanged     chan struct{} // triggers a write of the membership record
	unfinishedWork    func() (tokens map[string]int64, newJobs []string)
	onJobs            func(owner fleet.InstanceID, jobs []string)
	onMembers         func()
	onAnnounced       func()
	traffic           traffic
	syncState         func() SyncState
	handlers          []func(raw []byte) bool // of datagrams with other contents than the load; each reports whether it took the datagram
	registry          *membership.Registrar
	records           *kvmirror.Mirror

	mu                    sync.Mutex // guards the fields below; no other lock is taken while it is held
	draining              bool
	sequence              uint64
	recordSent            time.Time // when a datagram with the membership record was last sent to near peers
	farSent               time.Time // when datagrams were last sent to far peers
	peers                 map[fleet.InstanceID]*peerState
	active                bool                                     // this instance has requests at targets
	removedRecords        map[fleet.InstanceID]time.Time           // when lost instances without a membership record were dropped
	formerDomains         map[fleet.InstanceID]fleet.FailureDomain // of the instances in removedRecords
	leftWork              []leftWork                               // of processes that were lost or replaced
	workingSet            map[fleet.InstanceID]bool                // the working set; nil if all instances serve callers
	workingSetSlots       int                                      // number of target slots that the working set is chosen for
	workingSetSlotsAt     time.Time                                // when there last were that many
	chosenBy              choiceInputs                             // what workingSet was chosen by, at chosenAt
	chosenAt              time.Time
	grouping              *grouping        // nil if the working set is not divided into groups; the fields below are used with groups only
	farIntervals          [2]time.Duration // of heartbeats to far peers, see farClass
	newest                announced        // the newest state that is known to exist
	newestAt              time.Time        // when it was learned
	newestFromOtherRegion bool             // newest was learned from another region
	stateChanged          bool             // this instance's SyncState has changed since the latest round
	ownState              SyncState        // in the latest round
}

// peerState is the state of a peer, and of the exchange of datagrams with it. A peer is overdue when no datagram has arrived from it for
// silenceTimeout, and lost once that was noticed, logged and passed to the board. It is reported as silent if several others name it in their
// datagrams, which only members of the working set do; see silentPeers. It is suspected if it is overdue or lost here, or
// reported as silent, as isSuspected specifies.
type peerState struct {
	contact        contact
	heartbeat      time.Duration      // maximum time until its next datagram, as announced in its latest
	lastSent       time.Time          // when the latest datagram was sent to it
	downgrades     int                // number of datagrams that it is due because it has stopped being near, see updateContacts
	reportedSilent []fleet.InstanceID // instances that its latest datagram reports as silent
	active         bool               // it had requests at targets according to its latest datagram
	reportedAt     time.Time          // when several others last reported it as silent
	member         fleet.Member
	listed         bool // its record is in the store
	address        netip.AddrPort
	process        uint64    // of the latest datagram
	sequence       uint64    // of the latest datagram
	expectedSince  time.Time // when the instance or its process became known, or when its datagrams became due more often
	lastReceived   time.Time // when its latest datagram arrived
	lost           bool      // it was noticed and logged as silent; cleared by its next datagram or a new process
	syncState      SyncState
	unfinished     map[string]int64 // tokens of its unfinished batch items by route

	format        int           // newest format that it understands, by its latest datagram
	grouping      *grouping     // by which group was determined
	group         int           // index of its group
	farInterval   time.Duration // interval at which this instance expects its datagrams while it is far, unless it announces a longer one
	farDue        time.Time     // when the next heartbeat to it is due while it is far
	farSent       int           // number of heartbeats sent to it as a far peer
	pushed        bool          // it is due a datagram before its heartbeat
	statesSent    int           // number of datagrams with the state sent to it as a near peer
	stateSent     time.Time     // when a datagram with all parts was last sent to it as a near peer
	domainSilent  bool          // no instance of its failure domain was heard for long, see updateSilentDomains
	lostByReports bool          // it counts as lost because others report it
}

// silenceTimeout returns the time without a datagram after which the peer is suspected. A peer that has just become far may not know it yet and
// still announce the shorter interval, hence the interval of far peers is used for it in any case.
func (s *peerState) silenceTimeout() time.Duration {
	interval := s.heartbeat
	if s.contact == contactFar {
		interval = max(interval, s.farInterval, farHeartbeatInterval)
	}
	return missedHeartbeats*interval + interval/2
}

// receivedRecently reports whether a datagram of the peer arrived within silenceTimeout.
func (s *peerState) receivedRecently(now time.Time) bool {
	return now.Sub(s.lastReceived) <= s.silenceTimeout()
}

// NewPeers returns the Peers of the instance self, which sends and receives datagrams on conn. Run closes conn.
func NewPeers(self fleet.Member, topology fleet.Topology, store kv.Store, board *Board, conn net.PacketConn) *Peers {
	p := &Peers{
		self:              self,
		topology:          topology,
		board:             board,
		conn:              conn,
		sendRequested:     make(chan struct{}, 1),
		announceRequested: make(chan struct{}, 1),
		onAnnounced:       func() {},
		farIntervals:      [2]time.Duration{farHeartbeatInterval, farHeartbeatInterval},
		recordChanged:     make(chan struct{}, 1),
		unfinishedWork:    func() (map[string]int64, []string) { return nil, nil },
		onJobs:            func(fleet.InstanceID, []string) {},
		onMembers:         func() {},
		syncState:         func() SyncState { return SyncState{} },
		peers:             make(map[fleet.InstanceID]*peerState),
		removedRecords:    make(map[fleet.InstanceID]time.Time),
		formerDomains:     make(map[fleet.InstanceID]fleet.FailureDomain),
	}
	p.registry = membership.NewRegistrar(p, store)
	p.registry.MaxBackoff = maxRecordRetryDelay
	p.records = kvmirror.New(store, membership.MembersPrefix, p.applyRecords)
	p.records.AllowStaleFirstListing()
	board.OnChange(p.SendChanges)
	return p
}

// SetWorkSource sets the function that returns the tokens of this instance's unfinished batch items by route, and the jobs that it took ownership
// of in the last few seconds. Call it before Run.
func (p *Peers) SetWorkSource(unfinishedWork func() (tokens map[string]int64, newJobs []string)) {
	p.unfinishedWork = unfinishedWork
}

// OnJobs sets the callback that gets the jobs a peer has taken ownership of lately. It must not block. Call OnJobs before Run.
func (p *Peers) OnJobs(callback func(owner fleet.InstanceID, jobs []string)) { p.onJobs = callback }

// SendToAll makes a datagram due for each near and far peer, also if its next heartbeat is not due yet, and triggers a round. Far peers get theirs
// in rounds of maxFarRoundPeers. With groups, only the near peers get one, with all parts; see Announce for what all have to know.
func (p *Peers) SendToAll() {
	p.mu.Lock()
	p.stateChanged = true
	for _, s := range p.peers {
		if p.grouping == nil || s.contact == contactNear {
			s.lastSent = time.Time{}
		}
	}
	p.mu.Unlock()
	p.SendChanges()
}

// OnMembers sets the callback that runs when the datagrams of a peer stop or arrive again, when its record is removed, and when a new process
// replaces it. It must not block. Call OnMembers before Run.
func (p *Peers) OnMembers(changed func()) { p.onMembers = changed }

// SetStateSource sets the function that returns the SyncState for this instance's datagrams. Call it before Run.
func (p *Peers) SetStateSource(state func() SyncState) { p.syncState = state }

// handleDatagrams adds a handler of datagrams, which reports whether a datagram is its own. Call it before Run.
func (p *Peers) handleDatagrams(handler func(raw []byte) bool) {
	p.handlers = append(p.handlers, handler)
}

// Records returns the mirror of the membership records.
func (p *Peers) Records() *kvmirror.Mirror { return p.records }

// SendChanges triggers a datagram to the peers that get each change at once.
func (p *Peers) SendChanges() {
	wait.Wake(p.sendRequested)
}

// Self implements membership.RecordSource.
func (p *Peers) Self() fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownMember()
}

// ownMember returns this instance's member entry with its present state; p.mu is held.
func (p *Peers) ownMember() fleet.Member {
	self := p.self
	if p.draining {
		self.State = fleet.MemberDraining
	}
	return self
}

// Drain marks this instance as draining, so that it gets no new callers, and announces that to the peers and in its membership record.
func (p *Peers) Drain() {
	p.mu.Lock()
	p.draining = true
	if p.grouping != nil {
		p.pushToFar()
	}
	p.mu.Unlock()
	p.SendToAll()
	wait.Wake(p.recordChanged)
}

// closeTimeout bounds the store call that removes the membership record. If the call fails, the record stays until its lease expires.
const closeTimeout = 150 * time.Millisecond

// Run maintains this instance's membership record and exchanges datagrams with the peers until ctx ends. It then removes the record.
func (p *Peers) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { p.records.Run(ctx) })
	group.Go(func() { p.keepRegistered(ctx) })
	group.Go(func() { p.sendLoop(ctx) })
	group.Go(func() { p.announceLoop(ctx) })
	group.Go(p.receiveLoop)
	<-ctx.Done()
	p.conn.Close()
	group.Wait()
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := p.registry.Close(closing); err != nil {
		klog.ErrorS(err, "Failed to remove the membership record; it stays until its lease expires")
	}
}

// keepRegistered writes the membership record, and checks it at intervals, until ctx ends.
func (p *Peers) keepRegistered(ctx context.Context) {
	for {
		period := registerInterval
		if !p.register(ctx) {
			period = maxRecordRetryDelay
		}
		select {
		case <-time.After(period):
		case <-p.recordChanged:
		case <-ctx.Done():
			return
		}
	}
}

// register writes the membership record if it is missing or out of date, and reports whether it is in the store. The registrar is not safe for
// concurrent use, so that only one goroutine may call it.
func (p *Peers) register(ctx context.Context) bool {
	err := p.registry.Reconcile(ctx)
	if err != nil && ctx.Err() == nil {
		klog.ErrorS(err, "Failed to write the membership record")
	}
	return err == nil
}

// applyRecords applies a change of the membership records in the store.
func (p *Peers) applyRecords(change kvmirror.Change) {
	for _, item := range change.Put {
		member, err := membership.DecodeRecordOf(item.Key, item.Value)
		if err != nil {
			klog.ErrorS(err, "Membership record skipped", "key", item.Key)
			continue
		}
		p.updateMember(member, true)
	}
	for _, key := range change.Removed {
		p.recordRemoved(fleet.InstanceID(key[len(membership.MembersPrefix):]))
	}
}

// updateMember adds or updates a peer by its membership record. listed means that the record comes from the store rather than from a datagram.
func (p *Peers) updateMember(m fleet.Member, listed bool) {
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
		state = &peerState{expectedSince: time.Now(), heartbeat: heartbeatInterval, member: m}
		p.peers[m.ID] = state
		state.setContact(p.contactWith(m.ID), time.Now())
		p.scheduleFar(state)
		p.recordSent = time.Time{} // if the peer does not know this instance, it sends nothing until it has the record, and seems lost
	}
	replaced := known && state.isReplacedBy(m.Incarnation, time.Now())
	if replaced && m.Incarnation < state.member.Incarnation {
		state.process, state.sequence = 0, 0 // accept its datagrams
	}
	if !known || replaced || m.Incarnation == state.member.Incarnation {
		state.member, state.address = m, address
	}
	if replaced {
		state.expectedSince, state.lost = time.Now(), false
	}
	delete(p.removedRecords, m.ID)
	delete(p.formerDomains, m.ID)
	state.listed = state.listed || listed
	p.mu.Unlock()
	if !known || replaced {
		klog.InfoS("Peer is known", "instance", m.ID, "incarnation", m.Incarnation, "address", m.PeerAddress, "draining", m.State == fleet.MemberDraining)
		p.SendChanges()
	}
	if replaced {
		p.onMembers()
	}
}

// isReplacedBy reports whether the process with an incarnation, which a record names, replaces the known process of the peer: it has a higher one, or
// a lower one while the datagrams of the known process have stopped. The clock of the machine may have been ahead when that one started.
func (s *peerState) isReplacedBy(incarnation uint64, now time.Time) bool {
	return incarnation > s.member.Incarnation || incarnation < s.member.Incarnation && s.isOverdue(now)
}

// recordRemoved handles the removal of a membership record. A peer whose datagrams still arrive is kept: its lease may have expired without the
// peer being lost.
func (p *Peers) recordRemoved(id fleet.InstanceID) {
	p.mu.Lock()
	state, known := p.peers[id]
	if known {
		state.listed = false
		if now := time.Now(); state.lost || !state.receivedRecently(now) {
			p.forget(id, now)
		}
	}
	p.mu.Unlock()
	if known {
		klog.InfoS("Peer's record is gone", "instance", id)
		p.board.RemovePeer(id)
		p.onMembers()
	}
}

// forget drops a lost peer that has no membership record. It is still reported as silent for removedRecordTTL; p.mu is held.
func (p *Peers) forget(id fleet.InstanceID, now time.Time) {
	p.formerDomains[id] = p.peers[id].member.FailureDomain
	delete(p.peers, id)
	p.removedRecords[id] = now
}
