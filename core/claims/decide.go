package claims

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// Liveness is the state of a claim's owner as this instance's failure detection sees it.
type Liveness int

// States of an owner. A suspected owner is Uncertain and not Dead: if it is alive after all, treating it as dead would
// record an unknown outcome for a request that is about to be answered.
const (
	Uncertain Liveness = iota
	Alive
	Dead
)

// LivenessFunc returns the liveness of one process of an instance. It must return Dead only if failure detection declared
// the process dead or another process has replaced it. A wrong Dead makes the outcome unknown; it never causes a second run.
type LivenessFunc func(instance fleet.InstanceID, incarnation uint64) Liveness

// ActionKind is what to do with a request that needs a claim.
type ActionKind int

// Kinds of actions.
const (
	Claim            ActionKind = iota // claim the key and run the request
	Replay                             // return the recorded response
	WaitForOwner                       // the owner is running the request: wait for its response
	MarkUnknown                        // the owner is dead: record that the outcome is unknown, then report that to the caller
	ReportUnknown                      // the outcome is recorded as unknown: report that to the caller
	Mismatch                           // the key was used for a different request: status 422
	ReportInProgress                   // the claim is older than any caller waits: report at once that the request is in progress
)

// String returns the action's name for logs.
func (k ActionKind) String() string {
	names := [...]string{"claim", "replay", "wait", "mark_unknown", "tell_unknown", "mismatch", "tell_in_progress"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Action is what Decide returns: what to do with one request, given the state of its claim.
type Action struct {
	Kind     ActionKind
	Instance fleet.InstanceID // owner to wait for; set if Kind is WaitForOwner
	Response Response         // recorded response; set if Kind is Replay
}

// maxCallerWait is the longest wait that a caller may request: ten minutes, the limit of X-Request-Timeout-Ms. For an older
// claim Decide returns ReportInProgress instead of WaitForOwner, which saves the store reads of polling. The age compares clocks
// of two instances; a clock difference affects only this choice and never whether a request runs.
const maxCallerWait = 10 * time.Minute

// Decide returns what to do with a request. r is the claim record of its key, nil if there is none; self is the process
// that handles the request, and requestDigest the request's digest. A claim with another digest is a Mismatch in every
// state, a released one too. Decide is a pure function apart from livenessOf.
func Decide(r *Record, self Owner, livenessOf LivenessFunc, requestDigest string, now time.Time) Action {
	if r == nil {
		return Action{Kind: Claim}
	}
	if r.RequestDigest != requestDigest {
		return Action{Kind: Mismatch}
	}
	switch r.State {
	case Released:
		return Action{Kind: Claim}
	case Done:
		return Action{Kind: Replay, Response: *r.Response}
	case Claimed:
		return decideClaimed(r, self, livenessOf, now)
	}
	return Action{Kind: ReportUnknown}
}

func decideClaimed(r *Record, self Owner, livenessOf LivenessFunc, now time.Time) Action {
	if ownerLiveness(r.Owner, self, livenessOf) == Dead {
		return Action{Kind: MarkUnknown}
	}
	if now.Sub(r.Created) > maxCallerWait {
		return Action{Kind: ReportInProgress}
	}
	return Action{Kind: WaitForOwner, Instance: r.Instance}
}

// ownerLiveness returns the liveness of owner. Another incarnation of this instance counts as dead, because this process
// replaced it. Incarnations are not compared: if the other one is higher, a newer process has replaced this one, and
// taking it for dead makes an outcome unknown but never causes a second run.
func ownerLiveness(owner, self Owner, livenessOf LivenessFunc) Liveness {
	if owner == self {
		return Alive
	}
	if owner.Instance == self.Instance {
		return Dead
	}
	return livenessOf(owner.Instance, owner.Incarnation)
}
