package placement

import (
	"maps"
	"reflect"
	"slices"
)

// Assigner computes assignments and keeps the last one, because its inputs seldom change from one plan to the next. Its owner guards it.
type Assigner struct {
	wishes     []Wish
	wanted     map[ModelVersion]int
	engines    []Engine
	assignment *Assignment
}

// Assign returns what the function Assign does. The arguments are kept and must not be changed afterwards.
func (a *Assigner) Assign(wishes []Wish, wanted map[ModelVersion]int, engines []Engine) *Assignment {
	same := a.assignment != nil && maps.Equal(a.wanted, wanted) && slices.EqualFunc(a.engines, engines, samePlace) &&
		reflect.DeepEqual(a.wishes, wishes)
	if !same {
		a.assignment = Assign(wishes, wanted, engines)
	}
	a.wishes, a.wanted, a.engines = wishes, wanted, engines
	return a.assignment
}

// samePlace tells whether two engines are the same for an assignment, which does not depend on what they hold.
func samePlace(a, b Engine) bool {
	return a.ID == b.ID && a.FailureDomain == b.FailureDomain && a.Leaving == b.Leaving
}
