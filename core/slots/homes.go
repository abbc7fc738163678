package slots

import (
	"cmp"
	"slices"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/core/rendezvous"
)

// Homes divides the targets among the instances of a working set and returns the home instance of each target. The home is in the failure
// domain of the target if the set has an instance there, otherwise among the nearest ones, and the number of targets of an instance follows
// its capacity. An instance first fills the targets whose home it is, because the requests there are its own, which it counts without delay,
// and uses others when these are full. Targets of a service that has fewer targets than the set has instances get no home: all instances use
// them alike.
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
		assignHomes(homes, list, nearestMembers(set, topology, g.domain))
	}
	return homes
}

// nearestMembers returns the members with the smallest distance from a failure domain.
func nearestMembers(set []fleet.Member, topology fleet.Topology, domain fleet.FailureDomain) []fleet.Member {
	var nearest []fleet.Member
	minDistance := fleet.OtherRegion
	for _, m := range set {
		d := topology.Distance(m.FailureDomain, domain)
		if d < minDistance {
			minDistance, nearest = d, nil
		}
		if d == minDistance {
			nearest = append(nearest, m)
		}
	}
	return nearest
}

// assignHomes adds the homes of the targets to homes, for each member as many as targetCounts returns. Rendezvous hashing keeps most homes
// unchanged when a member or a target is added or removed.
func assignHomes(homes map[fleet.TargetID]fleet.InstanceID, targets []Target, members []fleet.Member) {
	if len(members) == 0 {
		return
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	remaining := targetCounts(len(targets), members)
	for _, t := range targets {
		chosen, score := -1, uint64(0)
		for i, m := range members {
			if s := rendezvous.Score(string(t.ID), string(m.ID)); remaining[i] > 0 && (chosen < 0 || s > score) {
				chosen, score = i, s
			}
		}
		remaining[chosen]--
		homes[t.ID] = members[chosen].ID
	}
}

// targetCounts returns the number of targets of each member, in proportion to the members' capacities. Each further target goes to the member
// with the lowest load after it.
func targetCounts(targets int, members []fleet.Member) []int {
	counts := make([]int, len(members))
	for range targets {
		next := 0
		for i := range members {
			if loadAfterNext(counts[i], members[i]) < loadAfterNext(counts[next], members[next]) {
				next = i
			}
		}
		counts[next]++
	}
	return counts
}

// loadAfterNext returns the number of targets per unit of capacity that a member has after one more target.
func loadAfterNext(targets int, m fleet.Member) float64 {
	return float64(targets+1) / membership.CapacityOf(m)
}

// Home is where a target belongs in a working set that is divided into groups.
type Home struct {
	Group    int
	Instance fleet.InstanceID // member of the group; empty if all members use the target alike
}

// GroupHomes divides the targets among the groups of a working set, and those of a group among its members. The group has a member in the failure
// domain of the target if any group has, otherwise it is among the nearest ones, and the number of targets of a group follows its capacity. Targets
// of a service of which a group has fewer than members have no home instance there, as with Homes.
func GroupHomes(targets []Target, groups *membership.Groups, topology fleet.Topology) map[fleet.TargetID]Home {
	type pool struct {
		service string
		domain  fleet.FailureDomain
	}
	pools := make(map[pool][]Target)
	for _, t := range targets {
		p := pool{t.Service, t.FailureDomain}
		pools[p] = append(pools[p], t)
	}
	// The groups as members of their own, by index.
	whole := make([]fleet.Member, len(groups.Members))
	index := make(map[fleet.InstanceID]int, len(whole))
	for i, members := range groups.Members {
		capacity := 0.0
		for _, m := range members {
			capacity += membership.CapacityOf(m)
		}
		whole[i] = fleet.Member{ID: fleet.InstanceID(groups.Key(i)), Capacity: capacity}
		index[whole[i].ID] = i
	}
	groupOf := make(map[fleet.TargetID]fleet.InstanceID, len(targets))
	for p, list := range pools {
		assignHomes(groupOf, list, nearestGroups(whole, groups, p.domain))
	}
	type share struct {
		service string
		group   int
	}
	shares := make(map[share][]Target)
	homes := make(map[fleet.TargetID]Home, len(targets))
	for _, t := range targets {
		group, ok := index[groupOf[t.ID]]
		if !ok {
			continue
		}
		homes[t.ID] = Home{Group: group}
		s := share{t.Service, group}
		shares[s] = append(shares[s], t)
	}
	for s, list := range shares {
		for id, instance := range Homes(list, groups.Members[s.group], topology) {
			homes[id] = Home{Group: s.group, Instance: instance}
		}
	}
	return homes
}

// nearestGroups returns the groups with the smallest distance from a failure domain. groups holds one entry for each group, by index.
func nearestGroups(groups []fleet.Member, division *membership.Groups, domain fleet.FailureDomain) []fleet.Member {
	var nearest []fleet.Member
	minDistance := fleet.OtherRegion
	for i, g := range groups {
		d := division.Distance(i, domain)
		if d < minDistance {
			minDistance, nearest = d, nil
		}
		if d == minDistance {
			nearest = append(nearest, g)
		}
	}
	return nearest
}
