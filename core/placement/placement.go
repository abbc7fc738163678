// Package placement decides which engine holds which model version: it compares what the bundle in force asks for with what the engines
// hold and returns the difference as orders.
//
// Every owner of targets computes the whole assignment from the bundle and the instance list, so that owners agree without messages;
// what they observe of the engines only decides when an order may go out. Orders state what an engine should hold, so that repeating,
// losing or delaying one does no harm: the next plan contains whatever is still missing.
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

// RoleAny is the role of an engine that does both prefill and decode, the only one that bundles ask for today.
const RoleAny = "any"

// Wish is the number of replicas that the bundle asks for of one model version.
type Wish struct {
	ModelVersion
	Adapters   []string // sorted
	Role       string
	Min, Max   int // replicas; Max is Unlimited if no placement entry bounds it
	MaxRunning int // requests that one replica serves well at once
}

// Engine is one engine as the planner sees it.
type Engine struct {
	ID            fleet.TargetID
	FailureDomain fleet.FailureDomain
	Leaving       bool
	Models        []fleet.LoadedModel // nil while unknown
	Role          string              // empty while unknown
}

// Action is what an order asks for.
type Action string

// Actions, with the names of the engines' protocol.
const (
	LoadModel     Action = "load_model"
	UnloadModel   Action = "unload_model"
	LoadAdapter   Action = "load_adapter"
	UnloadAdapter Action = "unload_adapter"
	SetRole       Action = "set_role"
)

// Instruction is the part of an order that identifies it.
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
	After  time.Duration // how long plans must have contained the order before it is sent
	Reason string
}

// Times that plans must have contained an order before it is sent.
const (
	// replacedGrace covers requests that instances with the former bundle still send to a replaced version: a bundle is in force
	// everywhere within 3 s, and an instance hears of an engine's models within a few seconds.
	replacedGrace = 30 * time.Second
	// surplusGrace outlasts the differences between the owners' instance lists, which settle within seconds.
	surplusGrace = 2 * time.Minute
	// unnamedGrace leaves time to roll back a bundle that dropped a model by mistake; loading it again takes minutes.
	unnamedGrace = 10 * time.Minute
)

// serves tells whether the engine serves the wished version with all its adapters.
func (e *Engine) serves(w *Wish) bool {
	held := e.held(w.ModelVersion)
	if held == nil || held.Loading {
		return false
	}
	for _, adapter := range w.Adapters {
		if !contains(held.Adapters, adapter) {
			return false
		}
	}
	return true
}

// held returns the version if the engine holds or loads it, otherwise nil.
func (e *Engine) held(m ModelVersion) *fleet.LoadedModel {
	for i := range e.Models {
		if e.Models[i].Model == m.Base && e.Models[i].Version == m.Version {
			return &e.Models[i]
		}
	}
	return nil
}

// loading tells whether the engine is loading a model.
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
