package gateway

import (
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
)

// accepts reports whether a target is listed, and leaves neither by its entry nor by its own word.
func (b *Board) accepts(id fleet.TargetID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Accepts(id)
}

// isReplaced reports whether another process is listed at the address of a target.
func (b *Board) isReplaced(t slots.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.IsReplaced(t)
}

// heardOthers reports whether a target other than the given one sent anything to this instance after a time.
func (b *Board) heardOthers(id fleet.TargetID, after time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other, last := range b.lastActivity {
		if other != id && time.Duration(last.at.Load()) > after.Sub(b.created) {
			return true
		}
	}
	return false
}
