// Package membership maintains the states of the fleet's members at this instance: it runs the failure detector, handles peers' probes,
// keeps this instance's record in the store and follows the instance list.
//
// Lock order: View.publishing before View.mu, which is released before any table of the blackboard is accessed. Neither is acquired
// while a table lock is held, and neither is held during I/O.
package membership

import (
	"math/rand/v2"
	"sync"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/blackboard"
)

// View shares the failure detector between the controllers and the peer server, and publishes the detector's members to the blackboard.
// All methods are safe for concurrent use.
type View struct {
	publishing         sync.Mutex // serializes updates, so that tables are published in the order of the changes
	mu                 sync.Mutex // guards detector
	detector           *membership.Detector
	board              *blackboard.Board
	onHigherGeneration func(membership.GenerationHint)
}

// NewView returns the View of the instance self, which publishes to the board. onHigherGeneration is called with each higher bundle
// generation that a peer reports, and the peer's address. It must not block and may be nil.
func NewView(self fleet.Member, options membership.Options, rng *rand.Rand, board *blackboard.Board,
	onHigherGeneration func(membership.GenerationHint)) *View {
	return &View{
		detector:           membership.New(self, options, rng),
		board:              board,
		onHigherGeneration: onHigherGeneration,
	}
}

// Draining reports whether this instance is draining.
func (v *View) Draining() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.detector.DrainingSelf(time.Now())
}

// TargetLeaving records that a target responded that it is leaving. The detector spreads this to the peers.
func (v *View) TargetLeaving(id fleet.TargetID) {
	v.update(func(d *membership.Detector, now time.Time) { d.TargetLeaving(now, id) })
}

// update runs change on the detector, publishes the resulting members and targets, and passes on a new bundle generation.
func (v *View) update(change func(*membership.Detector, time.Time)) {
	hint := v.updateTables(change)
	if hint != nil && v.onHigherGeneration != nil {
		v.onHigherGeneration(*hint)
	}
}

func (v *View) updateTables(change func(*membership.Detector, time.Time)) *membership.GenerationHint {
	v.publishing.Lock()
	defer v.publishing.Unlock()
	members, events := v.changeDetector(change)
	v.board.Members.Replace(members)
	for _, t := range events.LeavingTargets {
		v.board.Targets.Change(t.ID, markLeaving)
	}
	return events.Generation
}

// changeDetector runs change while holding mu, and returns the resulting members and events.
func (v *View) changeDetector(change func(*membership.Detector, time.Time)) ([]fleet.Member, membership.Events) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	change(v.detector, now)
	return v.detector.Members(now), v.detector.TakeEvents()
}

// Loaded implements RecordLoader.
func (v *View) Loaded(members []fleet.Member) {
	v.update(func(d *membership.Detector, now time.Time) { d.ObserveStore(now, members) })
}

// Self implements RecordSource.
func (v *View) Self() fleet.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.detector.Self()
}

func markLeaving(e *blackboard.TargetEntry) bool {
	if e.State == fleet.TargetLeaving {
		return false
	}
	e.State = fleet.TargetLeaving
	return true
}
