// Package poison finds the part of a prompt that crashes the targets that answer it (a "query of death"), so that requests with that part
// can be refused.
//
// Evidence against a part are crashes of targets that held a request with it. A complete answer to a request with the part clears it.
// Requests that ran beside the guilty one are under the same crash; therefore a crash that a blocked part with more crashes explains does
// not count against another part. See docs/design/parts-that-crash-targets.md.
//
// The state of a part forms a join-semilattice: instances exchange it as records in any order, more than once, and reach the same decision.
//
// The package does no I/O, reads no clock and starts no goroutines.
package poison

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// Bounds of the values in records, which may come from a faulty sender.
const (
	// MaxPartBytes is the length of the longest part, in bytes: that of the digest that PartOf makes of longer identifiers.
	MaxPartBytes = 2 * sha256.Size
	// MaxNameBytes is the length of the longest name of a target or caller, in bytes. Crashes of targets with longer names are not
	// recorded; names of callers are cut.
	MaxNameBytes = 64
	// maxAge bounds the ages in records. An older crash counts as this old.
	maxAge = 365 * 24 * time.Hour
	// maxEpoch bounds the number of times that a part can be lifted, so that a wrong value from a peer cannot overflow.
	maxEpoch = 1 << 20
)

// driftShare is the share of a crash's age by which its time may differ between instances. Clocks are adjusted at up to 500 ppm, in both directions.
const driftShare = 1000

// Part identifies a part of a prompt that requests share; at most MaxPartBytes long.
type Part string

// PartOf returns the part with an identifier of any length. Identifiers that are longer than MaxPartBytes are replaced by their digest.
func PartOf(id string) Part {
	if len(id) <= MaxPartBytes {
		return Part(id)
	}
	sum := sha256.Sum256([]byte(id))
	return Part(hex.EncodeToString(sum[:]))
}

// Crash is the end of a target while it held a request.
type Crash struct {
	Target fleet.TargetID
	Parts  []Part // the parts of the request that others may share, in the order of the prompt
	Caller string
	// Request identifies the request; it is the same when the request is sent again. If it is empty, each target counts as another request.
	Request fleet.RequestID
	At      time.Time // when the crash was seen; the time of the call if it is zero or later than that
}

// Policy holds the thresholds and bounds of a Tracker.
type Policy struct {
	Crashes   int           // crashes without a complete answer, and not explained by another part, that block a part
	Requests  int           // different requests that must be among them; at most maxRequests
	SameCrash time.Duration // reports on one target within this time are of the same crash; less than a target takes to start again
	// MaxParts bounds the parts of one request that come under suspicion or are remembered as completed. Further ones are not recorded.
	MaxParts int
	// MaxCrashes bounds the crashes recorded for each part. Further ones are not recorded; they can then count against other parts.
	MaxCrashes int
	// MaxCallers bounds the callers recorded for each part, which are for operators only. The first in alphabetical order are kept.
	MaxCallers int
	// MaxSuspects bounds the parts under suspicion. Those with the fewest crashes are forgotten, of these the ones with the oldest crashes.
	MaxSuspects int
	// MaxBlocked bounds the parts that are or were blocked. The one is forgotten that has refused no request for the longest time.
	MaxBlocked int
	// MaxCompleted bounds the parts remembered as completed. The one completed least recently is forgotten, so that a crash can put it
	// under suspicion again.
	MaxCompleted int
}

// maxRequests is the number of different requests that are told apart for each part.
const maxRequests = 2

// DefaultPolicy returns a policy that needs a few megabytes at most.
func DefaultPolicy() Policy {
	return Policy{
		Crashes:      3, // two crashes may meet a repeated request by chance
		Requests:     2, // one request may crash targets by itself, for example by its size
		SameCrash:    2 * time.Second,
		MaxParts:     32,
		MaxCrashes:   32, // a record then takes about 1 KB
		MaxCallers:   4,
		MaxSuspects:  2048,
		MaxBlocked:   512,
		MaxCompleted: 8192,
	}
}

// Tracker holds what is known of the parts of prompts. It is not safe for concurrent use.
type Tracker struct {
	policy    Policy
	entries   map[Part]*entry            // under suspicion, blocked, or blocked before
	heavy     map[Part]*entry            // entries with as many crashes as block a part
	changed   bool                       // the decision of attribute may no longer hold
	explained map[fleet.TargetID][]crash // crashes of the parts that explain them
	strongest map[*entry]int             // the parts that explain them, each with the crashes of its epoch that no other part explains
	settled   int                        // entries that are or were blocked
	completed map[Part]*list.Element
	recent    *list.List // of clearance, most recently completed first
	uses      uint64     // orders the blocked parts by their last use
	cursors   [2]Part    // the last suspect and the last settled part that Records returned
}

// clearance is the memory of a completed answer.
type clearance struct {
	part  Part
	epoch uint32 // evidence of this epoch and of those before it is void
}

