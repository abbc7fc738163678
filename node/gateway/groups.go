package gateway

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/core/rendezvous"
	"eelgrassproxy.example/node/internal/wait"
)

// A working set of more than membership.MaxUngrouped members is divided into groups. Members of a group are near peers of each other; all other
// peers are far. Counts are sent within a group only. A new configuration or a changed list of targets is announced along
// membership.FanOut; heartbeats repair what is lost.
const (
	// groupRoundPause is the minimum pause between two rounds of counts to the group. With 10 members a round costs about 1.2 KB sent and as much
	// received. Counts of targets whose home is another instance are as old as this at most.
	groupRoundPause = 150 * time.Millisecond
	// groupRoundInterval is the interval between two rounds without a change. It is longer than the pause, so that the two timers are not due at the
	// same time.
	groupRoundInterval = groupRoundPause + 10*time.Millisecond
	// groupHeartbeatSlack is how much earlier than due a heartbeat is sent to the group, so that each round is one: heartbeats that waited for the next
	// round were late, and with 5 % of the datagrams lost, sound members were suspected within seconds.
	groupHeartbeatSlack = 110 * time.Millisecond
	// groupStateInterval is the interval at which members of a group send each other everything. Datagrams in between have counts only.
	groupStateInterval = 500 * time.Millisecond
	// maxFarRate is the number of heartbeats a second to the far peers of the own failure domain, and again to all others. In a larger fleet the
	// interval between two heartbeats to the same peer is longer.
	maxFarRate = 20
	// maxFarInterval bounds the interval of heartbeats that an instance announces.
	maxFarInterval = time.Minute
	// firstFarDelay is the time within which a far peer that has become known gets its first datagram.
	firstFarDelay = 2 * time.Second
	// maxGroupFarRound is the maximum number of far peers in a round, of which there are ten a second.
	maxGroupFarRound = 16
	// recordEvery is the number of datagrams to a peer of which one has the membership record, not counting those with counts only.
	recordEvery = 8
	// lossReporters is the number of members of its group that tell all others at once that a member is lost: one more than minReports.
	lossReporters = minReports + 1
	// minDomainSilence is the minimum time without a datagram from any instance of a failure domain after which all its instances are suspected, and
	// domainSilenceFactor the number of datagrams that must be missing. The intervals of the senders are independent: by chance, 15 are missing in
	// one of 3 million cases.
	minDomainSilence    = 4 * time.Second
	domainSilenceFactor = 15
	// minAnnouncePause is the minimum pause between two announcements, which limits an instance to 20 times its children in the tree a second.
	minAnnouncePause = 50 * time.Millisecond
	// maxFarCandidates is the number of instances outside of the own group that a new job is compared with. Their loads are seconds old, so that with
	// all of them as candidates, all instances would choose the same one.
	maxFarCandidates = 4
)

// announced is the newest state that an instance knows to exist, whether or not it has it.
type announced struct {
	Version  int64 `json:"v,omitempty"` // of the routing table
	Revision int64 `json:"r,omitempty"` // of the store, up to which a list of targets with a change was read
}

// grouping is what Peers derives from the groups of the working set. It is replaced when these change.
type grouping struct {
	groups *membership.Groups
	fanOut *membership.FanOut
	own    int // index of this instance's group
}

// newGrouping returns the grouping of a working set, or nil if it has no groups.
func (p *Peers) newGrouping(set []fleet.Member) *grouping {
	groups := membership.Divide(set, p.topology)
	if groups == nil {
		return nil
	}
	return &grouping{groups: groups, fanOut: membership.NewFanOut(groups), own: groups.Of(p.self.ID, p.self.FailureDomain)}
}

// isGrouped reports whether the working set is divided into groups.
func (p *Peers) isGrouped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grouping != nil
}

// inOwnGroup reports whether a peer belongs to this instance's group; p.mu is held and there are groups.
func (p *Peers) inOwnGroup(s *peerState) bool {
	if s.grouping != p.grouping {
		s.grouping, s.group = p.grouping, p.grouping.groups.Of(s.member.ID, s.member.FailureDomain)
	}
	return s.group == p.grouping.own
}

