package blackboard

import (
	"sync"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routing"
)

// LoadTable holds the load estimate of each target. It has no topic to subscribe to, as it changes with every request. It is safe for
// concurrent use.
type LoadTable struct {
	mu       sync.Mutex // guards trackers and the LoadTrackers in it
	trackers map[fleet.TargetID]*routing.LoadTracker
}

func newLoadTable() *LoadTable {
	return &LoadTable{trackers: make(map[fleet.TargetID]*routing.LoadTracker)}
}

// tracker returns the tracker of the target and creates it if needed; t.mu is held.
func (t *LoadTable) tracker(id fleet.TargetID) *routing.LoadTracker {
	tracker, ok := t.trackers[id]
	if !ok {
		tracker = &routing.LoadTracker{}
		t.trackers[id] = tracker
	}
	return tracker
}

// Started records that a request was sent to the target.
func (t *LoadTable) Started(id fleet.TargetID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker(id).Started(now)
}

// Ended records that a request at the target ended.
func (t *LoadTable) Ended(id fleet.TargetID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker(id).Ended(now)
}

// Report records a load report of the target.
func (t *LoadTable) Report(id fleet.TargetID, report fleet.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker(id).Report(report)
}

// Estimate sets Load of each candidate that has a record in the table. peers is the number of instances that send to the same targets.
func (t *LoadTable) Estimate(candidates []routing.Candidate, now time.Time, peers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range candidates {
		if tracker, ok := t.trackers[candidates[i].Target]; ok {
			candidates[i].Load = tracker.Estimate(now, peers)
		}
	}
}

// TargetLoad is the load of one target, for status pages and the poller.
type TargetLoad struct {
	Report   fleet.LoadReport
	InFlight int
}

// Get returns the last load report of the target and its requests in flight from this instance, or zeros if nothing was recorded.
func (t *LoadTable) Get(id fleet.TargetID) TargetLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracker, ok := t.trackers[id]
	if !ok {
		return TargetLoad{}
	}
	return TargetLoad{Report: tracker.LastReport(), InFlight: tracker.InFlight()}
}

// Prune removes the records of targets for which known returns false. The record of a target with requests in flight stays; a call
// after they have ended removes it.
func (t *LoadTable) Prune(known func(fleet.TargetID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, tracker := range t.trackers {
		if !known(id) && tracker.InFlight() == 0 {
			delete(t.trackers, id)
		}
	}
}
