package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassproxy.example/core/fleet"
)

// distancePenalty returns the penalty, in requests, for a target in another failure domain or with another home instance.
func (v *View) distancePenalty(t *target) float64 {
	foreign := 0.0
	if t.foreign {
		foreign = v.policy.ForeignPenalty * float64(t.Slots)
	}
	switch v.topology.Distance(v.domain, t.FailureDomain) {
	case fleet.SameFailureDomain:
		return foreign
	case fleet.SameRegion:
		return v.policy.RegionPenalty + foreign
	}
	return v.policy.RemotePenalty + foreign
}

// tieBreak returns a pseudo-random rank of a target for a salt. It orders targets with equal scores differently for each request, so that
// instances that decide at the same time do not all choose the same target.
func tieBreak(salt string, id fleet.TargetID) uint64 {
	return xxhash.Sum64String(salt + "\x00" + string(id))
}

// bestTarget holds the considered target with the lowest score; among equal scores the one with the lowest tieBreak.
type bestTarget struct {
	salt   string
	target *target
	score  float64
	tie    uint64
}

func (b *bestTarget) consider(t *target, score float64) {
	tie := tieBreak(b.salt, t.ID)
	if b.target == nil || score < b.score || score == b.score && tie < b.tie {
		b.target, b.score, b.tie = t, score, tie
	}
}

// PlaceResult is the result of Place, apart from the target.
type PlaceResult int

// Results of Place.
const (
	Placed   PlaceResult = iota
	Full                 // every target that may be used has its slots in use and MaxQueue requests waiting
	NoTarget             // no target may be used
)

// Place returns the target for an online request of a service. It prefers a target with a free slot, then one whose batch items will yield,
// then the one with the shortest queue. salt, usually the request's ID, breaks ties. Targets in exclude, which the request has tried already,
// are not used. Avoided and ejected targets are used only if no other target is left; while one of the others is merely full, the result is
// Full. The same holds for targets of other groups, which are used before avoided and ejected ones.
func (v *View) Place(service, salt string, exclude map[fleet.TargetID]bool, now time.Time) (Target, PlaceResult) {
	if t, result := v.place(service, salt, exclude, now, false); result != NoTarget {
		return t, result
	}
	return v.place(service, salt, exclude, now, true)
}

func (v *View) place(service, salt string, exclude map[fleet.TargetID]bool, now time.Time, includeAvoided bool) (Target, PlaceResult) {
	outside := v.needsOtherGroups(service, exclude, now)
	return v.placeWhere(service, salt, now, func(t *target) bool {
		return (!t.outside || outside) && !exclude[t.ID] && v.accepts(t) && (includeAvoided || v.usable(t, now))
	})
}

// placeWhere returns the best target with room of those that may be used.
func (v *View) placeWhere(service, salt string, now time.Time, mayUse func(*target) bool) (Target, PlaceResult) {
	found := bestTarget{salt: salt}
	result := NoTarget
	for _, t := range v.byService[service] {
		if !mayUse(t) {
			continue
		}
		load := v.Load(t.ID, now)
		if load.Online+load.Firm >= t.Slots+v.policy.MaxQueue {
			result = Full
			continue
		}
		found.consider(t, onlineScore(load, t.Slots)+v.distancePenalty(t))
	}
	if found.target == nil {
		return Target{}, result
	}
	return found.target.Target, Placed
}

// needsOtherGroups reports whether requests of a service may go to targets of other groups: there is no usable one outside of exclude in the own group.
func (v *View) needsOtherGroups(service string, exclude map[fleet.TargetID]bool, now time.Time) bool {
	return !slices.ContainsFunc(v.byService[service], func(t *target) bool { return !t.outside && !exclude[t.ID] && v.usable(t, now) })
}

// PlaceUsable is like Place, but uses no avoided or ejected targets.
func (v *View) PlaceUsable(service, salt string, exclude map[fleet.TargetID]bool, now time.Time) (Target, PlaceResult) {
	return v.place(service, salt, exclude, now, false)
}

