package bundle

import (
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Tracker holds the rule that generations only rise. It is guarded by its owner.
type Tracker struct {
	accepted fleet.Generation
	heard    fleet.Generation
}

// Accept records a verified bundle, or returns ErrNotNewer unless its generation is higher than every one accepted before. Only
// Activate and Advance make an Active, so that an unverified generation cannot be accepted.
func (t *Tracker) Accept(next *Active) error {
	if next.Generation() <= t.accepted {
		return eris.Wrapf(ErrNotNewer, "generation %d, accepted %d", next.Generation(), t.accepted)
	}
	t.accepted = next.Generation()
	t.Heard(t.accepted)
	return nil
}

// Heard records a generation that someone claims to exist and reports whether it is higher than all heard of before. The claim is
// not verified: it only tells that it is worth asking.
func (t *Tracker) Heard(generation fleet.Generation) bool {
	if generation <= t.heard {
		return false
	}
	t.heard = generation
	return true
}

// Accepted returns the highest generation accepted, 0 before the first.
func (t *Tracker) Accepted() fleet.Generation { return t.accepted }

// Highest returns the highest generation heard of or accepted.
func (t *Tracker) Highest() fleet.Generation { return t.heard }

// Behind tells whether a generation higher than the accepted one was heard of.
func (t *Tracker) Behind() bool { return t.heard > t.accepted }
