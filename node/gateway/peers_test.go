package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/gateway"
	"eelgrassproxy.example/node/internal/memkv"
	"eelgrassproxy.example/node/kvmirror"
	"eelgrassproxy.example/standin/memnet"
)

// member is one instance of a test fleet.
type member struct {
	id      fleet.InstanceID
	address string
	board   *gateway.Board
	peers   *gateway.Peers
	routes  *gateway.Routes
	targets *kvmirror.Mirror
	list    *gateway.TargetList
	catchUp *gateway.CatchUp
	quotas  *gateway.Quotas
	parts   *gateway.PartGuard // nil without testFleet.guardsParts
	store   *interruptibleStore
	reach   *kv.Reach
	stop    func()
}

// interruptibleStore is an instance's connection to the store, which a test can interrupt.
type interruptibleStore struct {
	kv.Store
	mu    sync.Mutex
	off   bool // calls fail with kv.ErrUnavailable
	lists int  // number of listings of the targets
	hangs bool // new watches send no events and do not end
	// expires means that leases are not renewed.
	expires bool
}

func (s *interruptibleStore) set(off bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.off = off
}

func (s *interruptibleStore) List(ctx context.Context, prefix string) (kv.Listing, error) {
	s.mu.Lock()
	off := s.off
	if prefix == "t/" {
		s.lists++
	}
	s.mu.Unlock()
	if off {
		return kv.Listing{}, kv.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *interruptibleStore) Get(ctx context.Context, key string) (kv.KeyValue, error) {
	s.mu.Lock()
	off := s.off
	s.mu.Unlock()
	if off {
		return kv.KeyValue{}, kv.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *interruptibleStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.mu.Lock()
	off := s.off
	s.mu.Unlock()
	if off {
		return 0, kv.ErrUnavailable
	}
	return s.Store.Grant(ctx, ttl)
}

func (s *interruptibleStore) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	off, expires := s.off, s.expires
	s.mu.Unlock()
	if off || expires {
		return 0, kv.ErrOutcomeUnknown
	}
	return s.Store.KeepAlive(ctx, id)
}

// Watch ends each watch after 300 ms, so that the mirrors notice an interruption.
func (s *interruptibleStore) Watch(ctx context.Context, prefix string, after kv.Revision) (<-chan kv.WatchEvent, error) {
	s.mu.Lock()
	hangs := s.hangs
	s.mu.Unlock()
	if hangs {
		out := make(chan kv.WatchEvent)
		context.AfterFunc(ctx, func() { close(out) })
		return out, nil
	}
	events, err := s.Store.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	out := make(chan kv.WatchEvent)
	go func() {
		defer close(out)
		timer := time.NewTimer(300 * time.Millisecond)
		defer timer.Stop()
		for {
			select {
			case e, ok := <-events:
				if !ok {
					return
				}
				select {
				case out <- e:
				case <-ctx.Done():
					return
				}
			case <-timer.C:
				select {
				case out <- kv.WatchEvent{Err: kv.ErrCompacted}:
				case <-ctx.Done():
				}
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}

// testFleet is a fleet over one store.
type testFleet struct {
	t       *testing.T
	network *memnet.Network
	store   *memkv.Store
	members []*member
	// capacity is the capacity of the instances that are started from now on, ahead by how much their time of day is ahead.
	capacity float64
	ahead    time.Duration
	seed     bool // the instances that are started from now on are seeds of others
	// guardsParts gives the instances that are started from now on a guard of parts.
	guardsParts bool
}

func newTestFleet(t *testing.T) *testFleet {
	return &testFleet{t: t, network: memnet.New(), store: memkv.New()}
}

func (p *testFleet) put(key, value string) {
	_, err := p.store.Txn(context.Background(), kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: []byte(value)}}})
	require.NoError(p.t, err)
}

// startInstance starts an instance in a failure domain. reaches says whether it can reach the store; seeds are the peer addresses that it is
// configured with.
func (p *testFleet) startInstance(id fleet.InstanceID, domain fleet.FailureDomain, reaches bool, seeds ...string) *member {
	return p.startAt(id, fmt.Sprintf("10.0.0.%d:7720", len(p.members)+1), domain, reaches, seeds...)
}

// startAt is startInstance with the peer address of the instance.
func (p *testFleet) startAt(id fleet.InstanceID, address string, domain fleet.FailureDomain, reaches bool, seeds ...string) *member {
	m := &member{id: id, address: address, store: &interruptibleStore{Store: p.store, off: !reaches}}
	self := fleet.Member{ID: id, Incarnation: fleet.NewIncarnation(time.Now().Add(p.ahead)), PeerAddress: m.address, CallerAddress: m.address, FailureDomain: domain, Capacity: p.capacity}
	packets, err := p.network.ListenPacket(m.address)
	require.NoError(p.t, err)
	listener, err := p.network.Listen(m.address)
	require.NoError(p.t, err)
	m.reach = kv.NewReach(m.store)
	m.board = gateway.NewBoard(slots.NewView(id, domain, topology, slots.DefaultPolicy()))
	m.peers = gateway.NewPeers(self, topology, m.reach, m.board, packets)
	m.routes = gateway.NewRoutes(func(value []byte) (*routetable.Table, error) {
		return routetable.New(int64(len(value)), routetable.Limits{}, nil), nil
	})
	list := gateway.NewTargetList(m.board, "t/", func(key string, value []byte) (slots.Target, error) {
		if string(value) == "broken" {
			return slots.Target{}, fmt.Errorf("entry is broken")
		}
		target := slots.Target{Slots: 8}
		state, version, _ := strings.Cut(string(value), " ")
		target.ID, target.Service, target.State, target.Version = fleet.TargetID(key[2:]), "s", fleet.TargetState(state), version
		return target, nil
	})
	m.list = list
	config := kvmirror.New(m.reach, "config", m.routes.Apply)
	m.targets = kvmirror.New(m.reach, "t/", list.Apply)
	client := gateway.NewPeerClient(p.network.DialContext(m.address))
	copies := gateway.Copies{Config: config, Targets: m.targets, Members: m.peers.Records()}
	m.catchUp = gateway.NewCatchUp(self, topology, m.peers, m.routes, list, copies, m.reach, client, seeds)
	m.quotas = gateway.NewQuotas(m.peers, limitOf, m.catchUp.StoreLost, tally.NoopScope)
	if p.seed {
		m.catchUp.SetSeed()
	}
	runs := []func(context.Context){m.peers.Run, m.quotas.Run, m.catchUp.Run, config.Run, m.targets.Run}
	if p.guardsParts {
		m.parts = gateway.NewPartGuard(m.peers, m.board, m.reach, m.catchUp.StoreLost, p.network.DialContext(m.address), tally.NoopScope)
		runs = append(runs, m.parts.Run)
	}
	mux := http.NewServeMux()
	m.catchUp.Handle(mux)
	server := &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, run := range runs {
		group.Go(func() { run(ctx) })
	}
	group.Go(func() { _ = server.Serve(listener) })
	m.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		group.Wait()
		client.CloseIdle()
	})
	p.members = append(p.members, m)
	return m
}

