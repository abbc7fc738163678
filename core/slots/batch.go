package slots

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// batchWait is the state of an instance's batch items that wait for a slot of one service.
type batchWait struct {
	askedAt       time.Time     // when an item found no place last
	overflowSince time.Time     // since then, items find room at targets of other instances only; zero while they do not
	idle          time.Duration // time since the last placement for which a slot was free that no item could take
}

const (
	// maxAskInterval is the maximum interval between two requests for a place of an item that waits all the time.
	maxAskInterval = 250 * time.Millisecond
	// batchWaitTTL is the time without a request for a place after which items that wait then count as new.
	batchWaitTTL = 500 * time.Millisecond
)

func (v *View) batchWaitOf(service string) *batchWait {
	w, ok := v.batchWaits[service]
	if !ok {
		w = &batchWait{}
		v.batchWaits[service] = w
	}
	return w
}

// restartOverflow keeps items from targets of other instances until they have waited for OverflowDelay again.
func (w *batchWait) restartOverflow(now time.Time) { w.overflowSince, w.askedAt, w.idle = now, now, 0 }

// overflowLimit returns the number of items that may be at targets of other instances at now. It doubles with each overflowStep, so that a backlog
// uses idle targets within seconds, and few items are there when the other instances need the slots.
func (w *batchWait) overflowLimit(delay time.Duration, now time.Time) int {
	waited := now.Sub(w.overflowSince) - delay
	if w.overflowSince.IsZero() || waited < 0 {
		return 0
	}
	return 1 << min(int(waited/overflowStep), maxOverflowDoublings)
}

const (
	overflowStep         = 250 * time.Millisecond
	maxOverflowDoublings = 10
)

// batchPlaces are the best targets for a batch item, by what it takes to use them.
type batchPlaces struct {
	own      bestTarget // the item may start there at once
	foreign  bestTarget // its home is another instance, which needs the slot less
	reserved bestTarget // its free slots are kept for online requests, or those of its home
	probed   bestTarget // it sent too much, and one item tries whether it still does; see MarkOverlong
	overflow int        // yieldable items of this instance at targets whose home is another one
}

// PlaceBatch returns the target for a batch item, or false if the item must wait. It is the one place that decides which free slots batch items
// may use:
//
//   - An urgent item asks for a firm place, which it keeps while online requests wait. It gets any free slot at a target with fewer than FirmLimit
//     firm items, and is placed like any other item, as a yieldable one, at the others.
//   - A yieldable item gets a slot at once at a target whose home is this instance, or that has no home, unless the slot belongs to the reserve for
//     online requests; see Policy.BatchReserve.
//   - Items that have waited for OverflowDelay also get slots at targets of other instances: a few at first, and more as long as none has to yield.
//     Online requests there come from an instance that learns late of these items. An instance that is the home of a usable target of the service
//     therefore uses others only while less than half of the slots of the target, and of the service, are taken.
//   - Targets of other groups get items only if the own group has no usable target of the service.
//   - A target that sent more than it was asked for gets one item, if none of the above gives a slot; see MarkOverlong.
//   - If a service has had a free slot of any kind for MaxIdle, and none of its items started here in that time, one item gets the slot.
//
// The last rule bounds the time for which a usable target is idle while an item waits, whatever the other rules keep it from.
//
// The result does not say whether the item is firm: before any other change of the view, the caller must ask MayBeFirm about the returned target, and
// pass Count{Firm: 1} to Add for an urgent item if it returns true, otherwise Count{Yieldable: 1}. The caller must ask again within maxAskInterval
// while the item waits.
func (v *View) PlaceBatch(service, salt string, exclude map[fleet.TargetID]bool, urgent bool, now time.Time) (Target, bool) {
	places := v.batchPlaces(service, salt, exclude, urgent, now)
	w := v.batchWaitOf(service)
	chosen := w.choose(&places, v.policy, now)
	if chosen == nil {
		w.askedAt = now
		return Target{}, false
	}
	w.idle = 0
	return chosen.Target, true
}

