package blackboard

import (
	"sync"
	"sync/atomic"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
)

// BundleTable holds the bundle in force. Its generation only rises.
type BundleTable struct {
	mu      sync.Mutex // guards writes; readers use the pointer
	current atomic.Pointer[bundle.Active]
	notices *notifier
}

func newBundleTable(n *notifier) *BundleTable {
	return &BundleTable{notices: n}
}

// Current returns the bundle in force, or nil before the first one.
func (t *BundleTable) Current() *bundle.Active {
	return t.current.Load()
}

// Generation returns the generation in force, 0 before the first bundle.
func (t *BundleTable) Generation() fleet.Generation {
	if b := t.current.Load(); b != nil {
		return b.Generation()
	}
	return 0
}

// Advance puts a bundle in force. It returns false and changes nothing unless the generation is higher than the one in force.
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
