package limits

import "time"

const (
	// maxTries bounds the tries of a request that certainly did not run, so that a fleet that refuses everything is not asked in circles.
	maxTries = 6
	// leastRetryTime is the time that a further try needs to be of use: a connection and the first event of an idle target.
	leastRetryTime = 50 * time.Millisecond
)

// Tries counts the tries of one request.
type Tries struct {
	Started int // tries that were sent or could not be sent
	Ran     int // targets at which the request may have run
}

// TryReason says why a request is not tried again.
type TryReason string

// Reasons.
const (
	TryAgain       TryReason = ""
	TriesUsed      TryReason = "all tries are used"
	AttemptsUsed   TryReason = "it may have run at as many targets as its route allows"
	NotRepeatable  TryReason = "it may have run and must not run twice"
	NoTimeForRetry TryReason = "no time is left for another try"
)

// Next tells whether a request may be tried at another target after a try that ended without an answer. mayHaveRun is about that try;
// maxAttempts and repeatable are properties of the request.
func (t Tries) Next(mayHaveRun, repeatable bool, maxAttempts int, left time.Duration) TryReason {
	switch {
	case mayHaveRun && !repeatable:
		return NotRepeatable
	case mayHaveRun && t.Ran >= maxAttempts:
		return AttemptsUsed
	case t.Started >= maxTries:
		return TriesUsed
	case left < leastRetryTime:
		return NoTimeForRetry
	}
	return TryAgain
}
