package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/rendezvous"
)

// WorkingSetPolicy configures how many instances of a fleet serve callers. The others stand by: callers aren't sent to them, but one that still
// has their address may send them requests.
type WorkingSetPolicy struct {
	// AllServeUpTo is the number of alive instances up to which all of them serve.
	AllServeUpTo int
	// CoresPerSlot is the processor capacity, in cores, that the working set must have for each slot of the targets.
	CoresPerSlot float64
	// MinPerDomain is the minimum number of instances in each failure domain. With more than one, the callers of a domain still have a near
	// instance after one has failed.
	MinPerDomain int
}

// DefaultWorkingSetPolicy provides three times the processor time that requests take (3.5 ms for each 0.7 s of a slot), which leaves capacity
// for bursts and for the failure of an instance. Up to 12 instances serve together, since so few can send each change to all others at once at
// little cost.
func DefaultWorkingSetPolicy() WorkingSetPolicy {
	return WorkingSetPolicy{AllServeUpTo: 12, CoresPerSlot: 0.015, MinPerDomain: 2}
}

// workingSetKey is the rendezvous key by which members of equal capacity are ordered.
const workingSetKey = "working-set"

// WorkingSet returns the members that callers are sent to, ordered by ID: the largest ones of each failure domain, as many as are needed for
// targets with targetSlots slots in total. In a large fleet instances can't exchange information about their requests in time; the fewer of
// them place requests, the better they agree on the load of the targets. Only alive members are chosen, so that the next one in order replaces
// a member that fails or drains. Instances with the same members and targets choose the same set. Entrypoints orders the set for one caller.
func WorkingSet(members []fleet.Member, targetSlots int, policy WorkingSetPolicy) []fleet.Member {
	byDomain := make(map[fleet.FailureDomain][]fleet.Member)
	var set []fleet.Member
	for _, m := range members {
		if m.State == fleet.MemberAlive {
			byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
			set = append(set, m)
		}
	}
	if len(set) > policy.AllServeUpTo {
		set = chooseMembers(byDomain, float64(targetSlots)*policy.CoresPerSlot, policy.MinPerDomain)
	}
	slices.SortFunc(set, func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
	return set
}

// chooseMembers returns minPerDomain members of each failure domain, and then adds members until the set has the given cores, each time from
// the domain that has the least capacity in the set. The lists in byDomain are sorted in place.
func chooseMembers(byDomain map[fleet.FailureDomain][]fleet.Member, cores float64, minPerDomain int) []fleet.Member {
	for _, list := range byDomain {
		rank(list)
	}
	domains := slices.Sorted(maps.Keys(byDomain))
	var set []fleet.Member
	chosen := make(map[fleet.FailureDomain]int)
	capacity := make(map[fleet.FailureDomain]float64)
	total := 0.0
	add := func(d fleet.FailureDomain) {
		m := byDomain[d][chosen[d]]
		chosen[d]++
		capacity[d] += CapacityOf(m)
		total += CapacityOf(m)
		set = append(set, m)
	}
	for _, d := range domains {
		for range min(minPerDomain, len(byDomain[d])) {
			add(d)
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
		add(next)
	}
	return set
}

// rank sorts members by capacity, largest first, and members of equal capacity by a hash. The hash is computed once per member, because each
// instance ranks all members several times per second.
func rank(members []fleet.Member) {
	scores := make(map[fleet.InstanceID]uint64, len(members))
	for _, m := range members {
		scores[m.ID] = rendezvous.Score(workingSetKey, string(m.ID))
	}
	slices.SortFunc(members, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// CapacityOf returns the processor capacity of a member in cores, 1 if the member doesn't state it.
func CapacityOf(m fleet.Member) float64 {
	if m.Capacity > 0 {
		return m.Capacity
	}
	return 1
}
