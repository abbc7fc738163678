package gateway

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// contact says how often two instances send each other datagrams.
//
// In a large fleet, callers are sent to a working set of instances: only these are named to them as entry points, whose addresses they cache for a
// while. The targets are divided among the working set. Its members send each other their request counts at once, and send heartbeats at long
// intervals to all other instances. The others are on standby: they send heartbeats to the working set, and nothing to each other. Each
// member of the working set reports in its datagrams the instances that it has received no datagram from lately, so that instances on standby
// learn of a loss about as soon. An instance on standby that has requests at targets, for example because it has just left the working set and
// callers still use its address, exchanges datagrams like a member of it.
type contact int

const (
	contactNone contact = iota // never: both are on standby
	contactFar                 // at long intervals: one is on standby
	contactNear                // after each change, and at short intervals: both are in the working set or have requests at targets
)

const (
	// reportTTL is how long the reports that make a peer suspected stay valid: several far heartbeats, so that a lost datagram does not end the
	// suspicion.
	reportTTL = 5 * farHeartbeatInterval
	// workingSetInterval is the minimum interval between two choices of the working set, each of which goes through all members.
	workingSetInterval = 100 * time.Millisecond
	// maxReportedPeers is the maximum number of instances that a datagram reports as silent, so that it fits into maxDatagramBytes.
	maxReportedPeers = 512
	// maxReportedInGroups is that number in a fleet with groups, where instances report only those of their own failure domain.
	maxReportedInGroups = 64
	// minReports is the number of instances that must report a peer as silent before an instance that receives no datagrams from it either
	// suspects it. One report does not suffice, as only the network path between these two instances may have failed.
	minReports = 2
)

// hasWorkingSet reports whether the fleet has a working set.
func (p *Peers) hasWorkingSet() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workingSet != nil
}

// Serves reports whether callers are sent to this instance.
func (p *Peers) Serves() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serves(p.self.ID)
}

// serves reports whether callers are sent to an instance; p.mu is held.
func (p *Peers) serves(id fleet.InstanceID) bool { return p.workingSet == nil || p.workingSet[id] }

// contactWith returns how often this instance and a peer send each other datagrams; p.mu is held.
func (p *Peers) contactWith(id fleet.InstanceID) contact {
	self, peer := p.serves(p.self.ID) || p.active, p.serves(id)
	if s, ok := p.peers[id]; ok {
		peer = peer || s.active
	}
	switch {
	case self && peer && p.grouping != nil && !p.inOwnGroup(p.peers[id]):
		return contactFar
	case self && peer:
		return contactNear
	case self || peer:
		return contactFar
	}
	return contactNone
}

// setActive records whether this instance has requests at targets; p.mu is held.
func (p *Peers) setActive(active bool, now time.Time) {
	if p.active != active {
		p.active = active
		p.updateContacts(now)
	}
}

// updateContacts applies a change of the working set, or of which instances have requests, to all peers; p.mu is held. A peer that has stopped
// being near gets one more datagram at once, with the present counts and the longer interval. Without it, the peer would count requests that
// have ended, and would take this instance for lost after a few short heartbeats. With groups, it gets two, since many change at once when the
// groups do, and the next one comes late.
func (p *Peers) updateContacts(now time.Time) {
	downgrades := 1
	if p.grouping != nil {
		downgrades = 2
	}
	for _, s := range p.peers {
		if s.active && now.Sub(s.lastReceived) > farHeartbeatInterval {
			s.active = false // its latest datagram is too old to show that it has requests
		}
		before := s.contact
		s.setContact(p.contactWith(s.member.ID), now)
		if before == contactNear && s.contact != contactNear {
			s.downgrades = downgrades
		}
		if before != contactFar && s.contact == contactFar {
			p.scheduleFar(s)
		}
	}
}

// setContact applies a change of how often datagrams are exchanged with a peer. If they become more frequent, the time until the peer counts as
// silent starts anew.
func (s *peerState) setContact(next contact, now time.Time) {
	if next > s.contact {
		s.expectedSince = now
	}
	if next == contactNear {
		s.downgrades = 0
	}
	s.contact = next
}

// scheduleFar sets the time of the first heartbeat to a peer that has become far; p.mu is held.
func (p *Peers) scheduleFar(s *peerState) {
	s.farSent, s.farInterval = 0, p.farInterval(s)
	s.farDue = time.Now().Add(rand.N(firstFarDelay))
}

