package instance

import (
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// leastNear is the number of near instances below which farther ones are named too, so that a caller whose instance fails finds another.
const leastNear = 2

// Entrypoints returns at most limit instances for a caller: those of its failure domain, or of farther ones too if these are few. It is
// empty if this instance knows none that takes callers.
func (i *Instance) Entrypoints(near fleet.FailureDomain, limit int) []fleet.Member {
	members := i.peers.Serving()
	if !i.Ready() {
		members = slices.DeleteFunc(members, func(m fleet.Member) bool { return m.ID == i.config.Self.ID })
	}
	var chosen []fleet.Member
	var last fleet.Distance
	for _, m := range membership.Entrypoints(members, i.config.Topology, near, time.Now()) {
		distance := i.config.Topology.Distance(near, m.FailureDomain)
		if len(chosen) >= limit || len(chosen) >= leastNear && (distance > last || m.State != fleet.MemberAlive) {
			break
		}
		last = distance
		chosen = append(chosen, m)
	}
	return chosen
}
