package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/workers"
)

// network connects probers by address. Calls from or to a cut address fail after the client's timeout.
type network struct {
	mu      sync.Mutex
	probers map[string]*Prober
	cut     map[string]bool
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

func (n *network) at(address string) *Prober {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[address] {
		return nil
	}
	return n.probers[address]
}

// endpoint is the network endpoint of one instance. It implements Transport.
type endpoint struct {
	network *network
	address string
}

func (e endpoint) proberAt(ctx context.Context, address string) (*Prober, error) {
	if to := e.network.at(address); to != nil && e.network.at(e.address) != nil {
		return to, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(peer.ProbeTimeout):
	}
	return nil, peer.ErrTimeout
}

func (e endpoint) Probe(ctx context.Context, address string, p membership.Probe) (membership.Probe, error) {
	to, err := e.proberAt(ctx, address)
	if err != nil {
		return membership.Probe{}, err
	}
	return to.HandleProbe(ctx, p), nil
}

func (e endpoint) ProbeIndirect(ctx context.Context, _ fleet.InstanceID, r membership.IndirectRequest) (peer.IndirectResult, error) {
	to, err := e.proberAt(ctx, r.RelayAddress)
	if err != nil {
		return peer.IndirectResult{}, err
	}
	return to.HandleIndirect(ctx, r.Subject, r.SubjectAddress), nil
}

// staticList is a ListSource whose list never changes.
type staticList struct{ changes Changes }

func (l *staticList) Changes(_ context.Context, since int64) (Changes, error) {
	if since >= l.changes.Revision {
		return Changes{Revision: l.changes.Revision}, nil
	}
	return l.changes, nil
}

type node struct {
	member    fleet.Member
	board     *blackboard.Board
	view      *View
	prober    *Prober
	poller    *Poller
	registrar *Registrar
}

func newNode(i int, net *network, list ListSource, store kv.Store) *node {
	m := fleet.Member{
		ID: fleet.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: uint64(time.Now().UnixMilli()), FailureDomain: "a",
		PeerAddress: fmt.Sprintf("127.0.0.1:%d", 7000+i), CallerAddress: fmt.Sprintf("127.0.0.1:%d", 8000+i),
	}
	n := &node{member: m, board: blackboard.New()}
	n.view = NewView(m, membership.Options{}, rand.New(rand.NewPCG(uint64(i), 1)), n.board, nil)
	n.prober = NewProber(n.view, endpoint{net, m.PeerAddress}, func() int { return 0 })
	n.poller = NewPoller(n.view, list)
	n.registrar = NewRegistrar(n.view, store)
	net.probers[m.PeerAddress] = n.prober
	return n
}

// runFleet runs n instances with all controllers on real worker pools. It calls check while they run, and each of stopped after they have
// stopped.
func runFleet(t *testing.T, n int, store kv.Store, check func(nodes []*node, net *network), stopped ...func([]*node)) {
	synctest.Test(t, func(t *testing.T) {
		net := &network{probers: map[string]*Prober{}, cut: map[string]bool{}}
		list := &staticList{changes: Changes{Revision: 1}}
		var nodes []*node
		for i := range n {
			nodes = append(nodes, newNode(i, net, list, store))
			m := nodes[i].member
			list.changes.Instances = append(list.changes.Instances, membership.ListEntry{
				ID: m.ID, State: membership.ListLive, PeerAddress: m.PeerAddress, FailureDomain: m.FailureDomain})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for _, node := range nodes {
			pool := workers.NewPool(node.board, 3, 1)
			pool.Register(node.prober, workers.Schedule{Every: ProbeInterval, On: []blackboard.Topic{blackboard.TopicBundle}})
			pool.Register(node.poller, workers.Schedule{Every: ListInterval})
			pool.Register(node.registrar, workers.Schedule{Every: RegisterInterval})
			group.Go(func() { pool.Run(ctx) })
		}
		check(nodes, net)
		cancel()
		group.Wait()
		for _, node := range nodes {
			node.prober.Wait()
		}
		for _, f := range stopped {
			f(nodes)
		}
	})
}

// countStates counts the states of id on the boards of the other nodes.
func countStates(nodes []*node, id fleet.InstanceID) map[fleet.MemberState]int {
	seen := map[fleet.MemberState]int{}
	for _, n := range nodes {
		if m, ok := n.board.Members.Get(id); ok && n.member.ID != id {
			seen[m.State]++
		}
	}
	return seen
}

// Guards against live instances that are removed during an outage of the store, and against records that are not restored after it.
func TestStoreOutageRemovesNoLiveMember(t *testing.T) {
	store := newFakeStore()
	runFleet(t, 4, store, func(nodes []*node, _ *network) {
		time.Sleep(20 * time.Second)
		require.Len(t, store.keys(), 4)
		store.setDown(true)
		time.Sleep(5 * time.Minute)
		assert.Empty(t, store.keys(), "the leases expired")
		for _, n := range nodes {
			assert.Equal(t, map[fleet.MemberState]int{fleet.MemberAlive: 3}, countStates(nodes, n.member.ID))
		}
		store.setDown(false)
		time.Sleep(2 * defaultMaxBackoff)
		assert.Len(t, store.keys(), 4)
	}, func(nodes []*node) {
		require.NoError(t, nodes[0].registrar.Close(context.Background()))
		assert.Len(t, store.keys(), 3, "shutdown removes the record at once")
	})
}

// Guards against callers being sent to unreachable instances, and against instances that stay dead after they are reachable again.
func TestBoardsFollowALostInstanceAndItsReturn(t *testing.T) {
	runFleet(t, 5, newFakeStore(), func(nodes []*node, net *network) {
		time.Sleep(20 * time.Second)
		net.setCut(nodes[2].member.PeerAddress, true)
		time.Sleep(15 * time.Second)
		assert.Equal(t, map[fleet.MemberState]int{fleet.MemberDead: 4}, countStates(nodes, "i2"))
		net.setCut(nodes[2].member.PeerAddress, false)
		time.Sleep(30 * time.Second)
		for _, n := range nodes {
			assert.Equal(t, map[fleet.MemberState]int{fleet.MemberAlive: 4}, countStates(nodes, n.member.ID))
		}
	})
}

// Guards against a drain that is announced only with the next regular probe, and against a board that shows a draining instance as alive
// again.
func TestDrainReachesSeveralPeersAtOnce(t *testing.T) {
	store := newFakeStore()
	runFleet(t, 5, store, func(nodes []*node, _ *network) {
		time.Sleep(20 * time.Second)
		nodes[1].prober.Drain(context.Background())
		synctest.Wait()
		assert.Equal(t, map[fleet.MemberState]int{fleet.MemberDraining: 4}, countStates(nodes, "i1"))
		assert.True(t, nodes[1].view.Draining())
		time.Sleep(time.Minute)
		assert.Equal(t, map[fleet.MemberState]int{fleet.MemberDraining: 4}, countStates(nodes, "i1"))
		m, err := DecodeRecord(store.value(MembersPrefix + "i1"))
		require.NoError(t, err)
		assert.Equal(t, fleet.MemberDraining, m.State)
	})
}

// Guards against a former process that, after a pause, replaces the record of the instance's current process.
func TestFormerProcessDoesNotReplaceTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, net := newFakeStore(), &network{probers: map[string]*Prober{}}
		former := newNode(1, net, &staticList{}, store)
		require.NoError(t, former.registrar.Reconcile(t.Context()))
		time.Sleep(time.Minute)
		present := newNode(1, net, &staticList{}, store)
		require.NoError(t, present.registrar.Reconcile(t.Context()))
		assert.ErrorIs(t, former.registrar.Reconcile(t.Context()), ErrSuperseded)
		m, err := DecodeRecord(store.value(MembersPrefix + "i1"))
		require.NoError(t, err)
		assert.Equal(t, present.member.Incarnation, m.Incarnation)
	})
}

