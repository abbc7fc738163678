package placement

import (
	"fmt"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// Input holds the arguments of Plan.
type Input struct {
	Specs      []ReplicaSpec
	Wanted     map[ModelVersion]int // replicas that the demand calls for; the minimum and maximum of the spec apply in any case
	Engines    []Engine             // all engines of the instance list
	Assignment *Assignment          // result of Assigner.Assign for the other fields; nil means that Plan computes it
}

// Plan returns the orders that bring the engines to the assignment, grouped by engine in the order of the input. Leaving engines and
// engines whose state is unknown get no orders.
//
// A version is unloaded only from engines where it is not wanted, and only while all versions of the same base that the bundle asks for
// serve on all engines assigned to them. The minimum of each version is part of what every owner wants, on the same engines for all owners, and
// no owner unloads a version from an engine where it wants it. Two owners may therefore unload at the same time without going below a minimum.
func Plan(in Input) []Order {
	p := newPlanner(in)
	var orders []Order
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Leaving || e.Models == nil {
			continue
		}
		orders = append(orders, p.additions(e)...)
		orders = append(orders, p.removals(e)...)
	}
	return orders
}

// planner holds the values that are derived from the input once for all engines.
type planner struct {
	specs      []ReplicaSpec
	byVersion  map[ModelVersion]*ReplicaSpec
	assignment *Assignment
	serving    map[ModelVersion]int // number of wanted replicas that serve
}

func newPlanner(in Input) *planner {
	if in.Assignment == nil {
		in.Assignment = Assign(in.Specs, in.Wanted, in.Engines)
	}
	p := &planner{
		specs:      in.Specs,
		byVersion:  make(map[ModelVersion]*ReplicaSpec, len(in.Specs)),
		assignment: in.Assignment,
		serving:    make(map[ModelVersion]int, len(in.Specs)),
	}
	for i := range in.Specs {
		spec := &in.Specs[i]
		p.byVersion[spec.ModelVersion] = spec
		for j := range in.Engines {
			if p.assignment.Wanted(spec.ModelVersion, in.Engines[j].ID) && in.Engines[j].serves(spec) {
				p.serving[spec.ModelVersion]++
			}
		}
	}
	return p
}

// allServe reports as complete whether all versions of the base that the bundle asks for serve on all engines assigned to them, and as
// requested whether the bundle asks for any version of the base.
func (p *planner) allServe(base string) (complete, requested bool) {
	complete = true
	for i := range p.specs {
		spec := &p.specs[i]
		if spec.Base != base {
			continue
		}
		requested = true
		if p.serving[spec.ModelVersion] < len(p.assignment.wanted[spec.ModelVersion]) {
			complete = false
		}
	}
	return complete, requested
}

// additions returns the orders for roles, models and adapters that the engine lacks.
func (p *planner) additions(e *Engine) []Order {
	var orders []Order
	for i := range p.specs {
		spec := &p.specs[i]
		if !p.assignment.Wanted(spec.ModelVersion, e.ID) {
			continue
		}
		if e.Role != "" && e.Role != spec.Role {
			reason := fmt.Sprintf("role is %s, %s is wished for", e.Role, spec.Role)
			orders = append(orders, Order{Instruction: Instruction{Target: e.ID, Action: SetRole, Role: spec.Role}, Reason: reason})
		}
		held := e.held(spec.ModelVersion)
		if held == nil {
			reason := fmt.Sprintf("one of %d wanted replicas, %d serve", len(p.assignment.wanted[spec.ModelVersion]), p.serving[spec.ModelVersion])
			orders = append(orders, newOrder(e.ID, LoadModel, spec.ModelVersion, "", 0, reason))
			continue
		}
		if held.Loading {
			continue // adapters are ordered once their model is loaded
		}
		for _, adapter := range spec.Adapters {
			if !contains(held.Adapters, adapter) {
				orders = append(orders, newOrder(e.ID, LoadAdapter, spec.ModelVersion, adapter, 0, "adapter of a wanted replica is missing"))
			}
		}
	}
	return orders
}

// removals returns the orders to unload models and adapters that the engine should no longer hold.
func (p *planner) removals(e *Engine) []Order {
	var orders []Order
	for i := range e.Models {
		held := &e.Models[i]
		version := ModelVersion{Base: held.Model, Version: held.Version}
		if after, reason := p.removal(e.ID, version); reason != "" {
			orders = append(orders, newOrder(e.ID, UnloadModel, version, "", after, reason))
			continue
		}
		spec := p.byVersion[version]
		for _, adapter := range held.Adapters {
			if spec != nil && !contains(spec.Adapters, adapter) {
				orders = append(orders, newOrder(e.ID, UnloadAdapter, version, adapter, unnamedGrace, "no placement entry or model names the adapter"))
			}
		}
	}
	return orders
}

// removal returns the reason for unloading a version from an engine and the value of Order.After. The reason is empty if the version should
// stay.
func (p *planner) removal(id fleet.TargetID, version ModelVersion) (time.Duration, string) {
	if p.assignment.Wanted(version, id) {
		return 0, ""
	}
	complete, requested := p.allServe(version.Base)
	spec := p.byVersion[version]
	switch {
	case !requested:
		return unnamedGrace, "no placement entry or model names it"
	case !complete:
		return 0, "" // some wanted replica, which may replace this one, does not serve yet
	case spec == nil:
		return replacedGrace, "replaced by a version that serves in its wanted number"
	case p.assignment.allowed[version][id] && p.assignment.assignedCount[id] == 0:
		return 0, "" // unloading has no benefit at an engine to which no version is assigned, and demand may return within seconds
	}
	return surplusGrace, fmt.Sprintf("beyond the %d wanted replicas, all of which serve", p.serving[version])
}

func newOrder(id fleet.TargetID, action Action, m ModelVersion, adapter string, after time.Duration, reason string) Order {
	instruction := Instruction{Target: id, Action: action, Model: m, Adapter: adapter}
	return Order{Instruction: instruction, After: after, Reason: reason}
}
