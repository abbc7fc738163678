package claims

import (
	"time"

	"github.com/rotisserie/eris"
)

// Attempt is what a new claim records of the attempt that makes it.
type Attempt struct {
	Owner         Owner
	Token         string
	RequestDigest string
	Operation     string
}

// New returns the record of a claim on a key that has no record.
func New(a Attempt, now time.Time) Record {
	return Record{
		State:         Claimed,
		Owner:         a.Owner,
		Token:         a.Token,
		RequestDigest: a.RequestDigest,
		Operation:     a.Operation,
		Created:       now.UTC(),
	}
}

// Reclaim returns the record of a new attempt on a released claim. It returns ErrTransition for any other state.
func Reclaim(r Record, a Attempt, now time.Time) (Record, error) {
	if r.State != Released {
		return r, eris.Wrapf(ErrTransition, "reclaim of a claim in state %s", r.State)
	}
	return New(a, now), nil
}

// Retake replaces an own claim that certainly dispatched nothing: undispatched is the token of an earlier attempt of
// this same process whose claim write had an unknown outcome and which was then refused as not run.
func Retake(r Record, undispatched string, a Attempt, now time.Time) (Record, error) {
	if err := owned(r, undispatched); err != nil {
		return r, err
	}
	if r.State != Claimed {
		return r, eris.Wrapf(ErrTransition, "retake of a claim in state %s", r.State)
	}
	return New(a, now), nil
}

// Complete records the answer. An unknown claim of the same attempt becomes done as well: a peer marked it while its
// owner was paused or cut off, and the owner now knows the outcome. A repeated Complete changes nothing.
func Complete(r Record, token string, answer Answer) (Record, error) {
	if err := owned(r, token); err != nil {
		return r, err
	}
	if len(answer.Body) > MaxAnswerBody {
		return r, eris.Wrapf(ErrAnswerTooLarge, "body of %d bytes", len(answer.Body))
	}
	switch r.State {
	case Done:
		return r, nil
	case Claimed, Unknown:
		r.State = Done
		r.Answer = &answer
		return r, nil
	}
	return r, eris.Wrapf(ErrTransition, "completion of a claim in state %s", r.State)
}

// Release records that nothing was run. An unknown claim stays unknown: a caller was told so and may have acted on it,
// thus the request must not run later under the same key.
func Release(r Record, token string) (Record, error) {
	if err := owned(r, token); err != nil {
		return r, err
	}
	switch r.State {
	case Released:
		return r, nil
	case Claimed:
		r.State = Released
		return r, nil
	}
	return r, eris.Wrapf(ErrTransition, "release of a claim in state %s", r.State)
}

// Abandon records that the attempt's outcome is unknown to its owner, for example after a connection broke.
func Abandon(r Record, token string) (Record, error) {
	if err := owned(r, token); err != nil {
		return r, err
	}
	return MarkLost(r)
}

// MarkLost records that the outcome is unknown because the owner is lost. Any instance may do this after Decide
// returned MarkUnknown.
func MarkLost(r Record) (Record, error) {
	switch r.State {
	case Unknown:
		return r, nil
	case Claimed:
		r.State = Unknown
		return r, nil
	}
	return r, eris.Wrapf(ErrTransition, "unknown mark on a claim in state %s", r.State)
}

func owned(r Record, token string) error {
	if r.Token != token {
		return eris.Wrapf(ErrNotOwner, "claim of instance %s", r.Instance)
	}
	return nil
}
