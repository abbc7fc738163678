package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/placement"
)

const (
	step      = 2 * time.Second // interval between two passes of an owner
	loadSteps = 5               // steps that loading a model takes
	base      = "bench-assist"
	adapter   = "quotes-style"
	minServed = 3 // minimum number of replicas of each spec
)

func version(v string) placement.ModelVersion {
	return placement.ModelVersion{Base: base, Version: v}
}

func replicaSpec(v string, minReplicas, maxReplicas int) placement.ReplicaSpec {
	return placement.ReplicaSpec{
		ModelVersion: version(v), Adapters: []string{adapter}, Role: placement.RoleAny, Min: minReplicas, Max: maxReplicas, MaxRunning: 8,
	}
}

// engine is a simulated engine that executes orders as its protocol specifies.
type engine struct {
	placement.Engine
	ignoresFence bool           // whether it executes orders with an old fencing number
	fence        uint64         // highest fencing number received
	readyAt      map[string]int // step at which the load of a version ends
}

// world is a simulated fleet of engines with orders in transit.
type world struct {
	step       int
	engines    []*engine
	delayed    []delivery               // delayed orders
	maxLoads   int                      // most concurrent loads so far
	orders     map[fleet.TargetID][]int // steps at which orders were sent to each engine
	afterOrder func()                   // called after each executed order
}

// delivery is a delayed order and the step at which it arrives.
type delivery struct {
	at    int
	fence uint64
	order placement.Order
}

func newWorld(n int) *world {
	w := &world{orders: map[fleet.TargetID][]int{}}
	for i := range n {
		e := &engine{ignoresFence: i%2 == 0, readyAt: map[string]int{}}
		e.ID = fleet.TargetID(fmt.Sprintf("engine-%02d", i))
		e.FailureDomain = fleet.FailureDomain(fmt.Sprintf("domain-%d", i%3))
		e.restart()
		w.engines = append(w.engines, e)
	}
	return w
}

func (e *engine) restart() {
	e.Models, e.Role, e.fence = []fleet.LoadedModel{}, placement.RoleAny, 0
	clear(e.readyAt)
}

// view returns a copy of the engine's present state.
func (e *engine) view() placement.Engine {
	v := e.Engine
	v.Models = slices.Clone(e.Models)
	for i := range v.Models {
		v.Models[i].Adapters = slices.Clone(v.Models[i].Adapters)
	}
	return v
}

func (w *world) views() []placement.Engine {
	views := make([]placement.Engine, len(w.engines))
	for i, e := range w.engines {
		views[i] = e.view()
	}
	return views
}

// advance moves the clock by a step, ends loads and delivers late orders.
func (w *world) advance() {
	w.step++
	loading := 0
	for _, e := range w.engines {
		for i := range e.Models {
			m := &e.Models[i]
			m.Loading = e.readyAt[m.Version] > w.step
			if m.Loading {
				loading++
			}
		}
	}
	w.maxLoads = max(w.maxLoads, loading)
	arrived := slices.Clone(w.delayed)
	w.delayed = slices.DeleteFunc(w.delayed, func(d delivery) bool { return d.at <= w.step })
	for _, d := range arrived {
		if d.at <= w.step {
			w.deliver(d.fence, d.order)
		}
	}
}

func (w *world) deliver(fence uint64, o placement.Order) {
	for _, e := range w.engines {
		if e.ID == o.Target && (fence >= e.fence || e.ignoresFence) {
			e.fence = max(e.fence, fence)
			e.apply(w.step, o)
			w.afterOrder()
		}
	}
}

func (e *engine) apply(now int, o placement.Order) {
	i := slices.IndexFunc(e.Models, func(m fleet.LoadedModel) bool { return m.Version == o.Model.Version && m.Model == o.Model.Base })
	switch o.Action {
	case placement.LoadModel:
		if i < 0 {
			e.Models = append(e.Models, fleet.LoadedModel{Model: o.Model.Base, Version: o.Model.Version, Loading: true})
			e.readyAt[o.Model.Version] = now + loadSteps
		}
	case placement.UnloadModel:
		if i >= 0 {
			e.Models = slices.Delete(e.Models, i, i+1)
		}
	case placement.LoadAdapter:
		if i >= 0 && !slices.Contains(e.Models[i].Adapters, o.Adapter) {
			e.Models[i].Adapters = append(e.Models[i].Adapters, o.Adapter)
		}
	case placement.SetRole:
		e.Role = o.Role
	}
}

// serving returns the number of engines that serve the version with its adapter.
func (w *world) serving(v string) int {
	n := 0
	for _, e := range w.engines {
		for _, m := range e.Models {
			if m.Version == v && !m.Loading && slices.Contains(m.Adapters, adapter) {
				n++
			}
		}
	}
	return n
}

// owner plans from its own copies of the engines' states, which may be stale, and sends orders.
type owner struct {
	fence uint64
	pacer *placement.Pacer
	views []placement.Engine
	specs []placement.ReplicaSpec
	owns  func(fleet.TargetID) bool
}

func newOwner(w *world, fence uint64) *owner {
	return &owner{
		fence: fence,
		pacer: placement.NewPacer(placement.DefaultBudget, rand.New(rand.NewPCG(fence, 0))),
		views: w.views(),
		owns:  func(fleet.TargetID) bool { return true },
	}
}

// pass plans and passes the orders that are due to send.
func (o *owner) pass(w *world, send func(placement.Order)) {
	now := time.Unix(1_000_000, 0).Add(time.Duration(w.step) * step)
	plan := placement.Plan(placement.Input{Specs: o.specs, Engines: o.views})
	for _, order := range o.pacer.Due(now, plan, o.views, o.owns) {
		o.pacer.RecordSent(now, order)
		w.orders[order.Target] = append(w.orders[order.Target], w.step)
		send(order)
	}
}
