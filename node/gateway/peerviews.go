package gateway

import (
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
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

// PeerReport is what a peer that was heard lately told of its copies.
type PeerReport struct {
	Member fleet.Member
	SyncState
}

// Reports returns what the peers that were heard lately told.
func (p *Peers) Reports() []PeerReport {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []PeerReport
	for _, state := range p.peers {
		if state.heardLately(now) && state.reach != reachNone {
			reports = append(reports, PeerReport{state.member, state.state})
		}
	}
	return reports
}

// Reaching returns the peers that serve callers, were heard lately, reach the store and do not drain.
func (p *Peers) Reaching() []fleet.Member {
	members := reaching(p.Reports())
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(members, func(m fleet.Member) bool { return !p.serves(m.ID) })
}

func reaching(reports []PeerReport) []fleet.Member {
	var members []fleet.Member
	for _, t := range reports {
		if !t.Lost && t.Member.State == fleet.MemberAlive {
			members = append(members, t.Member)
		}
	}
	return members
}

// Candidate is a peer that may own jobs.
type Candidate struct {
	Member  fleet.Member
	Waiting int64 // tokens of unfinished batch items, on all routes, as last heard
}

// Candidates returns the peers of the own region that share the jobs of a fleet with a working set: those of its members that were heard
// lately, reach the store and do not drain. There is none in a small fleet, whose instances all use the same targets.
func (p *Peers) Candidates() []Candidate {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.set == nil {
		return nil
	}
	var candidates []Candidate
	for id, s := range p.peers {
		remote := p.topology.Distance(p.self.FailureDomain, s.member.FailureDomain) == fleet.OtherRegion
		if remote || !p.set[id] || !s.heardLately(now) || s.state.Lost || s.member.State != fleet.MemberAlive {
			continue
		}
		c := Candidate{Member: s.member}
		for _, tokens := range s.waiting {
			c.Waiting += tokens
		}
		candidates = append(candidates, c)
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
