package blackboard

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"eelgrassproxy.example/core/fleet"
)

// MemberTable holds the instances that this instance knows of, itself included.
type MemberTable struct {
	mu       sync.Mutex // guards writes; readers use the snapshot
	snapshot atomic.Pointer[[]fleet.Member]
	notices  *notifier
}

func newMemberTable(n *notifier) *MemberTable {
	t := &MemberTable{notices: n}
	t.snapshot.Store(&[]fleet.Member{})
	return t
}

// All returns every known member ordered by ID. The slice is shared and must not be changed.
func (t *MemberTable) All() []fleet.Member {
	return *t.snapshot.Load()
}

// Get returns one member.
func (t *MemberTable) Get(id fleet.InstanceID) (fleet.Member, bool) {
	for _, m := range t.All() {
		if m.ID == id {
			return m, true
		}
	}
	return fleet.Member{}, false
}

// Replace sets the whole table.
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
