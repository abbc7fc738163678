package blackboard

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"eelgrassproxy.example/core/fleet"
)

// TargetEntry is a target with the state of its engine as this instance last learned it.
type TargetEntry struct {
	fleet.Target
	Models []fleet.LoadedModel // models that the engine has loaded; nil for a plain service, or while unknown
	Role   string              // role of the engine: any, prefill or decode
}

// TargetTable holds the targets of the fleet. Stored entries are immutable; a change stores a new entry. It is safe for concurrent use.
type TargetTable struct {
	mu       sync.Mutex // serializes writes of snapshot; readers load it without the lock
	snapshot atomic.Pointer[targetSnapshot]
	notices  *notifier
}

type targetSnapshot struct {
	byID map[fleet.TargetID]*TargetEntry
	all  []*TargetEntry // ordered by ID
	// revision increases with every change, so that data derived from the snapshot can be cached.
	revision uint64
}

func newTargetTable(n *notifier) *TargetTable {
	t := &TargetTable{notices: n}
	t.snapshot.Store(&targetSnapshot{byID: map[fleet.TargetID]*TargetEntry{}})
	return t
}

// All returns all targets in the table, ordered by ID. The slice and its entries are shared and must not be modified.
func (t *TargetTable) All() []*TargetEntry {
	return t.snapshot.Load().all
}

// Revision returns a number that increases with every change of the table.
func (t *TargetTable) Revision() uint64 {
	return t.snapshot.Load().revision
}

// Get returns the target with the ID, and whether it is in the table. The entry is shared and must not be modified.
func (t *TargetTable) Get(id fleet.TargetID) (*TargetEntry, bool) {
	e, ok := t.snapshot.Load().byID[id]
	return e, ok
}

// Update removes the targets in remove and then adds or replaces the entries in put, in one step. Subscribers are notified unless both
// are empty.
func (t *TargetTable) Update(put []TargetEntry, remove []fleet.TargetID) {
	if len(put) == 0 && len(remove) == 0 {
		return
	}
	t.mu.Lock()
	t.store(put, remove)
	t.mu.Unlock()
	t.notices.changed(TopicTargets)
}

// Change calls modify on a copy of the target's entry and stores the copy if modify returns true. It reports whether it stored an entry,
// so it returns false if the target is not in the table. modify runs with the table locked and must not change the table.
func (t *TargetTable) Change(id fleet.TargetID, modify func(*TargetEntry) bool) bool {
	t.mu.Lock()
	changed := t.changeLocked(id, modify)
	t.mu.Unlock()
	if changed {
		t.notices.changed(TopicTargets)
	}
	return changed
}

// changeLocked is Change without the notification; t.mu is held.
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

// store replaces the snapshot by one with the changes; t.mu is held.
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
