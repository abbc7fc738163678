package placement

import (
	"maps"
	"reflect"
	"slices"
)

// Assigner computes assignments and reuses the last one while its inputs are the same, because they seldom change from one plan to the next.
// It is not safe for concurrent use; its owner must serialize all calls.
type Assigner struct {
	wishes     []Wish
	wanted     map[ModelVersion]int
	engines    []Engine
	assignment *Assignment
}

// Assign returns the same assignment as the function Assign. It keeps the arguments, which must not be changed afterwards.
func (a *Assigner) Assign(wishes []Wish, wanted map[ModelVersion]int, engines []Engine) *Assignment {
	same := a.assignment != nil && maps.Equal(a.wanted, wanted) && slices.EqualFunc(a.engines, engines, samePlace) &&
		reflect.DeepEqual(a.wishes, wishes)
	if !same {
		a.assignment = Assign(wishes, wanted, engines)
	}
	a.wishes, a.wanted, a.engines = wishes, wanted, engines
	return a.assignment
}

// samePlace reports whether two engines are the same for an assignment, which does not depend on the models that they hold.
func samePlace(a, b Engine) bool {
	return a.ID == b.ID && a.FailureDomain == b.FailureDomain && a.Leaving == b.Leaving
}
