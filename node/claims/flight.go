package claims

import (
	"context"
	"sync/atomic"

	"eelgrassproxy.example/core/claims"
	"github.com/rotisserie/eris"
)

// flight is the one request of this process that is claiming or running under a key, called the leader. Concurrent
// requests with the same key, the followers, wait for it and need no store call.
type flight struct {
	digest    string
	claimHeld bool          // guarded by Claimer.mu
	ended     atomic.Bool   // the claim has ended
	done      chan struct{} // closed when the flight has ended
	outcome   *outcome      // set before done is closed; nil if the leader did not run the request
	err       error         // set before done is closed; why the leader was refused, if followers would be refused too
}

// entry is how a request enters: with a known result, as the leader of a flight, as a follower of one, or refused with
// an error.
type entry struct {
	known    *Result
	flight   *flight
	isLeader bool
	err      error
}

// enter starts a flight for the key unless there is one or the result is known. It refuses the request if there is no
// room to keep its outcome.
func (c *Claimer) enter(key, digest string) entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.pending.result(key, digest); known != nil {
		return entry{known: known}
	}
	if f, ok := c.flights[key]; ok {
		if f.claimHeld && f.digest != digest {
			return entry{known: &Result{Kind: Mismatch}}
		}
		return entry{flight: f}
	}
	if len(c.flights)+c.pending.count >= c.config.MaxOutstanding {
		return entry{err: eris.Wrapf(ErrNotRun, "%d outcomes are running or unrecorded", c.config.MaxOutstanding)}
	}
	f := &flight{digest: digest, done: make(chan struct{})}
	c.flights[key] = f
	return entry{flight: f, isLeader: true}
}

// lead claims the key as the leader of the flight. The flight ends here unless the claim is held afterwards.
func (c *Claimer) lead(ctx context.Context, f *flight, key string, r Request) (Result, error) {
	result, err := c.acquire(ctx, key, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && result.Kind == Run {
		f.claimHeld = true
		result.Claim.flight = f
		return result, nil
	}
	if ctx.Err() == nil {
		f.err = err // the store failed, not the leader's context, so the followers would fail too
	}
	c.finish(key, f, nil)
	return result, err
}

// finish ends a flight. The caller must hold c.mu.
func (c *Claimer) finish(key string, f *flight, o *outcome) {
	f.outcome = o
	delete(c.flights, key)
	close(f.done)
}

// wait waits for the flight to end and returns the result for a follower with the given digest. reenter reports whether
// the follower must call enter again. If ctx ends first, the result is InProgress.
func (f *flight) wait(ctx context.Context, digest string) (result Result, reenter bool, err error) {
	select {
	case <-ctx.Done():
		return Result{Kind: InProgress, RetryAfter: retryAfter}, false, nil
	case <-f.done:
	}
	if f.digest != digest {
		return Result{}, true, nil
	}
	if f.err != nil {
		return Result{}, false, f.err
	}
	if f.outcome == nil || f.outcome.kind == released {
		return Result{}, true, nil
	}
	return f.outcome.result(), false, nil
}

// outcomeKind is how a claim ended.
type outcomeKind int

const (
	completed outcomeKind = iota
	released
	unknown // the claim was abandoned
)

// outcome is the end of a claim, to be recorded in the store.
type outcome struct {
	kind         outcomeKind
	key          string
	record       claims.Record   // the record that was written to claim the key
	baseRevision revision        // revision of the claim, or the revision that an unconfirmed claim write expected
	response     claims.Response // set if kind is completed
}

// result returns the result for a resend of the same request.
func (o *outcome) result() Result {
	if o.kind == completed {
		return Result{Kind: Replay, Answer: o.response}
	}
	return Result{Kind: Unknown}
}

// apply returns the record r with the outcome applied.
func (o *outcome) apply(r claims.Record) (claims.Record, error) {
	switch o.kind {
	case completed:
		return claims.Complete(r, o.record.Token, o.response)
	case released:
		return claims.Release(r, o.record.Token)
	}
	return claims.Abandon(r, o.record.Token)
}
