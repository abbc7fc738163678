package poison

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// attribute decides which parts are blocked. It is a greedy set cover: the part with the most unexplained crashes explains all of its
// crashes, then the part with the most of what is left follows, until no part has as many as the policy asks for. Parts with equal numbers
// are taken together, so that the result depends on the evidence alone. A part that was lifted goes on to explain its former crashes;
// otherwise the parts that were under the same ones would be blocked in its place.
//
// Only requests with all of the parts that have the same unexplained crashes are refused. Otherwise no answer could clear the sound ones among
// them, such as the first part of all prompts, if every target crashed before one was complete. The next crash under some of the parts
// tells them apart.
func (t *Tracker) attribute(now time.Time) {
	if !t.changed {
		return
	}
	t.changed = false
	t.explained, t.strongest = map[fleet.TargetID][]crash{}, map[*entry]int{}
	left := make([]*entry, 0, len(t.heavy))
	for _, e := range t.heavy {
		e.tied = nil
		if len(e.requests) >= t.policy.Requests || e.epoch > 0 {
			left = append(left, e)
		} else {
			t.block(e, false, now)
		}
	}
	for {
		most := t.policy.Crashes
		counts := make([]int, len(left))
		for i, e := range left {
			counts[i], _ = t.unexplained(e, now)
			most = max(most, counts[i])
		}
		var strongest, rest []*entry
		for i, e := range left {
			if counts[i] == most {
				strongest = append(strongest, e)
			} else {
				rest = append(rest, e)
			}
		}
		if left = rest; len(strongest) == 0 {
			break
		}
		tied := map[string][]*entry{}
		for _, e := range strongest {
			_, valid := t.unexplained(e, now)
			t.strongest[e] = valid
			t.block(e, valid >= t.policy.Crashes && len(e.requests) >= t.policy.Requests, now)
			// Further crashes of a part with as many as are recorded would not tell it apart.
			if e.blocked && len(e.crashes) < t.policy.MaxCrashes {
				key := t.unexplainedTargets(e, now)
				tied[key] = append(tied[key], e)
			}
		}
		for _, group := range tied {
			for _, e := range group {
				e.tied = group
			}
		}
		for _, e := range strongest {
			for _, c := range e.crashes {
				t.explained[c.target] = append(t.explained[c.target], c)
			}
		}
	}
	for _, e := range left {
		t.block(e, false, now)
	}
	for t.settled > t.policy.MaxBlocked {
		t.forgetSettled()
	}
}

// unexplained returns the number of crashes of a part that no stronger part explains, and how many of them are of its present epoch.
func (t *Tracker) unexplained(e *entry, now time.Time) (all, valid int) {
	for _, c := range e.crashes {
		if slices.ContainsFunc(t.explained[c.target], func(x crash) bool { return t.same(c, x, now) }) {
			continue
		}
		all++
		if c.epoch == e.epoch {
			valid++
		}
	}
	return all, valid
}

// unexplainedTargets returns the targets of the crashes of a part that no stronger part explains.
func (t *Tracker) unexplainedTargets(e *entry, now time.Time) string {
	var targets []string
	for _, c := range e.crashes {
		if !slices.ContainsFunc(t.explained[c.target], func(x crash) bool { return t.same(c, x, now) }) {
			targets = append(targets, strconv.Quote(string(c.target)))
		}
	}
	slices.Sort(targets)
	return strings.Join(targets, " ")
}

// forgetSettled forgets the part that is or was blocked and has refused no request for the longest time.
func (t *Tracker) forgetSettled() {
	var oldest *entry
	for _, e := range t.entries {
		if e.settled && (oldest == nil || e.lastUse < oldest.lastUse) {
			oldest = e
		}
	}
	t.remove(oldest)
}
