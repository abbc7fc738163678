package membership

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/blackboard"
)

// ListPeriod is the period at which the pool should run the Poller.
const ListPeriod = time.Second

// listTimeout bounds one read of the instance list.
const listTimeout = 3 * time.Second

// ErrListUnavailable means that the instance list could not be read. What is known stays in force.
var ErrListUnavailable = eris.New("instance list is unavailable")

// Changes is what changed in the instance list after a revision. Each ID occurs at most once, with its latest state.
type Changes struct {
	Revision  int64
	Instances []membership.ListEntry
	Targets   []TargetChange
}

// TargetChange is one changed target. Of a gone target only the ID counts.
type TargetChange struct {
	Target fleet.Target
	Gone   bool
}

// ListSource reads the instance list.
type ListSource interface {
	// Changes returns the changes after the revision since; 0 asks for everything.
	Changes(ctx context.Context, since int64) (Changes, error)
}

// Poller follows the instance list.
//
// The list lags behind what peers and targets say. A target marked leaving by a peer's update or by its own 503 stays leaving
// although the list says live, until the list says that it is gone, or live with another address, or live after the list itself
// had said leaving: each of these means a new life.
type Poller struct {
	view     *View
	source   ListSource
	revision int64
	listed   map[fleet.TargetID]fleet.TargetState // what the list last said
}

// NewPoller returns a poller that starts with the whole list.
func NewPoller(view *View, source ListSource) *Poller {
	return &Poller{view: view, source: source, listed: map[fleet.TargetID]fleet.TargetState{}}
}

// Name implements workers.Controller.
func (p *Poller) Name() string { return "instance-list" }

// Reconcile implements workers.Controller.
func (p *Poller) Reconcile(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	changes, err := p.source.Changes(ctx, p.revision)
	if err != nil {
		return eris.Wrap(ErrListUnavailable, err.Error())
	}
	p.apply(changes)
	p.revision = changes.Revision
	return nil
}

func (p *Poller) apply(changes Changes) {
	if len(changes.Instances) > 0 {
		p.view.update(func(d *membership.Detector, now time.Time) { d.ObserveList(now, changes.Instances) })
	}
	var put []blackboard.TargetEntry
	var remove, leaving, returned []fleet.TargetID
	for _, c := range changes.Targets {
		id := c.Target.ID
		if c.Gone {
			remove = append(remove, id)
			returned = append(returned, id)
			delete(p.listed, id)
			continue
		}
		entry, isReturn := p.merge(c.Target)
		put = append(put, entry)
		if isReturn {
			returned = append(returned, id)
		}
		if c.Target.State == fleet.TargetLeaving {
			leaving = append(leaving, id)
		}
		p.listed[id] = c.Target.State
	}
	p.store(put, remove, leaving, returned)
}

// merge returns the entry that follows from what is known and what the list says, and whether that is a new life of the target.
// What an engine holds belongs to its old life.
func (p *Poller) merge(target fleet.Target) (entry blackboard.TargetEntry, returned bool) {
	entry = blackboard.TargetEntry{Target: target}
	known, ok := p.view.board.Targets.Get(target.ID)
	if !ok {
		return entry, false
	}
	returned = known.Address != target.Address ||
		p.listed[target.ID] == fleet.TargetLeaving && target.State == fleet.TargetLive
	if returned {
		return entry, true
	}
	entry = *known
	entry.Target = target
	if known.State == fleet.TargetLeaving {
		entry.State = fleet.TargetLeaving
	}
	return entry, false
}

// store writes the table first and then replays what the detector knows: an update of a peer that arrived meanwhile, or before
// the target was listed, is then not lost.
func (p *Poller) store(put []blackboard.TargetEntry, remove, leaving, returned []fleet.TargetID) {
	if len(put)+len(remove) == 0 {
		return
	}
	p.view.update(func(d *membership.Detector, now time.Time) {
		for _, id := range returned {
			d.TargetReturned(now, id)
		}
	})
	p.view.board.Targets.Update(put, remove)
	var marked []fleet.TargetID
	p.view.update(func(d *membership.Detector, now time.Time) {
		for _, id := range leaving {
			d.TargetLeaving(now, id)
		}
		for i := range put {
			if d.TargetIsLeaving(put[i].ID) {
				marked = append(marked, put[i].ID)
			}
		}
	})
	for _, id := range marked {
		p.view.board.Targets.Change(id, markLeaving)
	}
}