// logGrouping logs a change of this instance's group; p.mu is held.
func (p *Peers) logGrouping(before *grouping) {
	switch {
	case p.grouping == nil && before != nil:
		klog.InfoS("Working set has no groups any more")
	case p.grouping != nil:
		key, members := p.grouping.groups.Key(p.grouping.own), p.grouping.groups.Members[p.grouping.own]
		if before != nil && before.groups.Key(before.own) == key && slices.Equal(before.groups.Members[before.own], members) {
			return
		}
		ids := make([]fleet.InstanceID, len(members))
		for i, m := range members {
			ids[i] = m.ID
		}
		klog.InfoS("Group changed", "group", key, "members", ids, "groups", len(p.grouping.groups.Members),
			"own_domain_heartbeat_ms", p.farIntervals[0].Milliseconds(), "other_heartbeat_ms", p.farIntervals[1].Milliseconds())
	}
}

// updateFarIntervals sets the intervals of heartbeats to far peers by their numbers; p.mu is held.
func (p *Peers) updateFarIntervals() {
	var counts [2]int
	near := 0
	for _, s := range p.peers {
		switch s.contact {
		case contactFar:
			counts[p.farClass(s)]++
		case contactNear:
			near++
		}
	}
	p.traffic.setPeers(near, counts[0]+counts[1])
	p.farIntervals = [2]time.Duration{farHeartbeatInterval, farHeartbeatInterval}
	if p.grouping == nil {
		return
	}
	for i, n := range counts {
		p.farIntervals[i] = min(max(time.Duration(n)*time.Second/maxFarRate, farHeartbeatInterval), maxFarInterval)
	}
	for _, s := range p.peers {
		s.farInterval = p.farInterval(s)
	}
}

// farClass returns the index of the interval of a far peer in farIntervals.
func (p *Peers) farClass(s *peerState) int {
	if s.member.FailureDomain == p.self.FailureDomain {
		return 0
	}
	return 1
}

// farInterval returns the interval of heartbeats to a far peer; p.mu is held.
func (p *Peers) farInterval(s *peerState) time.Duration { return p.farIntervals[p.farClass(s)] }

// groupRecipients returns the peers that are due a datagram, and records that they get one; see recipients. p.mu is held and there are groups.
func (p *Peers) groupRecipients(changed bool, now time.Time) []recipient {
	var due []recipient
	var far []*peerState
	for _, s := range p.peers {
		switch {
		case s.downgrades > 0 && len(due) < maxFarRoundPeers:
			s.downgrades--
			s.lastSent = now
			due = append(due, p.recipientOf(s, partCounts|partState))
		case s.contact == contactNear && (changed || now.Sub(s.lastSent) >= heartbeatInterval-groupHeartbeatSlack):
			s.lastSent = now
			r := p.recipientOf(s, partCounts)
			if now.Sub(s.stateSent) >= groupStateInterval-heartbeatSlack || p.stateChanged {
				s.stateSent = now
				r.parts |= partState
				// A member that started later may be unknown to others, which then send it nothing.
				r.record = s.statesSent%recordEvery == 0 || s.lastReceived.IsZero()
				s.statesSent++
			}
			due = append(due, r)
		case s.contact == contactFar && (s.pushed || !now.Before(s.farDue)):
			far = append(far, s)
		}
	}
	if now.Sub(p.farSent) < farRoundInterval-heartbeatSlack || len(far) == 0 {
		return due
	}
	p.farSent = now
	slices.SortFunc(far, func(a, b *peerState) int {
		return cmp.Or(cmp.Compare(p.farClass(a), p.farClass(b)), a.farDue.Compare(b.farDue))
	})
	for _, s := range far[:min(len(far), maxGroupFarRound)] {
		s.pushed, s.lastSent = false, now
		r := p.recipientOf(s, partState)
		r.record = s.farSent%recordEvery == 0 || s.lastReceived.IsZero()
		due = append(due, r)
		if now.Before(s.farDue) {
			continue
		}
		interval := p.farInterval(s)
		if s.farSent++; s.farSent == 1 {
			interval = rand.N(interval) // instances that started together send at different times from then on
		}
		s.farDue = now.Add(interval)
	}
	return due
}

