package membership

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/rendezvous"
)

const (
	// orderInterval is how long the order of entrypoints stays the same. At the design size an instance receives about 12
	// entrypoint requests per second (44,000 callers, TTL of 10 s, 370 instances), so that most responses differ.
	orderInterval = 10 * time.Millisecond
	// baseLoad is added to the load of every member, in requests in flight, so that small differences have little effect. Loads are
	// reported with the probes and can be minutes old in a large fleet.
	baseLoad = 8
)

// Entrypoints returns the members whose addresses a caller should use, best first: alive members by distance, then suspected ones by
// distance. Draining and dead members and those without a caller address are left out. Within a distance the order is random, weighted
// by load (requests in flight): a member with less load is more likely to be first. The order changes every orderInterval, so that
// the callers of a failure domain don't all get the same first address. It doesn't choose a working set: pass the result of WorkingSet to
// get only instances that serve, or all members where no working set is used.
func Entrypoints(members []fleet.Member, topology fleet.Topology, caller fleet.FailureDomain, now time.Time) []fleet.Member {
	type ranked struct {
		member   fleet.Member
		distance fleet.Distance
		draw     float64
	}
	slot := strconv.FormatInt(now.UnixNano()/int64(orderInterval), 10)
	key := string(caller) + "/" + slot
	var candidates []ranked
	for _, m := range members {
		if m.State > fleet.MemberSuspect || m.CallerAddress == "" {
			continue
		}
		candidates = append(candidates, ranked{
			member:   m,
			distance: topology.Distance(caller, m.FailureDomain),
			draw:     weightedDraw(key, m),
		})
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.member.State, b.member.State),
			cmp.Compare(a.distance, b.distance),
			cmp.Compare(a.draw, b.draw),
			cmp.Compare(a.member.ID, b.member.ID),
		)
	})
	ordered := make([]fleet.Member, len(candidates))
	for i, c := range candidates {
		ordered[i] = c.member
	}
	return ordered
}

// weightedDraw returns the sort key of a member by weighted rendezvous hashing. The smallest value of -ln(u)/weight wins with a probability
// proportional to weight; the weight is 1/(baseLoad + requests in flight).
func weightedDraw(key string, m fleet.Member) float64 {
	const mantissa = 53 // bits of a float64 mantissa
	u := (float64(rendezvous.Score(key, string(m.ID))>>(64-mantissa)) + 1) / (1 << mantissa)
	return -math.Log(u) * float64(baseLoad+max(0, m.InFlight))
}

// watchersKey is the rendezvous key by which watchers are chosen.
const watchersKey = "store-watchers"

// Watchers returns the instances that watch the store, up to perRegion of each region, ordered by ID. Only alive members are chosen,
// so that a suspected watcher is replaced at once. Members whose region is unknown are treated as one more region.
func Watchers(members []fleet.Member, topology fleet.Topology, perRegion int) []fleet.InstanceID {
	byRegion := map[fleet.Region][]string{}
	for _, m := range members {
		if m.State == fleet.MemberAlive {
			region := topology.RegionOf[m.FailureDomain]
			byRegion[region] = append(byRegion[region], string(m.ID))
		}
	}
	var watchers []fleet.InstanceID
	for _, ids := range byRegion {
		for _, id := range rendezvous.Rendezvous(watchersKey, ids, perRegion) {
			watchers = append(watchers, fleet.InstanceID(id))
		}
	}
	slices.Sort(watchers)
	return watchers
}
