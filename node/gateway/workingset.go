package gateway

import (
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// In a large fleet, callers are sent to a working set of instances, among which the targets are divided. Its members tell each other of their
// requests, and all others now and then that they live. The others stand by: they tell the working set that they live, and do not hear of each
// other. What a member of the set has not heard lately, it tells all, so that those that stand by know it as soon. An instance that holds
// requests, such as one that has left the set and that callers still know, tells and hears of requests like a member of the set.

// reach is how often two instances hear of each other.
type reach int

const (
	reachNone reach = iota // both stand by
	reachFar               // one stands by
	reachNear              // both are in the working set or hold requests
)

const (
	// reportsHold is how long reports of a silent peer count: some rounds of far datagrams, so that a lost one does not end the suspicion.
	reportsHold = 5 * farHeartbeat
	// arrangePeriod is the least time between two choices of the working set, which looks at all members.
	arrangePeriod = 100 * time.Millisecond
	// maxReports bounds the instances that a datagram reports, so that it fits into maxDatagram.
	maxReports = 512
	// leastReports is the number of instances that must not have heard a peer lately before one that cannot hear it itself suspects it: the way
	// between two instances alone may be cut.
	leastReports = 2
)

// large tells whether the fleet has a working set.
func (p *Peers) large() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.set != nil
}

// Serves tells whether callers are sent to this instance.
func (p *Peers) Serves() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serves(p.self.ID)
}

// serves tells whether an instance is in the working set; p.mu is held.
func (p *Peers) serves(id fleet.InstanceID) bool { return p.set == nil || p.set[id] }

// reachOf returns how often this instance and a peer hear of each other; p.mu is held.
func (p *Peers) reachOf(id fleet.InstanceID) reach {
	self, peer := p.serves(p.self.ID) || p.active, p.serves(id)
	if s, ok := p.peers[id]; ok {
		peer = peer || s.active
	}
	switch {
	case self && peer:
		return reachNear
	case self || peer:
		return reachFar
	}
	return reachNone
}

// setActive notes whether this instance holds requests; p.mu is held.
func (p *Peers) setActive(active bool, now time.Time) {
	if p.active != active {
		p.active = active
		p.updateReach(now)
	}
}

// updateReach applies a change of roles; p.mu is held. A peer that is to be heard more often than before gets the time for it. One that was near
// is told at once, with the counts as they are now, that it will be told less often: until it knows, it counts requests that have ended, and takes
// this instance for lost after some near heartbeats.
func (p *Peers) updateReach(now time.Time) {
	for _, s := range p.peers {
		if s.active && now.Sub(s.heard) > farHeartbeat {
			s.active = false // it held requests when it was last heard
		}
		before := s.reach
		s.setReach(p.reachOf(s.member.ID), now)
		s.parting = s.parting || before == reachNear && s.reach != reachNear
	}
}

// setReach applies a change of how often a peer is heard.
func (s *peerState) setReach(next reach, now time.Time) {
	if next > s.reach {
		s.known = now
	}
	if next == reachNear {
		s.parting = false
	}
	s.reach = next
}

// arrange chooses the working set anew, and divides the targets among its members.
func (p *Peers) arrange() {
	now := time.Now()
	slots := p.board.Slots()
	p.mu.Lock()
	slots = p.steady(slots, now)
	p.countReports(now)
	members := p.members(now)
	policy := membership.DefaultWorkingSetPolicy()
	set := membership.WorkingSet(members, slots, policy)
	var chosen map[fleet.InstanceID]bool
	if len(members) > policy.AllUpTo && len(set) > 0 {
		chosen = make(map[fleet.InstanceID]bool, len(set))
		for _, m := range set {
			chosen[m.ID] = true
		}
	} else {
		set = nil
	}
	added, removed := missingIn(p.set, chosen), missingIn(chosen, p.set)
	changed := (p.set == nil) != (chosen == nil) || len(added)+len(removed) > 0
	served := p.serves(p.self.ID)
	p.set = chosen
	serves := p.serves(p.self.ID)
	p.updateReach(now)
	p.mu.Unlock()
	if !changed {
		return
	}
	klog.InfoS("Working set changed", "instances", len(chosen), "of", len(members), "slots", slots, "served", served, "serves", serves,
		"added", added, "removed", removed)
	p.board.SetWorkingSet(set)
}

// slotsHold is how long the working set stays as large as more targets asked for: targets that go down and up by turns would change it each time,
// and callers learn of a change only when their addresses run out.
const slotsHold = 20 * time.Second

