package itemjobs

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Outcome is what an instance knows of a submitted job when it answers. It is passed on as a value: errors of eris are equal by the texts of their
// messages, so that an error cannot say for certain that a job was not recorded.
type Outcome int

// Outcomes. The zero value promises nothing.
const (
	// MayBeAccepted means that the job may be recorded, now or later, and run.
	MayBeAccepted Outcome = iota
	// Accepted means that the job is recorded.
	Accepted
	// Unavailable means that no instance could record the job, or had memory for it, and that no write is under way that would.
	Unavailable
	// OverTokenLimit means that the job exceeds the token limit of its route and was not recorded.
	OverTokenLimit
	// Invalid means that the job cannot be recorded, for example because an item is too large.
	Invalid
	// Refused means that the job was not recorded because its id is that of another account's job.
	Refused
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Unavailable:
		return "unavailable"
	case OverTokenLimit:
		return "token_limit"
	case Invalid:
		return "invalid"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// err returns the error of Submit for an outcome.
func (o Outcome) err() error {
	switch o {
	case Accepted:
		return nil
	case Unavailable:
		return ErrUnavailable
	case OverTokenLimit:
		return ErrTokenLimit
	case Invalid:
		return ErrInvalid
	case Refused:
		return ErrRefused
	default:
		return ErrOutcomeUnknown
	}
}

// SubmissionError is the error of a job that was not, or not certainly, accepted. It is exactly one of ErrUnavailable, ErrTokenLimit, ErrInvalid,
// ErrRefused and ErrOutcomeUnknown, whatever the texts of its causes are.
type SubmissionError struct {
	Outcome Outcome
	causes  []attempt
}

// Error implements error.
func (e *SubmissionError) Error() string {
	return fmt.Sprintf("%v: %q", e.Outcome.err(), describe(e.causes))
}

// Is reports whether target is the error of the outcome.
func (e *SubmissionError) Is(target error) bool { return target == e.Outcome.err() }

// OutcomeOf returns the outcome that an error of Submit states; MayBeAccepted for any other error.
func OutcomeOf(err error) Outcome {
	var submission *SubmissionError
	switch {
	case err == nil:
		return Accepted
	case errors.As(err, &submission):
		return submission.Outcome
	}
	return MayBeAccepted
}

// thisInstance stands for this instance in an attempt; peers are shown by their addresses.
const thisInstance = "this instance"

// errNoInstance is the cause of an attempt that was not made.
var errNoInstance = eris.New("no instance that reaches the store is known")

// attempt is an attempt of an instance to record a job.
type attempt struct {
	instance string
	outcome  Outcome
	cause    error // nil for Accepted
	took     time.Duration
}

// String describes the attempt for logs.
func (a attempt) String() string {
	if a.outcome == Accepted {
		return fmt.Sprintf("%s in %d ms: accepted", a.instance, a.took.Milliseconds())
	}
	return fmt.Sprintf("%s in %d ms: %v: %v", a.instance, a.took.Milliseconds(), a.outcome, a.cause)
}

func describe(attempts []attempt) []string {
	texts := make([]string, len(attempts))
	for i, a := range attempts {
		texts[i] = a.String()
	}
	return texts
}

// mayBeRecorded reports whether one of the attempts recorded the job, or may have.
func mayBeRecorded(attempts []attempt) bool {
	return slices.ContainsFunc(attempts, func(a attempt) bool { return a.outcome == Accepted || a.outcome == MayBeAccepted })
}

// combined returns the outcome of a submission from that of its attempts, of which there is at least one. A later attempt takes nothing back: once
// the job may be recorded, the outcome is Accepted or MayBeAccepted.
func combined(attempts []attempt) Outcome {
	switch {
	case slices.ContainsFunc(attempts, func(a attempt) bool { return a.outcome == Accepted }):
		return Accepted
	case mayBeRecorded(attempts):
		return MayBeAccepted
	}
	return attempts[len(attempts)-1].outcome
}
