package gateway

import (
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// In a large fleet, callers are sent to a working set of instances, and the targets are divided among these. Members of the working set send
// each other their request counts at once, and send heartbeats at long intervals to all other instances. The others are on standby: they send
// heartbeats to the working set, and nothing to each other. Each member of the working set reports in its datagrams the instances that it has
// received no datagram from lately, so that instances on standby learn of a loss about as soon. An instance on standby that has requests at
// targets, for example because it has just left the working set and callers still use its address, exchanges datagrams like a member of it.

// reach says how often two instances send each other datagrams.
type reach int

const (
	reachNone reach = iota // never: both are on standby
	reachFar               // at long intervals: one is on standby
	reachNear              // after each change, and at short intervals: both are in the working set or have requests at targets
)

const (
	// reportsHold is how long the reports that make a peer suspected stay valid: several far heartbeats, so that a lost datagram does not end the
	// suspicion.
	reportsHold = 5 * farHeartbeat
	// arrangePeriod is the minimum interval between two choices of the working set, each of which goes through all members.
	arrangePeriod = 100 * time.Millisecond
	// maxReports is the maximum number of instances that a datagram reports as silent, so that it fits into maxDatagram.
	maxReports = 512
	// leastReports is the number of instances that must report a peer as silent before an instance that receives no datagrams from it either
	// suspects it. One report does not suffice, as only the network path between these two instances may have failed.
	leastReports = 2
)

// large reports whether the fleet has a working set.
func (p *Peers) large() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.set != nil
}

// Serves reports whether callers are sent to this instance.
func (p *Peers) Serves() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serves(p.self.ID)
}

// serves reports whether callers are sent to an instance; p.mu is held.
func (p *Peers) serves(id fleet.InstanceID) bool { return p.set == nil || p.set[id] }

// reachOf returns how often this instance and a peer send each other datagrams; p.mu is held.
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

// setActive records whether this instance has requests at targets; p.mu is held.
func (p *Peers) setActive(active bool, now time.Time) {
	if p.active != active {
		p.active = active
		p.updateReach(now)
	}
}

// updateReach applies a change of the working set, or of which instances have requests, to all peers; p.mu is held. A peer that has stopped
// being near gets one more datagram at once, with the present counts and the longer interval. Without it, the peer would count requests that
// have ended, and would take this instance for lost after a few short heartbeats.
func (p *Peers) updateReach(now time.Time) {
	for _, s := range p.peers {
		if s.active && now.Sub(s.heard) > farHeartbeat {
			s.active = false // its latest datagram is too old to show that it has requests
		}
		before := s.reach
		s.setReach(p.reachOf(s.member.ID), now)
		s.parting = s.parting || before == reachNear && s.reach != reachNear
	}
}

// setReach applies a change of how often datagrams are exchanged with a peer. If they become more frequent, the time until the peer counts as
// silent starts anew.
func (s *peerState) setReach(next reach, now time.Time) {
	if next > s.reach {
		s.known = now
	}
	if next == reachNear {
		s.parting = false
	}
	s.reach = next
}

// arrange chooses the working set anew and passes it to the board, which divides the targets among its members.
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

// slotsHold is the time for which the working set keeps its size after the number of target slots has dropped. Otherwise targets that repeatedly
// go down and come up would change it each time, and callers learn of a change only when their cached addresses expire.
const slotsHold = 20 * time.Second

// steady returns the largest number of slots within about slotsHold; p.mu is held.
func (p *Peers) steady(slots int, now time.Time) int {
	if slots >= p.slots || now.Sub(p.slotsAt) > slotsHold {
		p.slots, p.slotsAt = slots, now
	}
	return p.slots
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

// countReports records which peers at least leastReports others report as silent; p.mu is held.
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

// goneFor is how long an instance is reported as silent after its membership record was removed: until the others have read a new copy of the
// records.
const goneFor = refresh + 30*time.Second

// silentPeers returns the instances that the next datagram reports as silent, ordered by ID: the listed peers whose datagrams have stopped
// arriving, and those whose membership records were removed lately, which instances on standby may still list. Only members of the working set
// report any. p.mu is held.
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

// since returns the time from which the silence of a peer is measured: when its latest datagram arrived, or later when it became known or its
// datagrams became due more often.
func (s *peerState) since() time.Time {
	if s.known.After(s.heard) {
		return s.known
	}
	return s.heard
}

// isMissed reports whether datagrams of the peer are overdue at this instance.
func (s *peerState) isMissed(now time.Time) bool {
	return s.silent || now.Sub(s.since()) > s.silentAfter()
}

// isSilent reports whether the peer is suspected: its datagrams are overdue, or several others report it as silent and none has arrived here
// since.
func (s *peerState) isSilent(now time.Time) bool {
	reported := now.Sub(s.reported) < reportsHold && s.reported.After(s.heard)
	if s.reach == reachNone {
		return s.silent || reported
	}
	return s.isMissed(now) || reported && now.Sub(s.heard) > farHeartbeat+heartbeat
}

// members returns all known instances, this one first. An alive peer that is suspected has the state MemberSuspect. p.mu is held.
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

// audience returns the addresses of the peers that are due a datagram, and marks them as sent to: near peers whose heartbeat is due or that get
// changes at once, peers that have stopped being near, and far peers whose heartbeat is due. The latter two are limited to maxFarRound each.
// p.mu is held.
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

// heartbeatSlack is how much earlier than due a heartbeat is sent if a round takes place anyway.
const heartbeatSlack = 20 * time.Millisecond

// tellAtOnce reports whether a near peer gets a datagram after each change. In a fleet with a working set, peers in other regions get heartbeats
// only: they use the targets of this region only when all of their own are full, and traffic between regions is paid for. p.mu is held.
func (p *Peers) tellAtOnce(s *peerState) bool {
	return p.set == nil || p.topology.Distance(p.self.FailureDomain, s.member.FailureDomain) != fleet.OtherRegion
}