// lists returns for each instance how often it has listed the targets in the store.
func (p *testFleet) lists() []int {
	var counts []int
	for _, m := range p.members {
		m.store.mu.Lock()
		counts = append(counts, m.store.lists)
		m.store.mu.Unlock()
	}
	return counts
}

func (p *testFleet) close() {
	for _, m := range p.members {
		m.stop()
	}
	p.network.Close()
	time.Sleep(time.Second)
}

var topology = fleet.Topology{RegionOf: map[fleet.FailureDomain]fleet.Region{"a1": "a", "a2": "a", "b1": "b"}}

// runInFleet runs a test with an empty fleet whose store has a configuration and one target.
func runInFleet(t *testing.T, test func(*testing.T, *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestFleet(t)
		p.put("config", "v")
		p.put("t/t1", "live")
		defer p.close()
		test(t, p)
	})
}

// stateOf returns the state of an instance in the list of m, and whether it is listed.
func stateOf(m *member, id fleet.InstanceID) (fleet.MemberState, bool) {
	for _, other := range m.peers.Members() {
		if other.ID == id {
			return other.State, true
		}
	}
	return 0, false
}

// Guards against instances whose load counts disagree for so long that a burst of requests is placed by outdated counts.
func TestRequestCountsReachPeersAtOnce(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		a, b := p.startInstance("a", "a1", true), p.startInstance("b", "b1", true)
		time.Sleep(2 * time.Second)
		reservation, _ := a.board.ReserveOnline("s", "q", nil)
		require.NotNil(t, reservation)
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, 1, b.board.Pool("s").Load.Online)
		reservation.Release()
		time.Sleep(20 * time.Millisecond)
		require.Zero(t, b.board.Pool("s").Load.Total())
	})
}

