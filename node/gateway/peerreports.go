package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
)

// Members returns all known instances, including this one. Peers whose datagrams have stopped arriving have the state MemberSuspect.
func (p *Peers) Members() []fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members(time.Now())
}

// HasKnown reports whether an instance is this one, is among Members, or was until it was lost within the last removedRecordTTL. An instance that has
// not learned of another one cannot tell whether that one is lost.
func (p *Peers) HasKnown(id fleet.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.peers[id]
	_, removed := p.removedRecords[id]
	return id == p.self.ID || known || removed
}

// Serving returns the instances that callers are sent to: the working set, or all instances in a fleet without one. Peers whose datagrams have
// stopped arriving have the state MemberSuspect.
func (p *Peers) Serving() []fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(p.members(time.Now()), func(m fleet.Member) bool { return !p.serves(m.ID) })
}

// PeerReport is the state of a peer according to its latest datagram.
type PeerReport struct {
	Member     fleet.Member
	Serves     bool  // it is in the working set, or there is none
	Unfinished int64 // tokens of its unfinished batch items, over all routes
	SyncState
}

// Reports returns the latest reports of the peers whose datagrams are still arriving, in no particular order.
func (p *Peers) Reports() []PeerReport {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []PeerReport
	for id, state := range p.peers {
		if !state.receivedRecently(now) || state.contact == contactNone || p.grouping != nil && state.isSuspected(now) {
			continue
		}
		report := PeerReport{Member: state.member, Serves: p.serves(id), SyncState: state.syncState}
		for _, tokens := range state.unfinished {
			report.Unfinished += tokens
		}
		reports = append(reports, report)
	}
	return reports
}

// available reports whether the peer serves callers, can reach the store and is not draining.
func (r *PeerReport) available() bool {
	return r.Serves && !r.StoreLost && r.Member.State == fleet.MemberAlive
}

// Available returns the peers that serve callers, can reach the store and are not draining, if their datagrams are still arriving. With groups, it
// returns only those of the own group if there are any, otherwise only those of the own failure domain: what is known of others is seconds old.
func (p *Peers) Available() []fleet.Member {
	return p.latestKnown(availableMembers(p.Reports()))
}

// UpToDate returns the peers of Available whose latest datagrams announce a routing table of at least a version. With groups, the own group and
// failure domain are preferred as with Available.
func (p *Peers) UpToDate(version int64) []fleet.Member {
	return p.latestKnown(availableMembers(slices.DeleteFunc(p.Reports(), func(r PeerReport) bool { return r.Version < version })))
}

// latestKnown returns the members whose state is known best: all without groups, otherwise as Available says.
func (p *Peers) latestKnown(members []fleet.Member) []fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.grouping == nil {
		return members
	}
	for _, isNear := range []func(fleet.Member) bool{
		func(m fleet.Member) bool { s, ok := p.peers[m.ID]; return ok && p.inOwnGroup(s) },
		func(m fleet.Member) bool { return m.FailureDomain == p.self.FailureDomain },
	} {
		if slices.ContainsFunc(members, isNear) {
			return slices.DeleteFunc(members, func(m fleet.Member) bool { return !isNear(m) })
		}
	}
	return members
}

// Successors returns the instances among which the one is chosen that takes over the work of a lost instance: those that serve callers. With groups,
// these are the ones of its failure domain that reach the store, since they learn of the loss first. If there is none, they are all that reach the
// store.
func (p *Peers) Successors(lost fleet.InstanceID) []fleet.Member {
	serving := p.Serving()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.grouping == nil {
		return serving
	}
	domain, known := p.formerDomains[lost]
	if lost == p.self.ID { // a former process of this instance
		domain, known = p.self.FailureDomain, true
	}
	if former, ok := p.peers[lost]; ok {
		domain, known = former.member.FailureDomain, true
	}
	var near, reaching []fleet.Member
	for _, m := range serving {
		s, ok := p.peers[m.ID]
		if m.State != fleet.MemberAlive || ok && s.syncState.StoreLost {
			continue
		}
		reaching = append(reaching, m)
		if known && m.FailureDomain == domain {
			near = append(near, m)
		}
	}
	if len(near) > 0 {
		return near
	}
	return reaching
}

// availableMembers returns the members of the reports whose peers are available.
func availableMembers(reports []PeerReport) []fleet.Member {
	var members []fleet.Member
	for _, r := range reports {
		if r.available() {
			members = append(members, r.Member)
		}
	}
	return members
}

// Candidates returns the peers that a new job of this instance, accepted by a version of the routing table, may be given to: those of UpToDate in
// the own region. There are none in a fleet without a working set, whose instances all use the same targets. With groups, they are those of the own
// group and a few others, drawn anew each time.
func (p *Peers) Candidates(version int64) []itemjob.Candidate {
	if !p.hasWorkingSet() {
		return nil
	}
	var candidates, far []itemjob.Candidate
	for _, r := range p.Reports() {
		if r.available() && r.Version >= version && p.topology.Distance(p.self.FailureDomain, r.Member.FailureDomain) != fleet.OtherRegion {
			candidate := itemjob.Candidate{Member: r.Member, Waiting: r.Unfinished}
			if p.isOtherGroup(r.Member.ID) {
				far = append(far, candidate)
				continue
			}
			candidates = append(candidates, candidate)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(candidates, far[:min(len(far), maxFarCandidates)]...)
}

// isOtherGroup reports whether a peer belongs to another group.
func (p *Peers) isOtherGroup(id fleet.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.peers[id]
	return ok && p.grouping != nil && !p.inOwnGroup(s)
}

// leftWork is the unfinished work of a process that was lost or replaced by the next process of its instance. It counts until a scan of the open jobs
// has found it, by which it counts as orphaned or as the work of its next owner.
type leftWork struct {
	instance   fleet.InstanceID
	process    uint64
	unfinished map[string]int64 // tokens by route
	until      time.Time
}

// leftWorkTTL covers a scan of the open jobs that starts as late as possible and reads a listing as stale as it may be.
const leftWorkTTL = 6 * time.Second

// keepWork keeps the unfinished work that a peer has reported, since its process has ended or seems to have; p.mu is held.
func (p *Peers) keepWork(id fleet.InstanceID, state *peerState, now time.Time) {
	p.leftWork = slices.DeleteFunc(p.leftWork, func(w leftWork) bool { return now.After(w.until) })
	if len(state.unfinished) > 0 {
		p.leftWork = append(p.leftWork, leftWork{id, state.process, state.unfinished, now.Add(leftWorkTTL)})
		state.unfinished = nil
	}
}

// dropWork drops the work that keepWork kept of a process, which was heard again and reports it itself; p.mu is held.
func (p *Peers) dropWork(id fleet.InstanceID, process uint64) {
	p.leftWork = slices.DeleteFunc(p.leftWork, func(w leftWork) bool { return w.instance == id && w.process == process })
}

// Waiting returns the number of tokens of unfinished batch items on a route, summed over all peers according to their latest datagrams. It includes
// the work that processes left that were lost or replaced lately.
func (p *Peers) Waiting(route string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum int64
	for _, state := range p.peers {
		if !state.lost {
			sum += state.unfinished[route]
		}
	}
	now := time.Now()
	for _, w := range p.leftWork {
		if now.Before(w.until) {
			sum += w.unfinished[route]
		}
	}
	return sum
}
