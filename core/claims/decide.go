package claims

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// Liveness is what an instance believes about the owner of a claim.
type Liveness int

// Liveness of an owner. Uncertain covers suspects: they are not treated as dead, because a false verdict would turn
// an answer that is on its way into an unknown outcome.
const (
	Uncertain Liveness = iota
	Alive
	Dead
)

// LivenessFunc tells whether a process of an instance still runs. It must return Dead only for an owner that failed
// detection or was replaced. A false Dead costs an unknown outcome, never a second run.
type LivenessFunc func(instance fleet.InstanceID, incarnation uint64) Liveness

// ActionKind says what to do with a request that needs a claim.
type ActionKind int

// Kinds of actions.
const (
	Claim          ActionKind = iota // claim the key and run the request
	Replay                           // return the first answer
	WaitFor                          // the owner is running it: wait for its answer
	MarkUnknown                      // the owner is lost: record unknown, then tell the caller
	TellUnknown                      // the outcome is unknown and stays so
	Mismatch                         // the key was used for another request: error 422
	TellInProgress                   // the owner has run it for longer than a caller waits: tell the caller at once
)

// String returns the action's name as logs show it.
func (k ActionKind) String() string {
	names := [...]string{"claim", "replay", "wait", "mark_unknown", "tell_unknown", "mismatch", "tell_in_progress"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Action is the decision for one request and one state of its claim.
type Action struct {
	Kind     ActionKind
	Instance fleet.InstanceID // owner to wait for, with WaitFor
	Answer   Answer           // first answer, with Replay
}

// longestRun is the longest time that a caller may ask to wait (ten minutes, the bound of X-Request-Timeout-Ms). A
// claim older than this is not polled for, which saves store reads. Clock differences between instances shift only
// this choice between waiting and telling, never whether a request runs.
const longestRun = 10 * time.Minute

// Decide returns what to do with a request, given its claim record (nil if the key has none), the process that asks,
// and the request's digest.
func Decide(r *Record, self Owner, isAlive LivenessFunc, requestDigest string, now time.Time) Action {
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
		return Action{Kind: Replay, Answer: *r.Answer}
	case Claimed:
		return decideClaimed(r, self, isAlive, now)
	}
	return Action{Kind: TellUnknown}
}

func decideClaimed(r *Record, self Owner, isAlive LivenessFunc, now time.Time) Action {
	if ownerLiveness(r.Owner, self, isAlive) == Dead {
		return Action{Kind: MarkUnknown}
	}
	if now.Sub(r.Created) > longestRun {
		return Action{Kind: TellInProgress}
	}
	return Action{Kind: WaitFor, Instance: r.Instance}
}

// ownerLiveness treats another incarnation of the present instance as dead: this process replaced it.
func ownerLiveness(owner, self Owner, isAlive LivenessFunc) Liveness {
	if owner == self {
		return Alive
	}
	if owner.Instance == self.Instance {
		return Dead
	}
	return isAlive(owner.Instance, owner.Incarnation)
}