// PlaceAmong returns the best of the given targets of a service for an online request, like Place. Avoided and ejected ones, and those of other groups,
// are used as well: the request was there before.
func (v *View) PlaceAmong(service, salt string, among map[fleet.TargetID]bool, now time.Time) (Target, PlaceResult) {
	return v.placeWhere(service, salt, now, func(t *target) bool { return among[t.ID] && v.accepts(t) })
}

// HasRoom reports whether Place would find a target at now without using avoided or ejected ones.
func (v *View) HasRoom(service string, exclude map[fleet.TargetID]bool, now time.Time) bool {
	_, result := v.place(service, "", exclude, now, false)
	return result == Placed
}

// HasTarget reports whether a target of the service outside of exclude may get requests, though it may be full, avoided or ejected. Place
// returns NoTarget otherwise.
func (v *View) HasTarget(service string, exclude map[fleet.TargetID]bool) bool {
	return slices.ContainsFunc(v.byService[service], func(t *target) bool { return !exclude[t.ID] && v.accepts(t) })
}

// Occupied returns the targets of a service whose slots are all in use, by batch items too.
func (v *View) Occupied(service string, now time.Time) []fleet.TargetID {
	var list []fleet.TargetID
	for _, t := range v.byService[service] {
		if v.Load(t.ID, now).Total() >= t.Slots {
			list = append(list, t.ID)
		}
	}
	return list
}

// IsLeaving reports whether a target, as it was last listed, accepts no new requests.
func (v *View) IsLeaving(id fleet.TargetID) bool {
	t := v.targets[id]
	return t != nil && !v.accepts(t)
}

// onlineScore rises with the expected wait. With a free slot it is the number of slots in use; otherwise it is the number of slots plus that
// of the requests that do not yield.
func onlineScore(load Count, slots int) float64 {
	if load.Total() < slots {
		return float64(load.Total())
	}
	return float64(slots + load.Online + load.Firm)
}

// Excess returns, for each target that holds more requests than slots, how many of its yieldable batch items this instance must end.
// All instances divide the excess in the same order, so that each excess request is compensated by exactly one of them, provided that their
// views are equal. While the views differ, two instances may end an item for the same excess request, or none does until a later call. If
// the excess is larger than the number of yieldable items at the target, all of these are to end and the rest of the excess remains. Items that end at
// targets of other instances stop PlaceBatch from using such targets for a while.
func (v *View) Excess(now time.Time) map[fleet.TargetID]int {
	var result map[fleet.TargetID]int
	for id, t := range v.inUse {
		if t.own.Yieldable == 0 {
			continue
		}
		excess := v.Load(id, now).Total() - t.Slots
		if excess <= 0 {
			continue
		}
		share := v.excessShare(id, excess, now)
		if share == 0 {
			continue
		}
		if result == nil {
			result = make(map[fleet.TargetID]int)
		}
		result[id] = share
		if t.foreign {
			v.batchWaitOf(t.Service).restartOverflow(now)
		}
	}
	return result
}

// excessShare returns how many of the excess requests at a target this instance must compensate. The order in which instances do so differs by
// target.
func (v *View) excessShare(id fleet.TargetID, excess int, now time.Time) int {
	type holder struct {
		instance  fleet.InstanceID
		yieldable int
	}
	holders := []holder{{v.self, v.targets[id].own.Yieldable}}
	for name, p := range v.peers {
		if n := p.counts[id].Yieldable; n > 0 && now.Sub(p.reportedAt) < v.policy.PeerExpiry {
			holders = append(holders, holder{name, n})
		}
	}
	slices.SortFunc(holders, func(a, b holder) int {
		return cmp.Or(cmp.Compare(tieBreak(string(a.instance), id), tieBreak(string(b.instance), id)), cmp.Compare(a.instance, b.instance))
	})
	for _, h := range holders {
		taken := min(h.yieldable, excess)
		if h.instance == v.self {
			return taken
		}
		excess -= taken
		if excess <= 0 {
			return 0
		}
	}
	return 0
}