// updateWorkingSet chooses the working set anew and passes it to the board, which divides the targets among its members.
func (p *Peers) updateWorkingSet() {
	now := time.Now()
	slots := p.board.Slots()
	p.mu.Lock()
	slots = p.recentMaxSlots(slots, now)
	p.updateReported(now)
	members := p.members(now)
	inputs := inputsOf(members, slots)
	if inputs == p.chosenBy && now.Sub(p.chosenAt) < maxChoiceAge {
		p.updateContacts(now)
		p.updateFarIntervals()
		p.mu.Unlock()
		return
	}
	p.chosenBy, p.chosenAt = inputs, now
	policy := membership.DefaultWorkingSetPolicy()
	set := membership.WorkingSet(members, slots, policy)
	var chosen map[fleet.InstanceID]bool
	if len(members) > policy.AllServeUpTo && len(set) > 0 {
		chosen = make(map[fleet.InstanceID]bool, len(set))
		for _, m := range set {
			chosen[m.ID] = true
		}
	} else {
		set = nil
	}
	added, removed := missingIn(p.workingSet, chosen), missingIn(chosen, p.workingSet)
	changed := (p.workingSet == nil) != (chosen == nil) || len(added)+len(removed) > 0
	served := p.serves(p.self.ID)
	p.workingSet = chosen
	serves := p.serves(p.self.ID)
	before := p.grouping
	if changed {
		p.grouping = p.newGrouping(set)
	}
	if before == nil && p.grouping != nil {
		p.updateReportedInGroups(now) // replaces the times that hold without groups
	}
	p.updateContacts(now)
	p.updateFarIntervals()
	if changed {
		p.logGrouping(before)
	}
	p.mu.Unlock()
	if !changed {
		return
	}
	klog.InfoS("Working set changed", "instances", len(chosen), "of", len(members), "slots", slots, "served", served, "serves", serves,
		"added", added, "removed", removed)
	p.board.SetWorkingSet(set)
}

// maxChoiceAge is the time after which the working set is chosen again although nothing that it depends on has changed.
const maxChoiceAge = 5 * time.Second

// choiceInputs is a digest of what the working set depends on. With 300 members a choice takes over a millisecond, which ten times a second would be
// a tenth of the smallest instances' processor time.
type choiceInputs struct {
	members, slots int
	sum            uint64
}

// inputsOf returns the digest for members in any order.
func inputsOf(members []fleet.Member, slots int) choiceInputs {
	inputs := choiceInputs{members: len(members), slots: slots}
	for _, m := range members {
		h := xxhash.Sum64String(string(m.ID)) ^ xxhash.Sum64String(string(m.FailureDomain))<<1
		inputs.sum += (h ^ math.Float64bits(m.Capacity)) * (2*uint64(m.State) + 3)
	}
	return inputs
}

// slotsHoldTime is the time for which the working set keeps its size after the number of target slots has dropped. Otherwise targets that
// repeatedly go down and come up would change it each time, and callers learn of a change only when their cached addresses expire.
const slotsHoldTime = 20 * time.Second

// recentMaxSlots returns the largest number of slots within about slotsHoldTime; p.mu is held.
func (p *Peers) recentMaxSlots(slots int, now time.Time) int {
	if slots >= p.workingSetSlots || now.Sub(p.workingSetSlotsAt) > slotsHoldTime {
		p.workingSetSlots, p.workingSetSlotsAt = slots, now
	}
	return p.workingSetSlots
}

