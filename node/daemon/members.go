package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/instancelist"
	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/workers"
)

// memberParts drives the failure detector of the instance.
type memberParts struct {
	daemon *Daemon

	mu       sync.Mutex // guards detector and revision; released before any table of the blackboard is locked
	detector *membership.Detector
	revision int64
	lease    kv.LeaseID
}

func (d *Daemon) newMemberParts() *memberParts {
	return &memberParts{
		daemon:   d,
		detector: membership.New(d.self, membership.Options{}, rand.New(rand.NewPCG(d.env.Seed, 2))),
	}
}

type named struct {
	name string
	run  func(context.Context) error
}

func (n named) Name() string                        { return n.name }
func (n named) Reconcile(ctx context.Context) error { return n.run(ctx) }

func (m *memberParts) register(p *workers.Pool) {
	p.Register(named{"instance-list", m.pollList}, workers.Schedule{Every: m.daemon.settings.InstanceList.Poll})
	p.Register(named{"registrar", m.registerSelf}, workers.Schedule{Every: 5 * time.Second})
}

func (m *memberParts) run(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.mu.Lock()
			m.detector.SetSelf(m.daemon.board.Bundle.Generation(), 0)
			out := m.detector.Tick(now)
			m.mu.Unlock()
			m.send(ctx, out)
			m.publish(now)
		}
	}
}

func (m *memberParts) send(ctx context.Context, out []membership.Outgoing) {
	for _, o := range out {
		go func() {
			ack, err := m.daemon.peers.Probe(ctx, o.Address, o.Probe)
			m.mu.Lock()
			defer m.mu.Unlock()
			if err == nil && m.detector.HandleAck(time.Now(), o.To, ack) {
				return
			}
			for _, request := range m.detector.HandleProbeFailed(time.Now(), o.To) {
				go m.indirect(ctx, request)
			}
		}()
	}
}

func (m *memberParts) indirect(ctx context.Context, r membership.IndirectRequest) {
	result, err := m.daemon.peers.ProbeIndirect(ctx, m.daemon.self.ID, r)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.HandleIndirectResult(time.Now(), r.Subject, err == nil && result.Reached, result.Incarnation)
}

func (m *memberParts) publish(now time.Time) {
	m.mu.Lock()
	members := m.detector.Members(now)
	events := m.detector.TakeEvents()
	m.mu.Unlock()
	m.daemon.board.Members.Replace(members)
	if g := events.Generation; g != nil {
		m.daemon.bundles.Hint(g.Generation, g.Address)
	}
	for _, t := range events.Targets {
		m.daemon.board.Targets.Change(t.ID, func(e *blackboard.TargetEntry) bool {
			changed := e.State != fleet.TargetLeaving
			e.State = fleet.TargetLeaving
			return changed
		})
	}
}

func (m *memberParts) handleProbe(_ context.Context, p membership.Probe) membership.Probe {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.HandleProbe(time.Now(), p)
}

func (m *memberParts) handleIndirect(ctx context.Context, _ fleet.InstanceID, address string) peer.IndirectResult {
	m.mu.Lock()
	self := m.detector.Self()
	m.mu.Unlock()
	ack, err := m.daemon.peers.Probe(ctx, address, membership.Probe{From: self.ID, Incarnation: self.Incarnation})
	return peer.IndirectResult{Reached: err == nil, Incarnation: ack.Incarnation}
}

func (m *memberParts) pollList(ctx context.Context) error {
	changes, err := m.daemon.list.Changes(ctx, m.revision)
	if err != nil {
		return err
	}
	m.revision = changes.Revision
	m.observe(changes)
	var put []blackboard.TargetEntry
	for _, t := range changes.Targets {
		entry := blackboard.TargetEntry{Target: t}
		if known, ok := m.daemon.board.Targets.Get(t.ID); ok && known.Address == t.Address {
			entry = *known
			if t.State == fleet.TargetLeaving {
				entry.State = t.State
			}
		}
		put = append(put, entry)
	}
	var remove []fleet.TargetID
	for _, id := range changes.Gone {
		remove = append(remove, fleet.TargetID(id))
	}
	m.daemon.board.Targets.Update(put, remove)
	return nil
}

func (m *memberParts) observe(changes instancelist.Changes) {
	var entries []membership.ListEntry
	for _, i := range changes.Instances {
		state := membership.ListLive
		if i.Leaving {
			state = membership.ListLeaving
		}
		entries = append(entries, membership.ListEntry{ID: i.ID, State: state, PeerAddress: i.PeerAddress, FailureDomain: i.FailureDomain})
	}
	for _, id := range changes.Gone {
		entries = append(entries, membership.ListEntry{ID: fleet.InstanceID(id), State: membership.ListGone})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.ObserveList(time.Now(), entries)
}

func (m *memberParts) registerSelf(ctx context.Context) error {
	ctx = kv.WithPurpose(ctx, "membership")
	store := m.daemon.store
	if m.lease != 0 {
		if _, err := store.KeepAlive(ctx, m.lease); err == nil {
			return nil
		}
	}
	lease, err := store.Grant(ctx, 15*time.Second)
	if err != nil {
		return err
	}
	value, err := json.Marshal(m.daemon.self)
	if err != nil {
		return err
	}
	_, err = store.Txn(ctx, kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: "/eelgrass/members/" + string(m.daemon.self.ID), Value: value, Lease: lease}}})
	m.lease = lease
	return err
}

func (m *memberParts) drain(ctx context.Context) {
	m.mu.Lock()
	out := m.detector.Drain(time.Now())
	m.mu.Unlock()
	m.send(ctx, out)
}

func (m *memberParts) leave(ctx context.Context) {
	if m.lease != 0 {
		_ = m.daemon.store.Revoke(ctx, m.lease)
	}
}

// targetLeft spreads that a target said that it is leaving.
func (d *Daemon) targetLeft(id fleet.TargetID) {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	d.members.detector.TargetLeaving(time.Now(), id)
}
