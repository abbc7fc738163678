package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/instancelist"
	"eelgrassproxy.example/core/fleet"
	coremembership "eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/control/membership"
	"eelgrassproxy.example/node/workers"
)

// memberParts holds the controllers that maintain the members and targets of the fleet at this instance.
type memberParts struct {
	view      *membership.View
	prober    *membership.Prober
	poller    *membership.Poller
	registrar *membership.Registrar
}

func (d *Daemon) newMemberParts() *memberParts {
	random := rand.New(rand.NewPCG(d.env.Seed, seedMembership))
	view := membership.NewView(d.self, coremembership.Options{}, random, d.board, func(h coremembership.GenerationHint) {
		d.bundles.Hint(h.Generation, h.Address)
	})
	return &memberParts{
		view:      view,
		prober:    membership.NewProber(view, d.peers, d.dispatcher.InFlight),
		poller:    membership.NewPoller(view, listSource{d.list}),
		registrar: membership.NewRegistrar(view, d.store),
	}
}

func (m *memberParts) register(p *workers.Pool, listPeriod time.Duration) {
	p.Register(m.prober, workers.Schedule{Every: membership.ProbeInterval, On: []blackboard.Topic{blackboard.TopicBundle}})
	p.Register(m.poller, workers.Schedule{Every: listPeriod})
	p.Register(m.registrar, workers.Schedule{Every: membership.RegisterInterval})
}

// close waits for the calls to peers and removes the membership record. It must be called after the workers have ended.
func (m *memberParts) close(ctx context.Context) error {
	m.prober.Wait()
	return m.registrar.Close(ctx)
}

// announceTargetLeaving announces to the peers that a target has reported that it is leaving.
func (d *Daemon) announceTargetLeaving(id fleet.TargetID) { d.members.view.TargetLeaving(id) }

// listSource adapts the client of the platform's instance list to the poller: it converts the entries to the types of the failure detector.
type listSource struct{ client *instancelist.Client }

// Changes implements membership.ListSource.
func (l listSource) Changes(ctx context.Context, since int64) (membership.Changes, error) {
	listed, err := l.client.Changes(ctx, since)
	if err != nil {
		return membership.Changes{}, err
	}
	if listed.Unreadable > 0 {
		klog.ErrorS(nil, "Instances of the list cannot be read and are left out", "instances", listed.Unreadable, "since", since)
	}
	changes := membership.Changes{Revision: listed.Revision}
	for _, e := range listed.Entries {
		changes.Instances = append(changes.Instances, listEntry(e))
	}
	for _, id := range listed.RemovedInstances {
		changes.Instances = append(changes.Instances, coremembership.ListEntry{ID: id, State: coremembership.ListGone})
	}
	for _, t := range listed.Targets {
		changes.Targets = append(changes.Targets, membership.TargetChange{Target: t})
	}
	for _, id := range listed.RemovedTargets {
		changes.Targets = append(changes.Targets, membership.TargetChange{Target: fleet.Target{ID: id}, Gone: true})
	}
	return changes, nil
}

// listEntry converts an instance of the platform's list.
func listEntry(e instancelist.EntryInstance) coremembership.ListEntry {
	state := coremembership.ListLive
	if e.Leaving {
		state = coremembership.ListLeaving
	}
	return coremembership.ListEntry{ID: e.ID, State: state, PeerAddress: e.PeerAddress, FailureDomain: e.FailureDomain}
}
