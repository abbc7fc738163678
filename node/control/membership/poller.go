package membership

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/blackboard"
)

// ListInterval is the interval at which the worker pool should run the Poller.
const ListInterval = time.Second

// listTimeout is the timeout of one read of the instance list.
const listTimeout = 3 * time.Second

// ErrListUnavailable is returned if the instance list could not be read. The members and targets read before stay in use.
var ErrListUnavailable = eris.New("instance list could not be read")

// Changes holds the entries of the instance list that changed after a given revision, and the revision up to which it covers the changes.
// Each ID occurs at most once, with its latest state.
type Changes struct {
	Revision  int64
	Instances []membership.ListEntry
	Targets   []TargetChange
}

// TargetChange is one changed target. If Gone is set, only the ID of Target is used.
type TargetChange struct {
	Target fleet.Target
	Gone   bool
}

// ListSource reads the instance list.
type ListSource interface {
	// Changes returns the changes after the revision since, or the whole list if since is 0.
	Changes(ctx context.Context, since int64) (Changes, error)
}

// Poller applies the changes of the instance list to the failure detector and to the blackboard's targets.
//
// The list lags behind the reports of peers and targets. A target that was marked as leaving by a peer's update or by its own 503
// response stays leaving although the list has it as live, until the list shows that the target is gone or has restarted. A target has
// restarted if it is live at another address, or live after the list itself had it as leaving.
type Poller struct {
	view     *View
	source   ListSource
	revision int64
	listed   map[fleet.TargetID]fleet.TargetState // state in the list at the last read
}

// NewPoller returns a Poller whose first pass reads the whole list.
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
		return fmt.Errorf("%w: %v", ErrListUnavailable, err)
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
	p.storeTargets(put, remove, leaving, returned)
}

// merge combines the entry of the list with the blackboard's entry of the target. returned reports whether the list shows that the target
// restarted; the entry is then a new one, since the models that the engine held are lost.
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

// storeTargets updates the blackboard's targets first and then marks those as leaving that the detector has as leaving. Otherwise a peer's
// update would be lost if it arrived in the meantime or before the target was listed.
func (p *Poller) storeTargets(put []blackboard.TargetEntry, remove, leaving, returned []fleet.TargetID) {
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
