package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/placement"
)

// Guards against a version roll that goes below the minimum and against plans that never become empty. Orders are late, repeated or lost, two
// owners send them at the same time, one with an old fencing number, and the engines check or ignore that number and restart without models.
func TestRollConvergesWithoutGoingBelowTheMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(4, 9).Draw(t, "engines"))
		restarts := 0
		reached := false
		w.afterOrder = func() {
			served := max(w.serving("1"), w.serving("2"))
			reached = reached || served >= minServed
			if reached && served < minServed-restarts {
				t.Fatalf("step %d: %d engines serve version 1, %d version 2, after %d restarts", w.step, w.serving("1"), w.serving("2"), restarts)
			}
		}
		former, next := newOwner(w, 1), newOwner(w, 2)
		former.specs = []placement.ReplicaSpec{replicaSpec("1", minServed, 4)}
		next.specs = former.specs
		rolled := []placement.ReplicaSpec{replicaSpec("2", minServed, 4)}
		rollAt := rapid.IntRange(40, 90).Draw(t, "roll at step")
		lag := rapid.IntRange(0, 5).Draw(t, "steps until the second owner has the bundle")
		for range 150 {
			w.advance()
			if w.step == rollAt {
				former.specs = rolled
			}
			if w.step == rollAt+lag {
				next.specs = rolled
			}
			if restarts < 2 && rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				restarts++
				w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")].restart()
			}
			for _, o := range []*owner{former, next} {
				disturbedPass(t, w, o)
			}
		}
		for range 300 {
			w.advance()
			next.views = w.views()
			next.pass(w, func(o placement.Order) { w.deliver(next.fence, o) })
		}
		require.Equal(t, minServed, w.serving("2"))
		require.Zero(t, w.serving("1"))
		require.Empty(t, placement.Plan(placement.Input{Specs: rolled, Engines: w.views()}), "the plan must become empty")
	})
}

// disturbedPass runs a pass of the owner with stale states of some engines, over a network that loses, delays and repeats orders.
func disturbedPass(t *rapid.T, w *world, o *owner) {
	stale := rapid.IntRange(0, 3).Draw(t, "stale engine")
	for i, e := range w.engines {
		if i%4 != stale {
			o.views[i] = e.view()
		}
	}
	o.pass(w, func(order placement.Order) {
		outcome := rapid.SampledFrom([]string{"arrives", "lost", "late", "twice"}).Draw(t, "order")
		if outcome == "arrives" || outcome == "twice" {
			w.deliver(o.fence, order)
		}
		if outcome == "late" || outcome == "twice" {
			at := w.step + rapid.IntRange(1, 6).Draw(t, "late by steps")
			w.delayed = append(w.delayed, delivery{at: at, fence: o.fence, order: order})
		}
	})
}

// Guards against exceeding the budget when owners resume after a long outage, all engines have restarted without models, and orders are lost
// for the first two minutes.
func TestOrdersStayWithinTheBudgetAfterAnOutage(t *testing.T) {
	const engines, owners = 60, 8
	w := newWorld(engines)
	w.afterOrder = func() {}
	w.step = int(10 * time.Minute / step)
	all := make([]*owner, owners)
	for n := range all {
		all[n] = newOwner(w, uint64(n+1))
		all[n].specs = []placement.ReplicaSpec{replicaSpec("1", 40, 60)}
		all[n].owns = func(id fleet.TargetID) bool { return int(id[len(id)-1])%owners == n }
	}
	for pass := range int(15 * time.Minute / step) {
		w.advance()
		views := w.views()
		for _, o := range all {
			o.views = views
			o.pass(w, func(order placement.Order) {
				if pass > int(2*time.Minute/step) {
					w.deliver(o.fence, order)
				}
			})
		}
	}
	require.LessOrEqual(t, w.maxLoads, placement.DefaultBudget.LoadsAtOnce, "concurrent loads")
	for id, steps := range w.orders {
		for i := 3; i < len(steps); i++ {
			require.Greater(t, time.Duration(steps[i]-steps[i-3])*step, 55*time.Second, "more than three orders to %s within a minute", id)
		}
	}
	require.Equal(t, 40, w.serving("1"))
}

// Guards against assigning the replicas of a version to one failure domain, so that they fail together, against computing the same assignment
// again for equal inputs, and against the loss of one engine moving the replicas of others.
func TestAssignmentSpreadsAndMovesLittle(t *testing.T) {
	engines := newWorld(30).views()
	specs := []placement.ReplicaSpec{replicaSpec("1", 6, 10), replicaSpec("2", 6, 10)}
	var assigner placement.Assigner
	a := assigner.Assign(specs, nil, engines)
	domains := map[fleet.FailureDomain]int{}
	var first fleet.TargetID
	for _, e := range engines {
		require.False(t, a.Wanted(version("1"), e.ID) && a.Wanted(version("2"), e.ID), "engines without other versions are preferred")
		if a.Wanted(version("1"), e.ID) {
			domains[e.FailureDomain]++
			first = e.ID
		}
	}
	require.Equal(t, map[fleet.FailureDomain]int{"domain-0": 2, "domain-1": 2, "domain-2": 2}, domains)
	moved := 0
	require.Same(t, a, assigner.Assign(specs, nil, newWorld(30).views()), "the last assignment is reused for equal inputs")
	engines = newWorld(30).views()
	for i := range engines {
		engines[i].Leaving = engines[i].ID == first
	}
	b := assigner.Assign(specs, nil, engines)
	require.False(t, b.Wanted(version("1"), first))
	for _, e := range engines {
		if b.Wanted(version("1"), e.ID) && !a.Wanted(version("1"), e.ID) {
			moved++
		}
	}
	require.Equal(t, 1, moved)
}