// batchPlaces returns the best targets for an item.
func (v *View) batchPlaces(service, salt string, exclude map[fleet.TargetID]bool, urgent bool, now time.Time) batchPlaces {
	best := bestTarget{salt: salt}
	p := batchPlaces{own: best, foreign: best, reserved: best, probed: best}
	smallReserve := v.smallTargetReserve(service, now)
	pool := v.Pool(service, now)
	isHome, idleService := pool.Foreign < pool.Usable, isMostlyFree(pool.Load, pool.Slots)
	outside := v.needsOtherGroups(service, exclude, now)
	for _, t := range v.byService[service] {
		if t.foreign {
			p.overflow += t.own.Yieldable
		}
		if t.outside && !outside || exclude[t.ID] || !v.usable(t, now) || !t.takesItems(now) {
			continue
		}
		load := v.Load(t.ID, now)
		free := t.Slots - load.Total()
		score := float64(load.Total()) + v.distancePenalty(t)
		switch {
		case free <= 0:
		case t.overlong > 0:
			p.probed.consider(t, score)
		case urgent && load.Firm < v.policy.FirmLimit:
			p.own.consider(t, score)
		case t.Slots >= v.policy.ReserveUnit && free <= v.policy.BatchReserve, t.Slots < v.policy.ReserveUnit && smallReserve:
			p.reserved.consider(t, score)
		case t.foreign && (!isHome || idleService && isMostlyFree(load, t.Slots)):
			p.foreign.consider(t, score)
		case t.foreign:
			p.reserved.consider(t, score)
		default:
			p.own.consider(t, score)
		}
	}
	return p
}

// isMostlyFree reports whether less than half of the slots are in use.
func isMostlyFree(load Count, slots int) bool { return 2*load.Total() < slots }

// choose returns the target that an item gets at now, or nil.
func (w *batchWait) choose(p *batchPlaces, policy Policy, now time.Time) *target {
	if now.Sub(w.askedAt) > batchWaitTTL {
		*w = batchWait{askedAt: now}
	}
	if p.own.target != nil {
		return p.own.target
	}
	switch {
	case p.foreign.target == nil:
		w.overflowSince = time.Time{}
	case w.overflowSince.IsZero():
		w.overflowSince = now
	case p.overflow < w.overflowLimit(policy.OverflowDelay, now):
		return p.foreign.target
	}
	if p.probed.target != nil {
		return p.probed.target
	}
	if p.foreign.target == nil && p.reserved.target == nil {
		return nil
	}
	w.idle += min(now.Sub(w.askedAt), maxAskInterval)
	switch {
	case w.idle < policy.MaxIdle:
		return nil
	case p.foreign.target != nil:
		return p.foreign.target
	}
	return p.reserved.target
}

// smallTargetReserve reports whether the free slots at targets of a service with fewer than ReserveUnit slots are the reserve for online requests.
// These targets share one, since a reserve at each of them would be a large part of its slots, and all of those of a target with one slot.
func (v *View) smallTargetReserve(service string, now time.Time) bool {
	slots, free := 0, 0
	outside := v.needsOtherGroups(service, nil, now)
	for _, t := range v.byService[service] {
		if (!t.outside || outside) && t.Slots < v.policy.ReserveUnit && v.usable(t, now) {
			slots += t.Slots
			free += max(t.Slots-v.Load(t.ID, now).Total(), 0)
		}
	}
	reserve := (slots*v.policy.BatchReserve + v.policy.ReserveUnit - 1) / v.policy.ReserveUnit
	return free <= reserve
}

// MayBeFirm reports whether one more batch item at a target may keep its slot although online requests wait.
func (v *View) MayBeFirm(id fleet.TargetID, now time.Time) bool {
	return v.Load(id, now).Firm < v.policy.FirmLimit
}
