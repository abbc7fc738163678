package bundlesync

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	coremembership "eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/control/membership"
	"eelgrassproxy.example/node/control/roll"
	"eelgrassproxy.example/node/internal/memkv"
	"eelgrassproxy.example/node/internal/wait"
	"eelgrassproxy.example/node/workers"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"
)

// spreadMethod is one method to distribute changes to the instances.
type spreadMethod struct {
	name        string
	watchAll    bool
	poll        time.Duration // interval at which every instance reads the head; 0: do not poll
	hints       bool          // instances follow the generations that probes carry
	atInstance  bool          // changes are rolled by delta through an instance instead of written to the store from outside
	burst       time.Duration // time between the changes of a burst; 0: single changes
	noWatcher   bool          // no instance watches the store; only the instance that rolls has the change
	maxSeconds  float64       // maximum seconds until a change is in force everywhere; 0: only measured
	large       bool          // measured at the design size only
	spreadCount int           // fanout of announcements; 0 means the default
}

// spreadFleet runs the real prober, failure detector and bundle controller of each instance on virtual time. Calls between instances
// and to the store are function calls with a simulated latency.
type spreadFleet struct {
	t        *testing.T
	method   spreadMethod
	store    *slowStore
	nodes    []*spreadNode
	at       map[string]*spreadNode // by peer address
	topology fleet.Topology
	probes   atomic.Int64 // exchanges
	fetches  atomic.Int64 // deltas fetched from peers
}

type spreadNode struct {
	fleet   *spreadFleet
	seed    uint64
	member  fleet.Member
	board   *blackboard.Board
	prober  *membership.Prober
	bundles *Controller
	pool    *workers.Pool
	poller  *membership.Poller
}

// Simulated latencies, one way unless noted.
const (
	withinRegion   = 1500 * time.Microsecond
	betweenRegions = 12 * time.Millisecond
	storeLatency   = 15 * time.Millisecond // round trip
)

// slowStore is a store whose calls take storeLatency.
type slowStore struct {
	*memkv.Store
}

func (s *slowStore) Get(ctx context.Context, key string) (kv.KeyValue, error) {
	time.Sleep(storeLatency)
	return s.Store.Get(ctx, key)
}

func (s *slowStore) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	time.Sleep(storeLatency)
	return s.Store.Txn(ctx, txn)
}

func newSpreadFleet(t *testing.T, w spreadMethod, instances int) *spreadFleet {
	f := &spreadFleet{t: t, method: w, store: &slowStore{memkv.New()}, at: map[string]*spreadNode{}}
	f.topology.RegionOf = map[fleet.FailureDomain]fleet.Region{}
	for i := range 9 {
		f.topology.RegionOf[fleet.FailureDomain(fmt.Sprintf("domain-%d", i))] = fleet.Region(fmt.Sprintf("region-%d", i/3))
	}
	rollTo(t, f.store.Store, 1)
	for i := range instances {
		n := &spreadNode{fleet: f, board: blackboard.New(), member: fleet.Member{
			ID:            fleet.InstanceID(fmt.Sprintf("entry-%03d", i)),
			Incarnation:   1,
			PeerAddress:   fmt.Sprintf("10.20.%d.%d:7443", i/250, i%250),
			CallerAddress: fmt.Sprintf("10.20.%d.%d:8443", i/250, i%250),
			FailureDomain: fleet.FailureDomain(fmt.Sprintf("domain-%d", i%9)),
		}}
		f.nodes = append(f.nodes, n)
		f.at[n.member.PeerAddress] = n
	}
	for i, n := range f.nodes {
		n.seed = uint64(i)
		n.assemble()
	}
	return f
}

