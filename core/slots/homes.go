package slots

import (
	"cmp"
	"slices"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/core/rendezvous"
)

// Homes divides the targets among the instances of a working set: each target is the home of one instance, of the same failure domain where
// there is one, and each instance gets targets by its capacity. An instance fills its own targets first, of which it knows all requests, and
// goes to others when these are full. A target for which all instances are equally good has no entry: those of a service that has fewer
// targets than instances.
func Homes(targets []Target, set []fleet.Member, topology fleet.Topology) map[fleet.TargetID]fleet.InstanceID {
	type group struct {
		service string
		domain  fleet.FailureDomain
	}
	groups := make(map[group][]Target)
	perService := make(map[string]int)
	for _, t := range targets {
		g := group{t.Service, t.FailureDomain}
		groups[g] = append(groups[g], t)
		perService[t.Service]++
	}
	homes := make(map[fleet.TargetID]fleet.InstanceID, len(targets))
	for g, list := range groups {
		if perService[g.service] < len(set) {
			continue
		}
		divide(homes, list, nearest(set, topology, g.domain))
	}
	return homes
}

// nearest returns the members at the least distance from a failure domain.
func nearest(set []fleet.Member, topology fleet.Topology, domain fleet.FailureDomain) []fleet.Member {
	var near []fleet.Member
	least := fleet.OtherRegion
	for _, m := range set {
		d := topology.Distance(m.FailureDomain, domain)
		if d < least {
			least, near = d, nil
		}
		if d == least {
			near = append(near, m)
		}
	}
	return near
}

// divide gives each of the members its part of the targets. Within the parts, rendezvous keeps most targets where they are when a member or a
// target comes or goes.
func divide(homes map[fleet.TargetID]fleet.InstanceID, targets []Target, members []fleet.Member) {
	if len(members) == 0 {
		return
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	left := parts(len(targets), members)
	for _, t := range targets {
		chosen, score := -1, uint64(0)
		for i, m := range members {
			if s := rendezvous.Score(string(t.ID), string(m.ID)); left[i] > 0 && (chosen < 0 || s > score) {
				chosen, score = i, s
			}
		}
		left[chosen]--
		homes[t.ID] = members[chosen].ID
	}
}

// parts divides a number of targets by the capacities of members, whole targets each: the next one goes to the member that has the least of
// them for its capacity.
func parts(targets int, members []fleet.Member) []int {
	counts := make([]int, len(members))
	for range targets {
		least := 0
		for i := range members {
			if load(counts[i], members[i]) < load(counts[least], members[least]) {
				least = i
			}
		}
		counts[least]++
	}
	return counts
}

// load is the load of a member after one more target, for its capacity.
func load(targets int, m fleet.Member) float64 {
	return float64(targets+1) / membership.CapacityOf(m)
}