// Guards against orders to engines that are leaving or whose state is unknown, and against unloading a model without delay when the bundle no
// longer names it.
func TestPlanOfSingleEngines(t *testing.T) {
	held := []fleet.LoadedModel{{Model: "dropped", Version: "1"}}
	cases := []struct {
		name   string
		engine placement.Engine
		orders int
	}{
		{"an engine that lacks the version gets an order", placement.Engine{ID: "e", Models: []fleet.LoadedModel{}, Role: "any"}, 1},
		{"a leaving engine gets none", placement.Engine{ID: "e", Models: held, Role: "any", Leaving: true}, 0},
		{"an engine whose state is unknown gets none", placement.Engine{ID: "e"}, 0},
		{"a model that the bundle does not name is unloaded", placement.Engine{ID: "e", Models: held, Role: "any"}, 2},
		{"an engine with another role is set to the required one", placement.Engine{ID: "e", Models: []fleet.LoadedModel{}, Role: "decode"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			orders := placement.Plan(placement.Input{Specs: []placement.ReplicaSpec{replicaSpec("1", 1, 1)}, Engines: []placement.Engine{c.engine}})
			require.Len(t, orders, c.orders)
			for _, o := range orders {
				require.NotEmpty(t, o.Reason)
				require.Equal(t, o.Action == placement.UnloadModel, o.After >= 10*time.Minute)
			}
		})
	}
}

// Guards against unloading replicas between two bursts, and against a number of replicas outside of the bounds of the spec.
func TestReplicasFollowDemandWithHysteresis(t *testing.T) {
	s := placement.NewScaler()
	specs := []placement.ReplicaSpec{replicaSpec("1", 2, 6)}
	now := time.Unix(0, 0)
	run := func(d time.Duration, demand float64) int {
		wanted := 0
		for range int(d / step) {
			now = now.Add(step)
			wanted = s.Update(now, specs, map[placement.ModelVersion]float64{version("1"): demand})[version("1")]
		}
		return wanted
	}
	require.Equal(t, 2, run(time.Minute, 0))
	require.Equal(t, 2, run(step, 40), "a single sample must not cause a load")
	require.Equal(t, 5, run(5*time.Minute, 23))
	require.Equal(t, 5, run(9*time.Minute, 1))
	require.Equal(t, 4, run(5*time.Minute, 1), "the number falls to the most that was needed in the last ten minutes")
	require.Equal(t, 2, run(10*time.Minute, 1))
	require.Equal(t, 6, run(5*time.Minute, 1000))
}

// Guards against a model that no engine holds because only placement entries count and its entry has no minimum, and against a missing adapter.
func TestWishesCombinePlacementAndModels(t *testing.T) {
	specs := placement.ReplicaSpecs(
		[]bundle.Placement{{Base: "a", Version: "1", Adapters: []string{"y"}, MaxReplicas: 3}, {Base: "a", Version: "2", MinReplicas: 2, MaxReplicas: 2}},
		[]bundle.Model{{Name: "n", Base: "a", Version: "1", Adapter: "x", MaxRunning: 4}, {Name: "o", Base: "b", Version: "1", MaxRunning: 1}},
	)
	require.Equal(t, []placement.ReplicaSpec{
		{ModelVersion: placement.ModelVersion{Base: "a", Version: "1"}, Adapters: []string{"x", "y"}, Role: "any", Min: 1, Max: 3, MaxRunning: 4},
		{ModelVersion: placement.ModelVersion{Base: "a", Version: "2"}, Role: "any", Min: 2, Max: 2},
		{ModelVersion: placement.ModelVersion{Base: "b", Version: "1"}, Role: "any", Min: 1, Max: placement.Unlimited, MaxRunning: 1},
	}, specs)
}

// Guards against requests that fail because the bundle names a version that does not serve yet, against sending all requests to fewer replicas
// than the minimum, and against responses from a version that belongs to another model of the bundle.
func TestRequestsStayAtTheReplacedVersionUntilTheNewOneServes(t *testing.T) {
	fleetWith := func(old, next int) []placement.Engine {
		engines := make([]placement.Engine, 4)
		for i := range engines {
			engines[i].Models = []fleet.LoadedModel{{Model: base, Version: "2", Loading: i >= next}}
			if i < old {
				engines[i].Models = append(engines[i].Models, fleet.LoadedModel{Model: base, Version: "1"})
			}
		}
		return engines
	}
	m := bundle.Model{Name: "m", Base: base, Version: "2"}
	canary := bundle.Model{Name: "other", Base: base, Version: "1"}
	cases := []struct {
		name      string
		old, next int
		models    []bundle.Model
		minimum   int
		version   string
	}{
		{"none serves the new version", 3, 0, nil, 2, "1"},
		{"fewer than the minimum serve the new version", 3, 1, nil, 2, "1"},
		{"the minimum serves the new version", 3, 2, nil, 2, "2"},
		{"the minimum exceeds the fleet", 3, 4, nil, 9, "2"},
		{"no engine serves any version", 0, 0, nil, 2, "2"},
		{"fewer engines serve the old version than the new one", 1, 1, nil, 2, "2"},
		{"another model of the bundle has the old version", 3, 0, []bundle.Model{canary}, 2, "2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			specs := []placement.ReplicaSpec{replicaSpec("2", c.minimum, 9)}
			require.Equal(t, c.version, placement.ServingVersion(&m, append(c.models, m), specs, fleetWith(c.old, c.next)))
		})
	}
}
