package placement_test

import (
	"context"
	"crypto/ed25519"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/adapters/engine"
	api "eelgrassproxy.example/api/engine"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/control/placement"
	"eelgrassproxy.example/node/control/shards"
	"eelgrassproxy.example/node/decisionlog"
)

// fakeOwners owns all shards with the same epoch, or none.
type fakeOwners struct {
	epoch      uint64 // 0 means that nothing is owned
	leaseEnded bool   // the lease ended after the call of Owned
}

func (o *fakeOwners) Owned() []shards.Ownership {
	var owned []shards.Ownership
	for s := range batch.Shard(batch.Shards) {
		if o.epoch > 0 {
			owned = append(owned, shards.Ownership{Shard: s, Epoch: o.epoch})
		}
	}
	return owned
}

func (o *fakeOwners) Epoch(batch.Shard) (uint64, bool) { return o.epoch, o.epoch > 0 && !o.leaseEnded }

// fakeEngines records the calls. Orders do not change which models an engine holds.
type fakeEngines struct {
	mu       sync.Mutex
	calls    []string // "state" and the actions of orders
	fences   []int64
	orderErr error                        // returned for orders
	pollErr  error                        // returned for polls
	models   map[string][]api.LoadedModel // models of each engine by address; other engines are empty
	loads    map[string]bool              // addresses of engines that got an order to load a model
}

func (f *fakeEngines) State(_ context.Context, address string) (*api.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, "state")
	return &api.EngineState{Role: "any", Models: f.models[address]}, f.pollErr
}

func (f *fakeEngines) Order(_ context.Context, address string, o api.Order) (*api.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, string(o.Action))
	f.fences = append(f.fences, o.Fence)
	f.loads[address] = f.loads[address] || o.Action == api.OrderActionLoadModel
	return &api.EngineState{Role: "any"}, f.orderErr
}

func (f *fakeEngines) orders() int { return len(f.fences) }

// fixture is a controller with one empty engine, and a bundle that asks for one to two replicas of a model.
type fixture struct {
	owners     *fakeOwners
	engines    *fakeEngines
	controller *placement.Controller
	scope      tally.TestScope
	board      *blackboard.Board
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{owners: &fakeOwners{epoch: 7}, engines: &fakeEngines{loads: map[string]bool{}}, scope: tally.NewTestScope("", nil), board: blackboard.New()}
	require.True(t, b.board.Bundle.Advance(activeBundle(t)))
	b.board.Targets.Update([]blackboard.TargetEntry{{Target: fleet.Target{
		ID: "engine-1", Kind: fleet.KindEngine, Address: "10.0.0.1:80", State: fleet.TargetLive, FailureDomain: "a",
	}}}, nil)
	b.controller = placement.New(placement.Config{
		Board: b.board, Owners: b.owners, Client: b.engines, Log: decisionlog.New("i", b.board.Decisions), Metrics: b.scope,
	})
	return b
}

func activeBundle(t *testing.T) *bundle.Active {
	doc := &bundle.Document{
		Generation: 1,
		Topology:   bundle.Topology{Regions: []bundle.Region{{Name: "r", FailureDomains: []fleet.FailureDomain{"a"}}}},
		Placement:  []bundle.Placement{{Base: "m", Version: "1", MinReplicas: 1, MaxReplicas: 2}},
	}
	manifest, sections, err := bundle.Split(doc)
	require.NoError(t, err)
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	raw := manifest.Bytes()
	signed := bundle.SignedManifest{Manifest: raw, Signatures: []bundle.Signature{bundle.Sign(raw, "o", key)}}
	verifier := bundle.Verifier{Keys: map[string]ed25519.PublicKey{"o": key.Public().(ed25519.PublicKey)}, Required: 1}
	active, err := bundle.Activate(signed, sections, verifier)
	require.NoError(t, err)
	return active
}

// run calls Reconcile once per ReconcileInterval for the given time.
func (b *fixture) run(t *testing.T, d time.Duration) {
	for range int(d / placement.ReconcileInterval) {
		time.Sleep(placement.ReconcileInterval)
		require.NoError(t, b.controller.Reconcile(t.Context()))
	}
}