// recipientOf returns a peer as a recipient of some parts; p.mu is held.
func (p *Peers) recipientOf(s *peerState, parts int) recipient {
	r := recipient{address: s.address, parts: parts, heartbeat: heartbeatInterval, compact: true}
	if s.contact != contactNear {
		r.heartbeat = p.farInterval(s)
	}
	if s.process != 0 && s.format < formatCompact {
		r.parts, r.compact = partCounts|partState, false
	}
	return r
}

// pushToFar makes a datagram due for each far peer, those of the own failure domain first; p.mu is held.
func (p *Peers) pushToFar() {
	for _, s := range p.peers {
		s.pushed = s.contact == contactFar
	}
}

// mustReportLoss reports whether this instance tells all others at once that a member of its group is lost: lossReporters of the group do. p.mu is
// held.
func (p *Peers) mustReportLoss(lost fleet.InstanceID) bool {
	if p.grouping == nil {
		return false
	}
	var others []string
	for _, m := range p.grouping.groups.Members[p.grouping.own] {
		if s, ok := p.peers[m.ID]; m.ID != lost && (m.ID == p.self.ID || ok && !s.lost) {
			others = append(others, string(m.ID))
		}
	}
	return slices.Contains(rendezvous.Rendezvous(string(lost), others, lossReporters), string(p.self.ID))
}

// updateSilentDomains finds the failure domains none of whose instances was heard for so long that all of them must be cut off; p.mu is held. Without
// that, a lost failure domain would be noticed only after several of the long intervals of far peers, since nobody is left to report it.
func (p *Peers) updateSilentDomains(now time.Time) {
	type state struct {
		heard    time.Time
		interval time.Duration
		peers    int
	}
	domains := make(map[fleet.FailureDomain]*state)
	for _, s := range p.peers {
		if p.grouping == nil || s.contact != contactFar || s.member.FailureDomain == p.self.FailureDomain || s.lost && !s.domainSilent {
			s.domainSilent = false
			continue
		}
		d := domains[s.member.FailureDomain]
		if d == nil {
			d = &state{}
			domains[s.member.FailureDomain] = d
		}
		d.peers++
		d.interval = max(d.interval, s.heartbeat)
		if since := s.silentSince(); since.After(d.heard) {
			d.heard = since
		}
	}
	for _, s := range p.peers {
		d := domains[s.member.FailureDomain]
		if d == nil || s.contact != contactFar || s.lost && !s.domainSilent {
			continue
		}
		timeout := max(minDomainSilence, domainSilenceFactor*d.interval/time.Duration(d.peers))
		if now.Sub(d.heard) >= timeout {
			s.domainSilent = true
		}
	}
}

// Announce makes a change of this instance's SyncState known to the fleet: to all peers at once without groups, along the tree with groups.
func (p *Peers) Announce() {
	if !p.isGrouped() {
		p.SendToAll()
		return
	}
	p.mu.Lock()
	p.stateChanged = true
	p.mu.Unlock()
	wait.Wake(p.announceRequested)
	p.SendChanges()
}

// announceList is Announce after a change of the list of targets. Without groups, only instances that watch the store announce it.
func (p *Peers) announceList(watches bool) {
	if watches || p.isGrouped() {
		p.Announce()
	}
}

// OnAnnounced sets the callback that runs when a peer announces a newer routing table or a change of the list of targets. It must not block. Call
// OnAnnounced before Run.
func (p *Peers) OnAnnounced(callback func()) { p.onAnnounced = callback }

// announcedTTL is how long a version counts as existing that no peer reports as its own. Without a bound, a wrong announcement would keep requests
// without a route from ever getting a final answer.
const announcedTTL = 15 * time.Second

