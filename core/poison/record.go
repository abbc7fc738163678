package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// Record is what instances tell each other about a part. Ages stand for times, since the clocks of instances differ.
type Record struct {
	Part Part `json:"p"`
	// Epoch is the number of times that the part was lifted.
	Epoch uint32 `json:"e,omitempty"`
	// Cleared voids the crashes of epochs below it; see IsCleared.
	Cleared  uint32        `json:"c,omitempty"`
	Callers  []string      `json:"u,omitempty"`
	Requests []uint32      `json:"q,omitempty"` // hashes that tell up to two requests apart
	Crashes  []CrashRecord `json:"x,omitempty"`
	// BlockedMillis is the time for which the part has been blocked, in milliseconds; 0 if it isn't blocked, or only just was. For operators.
	BlockedMillis int64 `json:"b,omitempty"`
}

// CrashRecord is a crash in a Record.
type CrashRecord struct {
	Target    fleet.TargetID `json:"t"`
	AgeMillis int64          `json:"a"`
	Epoch     uint32         `json:"e,omitempty"` // epoch of the part in which the crash counts
}

// IsCleared reports whether the record says that an answer with the part was complete.
func (r Record) IsCleared() bool { return r.Cleared > r.Epoch }

// clearedRecord returns the record of a part that has a completed answer in an epoch.
func clearedRecord(p Part, epoch uint32) Record {
	return Record{Part: p, Epoch: epoch, Cleared: epoch + 1}
}

// age returns the time since at in milliseconds, within its bounds. It is rounded down, so that a crash never becomes older from peer to peer.
func age(at, now time.Time) int64 {
	return min(max(now.Sub(at), 0), maxAge).Milliseconds()
}

// ago returns the time that was an age before now.
func ago(millis int64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(max(millis, 0), maxAge.Milliseconds())) * time.Millisecond)
}

// record returns the record of an entry.
func (e *entry) record(now time.Time) Record {
	r := Record{Part: e.part, Epoch: e.epoch, Cleared: e.cleared, Callers: slices.Clone(e.callers), Requests: slices.Clone(e.requests)}
	for _, c := range e.crashes {
		r.Crashes = append(r.Crashes, CrashRecord{Target: c.target, AgeMillis: age(c.at, now), Epoch: c.epoch})
	}
	if e.blocked {
		r.BlockedMillis = age(e.since, now)
	}
	return r
}

// decode returns the evidence in a peer's record, within its bounds. It reports false if there is none.
func (t *Tracker) decode(r Record, now time.Time) (*entry, bool) {
	e := &entry{
		part: r.Part, epoch: min(r.Epoch, maxEpoch), cleared: min(r.Cleared, maxEpoch+1), callers: t.boundCallers(r.Callers),
		requests: lowest(slices.Clone(r.Requests), maxRequests),
	}
	if r.Part == "" || len(r.Part) > MaxPartBytes {
		return nil, false
	}
	if r.BlockedMillis > 0 {
		e.since = ago(r.BlockedMillis, now)
	}
	for _, x := range r.Crashes {
		c := crash{target: x.Target, at: ago(x.AgeMillis, now), epoch: min(x.Epoch, e.epoch)}
		repeated := func(o crash) bool { return o.target == c.target && o.at.Sub(c.at).Abs() < t.policy.SameCrash/2 }
		if c.epoch < e.cleared || c.target == "" || len(c.target) > MaxNameBytes || slices.ContainsFunc(e.crashes, repeated) {
			continue
		}
		if e.crashes = append(e.crashes, c); len(e.crashes) == t.policy.MaxCrashes {
			break
		}
	}
	return e, e.cleared > 0 || e.epoch > 0 || len(e.crashes) > 0
}

// Merge applies records of a peer; values out of range are clamped, and records that say nothing are skipped. changed are the records of
// parts of which something was news here, for other peers. answers are those of parts of which the peer lacks something, for example that
// an answer was complete. An answer calls for no further answer unless evidence was added meanwhile.
func (t *Tracker) Merge(records []Record, now time.Time) (changed, answers []Record) {
	var news, lacking []Part
	for _, r := range records {
		o, ok := t.decode(r, now)
		if !ok {
			continue
		}
		isNews, lacks := t.merge(o, now)
		if isNews {
			news = append(news, o.part)
		}
		if lacks {
			lacking = append(lacking, o.part)
		}
	}
	t.attribute(now)
	return t.recordsOf(news, now), t.recordsOf(lacking, now)
}

