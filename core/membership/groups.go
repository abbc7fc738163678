package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/rendezvous"
)

const (
	// groupSize is the mean size of a group, minGroup and maxGroup bound it. Each further member costs every other one about 2 KB a second, and
	// with fewer members a burst finds fewer slots.
	groupSize, minGroup, maxGroup = 10, 8, 12
)

// Groups is the division of a working set into groups. Members of a group tell each other the number of their requests at each target; members of
// different groups don't.
type Groups struct {
	// Members are the members of each group, ordered by ID.
	Members [][]fleet.Member
	// Domains are the failure domains of each group, sorted: one, or several with few members each.
	Domains  [][]fleet.FailureDomain
	keys     []string // rendezvous keys of the groups
	of       map[fleet.InstanceID]int
	topology fleet.Topology
}

// MaxUngrouped is the size of a working set up to which it is not divided into groups: its members tell each other every change. Tests lower it, so that
// small fleets have groups.
var MaxUngrouped = 64

// Divide divides a working set into groups of 8 to 12 members of the same failure domain. It returns nil for a set of up to MaxUngrouped members.
// Failure domains of a region with fewer than 8 members are put together until they have that many; a rest joins the last of these, or forms a
// small group. Thirteen to fifteen members are one group, since two would be smaller than 8. Instances with the same set compute the same groups,
// and the loss of a member changes the group of few others.
func Divide(set []fleet.Member, topology fleet.Topology) *Groups {
	if len(set) <= MaxUngrouped {
		return nil
	}
	byDomain := make(map[fleet.FailureDomain][]fleet.Member)
	for _, m := range set {
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	g := &Groups{of: make(map[fleet.InstanceID]int, len(set)), topology: topology}
	for _, domains := range joinSmall(byDomain, topology) {
		var members []fleet.Member
		for _, d := range domains {
			members = append(members, byDomain[d]...)
		}
		g.divideDomains(domains, members)
	}
	return g
}

// joinSmall returns the failure domains, those with fewer than minGroup members joined with others of their region.
func joinSmall(byDomain map[fleet.FailureDomain][]fleet.Member, topology fleet.Topology) [][]fleet.FailureDomain {
	var joined [][]fleet.FailureDomain
	small := make(map[string][]fleet.FailureDomain)
	for _, d := range slices.Sorted(maps.Keys(byDomain)) {
		if len(byDomain[d]) >= minGroup {
			joined = append(joined, []fleet.FailureDomain{d})
			continue
		}
		region, known := topology.RegionOf[d]
		key := "region " + string(region)
		if !known {
			key = "domain " + string(d)
		}
		small[key] = append(small[key], d)
	}
	for _, key := range slices.Sorted(maps.Keys(small)) {
		var lists [][]fleet.FailureDomain
		size := 0 // members of the last list
		for _, d := range small[key] {
			if len(lists) == 0 || size >= minGroup {
				lists, size = append(lists, nil), 0
			}
			lists[len(lists)-1] = append(lists[len(lists)-1], d)
			size += len(byDomain[d])
		}
		if n := len(lists); n > 1 && size < minGroup {
			lists[n-2] = append(lists[n-2], lists[n-1]...)
			lists = lists[:n-1]
		}
		joined = append(joined, lists...)
	}
	return joined
}

// groupCount returns the number of groups of n members.
func groupCount(n int) int {
	if n < 2*minGroup {
		return 1
	}
	return int(math.Round(float64(n) / groupSize))
}

// divideDomains adds the groups of the members of some failure domains. Sizes differ by at most one. Members and groups choose each other by
// rendezvous scores as in a stable matching, whose result does not depend on an order: the loss of a member moves about one member from group to
// group.
func (g *Groups) divideDomains(domains []fleet.FailureDomain, members []fleet.Member) {
	n := groupCount(len(members))
	first := len(g.Members)
	for i := range n {
		g.keys = append(g.keys, "group/"+string(domains[0])+"/"+strconv.Itoa(i))
		g.Members = append(g.Members, nil)
		g.Domains = append(g.Domains, domains)
	}
	type pair struct {
		score  uint64
		member int
		group  int
	}
	pairs := make([]pair, 0, n*len(members))
	for i, m := range members {
		for j := range n {
			pairs = append(pairs, pair{rendezvous.Score(g.keys[first+j], string(m.ID)), i, first + j})
		}
	}
	// The score of a pair counts for both sides, so that taking the pairs from the highest score on gives the stable matching.
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(members[a.member].ID, members[b.member].ID), cmp.Compare(a.group, b.group))
	})
	smaller, larger := len(members)/n, len(members)%n // size of a group, and the number of groups with one more
	for _, p := range pairs {
		id, size := members[p.member].ID, len(g.Members[p.group])
		if _, taken := g.of[id]; taken || size > smaller || size == smaller && larger == 0 {
			continue
		}
		if size == smaller {
			larger--
		}
		g.of[id] = p.group
		g.Members[p.group] = append(g.Members[p.group], members[p.member])
	}
	for j := first; j < first+n; j++ {
		slices.SortFunc(g.Members[j], func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Of returns the index of the group of an instance. One that is not in the working set belongs to one of the nearest groups, but not to its Members.
func (g *Groups) Of(id fleet.InstanceID, domain fleet.FailureDomain) int {
	if i, ok := g.of[id]; ok {
		return i
	}
	chosen, nearest, best := 0, fleet.OtherRegion+1, uint64(0)
	for i := range g.Members {
		distance, score := g.Distance(i, domain), rendezvous.Score(g.keys[i], string(id))
		if distance < nearest || distance == nearest && score > best {
			chosen, nearest, best = i, distance, score
		}
	}
	return chosen
}

// Key returns an identifier of a group that most changes of the working set leave unchanged.
func (g *Groups) Key(group int) string { return g.keys[group] }

// Distance returns the distance of a failure domain from the nearest member of a group.
func (g *Groups) Distance(group int, domain fleet.FailureDomain) fleet.Distance {
	nearest := fleet.OtherRegion
	for _, d := range g.Domains[group] {
		nearest = min(nearest, g.topology.Distance(d, domain))
	}
	return nearest
}