func (n *spreadNode) assemble() {
	w, seed := n.fleet.method, n.seed
	onHint := func(h coremembership.GenerationHint) { n.bundles.Hint(h.Generation, h.Address) }
	if !w.hints {
		onHint = nil
	}
	options := coremembership.Options{SpreadFanout: w.spreadCount}
	view := membership.NewView(n.member, options, rand.New(rand.NewPCG(seed, 1)), n.board, onHint)
	n.prober = membership.NewProber(view, n, func() int { return 0 })
	n.poller = membership.NewPoller(view, n)
	n.bundles = New(Config{
		Table:         n.board.Bundle,
		Store:         n.fleet.store,
		Peers:         n,
		Verifier:      verifier(),
		IsWatcher:     n.watches,
		PeerAddresses: n.addresses,
		Random:        rand.New(rand.NewPCG(seed, 2)),
	})
	n.pool = workers.NewPool(n.board, 4, seed)
	n.pool.Register(n.bundles, workers.Schedule{Every: time.Second})
	n.pool.Register(n.prober, workers.Schedule{Every: membership.ProbeInterval, On: []blackboard.Topic{blackboard.TopicBundle}})
}

func (n *spreadNode) watches() bool {
	w := n.fleet.method
	if w.watchAll || w.poll > 0 || w.noWatcher {
		return w.watchAll
	}
	return slices.Contains(coremembership.Watchers(n.board.Members.All(), n.fleet.topology, 2), n.member.ID)
}

func (n *spreadNode) addresses() []string {
	var out []string
	for _, other := range n.fleet.nodes {
		if other != n {
			out = append(out, other.member.PeerAddress)
		}
	}
	return out
}

// Changes implements membership.ListSource.
func (n *spreadNode) Changes(context.Context, int64) (membership.Changes, error) {
	var changes membership.Changes
	for _, other := range n.fleet.nodes {
		changes.Instances = append(changes.Instances, coremembership.ListEntry{
			ID: other.member.ID, State: coremembership.ListLive, PeerAddress: other.member.PeerAddress, FailureDomain: other.member.FailureDomain,
		})
	}
	return changes, nil
}

// sleepLatency sleeps for the one-way latency to another instance.
func (n *spreadNode) sleepLatency(to *spreadNode) {
	if n.fleet.topology.RegionOf[n.member.FailureDomain] == n.fleet.topology.RegionOf[to.member.FailureDomain] {
		time.Sleep(withinRegion)
		return
	}
	time.Sleep(betweenRegions)
}

// Probe implements membership.Transport.
func (n *spreadNode) Probe(ctx context.Context, address string, p coremembership.Probe) (coremembership.Probe, error) {
	to := n.fleet.at[address]
	n.fleet.probes.Add(1)
	n.sleepLatency(to)
	ack := to.prober.HandleProbe(ctx, p)
	n.sleepLatency(to)
	return ack, nil
}

// ProbeIndirect implements membership.Transport.
func (n *spreadNode) ProbeIndirect(context.Context, fleet.InstanceID, coremembership.IndirectRequest) (peer.IndirectResult, error) {
	return peer.IndirectResult{Reached: true}, nil
}

// Manifest implements PeerSource.
func (n *spreadNode) Manifest(_ context.Context, address string) (bundle.SignedManifest, error) {
	to := n.fleet.at[address]
	n.sleepLatency(to)
	n.sleepLatency(to)
	if active := to.board.Bundle.Current(); active != nil {
		return active.Manifest(), nil
	}
	return bundle.SignedManifest{}, errPeer
}

// Section implements PeerSource.
func (n *spreadNode) Section(_ context.Context, address, digest string) ([]byte, error) {
	to := n.fleet.at[address]
	n.sleepLatency(to)
	n.sleepLatency(to)
	if active := to.board.Bundle.Current(); active != nil {
		if data, ok := active.Section(digest); ok {
			return data, nil
		}
	}
	return nil, errPeer
}

