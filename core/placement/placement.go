// Package placement decides which engine holds which model version. It compares the replicas that the bundle in force asks for with the
// models that the engines hold, and returns the differences as orders.
//
// The owner of a target is the instance that observes it and sends it orders; the targets here are engines. The instance list, which every
// instance reads, contains the instances and targets of the fleet.
//
// Every owner of targets computes the whole assignment from the bundle and the instance list, so that owners agree without messages. The
// observed state of the engines determines only when an order may be sent. An order states what an engine should hold, so it does no harm if
// one is repeated, lost or delayed: the next plan contains whatever is still missing.
package placement

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// ModelVersion is one version of a base model.
type ModelVersion struct {
	Base    string
	Version string
}

// String returns the form in which requests name the version to an engine.
func (m ModelVersion) String() string { return m.Base + "@" + m.Version }

// RoleAny is the role of an engine that does both prefill and decode, at present the only role that bundles ask for.
const RoleAny = "any"

// ReplicaSpec is the specification of the replicas that the bundle asks for of one model version.
type ReplicaSpec struct {
	ModelVersion
	Adapters   []string // adapters that each replica needs, sorted
	Role       string   // role that the engines of the replicas need
	Min, Max   int      // bounds of the number of replicas; Max is Unlimited if no placement entry bounds it
	MaxRunning int      // number of concurrent requests that one replica serves well
}

// Engine is the observed state of one engine.
type Engine struct {
	ID            fleet.TargetID
	FailureDomain fleet.FailureDomain
	Leaving       bool
	Models        []fleet.LoadedModel // nil while unknown
	Role          string              // empty while unknown
}

// Action is the kind of change that an order asks for.
type Action string

// Actions, named as in the protocol of the engines.
const (
	LoadModel     Action = "load_model"
	UnloadModel   Action = "unload_model"
	LoadAdapter   Action = "load_adapter"
	UnloadAdapter Action = "unload_adapter"
	SetRole       Action = "set_role"
)

// Instruction is the change that an order asks for. Orders with equal instructions are the same order in successive plans.
type Instruction struct {
	Target  fleet.TargetID
	Action  Action
	Model   ModelVersion // zero for SetRole
	Adapter string
	Role    string
}

// Order is one change that an engine should make.
type Order struct {
	Instruction
	After  time.Duration // time for which all plans must have contained the order before it is sent
	Reason string
}

// Values of Order.After.
const (
	// replacedGrace covers requests that instances with the previous bundle still send to a replaced version: a bundle is in force
	// everywhere within 3 s, and an instance learns of a change of an engine's models within a few seconds.
	replacedGrace = 30 * time.Second
	// surplusGrace is longer than the time for which the owners' instance lists may differ, which is some seconds.
	surplusGrace = 2 * time.Minute
	// unnamedGrace leaves time to roll back a bundle that removed a model by mistake, because loading it again takes minutes.
	unnamedGrace = 10 * time.Minute
)

// serves reports whether the engine has loaded the version of the spec with all its adapters.
func (e *Engine) serves(spec *ReplicaSpec) bool {
	held := e.held(spec.ModelVersion)
	if held == nil || held.Loading {
		return false
	}
	for _, adapter := range spec.Adapters {
		if !contains(held.Adapters, adapter) {
			return false
		}
	}
	return true
}

// held returns the engine's state of the version if the engine holds or is loading it, otherwise nil.
func (e *Engine) held(m ModelVersion) *fleet.LoadedModel {
	for i := range e.Models {
		if e.Models[i].Model == m.Base && e.Models[i].Version == m.Version {
			return &e.Models[i]
		}
	}
	return nil
}

// loading reports whether the engine is loading a model.
func (e *Engine) loading() bool {
	for i := range e.Models {
		if e.Models[i].Loading {
			return true
		}
	}
	return false
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}
