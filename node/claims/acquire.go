package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/claims"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// maxRounds bounds the rounds of one Acquire call, and with them its store calls. With a poll in each round, Acquire
	// waits for up to about 16 s.
	maxRounds = 20
	// minPollInterval and maxPollInterval bound the backoff between polls of another instance's claim.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
	// maxClaimWrites is the maximum number of times that a claim write is sent if its response is lost and a read shows no
	// effect.
	maxClaimWrites = 2
)

// acquire acts on the key's record until it has a result. It starts with a claim write that succeeds only if the key is
// new and otherwise returns the existing record, so a new request costs one store call.
func (c *Claimer) acquire(ctx context.Context, key string, r Request) (Result, error) {
	var current storedClaim
	poll := minPollInterval
	for range maxRounds {
		action := claims.Decide(current.record, c.config.Self, c.config.Liveness, r.Digest, time.Now())
		if action.Kind == claims.WaitForOwner && c.undispatched(key, current.record) {
			action.Kind = claims.Claim
		}
		var result *Result
		var err error
		switch action.Kind {
		case claims.Claim:
			result, current, err = c.claim(ctx, key, r, current)
		case claims.WaitForOwner:
			result, current = c.poll(ctx, key, poll)
			poll = min(2*poll, maxPollInterval)
		case claims.MarkUnknown:
			result, current = c.markUnknown(ctx, key, current)
		default:
			return resultOf(action), nil
		}
		if err != nil {
			return Result{}, err
		}
		if result != nil {
			return *result, nil
		}
	}
	return inProgress(), nil
}

// poll waits and reads the claim again. The result is InProgress if ctx ends or the store call fails: another attempt may
// be running, so the result must not say that the request was not run.
func (c *Claimer) poll(ctx context.Context, key string, wait time.Duration) (*Result, storedClaim) {
	result := inProgress()
	if !sleep(ctx, wait) {
		return &result, storedClaim{}
	}
	found, err := c.read(ctx, key)
	if err != nil {
		return &result, storedClaim{}
	}
	return nil, found
}

// resultOf converts an action that needs no store call to a result.
func resultOf(action claims.Action) Result {
	switch action.Kind {
	case claims.Replay:
		return Result{Kind: Replay, Answer: action.Response}
	case claims.Mismatch:
		return Result{Kind: Mismatch}
	case claims.ReportUnknown:
		return Result{Kind: Unknown}
	}
	return inProgress()
}

func inProgress() Result {
	return Result{Kind: InProgress, RetryAfter: retryAfter}
}

// claim replaces the given state of the key with a claim. It returns a result if this process now holds the claim, and
// else the state found in the store. The error is ErrNotRun.
func (c *Claimer) claim(ctx context.Context, key string, r Request, previous storedClaim) (*Result, storedClaim, error) {
	record, err := c.newRecord(r, previous.record)
	if err != nil {
		return nil, previous, fmt.Errorf("%w: %v", ErrNotRun, err)
	}
	found, unconfirmed, err := c.writeClaim(ctx, key, record, previous)
	if err == nil {
		return heldResult(key, record, found), found, nil
	}
	if unconfirmed {
		// The write may still take effect after this request has been refused. Recording a release undoes it, or makes it
		// fail because the release changes the revision that the write compares with; see nextRecord.
		c.addPending(&outcome{kind: released, key: key, record: record, baseRevision: previous.revision})
	}
	return nil, previous, fmt.Errorf("%w: %v", ErrNotRun, err)
}

// writeClaim sends the claim write and, if the response is lost, reads the key. If the read shows no effect, it sends the
// write once more: the comparison in the write lets only one of the two take effect. With an error, unconfirmed reports
// whether one of them may still take effect.
func (c *Claimer) writeClaim(ctx context.Context, key string, record claims.Record, previous storedClaim) (
	found storedClaim, unconfirmed bool, err error,
) {
	for range maxClaimWrites {
		found, err = c.compareAndSwap(ctx, key, previous.revision, record)
		if err == nil || noEffect(err) {
			return found, unconfirmed, err
		}
		unconfirmed = true
		if ctx.Err() != nil {
			return found, unconfirmed, err
		}
		readBack, readErr := c.read(ctx, key)
		if readErr != nil {
			return found, unconfirmed, err
		}
		if readBack.revision != previous.revision {
			return readBack, false, nil
		}
	}
	return found, unconfirmed, err
}

// newRecord returns the record of a new attempt that replaces the present record, which is nil, released, or a claim of
// this process whose request was not dispatched.
func (c *Claimer) newRecord(r Request, present *claims.Record) (claims.Record, error) {
	attempt := claims.Attempt{
		Owner:         c.config.Self,
		Token:         c.config.NewToken(),
		RequestDigest: r.Digest,
		Operation:     r.Operation,
	}
	now := time.Now()
	switch {
	case present == nil:
		return claims.New(attempt, now), nil
	case present.State == claims.Released:
		return claims.Reclaim(*present, attempt, now)
	}
	return claims.ReplaceUndispatched(*present, present.Token, attempt, now)
}

// heldResult returns the result Run if the record found is the one that was written, and else nil.
func heldResult(key string, written claims.Record, found storedClaim) *Result {
	if found.record == nil || found.record.Token != written.Token {
		return nil
	}
	return &Result{Kind: Run, Claim: &Claim{key: key, record: written, revision: found.revision}}
}

// markUnknown records that the outcome of the owner's attempt is unknown. If the write is not confirmed, the result is
// InProgress: the owner may recover and release the claim, and a request must never run after a caller was told that its
// outcome is unknown.
func (c *Claimer) markUnknown(ctx context.Context, key string, current storedClaim) (*Result, storedClaim) {
	marked, err := claims.MarkLost(*current.record)
	if err != nil {
		return nil, current
	}
	found, err := c.compareAndSwap(ctx, key, current.revision, marked)
	if err != nil {
		result := inProgress()
		return &result, current
	}
	return nil, found
}

// undispatched reports whether the record is a claim of this process whose request was refused without being run.
func (c *Claimer) undispatched(key string, r *claims.Record) bool {
	if r.Owner != c.config.Self {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending.hasRelease(key, r.Token)
}

// sleep waits for 75 to 100 % of d and reports whether it did before ctx ended. The jitter keeps instances from polling
// at the same time.
func sleep(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d-time.Duration(rand.Int64N(int64(d)/4)))
}

// noEffect reports whether a failed write certainly had no effect. claims.ErrInvalidRecord means that the write's
// comparison failed and the existing record could not be decoded. All other errors leave the effect unknown.
func noEffect(err error) bool {
	return errors.Is(err, kv.ErrUnavailable) ||
		errors.Is(err, kv.ErrLeaseGone) ||
		errors.Is(err, kv.ErrValueTooLarge) ||
		errors.Is(err, claims.ErrInvalidRecord)
}