// missingIn returns the instances of b that are not in a, ordered by ID.
func missingIn(a, b map[fleet.InstanceID]bool) []fleet.InstanceID {
	var missing []fleet.InstanceID
	for id := range b {
		if !a[id] {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return missing
}

// updateReported records the time for the peers that at least minReports others report as silent; p.mu is held.
func (p *Peers) updateReported(now time.Time) {
	counts := make(map[fleet.InstanceID]int)
	if p.workingSet != nil {
		for _, s := range p.peers {
			if s.receivedRecently(now) {
				for _, id := range s.reportedSilent {
					counts[id]++
				}
			}
		}
	}
	for id, s := range p.peers {
		if counts[id] >= minReports {
			s.reportedAt = now
		}
	}
	if p.grouping != nil {
		p.updateReportedInGroups(now)
	}
}

// updateReportedInGroups replaces the times of updateReported by the time at which the second newest datagram arrived that reports a peer: with the
// long intervals between far peers, a report may be much older than the latest datagram of the peer itself. p.mu is held.
func (p *Peers) updateReportedInGroups(now time.Time) {
	arrivals := make(map[fleet.InstanceID][]time.Time)
	for _, s := range p.peers {
		if s.receivedRecently(now) {
			for _, id := range s.reportedSilent {
				arrivals[id] = append(arrivals[id], s.lastReceived)
			}
		}
	}
	for id, s := range p.peers {
		s.reportedAt = time.Time{}
		if at := arrivals[id]; len(at) >= minReports {
			slices.SortFunc(at, func(a, b time.Time) int { return b.Compare(a) })
			// Reports of a peer that has just become known, or was just heard, may have been sent before that.
			if latest := at[minReports-1]; latest.After(s.silentSince()) && now.Sub(s.silentSince()) > farHeartbeatInterval+heartbeatInterval {
				s.reportedAt = latest
			}
		}
	}
}

// removedRecordTTL is how long a lost instance without a membership record is reported as silent after it was dropped: until the others have read
// a new copy of the records.
const removedRecordTTL = membersRefreshInterval + 30*time.Second

// silentPeers returns the instances that the next datagram reports as silent, ordered by ID: the listed peers whose datagrams have stopped
// arriving, and lost ones without a membership record, which instances on standby may still list. Only members of the working set
// report any. p.mu is held.
func (p *Peers) silentPeers(now time.Time) []fleet.InstanceID {
	maps.DeleteFunc(p.removedRecords, func(_ fleet.InstanceID, since time.Time) bool { return now.Sub(since) > removedRecordTTL })
	maps.DeleteFunc(p.formerDomains, func(id fleet.InstanceID, _ fleet.FailureDomain) bool { _, kept := p.removedRecords[id]; return !kept })
	if p.workingSet == nil || !p.workingSet[p.self.ID] {
		return nil
	}
	var silent []fleet.InstanceID
	for id := range p.removedRecords {
		if p.grouping == nil || p.formerDomains[id] == p.self.FailureDomain {
			silent = append(silent, id)
		}
	}
	for id, s := range p.peers {
		if s.listed && s.isOverdue(now) && (p.grouping == nil || p.reportsSilence(s)) {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	most := maxReportedPeers
	if p.grouping != nil {
		most = maxReportedInGroups
	}
	return silent[:min(len(silent), most)]
}

// reportsSilence reports whether this instance tells others of the silence of a peer, in a fleet with groups: only what it noticed itself of its own
// failure domain, or of its group. p.mu is held.
func (p *Peers) reportsSilence(s *peerState) bool {
	return !s.lostByReports && !s.domainSilent && (s.member.FailureDomain == p.self.FailureDomain || p.inOwnGroup(s))
}

// silentSince returns the time from which the silence of a peer is measured: when its latest datagram arrived, or later when it became known or its
// datagrams became due more often.
func (s *peerState) silentSince() time.Time {
	if s.expectedSince.After(s.lastReceived) {
		return s.expectedSince
	}
	return s.lastReceived
}

// isOverdue reports whether datagrams of the peer are overdue at this instance.
func (s *peerState) isOverdue(now time.Time) bool {
	return s.lost || s.domainSilent || now.Sub(s.silentSince()) > s.silenceTimeout()
}

// isSuspected reports whether the peer is suspected: its datagrams are overdue, or several others report it as silent and none has arrived here
// since.
func (s *peerState) isSuspected(now time.Time) bool {
	reported := now.Sub(s.reportedAt) < reportTTL && s.reportedAt.After(s.lastReceived)
	if s.contact == contactNone {
		return s.lost || reported
	}
	return s.isOverdue(now) || reported && now.Sub(s.lastReceived) > farHeartbeatInterval+heartbeatInterval
}

// members returns all known instances, this one first. An alive peer that is suspected has the state MemberSuspect. p.mu is held.
func (p *Peers) members(now time.Time) []fleet.Member {
	members := make([]fleet.Member, 0, len(p.peers)+1)
	members = append(members, p.ownMember())
	for _, state := range p.peers {
		m := state.member
		if m.State == fleet.MemberAlive && state.isSuspected(now) {
			m.State = fleet.MemberSuspect
		}
		members = append(members, m)
	}
	return members
}

// recipients returns the addresses of the peers that are due a datagram, and records that they get one: near peers whose heartbeat is due or
// that get changes at once, peers that have stopped being near, and far peers whose heartbeat is due. The latter two are limited to
// maxFarRoundPeers each. p.mu is held.
func (p *Peers) recipients(changed bool, now time.Time) (nearBy, downgraded, farOff []netip.AddrPort) {
	farDue := now.Sub(p.farSent) >= farRoundInterval
	for _, s := range p.peers {
		waited := now.Sub(s.lastSent)
		switch {
		case s.downgrades > 0 && len(downgraded) < maxFarRoundPeers:
			downgraded = append(downgraded, s.address)
		case s.contact == contactNear && (changed && p.getsChangesAtOnce(s) || waited >= heartbeatInterval-heartbeatSlack):
			nearBy = append(nearBy, s.address)
		case s.contact == contactFar && farDue && len(farOff) < maxFarRoundPeers && waited >= farHeartbeatInterval-heartbeatSlack:
			farOff = append(farOff, s.address)
		default:
			continue
		}
		s.lastSent, s.downgrades = now, 0
	}
	if len(farOff) > 0 {
		p.farSent = now
	}
	return nearBy, downgraded, farOff
}

// heartbeatSlack is how much earlier than due a heartbeat is sent if a round takes place anyway.
const heartbeatSlack = 20 * time.Millisecond

// getsChangesAtOnce reports whether a near peer gets a datagram after each change. In a fleet with a working set, peers in other regions get
// heartbeats only: they use the targets of this region only when all of their own are full, and traffic between regions is paid for. p.mu is
// held.
func (p *Peers) getsChangesAtOnce(s *peerState) bool {
	return p.workingSet == nil || p.topology.Distance(p.self.FailureDomain, s.member.FailureDomain) != fleet.OtherRegion
}
