package limits

import "time"

const (
	// maxTries bounds the tries of a request that certainly did not run, so that it is not sent around endlessly in a fleet that refuses it.
	maxTries = 6
	// minRetryTime is the shortest remaining time in which another try can succeed: connecting, and the first event of an idle target.
	minRetryTime = 50 * time.Millisecond
)

// Tries counts the tries of one request.
type Tries struct {
	Started    int // all tries, including those that could not be sent
	MayHaveRun int // number of targets at which the request may have run
}

// TryReason is the reason for not trying a request again; TryAgain, the empty value, means that there is none.
type TryReason string

// Reasons.
const (
	TryAgain       TryReason = ""
	TriesUsed      TryReason = "all tries are used"
	AttemptsUsed   TryReason = "it may have run at as many targets as its route allows"
	NotRepeatable  TryReason = "it may have run and must not run twice"
	NoTimeForRetry TryReason = "no time is left for another try"
)

// CheckRetry returns TryAgain if a request may be tried at another target after a try that ended without a response, and otherwise the reason
// why not. t includes the try that ended. mayHaveRun says whether that try may have run. repeatable says whether the request may run more than
// once, and maxAttempts is the number of targets at which it may run. left is the time until the request's deadline.
func (t Tries) CheckRetry(mayHaveRun, repeatable bool, maxAttempts int, left time.Duration) TryReason {
	switch {
	case mayHaveRun && !repeatable:
		return NotRepeatable
	case mayHaveRun && t.MayHaveRun >= maxAttempts:
		return AttemptsUsed
	case t.Started >= maxTries:
		return TriesUsed
	case left < minRetryTime:
		return NoTimeForRetry
	}
	return TryAgain
}
