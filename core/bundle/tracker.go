package bundle

import (
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// GenerationTracker ensures that generations are accepted only in increasing order, and tracks the highest generation that was
// announced. It is not safe for concurrent use; its owner must guard it.
type GenerationTracker struct {
	accepted fleet.Generation // highest accepted; 0 before the first
	highest  fleet.Generation // highest accepted or announced
}

// Accept records the generation of a verified bundle. It returns an error that wraps ErrNotNewer unless the generation is higher than
// all accepted before. Only Activate and Advance create an Active, so an unverified generation cannot be accepted.
func (t *GenerationTracker) Accept(next *Active) error {
	if next.Generation() <= t.accepted {
		return eris.Wrapf(ErrNotNewer, "generation %d, accepted %d", next.Generation(), t.accepted)
	}
	t.accepted = next.Generation()
	t.RecordAnnounced(t.accepted)
	return nil
}

// RecordAnnounced records a generation that the store or a peer announced, and reports whether it is higher than all announced or
// accepted before. The announcement is not verified: it is only a reason to try to fetch the bundle.
func (t *GenerationTracker) RecordAnnounced(generation fleet.Generation) bool {
	if generation <= t.highest {
		return false
	}
	t.highest = generation
	return true
}

// Accepted returns the highest accepted generation, or 0 before the first.
func (t *GenerationTracker) Accepted() fleet.Generation { return t.accepted }

// Highest returns the highest generation that was announced or accepted.
func (t *GenerationTracker) Highest() fleet.Generation { return t.highest }

// Behind reports whether a generation higher than the accepted one was announced. Announcements aren't verified, so after a false one it may
// stay true until a bundle of that generation or a higher one is accepted, which may never happen.
func (t *GenerationTracker) Behind() bool { return t.highest > t.accepted }
