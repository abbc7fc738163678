package instance

import (
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// minEntrypoints is the number of instances below which farther or suspected ones are returned too, so that a caller whose instance fails
// has another address to try.
const minEntrypoints = 2

// Entrypoints returns at most limit instances whose addresses a caller in the failure domain near should use, in the order of
// membership.Entrypoints. Instances that are farther away than those before them, or suspected, are added only while there are fewer than
// minEntrypoints. The result includes this instance only if it is Ready, and is empty if no known instance accepts callers.
func (i *Instance) Entrypoints(near fleet.FailureDomain, limit int) []fleet.Member {
	members := i.peers.Serving()
	if !i.Ready() {
		members = slices.DeleteFunc(members, func(m fleet.Member) bool { return m.ID == i.config.Self.ID })
	}
	var chosen []fleet.Member
	var last fleet.Distance
	for _, m := range membership.Entrypoints(members, i.config.Topology, near, time.Now()) {
		distance := i.config.Topology.Distance(near, m.FailureDomain)
		if len(chosen) >= limit || len(chosen) >= minEntrypoints && (distance > last || m.State != fleet.MemberAlive) {
			break
		}
		last = distance
		chosen = append(chosen, m)
	}
	return chosen
}
