package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/rendezvous"
)

// WorkingSetPolicy says how many instances of a fleet serve callers while the others stand by.
type WorkingSetPolicy struct {
	// AllUpTo is the largest fleet of which all instances serve.
	AllUpTo int
	// CoresPerSlot is the processor capacity in cores that the working set has for each slot of the targets.
	CoresPerSlot float64
	// LeastPerDomain is the least number of each failure domain, so that the loss of one leaves its callers another one near.
	LeastPerDomain int
}

// DefaultWorkingSetPolicy provides three times the processor time that a request takes (3.5 ms, in 0.7 s of a slot), so that a burst and the
// loss of an instance leave room. Up to 12 instances hear each change of the others at once at little cost.
func DefaultWorkingSetPolicy() WorkingSetPolicy {
	return WorkingSetPolicy{AllUpTo: 12, CoresPerSlot: 0.015, LeastPerDomain: 2}
}

// workingSetKey is the rendezvous key that orders members of the same capacity.
const workingSetKey = "working-set"

// WorkingSet returns the members that callers are sent to, ordered by ID: the largest ones of each failure domain, as many as targets with
// that many slots need. It answers fleets whose instances are too many to hear of each other's requests in time: the fewer place requests,
// the better their views agree. Only alive members count, so that the next in order replaces one that fails or drains. All that see the same
// members and targets choose the same set.
func WorkingSet(members []fleet.Member, targetSlots int, policy WorkingSetPolicy) []fleet.Member {
	byDomain := make(map[fleet.FailureDomain][]fleet.Member)
	var set []fleet.Member
	for _, m := range members {
		if m.State == fleet.MemberAlive {
			byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
			set = append(set, m)
		}
	}
	if len(set) > policy.AllUpTo {
		set = choose(byDomain, float64(targetSlots)*policy.CoresPerSlot, policy.LeastPerDomain)
	}
	slices.SortFunc(set, func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
	return set
}

// choose takes members of each failure domain until they have the cores, each time from the domain that has the least so far.
func choose(byDomain map[fleet.FailureDomain][]fleet.Member, cores float64, leastPerDomain int) []fleet.Member {
	for _, list := range byDomain {
		rank(list)
	}
	domains := slices.Sorted(maps.Keys(byDomain))
	var set []fleet.Member
	chosen := make(map[fleet.FailureDomain]int)
	capacity := make(map[fleet.FailureDomain]float64)
	total := 0.0
	take := func(d fleet.FailureDomain) {
		m := byDomain[d][chosen[d]]
		chosen[d]++
		capacity[d] += CapacityOf(m)
		total += CapacityOf(m)
		set = append(set, m)
	}
	for _, d := range domains {
		for range min(leastPerDomain, len(byDomain[d])) {
			take(d)
		}
	}
	for total < cores {
		next, least := fleet.FailureDomain(""), math.Inf(1)
		for _, d := range domains {
			if chosen[d] < len(byDomain[d]) && capacity[d] < least {
				next, least = d, capacity[d]
			}
		}
		if math.IsInf(least, 1) {
			break
		}
		take(next)
	}
	return set
}

// rank orders members by capacity, those of the same capacity by a hash, which is computed once a member: each instance ranks all several times
// a second.
func rank(members []fleet.Member) {
	scores := make(map[fleet.InstanceID]uint64, len(members))
	for _, m := range members {
		scores[m.ID] = rendezvous.Score(workingSetKey, string(m.ID))
	}
	slices.SortFunc(members, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// CapacityOf returns the processor capacity of a member in cores. A member that states none counts as one core.
func CapacityOf(m fleet.Member) float64 {
	if m.Capacity > 0 {
		return m.Capacity
	}
	return 1
}
