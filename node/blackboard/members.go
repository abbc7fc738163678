package blackboard

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"eelgrassproxy.example/core/fleet"
)

// MemberTable holds the known instances of the fleet, including this instance. It is safe for concurrent use.
type MemberTable struct {
	mu       sync.Mutex // serializes writes of snapshot; readers load it without the lock
	snapshot atomic.Pointer[[]fleet.Member]
	notices  *notifier
}

func newMemberTable(n *notifier) *MemberTable {
	t := &MemberTable{notices: n}
	t.snapshot.Store(&[]fleet.Member{})
	return t
}

// All returns all members in the table, ordered by ID. The slice is shared and must not be modified.
func (t *MemberTable) All() []fleet.Member {
	return *t.snapshot.Load()
}

// Get returns the member with the ID, and whether it is in the table.
func (t *MemberTable) Get(id fleet.InstanceID) (fleet.Member, bool) {
	for _, m := range t.All() {
		if m.ID == id {
			return m, true
		}
	}
	return fleet.Member{}, false
}

// Replace replaces all members. Subscribers are notified only if this changes the table.
func (t *MemberTable) Replace(members []fleet.Member) {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
	t.mu.Lock()
	changed := !slices.Equal(sorted, *t.snapshot.Load())
	if changed {
		t.snapshot.Store(&sorted)
	}
	t.mu.Unlock()
	if changed {
		t.notices.changed(TopicMembers)
	}
}