// Guards against a lost instance that is still listed as alive, so that callers are sent to it, or whose requests still count.
func TestSilentPeerIsSuspected(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		a, b := p.startInstance("a", "a1", true), p.startInstance("b", "a1", true)
		time.Sleep(2 * time.Second)
		_, room := b.board.ReserveOnline("s", "q", nil)
		require.Equal(t, slots.Placed, room)
		time.Sleep(100 * time.Millisecond)
		state, _ := stateOf(a, "b")
		require.Equal(t, fleet.MemberAlive, state)
		p.network.Crash(b.address)
		time.Sleep(2 * time.Second)
		state, known := stateOf(a, "b")
		require.True(t, known)
		require.Equal(t, fleet.MemberSuspect, state)
		require.Zero(t, a.board.Pool("s").Load.Total())
	})
}

// Guards against taking a peer for lost because none of its datagrams has arrived yet: an instance that starts would take over its jobs.
func TestPeerWithoutDatagramYetIsAlive(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		p.network.Partition([]string{"10.0.0.1:7720"}, []string{"10.0.0.2:7720"})
		a := p.startInstance("a", "a1", true)
		p.startInstance("b", "a1", true)
		time.Sleep(time.Second)
		state, known := stateOf(a, "b")
		require.True(t, known, "listed by its record")
		require.Equal(t, fleet.MemberAlive, state)
		time.Sleep(time.Second)
		state, _ = stateOf(a, "b")
		require.Equal(t, fleet.MemberSuspect, state)
	})
}

// Guards against sending callers to an instance that is draining.
func TestDrainIsAnnouncedAtOnce(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		a, b := p.startInstance("a", "a1", true), p.startInstance("b", "a1", true)
		time.Sleep(2 * time.Second)
		b.peers.Drain()
		time.Sleep(50 * time.Millisecond)
		state, _ := stateOf(a, "b")
		require.Equal(t, fleet.MemberDraining, state)
	})
}

// Guards against an instance that cannot reach the store when it starts and therefore gets no configuration, targets and peers.
func TestInstanceWithoutTheStoreLearnsFromPeers(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		a := p.startInstance("a", "a1", true)
		time.Sleep(2 * time.Second)
		b := p.startInstance("b", "a1", false, a.address)
		time.Sleep(3 * time.Second)
		require.NotNil(t, b.routes.Current())
		require.Equal(t, 1, b.board.Pool("s").Usable)
		state, known := stateOf(a, "b")
		require.True(t, known, "learned from its datagrams")
		require.Equal(t, fleet.MemberAlive, state)
		require.True(t, b.catchUp.StoreLost())

		p.put("config", "newer")
		p.put("t/t1", "leaving")
		time.Sleep(2 * time.Second)
		require.Equal(t, int64(5), b.routes.Current().Version)
		require.Zero(t, b.board.Pool("s").Usable, "it learns that the target leaves")
		b.store.set(false)
		time.Sleep(3 * time.Second)
		require.False(t, b.catchUp.StoreLost())
	})
}