// Delta implements PeerSource.
func (n *spreadNode) Delta(_ context.Context, address string, generation fleet.Generation) (bundle.Delta, error) {
	to := n.fleet.at[address]
	n.fleet.fetches.Add(1)
	n.sleepLatency(to)
	n.sleepLatency(to)
	if delta, ok := to.bundles.Delta(generation); ok {
		return delta, nil
	}
	return bundle.Delta{}, ErrNoDelta
}

// run starts all instances, which run until ctx ends, and waits 15 s for the membership to settle.
func (f *spreadFleet) run(ctx context.Context) {
	for _, n := range f.nodes {
		require.NoError(f.t, n.poller.Reconcile(ctx))
		go n.pool.Run(ctx)
		go n.bundles.Run(ctx)
		if f.method.poll > 0 {
			go n.pollHead(ctx, f.method.poll)
		}
	}
	time.Sleep(15 * time.Second)
}

// pollHead reads the head at the interval every, from a random offset on, and passes its generation to the controller.
func (n *spreadNode) pollHead(ctx context.Context, every time.Duration) {
	random := rand.New(rand.NewPCG(n.seed, 3))
	wait.For(ctx, time.Duration(random.Int64N(int64(every))))
	for wait.For(ctx, every) {
		if head, err := (storeSource{n.fleet.store}).head(ctx); err == nil {
			n.bundles.Hint(head.Generation, "")
		}
	}
}

// change rolls the generation, or a burst of them, and returns the time from the start of the last roll until it is in force everywhere, at
// most a minute.
func (f *spreadFleet) change(ctx context.Context, generation fleet.Generation) time.Duration {
	if f.method.burst > 0 {
		for range burstChanges - 1 {
			f.rollAt(ctx, f.nodes[0], f.nodes[0].board.Bundle.Generation()+1)
			time.Sleep(f.method.burst)
		}
		generation = f.nodes[0].board.Bundle.Generation() + 1
	}
	started := time.Now()
	if f.method.burst > 0 {
		f.rollAt(ctx, f.nodes[0], generation)
	} else if f.method.atInstance {
		f.rollAt(ctx, f.nodes[int(generation)%len(f.nodes)], generation)
	} else {
		rollTo(f.t, f.store.Store, generation)
	}
	const step = 10 * time.Millisecond
	for time.Since(started) < time.Minute {
		if !slices.ContainsFunc(f.nodes, func(n *spreadNode) bool { return n.board.Bundle.Generation() < generation }) {
			break
		}
		time.Sleep(step)
	}
	return time.Since(started)
}

// rollAt rolls the generation by its delta through one instance, as the operators' listener of the instance does.
func (f *spreadFleet) rollAt(ctx context.Context, n *spreadNode, generation fleet.Generation) {
	delta := bundle.Diff(document(generation-1), document(generation))
	manifest, _ := signed(f.t, document(generation))
	delta.Signatures = manifest.Signatures
	rolled, err := roll.RollDelta(ctx, f.store, n.board.Bundle.Current(), generation-1, delta, verifier())
	require.NoError(f.t, err)
	n.bundles.AcceptRolled(rolled.Next, delta)
}

// maxCallsPerChange is the maximum number of store calls that a change may cause, regardless of the size of the fleet: two by the roll,
// one by each of six watchers, and a few by instances whose hints failed.
const maxCallsPerChange = 10

// burstChanges is the number of changes in a burst, rolled one after the other by one operator's tool.
const burstChanges = 20

const (
	spreadChanges = 5
	spreadPeriod  = 5 * time.Second // 20,000 changes a day are one every 4.3 s
)

// spreadResult holds the measurements of a run.
type spreadResult struct {
	longest, mean  time.Duration
	extraProbes    float64 // probe exchanges per change and instance in addition to those without changes
	fetches        float64 // deltas fetched from peers per change and instance
	callsRate      float64 // store calls per second with a change every spreadPeriod
	quietCallsRate float64 // store calls per second without changes
	changesRate    float64 // changes per second
}

