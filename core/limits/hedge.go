package limits

import "time"

// HedgeState is what is known at the end of the time for which a request may be at two targets: the first, which is silent, and that of the hedge,
// which has made no progress yet.
type HedgeState struct {
	Silent time.Duration // time since the request last made progress at the first target
	// Patience is the silence after which a first target is left for one that may turn out to be no better.
	Patience time.Duration
	// FirstAlive tells that the first target has sent something to other requests since the hedge began.
	FirstAlive bool
	// HedgeAlive tells that the target of the hedge has sent something to any request since then, such as the header of its response.
	HedgeAlive bool
	// HedgeWasLeft tells that the request left the target of the hedge before because it was silent.
	HedgeWasLeft bool
	// Paused tells that this process or its machine was paused, so that what the targets sent may be unread.
	Paused bool
}

// KeepHedge reports whether the request leaves the first target and goes on with the hedge. Otherwise the hedge is dropped. A sound target may be
// silent for about a second, so that silence alone is a reason to leave it only after Patience. A target that was left must in addition have shown more
// than the first one: a request that reads its prompt for long would otherwise go back and forth between two sound targets.
func (s HedgeState) KeepHedge() bool {
	better, late := s.HedgeAlive && !s.FirstAlive, s.Silent >= s.Patience
	switch {
	case s.Paused:
		return false
	case s.HedgeWasLeft:
		return better && late
	}
	return better || late
}
