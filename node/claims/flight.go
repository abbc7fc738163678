package claims

import (
	"context"
	"sync/atomic"

	"eelgrassproxy.example/core/claims"
	"github.com/rotisserie/eris"
)

// flight is one key that a request of this process is claiming or running. Later requests with the key wait for it, so
// that they cost no store call.
type flight struct {
	digest  string
	running bool          // the claim is held; guarded by Claimer.mu
	ended   atomic.Bool   // the claim has ended
	done    chan struct{} // closed when the flight has ended
	outcome *outcome      // set before done closes; nil if the leader did not run the request
	err     error         // set before done closes; the leader's refusal
}

// entry says how a request enters: with a known result, as the leader of a flight, or behind one.
type entry struct {
	known  *Result
	flight *flight
	leads  bool
	err    error
}

func (c *Claimer) enter(key, digest string) entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.pending.result(key, digest); known != nil {
		return entry{known: known}
	}
	if f, ok := c.flights[key]; ok {
		if f.running && f.digest != digest {
			return entry{known: &Result{Kind: Mismatch}}
		}
		return entry{flight: f}
	}
	if len(c.flights)+c.pending.count >= c.config.MaxOutstanding {
		return entry{err: eris.Wrapf(ErrNotRun, "%d outcomes are running or unrecorded", c.config.MaxOutstanding)}
	}
	f := &flight{digest: digest, done: make(chan struct{})}
	c.flights[key] = f
	return entry{flight: f, leads: true}
}

// lead claims the key for the flight. Unless the claim is held afterwards, the flight ends here.
func (c *Claimer) lead(ctx context.Context, f *flight, key string, r Request) (Result, error) {
	result, err := c.acquire(ctx, key, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && result.Kind == Run {
		f.running = true
		result.Claim.flight = f
		return result, nil
	}
	if ctx.Err() == nil {
		f.err = err // with a live context the store is at fault and the followers would fail as well
	}
	c.finish(key, f, nil)
	return result, err
}

// finish ends a flight; c.mu is held.
func (c *Claimer) finish(key string, f *flight, o *outcome) {
	f.outcome = o
	delete(c.flights, key)
	close(f.done)
}

// wait returns what the flight's end means to a request behind it; again asks the request to enter anew.
func (f *flight) wait(ctx context.Context, digest string) (result Result, again bool, err error) {
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

// outcomeKind says how a claim ended.
type outcomeKind int

const (
	completed outcomeKind = iota
	released
	abandoned
)

// outcome is the end of a claim, to be recorded in the store.
type outcome struct {
	kind   outcomeKind
	key    string
	record claims.Record // as it was claimed
	base   revision      // revision that the claim has, or that an unconfirmed claim write compared
	answer claims.Answer // of a completed claim
}

// result tells a resend of the same request about the outcome.
func (o *outcome) result() Result {
	if o.kind == completed {
		return Result{Kind: Replay, Answer: o.answer}
	}
	return Result{Kind: Unknown}
}

// apply returns the record after the outcome.
func (o *outcome) apply(r claims.Record) (claims.Record, error) {
	switch o.kind {
	case completed:
		return claims.Complete(r, o.record.Token, o.answer)
	case released:
		return claims.Release(r, o.record.Token)
	}
	return claims.Abandon(r, o.record.Token)
}
