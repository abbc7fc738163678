package gateway

import (
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
)

// Members returns all instances, self included. A peer that was not heard lately is suspected.
func (p *Peers) Members() []fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members(time.Now())
}

// Serving returns the instances that callers are sent to: the working set, or all in a small fleet. Silent ones are suspected.
func (p *Peers) Serving() []fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(p.members(time.Now()), func(m fleet.Member) bool { return !p.serves(m.ID) })
}

// PeerReport is what a peer that was heard lately told.
type PeerReport struct {
	Member  fleet.Member
	Serves  bool  // callers are sent to it
	Waiting int64 // tokens of unfinished batch items, on all routes
	SyncState
}

// Reports returns what the peers that were heard lately told.
func (p *Peers) Reports() []PeerReport {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []PeerReport
	for id, state := range p.peers {
		if !state.heardLately(now) || state.reach == reachNone {
			continue
		}
		report := PeerReport{Member: state.member, Serves: p.serves(id), SyncState: state.state}
		for _, tokens := range state.waiting {
			report.Waiting += tokens
		}
		reports = append(reports, report)
	}
	return reports
}

// reaching tells whether a peer serves callers, reaches the store and does not drain.
func (r *PeerReport) reaching() bool {
	return r.Serves && !r.Lost && r.Member.State == fleet.MemberAlive
}

// Reaching returns the peers that serve callers, were heard lately, reach the store and do not drain.
func (p *Peers) Reaching() []fleet.Member {
	return reaching(p.Reports())
}

func reaching(reports []PeerReport) []fleet.Member {
	var members []fleet.Member
	for _, r := range reports {
		if r.reaching() {
			members = append(members, r.Member)
		}
	}
	return members
}

// Candidates returns the peers of the own region that share the jobs of a fleet with a working set: those of Reaching. There is none in a small
// fleet, whose instances all use the same targets.
func (p *Peers) Candidates() []itemjob.Candidate {
	if !p.large() {
		return nil
	}
	var candidates []itemjob.Candidate
	for _, r := range p.Reports() {
		if r.reaching() && p.topology.Distance(p.self.FailureDomain, r.Member.FailureDomain) != fleet.OtherRegion {
			candidates = append(candidates, itemjob.Candidate{Member: r.Member, Waiting: r.Waiting})
		}
	}
	return candidates
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