// New returns a Tracker that knows of no part. Values of the policy below 1 take the defaults.
func New(policy Policy) *Tracker {
	d := DefaultPolicy()
	for _, v := range []struct {
		value *int
		def   int
	}{
		{&policy.Crashes, d.Crashes}, {&policy.Requests, d.Requests}, {&policy.MaxParts, d.MaxParts}, {&policy.MaxCrashes, d.MaxCrashes},
		{&policy.MaxCallers, d.MaxCallers}, {&policy.MaxSuspects, d.MaxSuspects}, {&policy.MaxBlocked, d.MaxBlocked},
		{&policy.MaxCompleted, d.MaxCompleted},
	} {
		if *v.value < 1 {
			*v.value = v.def
		}
	}
	if policy.SameCrash <= 0 {
		policy.SameCrash = d.SameCrash
	}
	policy.Requests = min(policy.Requests, maxRequests)
	return &Tracker{
		policy: policy, entries: map[Part]*entry{}, heavy: map[Part]*entry{}, completed: map[Part]*list.Element{}, recent: list.New(),
	}
}

// Completed records that an answer to a request with these parts was complete. It returns the records that peers must hear: those of parts
// that were under suspicion or blocked and are cleared by it, usually none.
func (t *Tracker) Completed(parts []Part, now time.Time) []Record {
	var records []Record
	for i, p := range parts {
		if e := t.entries[p]; e != nil {
			t.remove(e)
			t.remember(p, e.epoch)
			records = append(records, clearedRecord(p, e.epoch))
		} else if i < t.policy.MaxParts && p != "" && len(p) <= MaxPartBytes {
			t.remember(p, 0)
		}
	}
	t.attribute(now)
	return records
}

// Crashed records that a target crashed while it held a request. It returns the records that peers must hear: those of the parts without a
// complete answer. Several reports of the same crash, for other requests or by other instances, count once for each part.
func (t *Tracker) Crashed(c Crash, now time.Time) []Record {
	if c.Target == "" || len(c.Target) > MaxNameBytes {
		return nil
	}
	if c.At.IsZero() || c.At.After(now) {
		c.At = now
	}
	request := hashOf(string(c.Request))
	if c.Request == "" {
		request = hashOf(string(c.Target))
	}
	var news []Part
	added := 0
	for _, p := range c.Parts {
		if p == "" || len(p) > MaxPartBytes || t.completed[p] != nil {
			continue
		}
		if added++; added > t.policy.MaxParts {
			break
		}
		seen := &entry{
			part: p, crashes: []crash{{target: c.Target, at: c.At}}, callers: t.boundCallers([]string{c.Caller}), requests: []uint32{request},
		}
		if e := t.entries[p]; e != nil {
			seen.epoch, seen.cleared, seen.crashes[0].epoch = e.epoch, e.cleared, e.epoch
		}
		if changed, _ := t.join(seen, 0, now); changed {
			news = append(news, p)
		}
	}
	t.attribute(now)
	return t.recordsOf(news, now)
}

// Blocked returns the first part for which a request is refused: one that is blocked, unless the request lacks a part that the evidence
// doesn't tell apart from it; see Entry.Tied. It looks at all parts, and counts the request as refused; see Entry.Refused.
func (t *Tracker) Blocked(parts []Part) (Part, bool) {
	for _, p := range parts {
		lacking := func(o *entry) bool { return !slices.Contains(parts, o.part) }
		if e := t.entries[p]; e != nil && e.blocked && !slices.ContainsFunc(e.tied, lacking) {
			t.uses++
			e.lastUse = t.uses
			e.refused++
			return p, true
		}
	}
	return "", false
}

// Lift ends the block of a part on an operator's request. Earlier crashes no longer count against the part, but they go on to explain those
// of other parts; new crashes can block it again. It returns the records that peers must hear, or false if the part is not known.
func (t *Tracker) Lift(part Part, now time.Time) ([]Record, bool) {
	e := t.entries[part]
	if e == nil {
		return nil, false
	}
	if e.epoch >= maxEpoch {
		t.remove(e)
		t.remember(part, e.epoch)
		t.attribute(now)
		return []Record{clearedRecord(part, e.epoch)}, true
	}
	e.epoch++
	e.requests, e.refused = nil, 0
	t.weigh(e)
	t.attribute(now)
	return t.recordsOf([]Part{part}, now), true
}

// remember records a completed answer in the given epoch. It reports whether that was not known.
func (t *Tracker) remember(p Part, epoch uint32) bool {
	if el := t.completed[p]; el != nil {
		c := el.Value.(*clearance)
		news := epoch > c.epoch
		c.epoch = max(c.epoch, epoch)
		t.recent.MoveToFront(el)
		return news
	}
	p = Part(strings.Clone(string(p))) // the part may be a piece of a long header
	t.completed[p] = t.recent.PushFront(&clearance{part: p, epoch: epoch})
	if t.recent.Len() > t.policy.MaxCompleted {
		oldest := t.recent.Back()
		t.recent.Remove(oldest)
		delete(t.completed, oldest.Value.(*clearance).part)
	}
	return true
}

// hashOf returns a short hash that tells requests apart.
func hashOf(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s)) // a hash never returns an error
	return h.Sum32()
}