// NewestAnnounced returns the newest version of the routing table that an announcement said exists within the last announcedTTL, also if no peer is
// known that has it; 0 without one.
func (p *Peers) NewestAnnounced() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.newestAt) > announcedTTL {
		return 0
	}
	return p.newest.Version
}

// noteAnnounced records what a datagram announces, and reports whether it is newer than what is known; p.mu is held.
func (p *Peers) noteAnnounced(message *datagram, from fleet.FailureDomain) bool {
	next := p.newest
	next.Version = max(next.Version, message.Version)
	if message.Announced != nil {
		next.Version = max(next.Version, message.Announced.Version)
		next.Revision = max(next.Revision, message.Announced.Revision)
	}
	if next == p.newest {
		return false
	}
	p.newest, p.newestAt, p.newestFromOtherRegion = next, time.Now(), p.topology.Distance(p.self.FailureDomain, from) == fleet.OtherRegion
	return true
}

// announceLoop passes announcements on along the tree until ctx ends.
func (p *Peers) announceLoop(ctx context.Context) {
	for {
		select {
		case <-p.announceRequested:
		case <-ctx.Done():
			return
		}
		p.sendAnnouncement()
		if !wait.For(ctx, minAnnouncePause) {
			return
		}
	}
}

// sendAnnouncement sends this instance's SyncState, and the newest that it knows to exist, to its children in the tree.
func (p *Peers) sendAnnouncement() {
	message := datagram{From: p.self.ID, Process: p.self.Incarnation, SyncState: p.syncState(), Format: formatCompact}
	message.Unfinished, _ = p.unfinishedWork()
	now := time.Now()
	p.mu.Lock()
	if p.grouping == nil {
		p.mu.Unlock()
		return
	}
	p.newest.Version = max(p.newest.Version, message.Version)
	if message.Watches && !message.StoreLost {
		p.newest.Revision = max(p.newest.Revision, int64(message.Revision))
	}
	newest := p.newest
	p.sequence++
	message.Sequence, message.Draining, message.Silent, message.Announced = p.sequence, p.draining, p.silentPeers(now), &newest
	recipients := p.children(message.Watches)
	p.mu.Unlock()
	p.sendTo(message, nil, recipients)
}

// children returns the recipients of an announcement: the children in the tree and, from a lead, the instances outside of the working set that belong
// to its group. p.mu is held and there are groups.
func (p *Peers) children(watches bool) []recipient {
	g := p.grouping
	ids := make(map[fleet.InstanceID]bool)
	for _, m := range g.fanOut.Children(p.self.ID, p.self.FailureDomain, watches, p.newestFromOtherRegion) {
		ids[m.ID] = true
	}
	if g.fanOut.IsLead(p.self.ID, g.own) {
		for id, s := range p.peers {
			if !s.lost && s.contact != contactNone && p.inOwnGroup(s) {
				ids[id] = true
			}
		}
	}
	var recipients []recipient
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if s, ok := p.peers[id]; ok && s.address != (netip.AddrPort{}) {
			recipients = append(recipients, p.recipientOf(s, partState))
		}
	}
	return recipients
}

// noteOwnState compares this instance's SyncState with that of the latest round. An instance that watches the store tells all others at once if it
// loses or regains it, since others then watch it instead. p.mu is held and there are groups.
func (p *Peers) noteOwnState(state SyncState) {
	before := p.ownState
	p.ownState = state
	if (state.Watches || before.Watches) && state.StoreLost != before.StoreLost {
		p.pushToFar()
	}
	if state.StoreLost != before.StoreLost || state.Watches != before.Watches {
		p.stateChanged = true
	}
}

// lossCause says in a log line why a peer is taken for lost.
func (s *peerState) lossCause() string {
	switch {
	case s.lostByReports:
		return "others report it"
	case s.domainSilent:
		return "nobody in its failure domain is heard"
	}
	return "its datagrams are overdue"
}
