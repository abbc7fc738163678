package membership

import (
	"cmp"
	"maps"
	"slices"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/rendezvous"
)

const (
	// parentsPerGroup is the number of members of a group that get an announcement from outside and pass it on to the group, and of the heads that
	// send it to both of them. With two, neither a lost datagram nor the loss of a member keeps an announcement from an instance. A head may be a lead
	// too, so that with one lead for each head, a single loss could cut both ways.
	parentsPerGroup = 2
	// groupsPerHead bounds the number of groups that a head serves, and by that its datagrams for one announcement.
	groupsPerHead = 12
	headsKey      = "announcement-heads"
	leadsKey      = "announcement-leads"
)

// FanOut is the tree along which changes are announced in a working set of several groups: from the instances that watch the store to the heads of
// each failure domain, from these to the leads of each group, and from these to the members of the group. It is a function of the groups, so that
// all instances with the same working set use the same tree.
type FanOut struct {
	groups *Groups
	heads  map[fleet.FailureDomain][]fleet.Member
	leads  [][]fleet.Member // of each group
}

// NewFanOut returns the tree of a working set.
func NewFanOut(groups *Groups) *FanOut {
	f := &FanOut{groups: groups, heads: make(map[fleet.FailureDomain][]fleet.Member)}
	byDomain := make(map[fleet.FailureDomain][]fleet.Member)
	groupsOf := make(map[fleet.FailureDomain]int)
	for i, members := range groups.Members {
		f.leads = append(f.leads, topMembers(leadsKey, members, parentsPerGroup))
		for _, m := range members {
			byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
		}
		for _, d := range groups.Domains[i] {
			groupsOf[d]++
		}
	}
	for d, members := range byDomain {
		f.heads[d] = topMembers(headsKey, members, parentsPerGroup*((groupsOf[d]+groupsPerHead-1)/groupsPerHead))
	}
	return f
}

// topMembers returns the n members that rendezvous hashing prefers for a key.
func topMembers(key string, members []fleet.Member, n int) []fleet.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(rendezvous.Score(key, string(b.ID)), rendezvous.Score(key, string(a.ID))), cmp.Compare(a.ID, b.ID))
	})
	return ranked[:min(n, len(ranked))]
}

// Children returns the members to which an instance passes an announcement on, in no particular order. watches says that it watches the store, and
// fromOtherRegion that it got the announcement from another region first.
func (f *FanOut) Children(self fleet.InstanceID, domain fleet.FailureDomain, watches, fromOtherRegion bool) []fleet.Member {
	isSelf := func(m fleet.Member) bool { return m.ID == self }
	children := make(map[fleet.InstanceID]fleet.Member)
	add := func(members []fleet.Member) {
		for _, m := range members {
			children[m.ID] = m
		}
	}
	head := slices.IndexFunc(f.heads[domain], isSelf)
	var otherRegions []fleet.Member // heads there
	for d, heads := range f.heads {
		switch {
		case !watches && (head < 0 || !fromOtherRegion):
		case f.groups.topology.Distance(domain, d) != fleet.OtherRegion:
			add(heads)
		case watches:
			otherRegions = append(otherRegions, heads...)
		}
	}
	for _, heads := range f.byRegion(otherRegions) {
		// The watchers of a region choose different heads, so that one of these may be lost.
		add(topMembers(string(self), heads, 1))
	}
	for i, leads := range f.leads {
		if head >= 0 && slices.Contains(f.groups.Domains[i], domain) {
			of := len(f.heads[domain]) / parentsPerGroup
			if of <= 1 || i%of == head/parentsPerGroup {
				add(leads)
			}
		}
		if slices.ContainsFunc(leads, isSelf) {
			add(f.groups.Members[i])
		}
	}
	delete(children, self)
	return slices.Collect(maps.Values(children))
}

// byRegion returns the members by region. A failure domain whose region is unknown is one of its own.
func (f *FanOut) byRegion(members []fleet.Member) map[string][]fleet.Member {
	regions := make(map[string][]fleet.Member)
	for _, m := range members {
		key := "domain " + string(m.FailureDomain)
		if region, known := f.groups.topology.RegionOf[m.FailureDomain]; known {
			key = "region " + string(region)
		}
		regions[key] = append(regions[key], m)
	}
	return regions
}

// IsLead reports whether an instance passes announcements on to its group.
func (f *FanOut) IsLead(id fleet.InstanceID, group int) bool {
	return slices.ContainsFunc(f.leads[group], func(m fleet.Member) bool { return m.ID == id })
}
