package limits

import "time"

// HedgeState is what is known at the end of the time for which a request may be at two targets: the first, which is silent, and that of the hedge,
// which has made no progress yet.
type HedgeState struct {
	Silent time.Duration // time since the request last made progress at the first target
	// FirstSeen tells that the first target has sent something to any request since it got this one.
	FirstSeen bool
	// FirstAlive tells that the first target has sent something to other requests since the hedge began.
	FirstAlive bool
	// HedgeAlive tells that the target of the hedge has sent something to any request since then, such as the header of its response.
	HedgeAlive bool
	// HedgeLeft is the number of times that the request left the target of the hedge because it was silent, and Left that number for all targets.
	HedgeLeft, Left int
	// NoReturn tells that the first target accepts no new requests, so that the request could not return to it if the hedge failed.
	NoReturn bool
	// Paused tells that this process or its machine was paused, so that what the targets sent may be unread.
	Paused bool
}

// maxHedgeDoublings bounds the doublings of the patience, far above what any deadline allows.
const maxHedgeDoublings = 10

// KeepHedge reports whether the request leaves the first target and goes on with the hedge. Otherwise the hedge is dropped. A sound target may be
// silent for about a second, so that silence alone is a reason to leave it only after the time patience. That doubles with each target that was left if the
// first target has been seen, since it is then more likely busy than dark, and is longer still for a return to a target that was left: a request that
// takes long would otherwise go back and forth between sound targets. A target to which the request could not return is left as late as one is returned to.
func (s HedgeState) KeepHedge(patience time.Duration) bool {
	base := patience
	switch {
	case s.HedgeLeft > 0:
		patience = ReturnPatience(patience, s.HedgeLeft)
	case s.FirstSeen:
		patience <<= min(s.Left, maxHedgeDoublings)
	}
	if s.NoReturn {
		patience = max(patience, ReturnPatience(base, 1))
	}
	switch {
	case s.Paused:
		return false
	case s.HedgeAlive && !s.NoReturn && !s.FirstAlive && (s.HedgeLeft == 0 || !s.FirstSeen):
		return true
	}
	return s.Silent >= patience
}

// ReturnPatience returns the silence after which a request returns to a target that it left the given number of times because that was silent. It is four
// times the patience with a target that it has not left, and doubles with each time.
func ReturnPatience(patience time.Duration, left int) time.Duration {
	return patience << min(left+1, maxHedgeDoublings)
}
