package bulk

import (
	"sync"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// absence remembers since when holders are gone. An instance that is not in the membership table counts as gone, too.
type absence struct {
	mu    sync.Mutex // guards since
	since map[fleet.InstanceID]time.Time
}

func newAbsence() *absence {
	return &absence{since: make(map[fleet.InstanceID]time.Time)}
}

// maxAbsent bounds the memory for instances that left for good; 250 instances are replaced on an ordinary day.
const maxAbsent = 4096

// length returns for how long the instance has been gone, counted from the first call that found it gone. It also forgets the
// instances that have come back.
func (a *absence) length(id fleet.InstanceID, present map[fleet.InstanceID]fleet.Member, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	for known := range a.since {
		if _, back := present[known]; back {
			delete(a.since, known)
		}
	}
	if _, here := present[id]; here {
		return 0
	}
	first, known := a.since[id]
	if known {
		return now.Sub(first)
	}
	if len(a.since) >= maxAbsent {
		clear(a.since) // the repair of all that are still gone starts its delay anew
	}
	a.since[id] = now
	return 0
}
