package blackboard

import (
	"sync"
	"sync/atomic"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
)

// BundleTable holds the bundle in force, whose generation never decreases. It is safe for concurrent use.
type BundleTable struct {
	mu      sync.Mutex // serializes writes of current; readers load it without the lock
	current atomic.Pointer[bundle.Active]
	notices *notifier
}

func newBundleTable(n *notifier) *BundleTable {
	return &BundleTable{notices: n}
}

// Current returns the bundle in force, or nil before the first bundle.
func (t *BundleTable) Current() *bundle.Active {
	return t.current.Load()
}

// Generation returns the generation of the bundle in force, or 0 before the first bundle.
func (t *BundleTable) Generation() fleet.Generation {
	if b := t.current.Load(); b != nil {
		return b.Generation()
	}
	return 0
}

// Advance puts next in force and reports whether it did: it changes nothing unless the generation of next is higher than that of the
// bundle in force.
func (t *BundleTable) Advance(next *bundle.Active) bool {
	t.mu.Lock()
	if current := t.current.Load(); current != nil && next.Generation() <= current.Generation() {
		t.mu.Unlock()
		return false
	}
	t.current.Store(next)
	t.mu.Unlock()
	t.notices.changed(TopicBundle)
	return true
}
