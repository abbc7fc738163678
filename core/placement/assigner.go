package placement

import (
	"maps"
	"reflect"
	"slices"
)

// Assigner computes assignments and reuses the last one while its inputs are the same, because they seldom change from one plan to the next.
// It is not safe for concurrent use; its owner must serialize all calls.
type Assigner struct {
	specs      []ReplicaSpec
	wanted     map[ModelVersion]int
	engines    []Engine
	assignment *Assignment
}

// Assign returns the same assignment as the function Assign. It keeps the arguments, which must not be changed afterwards.
func (a *Assigner) Assign(specs []ReplicaSpec, wanted map[ModelVersion]int, engines []Engine) *Assignment {
	same := a.assignment != nil && maps.Equal(a.wanted, wanted) && slices.EqualFunc(a.engines, engines, sameForAssignment) &&
		reflect.DeepEqual(a.specs, specs)
	if !same {
		a.assignment = Assign(specs, wanted, engines)
	}
	a.specs, a.wanted, a.engines = specs, wanted, engines
	return a.assignment
}

// sameForAssignment reports whether two engines are the same for an assignment, which does not depend on the models that they hold.
func sameForAssignment(a, b Engine) bool {
	return a.ID == b.ID && a.FailureDomain == b.FailureDomain && a.Leaving == b.Leaving
}