// Guards against an instance that keeps old targets and an old configuration while its watches hang, although its other store calls succeed and
// its peers announce newer copies. An instance has two seconds or more to learn that a target is leaving.
func TestInstanceWhoseWatchesHangLearnsFromPeers(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		p.startInstance("a", "a1", true)
		b := p.startInstance("b", "a1", true)
		time.Sleep(2 * time.Second)
		b.store.mu.Lock()
		b.store.hangs = true
		b.store.mu.Unlock()
		time.Sleep(time.Second) // the earlier watches end
		p.put("t/t1", "leaving")
		p.put("config", "newer")
		time.Sleep(5 * time.Second)
		require.False(t, b.catchUp.StoreLost())
		require.Zero(t, b.board.Pool("s").Usable)
		require.Equal(t, int64(5), b.routes.Current().Version)
	})
}

// Guards against replacing the configuration by one with a lower version.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		a := p.startInstance("a", "a1", true)
		p.put("config", "newer")
		time.Sleep(time.Second)
		require.Equal(t, int64(5), a.routes.Current().Version)
		p.put("config", "old")
		time.Sleep(time.Second)
		require.Equal(t, int64(5), a.routes.Current().Version)
	})
}

// Guards against dropping targets at once whose entries expired during an outage of the store, against keeping them forever, and against a
// malformed entry that affects other targets.
func TestTargetsLapseAfterAnOutage(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		a := p.startInstance("a", "a1", true)
		p.put("t/t2", "live")
		p.put("t/t3", "broken")
		time.Sleep(time.Second)
		require.Equal(t, 2, a.board.Pool("s").Usable)
		p.store.SetDown(true)
		time.Sleep(3 * time.Second)
		p.store.Delete("t/t1")
		p.store.Delete("t/t2")
		require.Equal(t, 2, a.board.Pool("s").Usable)
		p.store.SetDown(false)
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, 2, a.board.Pool("s").Usable, "they may register again")
		p.put("t/t2", "live")
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, a.board.Pool("s").Usable)
		p.put("t/t2", "broken")
		time.Sleep(time.Second)
		require.Zero(t, a.board.Pool("s").Usable)
	})
}

// Guards against datagrams that are malformed or come from an unknown sender and change the load counts or the members.
func TestInvalidDatagramsAreIgnored(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		a := p.startInstance("a", "a1", true)
		time.Sleep(time.Second)
		stranger, err := p.network.ListenPacket("10.0.9.9:1")
		require.NoError(t, err)
		defer stranger.Close()
		address, err := net.ResolveUDPAddr("udp", a.address)
		require.NoError(t, err)
		for _, text := range []string{"", "{", `{"i":"x","p":1,"n":1,"c":{"t1":[9,9,9]}}`, `{"i":"x","m":{"instance":"y"}}`} {
			_, err := stranger.WriteTo([]byte(text), address)
			require.NoError(t, err)
		}
		time.Sleep(100 * time.Millisecond)
		require.Zero(t, a.board.Pool("s").Load.Total())
		require.Len(t, a.peers.Members(), 1)
	})
}

// Guards against an instance that its peers ignore for good because its clock was behind when it started again.
func TestProcessWithAnEarlierClockIsKnown(t *testing.T) {
	for name, restart := range map[string]time.Duration{"at once": 0, "after its peers have noticed": 5 * time.Second, "after its record has expired": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, func(t *testing.T, p *testFleet) {
				a, b := p.startInstance("a", "a1", true), p.startInstance("b", "a1", true)
				time.Sleep(2 * time.Second)
				b.stop()
				time.Sleep(restart)
				p.ahead = -time.Minute
				next := p.startAt("b", b.address, "a1", true)
				time.Sleep(5 * time.Second)
				state, known := stateOf(a, "b")
				require.True(t, known)
				require.Equal(t, fleet.MemberAlive, state)
				reservation, _ := next.board.ReserveOnline("s", "q", nil)
				require.NotNil(t, reservation)
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, 1, a.board.Pool("s").Load.Online, "its counts are known")
				reservation.Release()
			})
		})
	}
}