// firstOrderWithin is the longest time to the first order: the wait for the lease of the former owner, and the spread of first orders.
const firstOrderWithin = shards.LeaseTTL + 24*time.Second

// Guards against orders of two owners to one engine at the same time if the engine ignores fencing numbers.
func TestANewOwnerWaitsOutTheLeaseOfTheFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		for _, epoch := range []uint64{7, 9} {
			before := b.engines.orders()
			b.owners.epoch = epoch
			b.run(t, shards.LeaseTTL)
			require.Equal(t, before, b.engines.orders(), "epoch %d", epoch)
			b.run(t, firstOrderWithin-shards.LeaseTTL)
			require.Greater(t, b.engines.orders(), before)
			require.EqualValues(t, epoch, b.engines.fences[b.engines.orders()-1])
		}
	})
}

// Guards against orders of an instance whose lease ended, either before the pass (during an outage of the store) or between the plan and
// the order.
func TestNobodyActsWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.owners.leaseEnded = true
		b.run(t, 2*firstOrderWithin)
		require.Zero(t, b.engines.orders())
		b.owners.epoch = 0
		b.run(t, 2*firstOrderWithin)
		require.Zero(t, b.engines.orders())
	})
}

// Guards against a second order to an engine that could not be observed after the first order.
func TestAnEngineThatDoesNotAnswerGetsNoFurtherOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		for b.engines.orders() == 0 {
			b.run(t, placement.ReconcileInterval)
		}
		b.engines.pollErr = engine.ErrOutcomeUnknown
		b.run(t, 5*time.Minute)
		require.Equal(t, 1, b.engines.orders())
	})
}

// Guards against an order without an observation since the last order, whose response was lost, and against orders that are missing in the
// decision log or the metrics.
func TestAnEngineIsObservedBetweenTwoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.engines.orderErr = engine.ErrOutcomeUnknown
		b.run(t, 5*time.Minute)
		require.Greater(t, b.engines.orders(), 5, "an order whose response was lost is sent again")
		require.LessOrEqual(t, b.engines.orders(), 15, "at most three orders a minute")
		for i, call := range b.engines.calls {
			if call != "state" {
				require.Equal(t, "state", b.engines.calls[i-1])
				require.NotEqual(t, len(b.engines.calls)-1, i)
				require.Equal(t, "state", b.engines.calls[i+1])
			}
		}
		lines := b.board.Decisions.Find("placement-engine-1")
		require.Len(t, lines, b.engines.orders())
		require.Contains(t, lines[0], `"reason":"load_model m@1, fence 7, outcome_unknown: one of 1 wanted replicas, 0 serve"`)
		counter := b.scope.Snapshot().Counters()["placement.orders+action=load_model,result=outcome_unknown"]
		require.EqualValues(t, b.engines.orders(), counter.Value())
		require.EqualValues(t, 1, b.scope.Snapshot().Gauges()["placement.engines+state=empty"].Value())
	})
}

// Guards against replacing a busy version by only the minimum number of replicas of the new version.
func TestDemandAtTheReplacedVersionCountsForTheNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.engines.models = map[string][]api.LoadedModel{"10.0.0.3:80": {{Model: "m", Version: "0"}}}
		for _, id := range []string{"2", "3"} {
			b.board.Targets.Update([]blackboard.TargetEntry{{Target: fleet.Target{
				ID: fleet.TargetID("engine-" + id), Kind: fleet.KindEngine, Address: "10.0.0." + id + ":80", State: fleet.TargetLive, FailureDomain: "a",
			}}}, nil)
		}
		b.run(t, 2*time.Minute)
		require.Len(t, b.engines.loads, 1, "one replica is the minimum")
		for range 60 {
			b.board.Loads.Report("engine-3", fleet.LoadReport{Running: 9, SampledAt: time.Now()})
			b.run(t, placement.ReconcileInterval)
		}
		require.Len(t, b.engines.loads, 2, "demand at version 0 requires a second replica of version 1")
	})
}
