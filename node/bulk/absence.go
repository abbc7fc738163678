package bulk

import (
	"sync"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// absence records since when each absent holder has been absent: dead, or missing from the membership table. It is safe for concurrent
// use.
type absence struct {
	mu    sync.Mutex // guards since
	since map[fleet.InstanceID]time.Time
}

func newAbsence() *absence {
	return &absence{since: make(map[fleet.InstanceID]time.Time)}
}

// maxAbsent bounds the memory used for instances that never return; 250 instances are replaced on an ordinary day.
const maxAbsent = 4096

// duration returns how long the instance has been absent from present, counted from the first call that found it absent, or 0 if it is
// present. It also removes the entries of all instances that are present again.
func (a *absence) duration(id fleet.InstanceID, present map[fleet.InstanceID]fleet.Member, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	for absentID := range a.since {
		if _, back := present[absentID]; back {
			delete(a.since, absentID)
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
		clear(a.since) // the repair delay starts over for every instance that is still absent
	}
	a.since[id] = now
	return 0
}
