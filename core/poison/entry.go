package poison

import (
	"slices"
	"strings"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// crash is one crash under which a part was.
type crash struct {
	target fleet.TargetID
	at     time.Time
	epoch  uint32 // epoch of the part in which the crash counts
}

// entry is the evidence against a part.
type entry struct {
	part     Part
	epoch    uint32   // rises with each Lift
	cleared  uint32   // crashes of epochs below this are void
	crashes  []crash  // at most Policy.MaxCrashes, in no order
	callers  []string // sorted
	requests []uint32 // the lowest hashes of the requests of this epoch, sorted

	blocked bool
	tied    []*entry  // itself and the blocked parts with the same unexplained crashes; only requests with all of them are refused
	since   time.Time // start of the block at the first instance, if the part is blocked
	refused uint64    // requests, by this instance
	lastUse uint64
	settled bool // counted in Tracker.settled
}

// lastCrash returns the time of the latest crash.
func (e *entry) lastCrash() time.Time {
	var last time.Time
	for _, c := range e.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// weaker reports whether e is forgotten before o when there are too many suspects. With a margin, times that differ by no more are equal.
func (e *entry) weaker(o *entry, margin time.Duration) bool {
	if len(e.crashes) != len(o.crashes) {
		return len(e.crashes) < len(o.crashes)
	}
	if later := o.lastCrash().Sub(e.lastCrash()); later != 0 || margin != 0 {
		return later > margin
	}
	return e.part < o.part
}

// same reports whether two crashes, seen by different instances or recorded for different parts, are the same one. Old crashes get a margin for the
// difference between clocks.
func (t *Tracker) same(a, b crash, now time.Time) bool {
	if a.target != b.target {
		return false
	}
	older := a.at
	if b.at.Before(older) {
		older = b.at
	}
	return a.at.Sub(b.at).Abs() < t.policy.SameCrash+now.Sub(older)/driftShare
}

// join adds the evidence of o to that against its part. It reports whether that was news here, and whether o lacks evidence. margin is
// that of weaker.
func (t *Tracker) join(o *entry, margin time.Duration, now time.Time) (news, lacks bool) {
	e := t.entries[o.part]
	if e == nil {
		return t.add(o, margin), false
	}
	news, lacks = e.cleared < o.cleared || e.epoch < o.epoch, e.cleared > o.cleared || e.epoch > o.epoch
	e.void(o.cleared)
	switch {
	case e.epoch < o.epoch:
		e.epoch, e.requests, e.since = o.epoch, o.requests, time.Time{}
	case e.epoch == o.epoch:
		all := lowest(append(slices.Clone(e.requests), o.requests...), maxRequests)
		news, lacks = news || !slices.Equal(all, e.requests), lacks || !slices.Equal(all, o.requests)
		e.requests = all
	}
	e.callers = lowest(append(slices.Clone(e.callers), o.callers...), t.policy.MaxCallers)
	if e.epoch == o.epoch && !o.since.IsZero() && (e.since.IsZero() || o.since.Before(e.since)) {
		e.since = o.since
	}
	// Crashes of one side differ from each other, so that each is the same as at most one of the other side.
	own := len(e.crashes)
	matched := make([]bool, own)
	for _, c := range o.crashes {
		if c.epoch < e.cleared {
			continue
		}
		best := -1
		for i, have := range e.crashes[:own] {
			if !matched[i] && t.same(have, c, now) && (best < 0 || c.at.Sub(have.at).Abs() < c.at.Sub(e.crashes[best].at).Abs()) {
				best = i
			}
		}
		if best < 0 {
			if len(e.crashes) < t.policy.MaxCrashes {
				c.target = fleet.TargetID(strings.Clone(string(c.target)))
				e.crashes = append(e.crashes, c)
				news = true
			}
			continue
		}
		have := &e.crashes[best]
		matched[best] = true
		news, lacks = news || have.epoch < c.epoch, lacks || have.epoch > c.epoch
		have.epoch = max(have.epoch, c.epoch)
		if c.at.Before(have.at) {
			have.at = c.at // times grow by the delay of a message
		}
	}
	if slices.Contains(matched, false) && len(o.crashes) < t.policy.MaxCrashes {
		lacks = true
	}
	t.weigh(e)
	return news, lacks
}

// void drops the crashes of epochs below cleared.
func (e *entry) void(cleared uint32) {
	e.cleared = max(e.cleared, cleared)
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return c.epoch < e.cleared })
}

// add starts the entry of a part. It reports false if there are too many suspects that are stronger.
func (t *Tracker) add(e *entry, margin time.Duration) bool {
	e.part = Part(strings.Clone(string(e.part)))
	for i, c := range e.crashes {
		e.crashes[i].target = fleet.TargetID(strings.Clone(string(c.target)))
	}
	if e.epoch == 0 && len(t.entries)-t.settled >= t.policy.MaxSuspects {
		weakest := e
		for _, o := range t.entries {
			if !o.settled && o.weaker(weakest, 0) {
				weakest = o
			}
		}
		if weakest == e || !weakest.weaker(e, margin) {
			return false
		}
		t.remove(weakest)
	}
	t.entries[e.part] = e
	t.weigh(e)
	return true
}

// weigh files an entry whose evidence has changed.
func (t *Tracker) weigh(e *entry) {
	if len(e.crashes) >= t.policy.Crashes {
		t.heavy[e.part] = e
	} else if t.heavy[e.part] != nil {
		delete(t.heavy, e.part)
		t.block(e, false, e.since)
	}
	t.changed = true
	t.settle(e)
}

// block sets whether a part is blocked.
func (t *Tracker) block(e *entry, blocked bool, now time.Time) {
	if blocked && !e.blocked && (e.since.IsZero() || e.since.After(now)) {
		e.since = now
	}
	if !blocked {
		e.since = time.Time{}
	}
	e.blocked = blocked
	t.settle(e)
}

// settle counts the entries that are or were blocked. It doesn't keep to Policy.MaxBlocked.
func (t *Tracker) settle(e *entry) {
	settled := e.blocked || e.epoch > 0
	if settled == e.settled {
		return
	}
	e.settled = settled
	if !settled {
		t.settled--
		return
	}
	t.settled++
	t.uses++
	e.lastUse = t.uses
}

// remove forgets the entry of a part.
func (t *Tracker) remove(e *entry) {
	if e.settled {
		t.settled--
	}
	delete(t.entries, e.part)
	if t.heavy[e.part] != nil {
		delete(t.heavy, e.part)
		t.changed = true
	}
}

// lowest returns the n lowest different values in order. The n lowest of a union don't depend on the order in which its sets are joined.
func lowest[T ~string | ~uint32](values []T, n int) []T {
	slices.Sort(values)
	values = slices.Compact(values)
	return slices.Clip(values[:min(n, len(values))])
}

// boundCallers returns a set of callers within its bounds.
func (t *Tracker) boundCallers(callers []string) []string {
	var bounded []string
	for _, c := range callers {
		if c != "" {
			bounded = append(bounded, strings.Clone(c[:min(len(c), MaxNameBytes)]))
		}
	}
	return lowest(bounded, t.policy.MaxCallers)
}