// Guards against requests to a leaving target because the list lags, and against targets that stay leaving after a restart.
func TestTargetStaysLeavingUntilTheListShowsANewLife(t *testing.T) {
	live := func(address string) TargetChange {
		return TargetChange{Target: fleet.Target{ID: "t1", Kind: fleet.KindEngine, Address: address, State: fleet.TargetLive}}
	}
	listedLeaving := live("x")
	listedLeaving.Target.State = fleet.TargetLeaving
	fromPeer := membership.Probe{From: "i9", Targets: []membership.TargetUpdate{{ID: "t1", State: fleet.TargetLeaving}}}
	cases := map[string]struct {
		change TargetChange
		want   fleet.TargetState
	}{
		"the list still has it as live":                            {live("x"), fleet.TargetLeaving},
		"the list has it as live at another address":               {live("y"), fleet.TargetLive},
		"the list has it as leaving":                               {listedLeaving, fleet.TargetLeaving},
		"the list has it as gone, and a peer sends a stale update": {TargetChange{Target: fleet.Target{ID: "t1"}, Gone: true}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := newNode(1, &network{probers: map[string]*Prober{}}, &staticList{}, nil)
			n.poller.apply(Changes{Targets: []TargetChange{live("x")}})
			n.prober.HandleProbe(t.Context(), fromPeer)
			n.poller.apply(Changes{Targets: []TargetChange{c.change}})
			n.prober.HandleProbe(t.Context(), fromPeer)
			entry, ok := n.board.Targets.Get("t1")
			require.Equal(t, c.want != "", ok)
			if ok {
				assert.Equal(t, c.want, entry.State)
			}
			n.poller.apply(Changes{Targets: []TargetChange{listedLeaving}})
			n.poller.apply(Changes{Targets: []TargetChange{live("x")}})
			entry, _ = n.board.Targets.Get("t1")
			assert.Equal(t, fleet.TargetLive, entry.State, "live after the list had it as leaving is a restart")
		})
	}
	t.Run("a peer reports the target as leaving before it is listed", func(t *testing.T) {
		n := newNode(1, &network{probers: map[string]*Prober{}}, &staticList{}, nil)
		n.prober.HandleProbe(t.Context(), fromPeer)
		n.poller.apply(Changes{Targets: []TargetChange{live("x")}})
		entry, ok := n.board.Targets.Get("t1")
		require.True(t, ok)
		assert.Equal(t, fleet.TargetLeaving, entry.State)
	})
	t.Run("the retention of the peer's update has passed and the list still has the target as live", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := newNode(1, &network{probers: map[string]*Prober{}}, &staticList{}, nil)
			n.poller.apply(Changes{Targets: []TargetChange{live("x")}})
			n.prober.HandleProbe(t.Context(), fromPeer)
			time.Sleep(membership.DefaultDeadRetention + time.Minute)
			require.NoError(t, n.prober.Reconcile(t.Context()))
			n.poller.apply(Changes{Targets: []TargetChange{live("x")}})
			entry, _ := n.board.Targets.Get("t1")
			assert.Equal(t, fleet.TargetLeaving, entry.State)
		})
	})
}

// Guards against an instance that stays unknown after an absence in which the others forgot it: it had already told them its addresses.
func TestForgottenInstanceIsKnownAgain(t *testing.T) {
	runFleet(t, 5, newFakeStore(), func(nodes []*node, net *network) {
		time.Sleep(20 * time.Second)
		net.setCut(nodes[2].member.PeerAddress, true)
		for _, n := range nodes {
			n.poller.apply(Changes{Instances: []membership.ListEntry{{ID: "i2", State: membership.ListGone}}})
		}
		time.Sleep(membership.DefaultDeadRetention + time.Minute)
		assert.Empty(t, countStates(nodes, "i2"))
		net.setCut(nodes[2].member.PeerAddress, false)
		time.Sleep(time.Minute)
		for _, n := range nodes {
			assert.Equal(t, map[fleet.MemberState]int{fleet.MemberAlive: 4}, countStates(nodes, n.member.ID), "%s", n.member.ID)
			m, _ := n.board.Members.Get("i2")
			assert.Equal(t, nodes[2].member.CallerAddress, m.CallerAddress, "%s", n.member.ID)
		}
	})
}