// merge applies the evidence of a peer on one part.
func (t *Tracker) merge(o *entry, now time.Time) (news, lacks bool) {
	known := t.completed[o.part]
	if o.cleared > o.epoch {
		e := t.entries[o.part]
		switch {
		case e == nil:
			return t.remember(o.part, o.cleared-1), false
		case e.epoch < o.cleared:
			t.remove(e)
			t.remember(o.part, o.cleared-1)
			return true, false
		}
		news = e.cleared < o.cleared
		e.void(o.cleared)
		t.weigh(e)
		return news, true
	}
	if known != nil {
		c := known.Value.(*clearance)
		if c.epoch >= o.epoch {
			return false, true
		}
		// The part was lifted after it had been cleared, by an operator who could not know of that.
		o.void(c.epoch + 1)
		t.recent.Remove(known)
		delete(t.completed, o.part)
	}
	return t.join(o, t.policy.SameCrash, now)
}

// recordsOf returns the records of parts, each once.
func (t *Tracker) recordsOf(parts []Part, now time.Time) []Record {
	slices.Sort(parts)
	var records []Record
	for _, p := range slices.Compact(parts) {
		if e := t.entries[p]; e != nil {
			records = append(records, e.record(now))
		} else if el := t.completed[p]; el != nil {
			records = append(records, clearedRecord(p, el.Value.(*clearance).epoch))
		}
	}
	return records
}

// Records returns up to n records for anti-entropy: first the parts that are or were blocked, which get at least half of the places if they
// need them, then those under suspicion. Both continue in turn from call to call. Complete answers are told on demand only; see Merge.
func (t *Tracker) Records(n int, now time.Time) []Record {
	var parts [2][]Part // suspects and settled parts
	for p, e := range t.entries {
		kind := 0
		if e.settled {
			kind = 1
		}
		parts[kind] = append(parts[kind], p)
	}
	n = min(max(n, 0), len(t.entries))
	settled := min(len(parts[1]), max((n+1)/2, n-len(parts[0])))
	chosen := make([]Record, 0, n)
	for _, turn := range []struct{ kind, n int }{{1, settled}, {0, n - settled}} {
		of := parts[turn.kind]
		slices.Sort(of)
		start, found := slices.BinarySearch(of, t.cursors[turn.kind])
		if found {
			start++
		}
		for i := range turn.n {
			p := of[(start+i)%len(of)]
			t.cursors[turn.kind] = p
			chosen = append(chosen, t.entries[p].record(now))
		}
	}
	return chosen
}

// State is what is decided about a part.
type State string

// States of a part.
const (
	Suspected State = "suspected"
	Blocked   State = "blocked"
	Lifted    State = "lifted" // suspected, after its block was lifted
)

// Entry is what is known of a part, for operators.
type Entry struct {
	Part        Part
	State       State
	Epoch       uint32   // number of times that the part was lifted
	Callers     []string // callers of requests that were under the crashes, at most Policy.MaxCallers
	Crashes     []CrashRecord
	Tied        []Part    // other blocked parts with the same unexplained crashes; only requests with all of them are refused
	Unexplained int       // crashes since the part was last lifted that no part with more crashes explains
	Since       time.Time // when the first instance blocked the part; zero if it is not blocked
	Refused     uint64    // requests that Blocked found with the part at this instance
}

// Entries returns what is known of all suspected and blocked parts, for operators: blocked parts first, then by unexplained crashes.
func (t *Tracker) Entries(now time.Time) []Entry {
	order := map[State]int{Blocked: 0, Lifted: 1, Suspected: 2}
	entries := make([]Entry, 0, len(t.entries))
	for e := range maps.Values(t.entries) {
		r := e.record(now)
		slices.SortFunc(r.Crashes, func(a, b CrashRecord) int { return cmp.Compare(b.AgeMillis, a.AgeMillis) })
		x := Entry{Part: e.part, State: Suspected, Epoch: e.epoch, Callers: r.Callers, Crashes: r.Crashes, Refused: e.refused}
		switch {
		case e.blocked:
			x.State, x.Since = Blocked, e.since
			for _, o := range e.tied {
				if o != e {
					x.Tied = append(x.Tied, o.part)
				}
			}
			slices.Sort(x.Tied)
		case e.epoch > 0:
			x.State = Lifted
		}
		if valid, ok := t.strongest[e]; ok {
			x.Unexplained = valid
		} else {
			_, x.Unexplained = t.unexplained(e, now)
		}
		entries = append(entries, x)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(order[a.State], order[b.State]), cmp.Compare(b.Unexplained, a.Unexplained), cmp.Compare(a.Part, b.Part))
	})
	return entries
}
