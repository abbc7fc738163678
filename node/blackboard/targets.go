package blackboard

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"eelgrassproxy.example/core/fleet"
)

// TargetEntry is a target with what this instance knows of it.
type TargetEntry struct {
	fleet.Target
	Models []fleet.LoadedModel // models that an engine holds; nil for a plain service or while unknown
	Role   string              // role of an engine: any, prefill or decode
}

// TargetTable holds the targets of the fleet. Entries are immutable once stored; a change stores a new entry.
type TargetTable struct {
	mu       sync.Mutex // guards writes; readers use the snapshot
	snapshot atomic.Pointer[targetSnapshot]
	notices  *notifier
}

type targetSnapshot struct {
	byID map[fleet.TargetID]*TargetEntry
	all  []*TargetEntry // ordered by ID
	// revision rises with every change, so that derived data can be cached.
	revision uint64
}

func newTargetTable(n *notifier) *TargetTable {
	t := &TargetTable{notices: n}
	t.snapshot.Store(&targetSnapshot{byID: map[fleet.TargetID]*TargetEntry{}})
	return t
}

// All returns every known target ordered by ID. The slice and its entries are shared and must not be changed.
func (t *TargetTable) All() []*TargetEntry {
	return t.snapshot.Load().all
}

// Revision returns a number that rises with every change of the table.
func (t *TargetTable) Revision() uint64 {
	return t.snapshot.Load().revision
}

// Get returns one target.
func (t *TargetTable) Get(id fleet.TargetID) (*TargetEntry, bool) {
	e, ok := t.snapshot.Load().byID[id]
	return e, ok
}

// Update applies changes in one step: entries in put replace or add, those in remove go.
func (t *TargetTable) Update(put []TargetEntry, remove []fleet.TargetID) {
	if len(put) == 0 && len(remove) == 0 {
		return
	}
	t.mu.Lock()
	t.store(put, remove)
	t.mu.Unlock()
	t.notices.changed(TopicTargets)
}

// Change replaces one entry by what modify makes of it. It returns false if the target is unknown or modify reports no change.
func (t *TargetTable) Change(id fleet.TargetID, modify func(*TargetEntry) bool) bool {
	t.mu.Lock()
	changed := t.changeLocked(id, modify)
	t.mu.Unlock()
	if changed {
		t.notices.changed(TopicTargets)
	}
	return changed
}

func (t *TargetTable) changeLocked(id fleet.TargetID, modify func(*TargetEntry) bool) bool {
	current, ok := t.snapshot.Load().byID[id]
	if !ok {
		return false
	}
	next := *current
	if !modify(&next) {
		return false
	}
	t.store([]TargetEntry{next}, nil)
	return true
}

// store builds the next snapshot; t.mu is held.
func (t *TargetTable) store(put []TargetEntry, remove []fleet.TargetID) {
	current := t.snapshot.Load()
	next := &targetSnapshot{
		byID:     make(map[fleet.TargetID]*TargetEntry, len(current.byID)+len(put)),
		revision: current.revision + 1,
	}
	for id, e := range current.byID {
		next.byID[id] = e
	}
	for _, id := range remove {
		delete(next.byID, id)
	}
	for i := range put {
		entry := put[i]
		next.byID[entry.ID] = &entry
	}
	next.all = make([]*TargetEntry, 0, len(next.byID))
	for _, e := range next.byID {
		next.all = append(next.all, e)
	}
	slices.SortFunc(next.all, func(a, b *TargetEntry) int { return cmp.Compare(a.ID, b.ID) })
	t.snapshot.Store(next)
}