func measureSpread(t *testing.T, w spreadMethod, instances int) spreadResult {
	f := newSpreadFleet(t, w, instances)
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		time.Sleep(time.Minute)
	}()
	f.run(ctx)
	probes, calls := f.probes.Load(), f.store.Calls()
	time.Sleep(spreadPeriod)
	quietProbes, quietCalls := f.probes.Load()-probes, f.store.Calls()-calls
	probes, calls, fetches := f.probes.Load(), f.store.Calls(), f.fetches.Load()
	var total, longest time.Duration
	started := time.Now()
	changes := spreadChanges
	if w.burst > 0 {
		changes = 1
	}
	for i := range changes {
		took := f.change(ctx, fleet.Generation(i+2))
		total += took
		longest = max(longest, took)
		time.Sleep(max(0, time.Duration(i+1)*spreadPeriod-time.Since(started)))
	}
	rolls := time.Duration(changes)
	periods := time.Since(started).Seconds() / spreadPeriod.Seconds()
	if w.burst > 0 {
		changes = burstChanges
	}
	perNode := float64(changes * instances)
	return spreadResult{
		changesRate:    float64(changes) / time.Since(started).Seconds(),
		longest:        longest,
		mean:           total / rolls,
		extraProbes:    (float64(f.probes.Load()-probes) - periods*float64(quietProbes)) / perNode,
		fetches:        float64(f.fetches.Load()-fetches) / perNode,
		callsRate:      float64(f.store.Calls()-calls) / time.Since(started).Seconds(),
		quietCallsRate: float64(quietCalls) / spreadPeriod.Seconds(),
	}
}

func spreadMethods() []spreadMethod {
	return []spreadMethod{
		{name: "all watch", watchAll: true},
		{name: "poll every 2 s", poll: 2 * time.Second},
		{name: "watchers and hints, rolled elsewhere", hints: true, maxSeconds: 3},
		{name: "watchers and hints, rolled at an instance", hints: true, atInstance: true, maxSeconds: 3},
		{name: "fanout 2, rolled at an instance", hints: true, atInstance: true, spreadCount: 2, large: true},
		{name: "fanout 3, rolled at an instance", hints: true, atInstance: true, spreadCount: 3, large: true},
		{name: "20 changes, four a second", hints: true, atInstance: true, burst: 250 * time.Millisecond, maxSeconds: 3},
		{name: "hints only, rolled at an instance", hints: true, atInstance: true, noWatcher: true, maxSeconds: 3, large: true},
	}
}

// designInstances is the number of instances that the system is designed for.
const designInstances = 370

var spreadSizes = []int{8, 50, designInstances}

// fullSpread enables the measurement at designInstances, which takes 20 s and 1 GB of memory per method.
var fullSpread = flag.Bool("spread.full", false, "measure the distribution of changes at 370 instances too")

// Guards against a change that is not in force everywhere within 3 s, with up to designInstances instances, and against store calls per
// change that grow with the fleet. Run with -v -spread.full to measure the figures of docs/decisions/0005.
func TestChangesAreInForceEverywhereWithinSeconds(t *testing.T) {
	klog.SetLogger(logr.Discard())
	for _, w := range spreadMethods() {
		for _, instances := range spreadSizes {
			if instances == designInstances && !*fullSpread || w.large && instances != designInstances {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d instances", w.name, instances), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := measureSpread(t, w, instances)
					t.Logf("in force everywhere after %.2f s at most, %.2f s on average; per change and instance: %.1f additional probes, %.2f deltas from peers; "+
						"store calls: %.1f/s with changes, %.1f/s without",
						r.longest.Seconds(), r.mean.Seconds(), r.extraProbes, r.fetches, r.callsRate, r.quietCallsRate)
					if w.maxSeconds > 0 {
						assert.LessOrEqual(t, r.longest.Seconds(), w.maxSeconds)
						assert.LessOrEqual(t, r.callsRate, r.quietCallsRate+maxCallsPerChange*r.changesRate)
					}
				})
			})
		}
	}
}