// steady returns the largest number of slots of late; p.mu is held.
func (p *Peers) steady(slots int, now time.Time) int {
	if slots >= p.slots || now.Sub(p.slotsAt) > slotsHold {
		p.slots, p.slotsAt = slots, now
	}
	return p.slots
}

// missingIn returns the instances of b that are not in a, in order.
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

// countReports notes which peers several others have not heard lately; p.mu is held.
func (p *Peers) countReports(now time.Time) {
	counts := make(map[fleet.InstanceID]int)
	if p.set != nil {
		for _, s := range p.peers {
			if s.heardLately(now) {
				for _, id := range s.reports {
					counts[id]++
				}
			}
		}
	}
	for id, s := range p.peers {
		if counts[id] >= leastReports {
			s.reported = now
		}
	}
}

// goneFor is how long an instance whose record is gone is told of: until the others have read the members' copy anew.
const goneFor = refresh + 30*time.Second

// silentPeers returns the listed peers that this instance should hear and has not heard lately, and those whose records are gone: instances that
// stand by may still know these. p.mu is held.
func (p *Peers) silentPeers(now time.Time) []fleet.InstanceID {
	if p.set == nil || !p.set[p.self.ID] {
		return nil
	}
	var silent []fleet.InstanceID
	for id, since := range p.gone {
		if now.Sub(since) > goneFor {
			delete(p.gone, id)
			continue
		}
		silent = append(silent, id)
	}
	for id, s := range p.peers {
		if s.listed && s.isMissed(now) {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent[:min(len(silent), maxReports)]
}

// since returns when a peer was last heard. One that has just become known has the time to be heard.
func (s *peerState) since() time.Time {
	if s.known.After(s.heard) {
		return s.known
	}
	return s.heard
}

// isMissed tells whether this instance should have heard a peer: it fell silent and was not heard since, or was not heard lately.
func (s *peerState) isMissed(now time.Time) bool {
	return s.silent || now.Sub(s.since()) > s.silentAfter()
}

// isSilent tells whether a peer is suspected: this instance misses it, or several others report that they do and this one did not hear it either.
func (s *peerState) isSilent(now time.Time) bool {
	reported := now.Sub(s.reported) < reportsHold && s.reported.After(s.heard)
	if s.reach == reachNone {
		return s.silent || reported
	}
	return s.isMissed(now) || reported && now.Sub(s.heard) > farHeartbeat+heartbeat
}

// members returns all instances, self first. A peer that is silent is suspected. p.mu is held.
func (p *Peers) members(now time.Time) []fleet.Member {
	members := make([]fleet.Member, 0, len(p.peers)+1)
	members = append(members, p.current())
	for _, state := range p.peers {
		m := state.member
		if m.State == fleet.MemberAlive && state.isSilent(now) {
			m.State = fleet.MemberSuspect
		}
		members = append(members, m)
	}
	return members
}

// audience returns the peers that are due a datagram: near ones that are told of each change at once or whose heartbeat is due, some of those that
// were near until now, and some of the far ones whose heartbeat is due. p.mu is held.
func (p *Peers) audience(changed bool, now time.Time) (nearBy, parting, farOff []netip.AddrPort) {
	farDue := now.Sub(p.toldFar) >= farRound
	for _, s := range p.peers {
		waited := now.Sub(s.sent)
		switch {
		case s.parting && len(parting) < maxFarRound:
			parting = append(parting, s.address)
		case s.reach == reachNear && (changed && p.tellAtOnce(s) || waited >= heartbeat-heartbeatSlack):
			nearBy = append(nearBy, s.address)
		case s.reach == reachFar && farDue && len(farOff) < maxFarRound && waited >= farHeartbeat-heartbeatSlack:
			farOff = append(farOff, s.address)
		default:
			continue
		}
		s.sent, s.parting = now, false
	}
	if len(farOff) > 0 {
		p.toldFar = now
	}
	return nearBy, parting, farOff
}

// heartbeatSlack lets datagrams that are due in a moment go with a round.
const heartbeatSlack = 20 * time.Millisecond

// tellAtOnce tells whether a near peer hears of each change. In a fleet with a working set, those of another region use the targets of this one
// only when all of theirs are full, and the bytes to them are paid for. p.mu is held.
func (p *Peers) tellAtOnce(s *peerState) bool {
	return p.set == nil || p.topology.Distance(p.self.FailureDomain, s.member.FailureDomain) != fleet.OtherRegion
}
