package claims

import (
	"time"

	"github.com/rotisserie/eris"
)

// Attempt holds the properties of an attempt that its claim records.
type Attempt struct {
	Owner         Owner
	Token         string
	RequestDigest string
	Operation     string
}

// New returns the record of the first claim on a key, created at now.
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

// Reclaim returns the record of a new attempt's claim in place of a released one. It returns ErrTransition for any other
// state.
func Reclaim(r Record, a Attempt, now time.Time) (Record, error) {
	if r.State != Released {
		return r, eris.Wrapf(ErrTransition, "reclaim of a claim in state %s", r.State)
	}
	return New(a, now), nil
}

// ReplaceUndispatched returns the record of a new attempt's claim in place of an earlier claim of this process that certainly
// dispatched nothing. This happens when the store does not confirm the claim write of an attempt: the attempt is refused as
// not run, the caller sends the request again, and the record turns out to have been written after all. undispatched is the
// token of the earlier attempt. That the claim is one of this process and was not dispatched is for the caller to know;
// only the token and the state are checked. ReplaceUndispatched returns ErrNotOwner if the record has another token, and
// ErrTransition if its state isn't Claimed.
func ReplaceUndispatched(r Record, undispatched string, a Attempt, now time.Time) (Record, error) {
	if err := checkOwner(r, undispatched); err != nil {
		return r, err
	}
	if r.State != Claimed {
		return r, eris.Wrapf(ErrTransition, "retake of a claim in state %s", r.State)
	}
	return New(a, now), nil
}

// Complete records the response. It also applies to a claim of the same attempt in state Unknown: a peer marked it while
// its owner was paused or unreachable, and the owner has the outcome. If a response is already recorded, Complete returns
// the record unchanged. Errors: ErrNotOwner, ErrResponseTooLarge, ErrTransition.
func Complete(r Record, token string, response Response) (Record, error) {
	if err := checkOwner(r, token); err != nil {
		return r, err
	}
	if len(response.Body) > MaxResponseBody {
		return r, eris.Wrapf(ErrResponseTooLarge, "body of %d bytes", len(response.Body))
	}
	switch r.State {
	case Done:
		return r, nil
	case Claimed, Unknown:
		r.State = Done
		r.Response = &response
		return r, nil
	}
	return r, eris.Wrapf(ErrTransition, "completion of a claim in state %s", r.State)
}

// Release records that nothing was run, so that the key may be claimed again. A claim in state Unknown is not released,
// and Release returns ErrTransition: a caller may have received the unknown outcome and acted on it, so the request must
// not run later under the same key.
func Release(r Record, token string) (Record, error) {
	if err := checkOwner(r, token); err != nil {
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

// Abandon records that the owner doesn't know the outcome of its attempt, for example because the connection to the
// target failed.
func Abandon(r Record, token string) (Record, error) {
	if err := checkOwner(r, token); err != nil {
		return r, err
	}
	return MarkLost(r)
}

// MarkLost sets the state Unknown: the outcome of the attempt is not known. Any instance may do this for a dead owner,
// after Decide returned MarkUnknown; a living owner does it through Abandon. MarkLost returns a claim in state Unknown
// unchanged, and ErrTransition if the claim is released or done.
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

func checkOwner(r Record, token string) error {
	if r.Token != token {
		return eris.Wrapf(ErrNotOwner, "claim of instance %s", r.Instance)
	}
	return nil
}
