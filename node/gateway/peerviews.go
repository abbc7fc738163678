package gateway

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

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
		if state.heardLately(now) {
			reports = append(reports, PeerReport{state.member, state.state})
		}
	}
	return reports
}

// Reaching returns the peers that were heard lately, reach the store and do not drain.
func (p *Peers) Reaching() []fleet.Member {
	return reaching(p.Reports())
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
