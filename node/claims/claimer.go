// Package claims keeps at-most-once claims in the store: one claim is recorded before a request that must not be
// repeated is dispatched, and one outcome after it. docs/decisions/0004-at-most-once-claims.md gives the reasons.
package claims

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/claims"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Errors of this layer.
var (
	// ErrNotRun means that the claim could not be recorded and this attempt dispatched nothing. It says nothing of
	// other attempts under the same key; what the store showed of them is never reported as this error.
	ErrNotRun = eris.New("claim cannot be recorded, the request was not run")
	// ErrClaimEnded means that Complete, Release or Abandon was already called for the claim.
	ErrClaimEnded = eris.New("claim has already ended")
)

const (
	// storePrefix precedes the claim's key.
	storePrefix = "/eelgrass/claims/"
	// storePurpose labels the store calls of this package.
	storePurpose = "claims"
	// recordTimeout bounds the store call that records an outcome while the caller waits for its answer. Beyond it
	// the outcome is recorded in the background.
	recordTimeout = time.Second
	// retryAfter is the advice with InProgress: about the time in which the failure detector judges an instance.
	retryAfter = time.Second
	// defaultMaxOutstanding bounds claims running plus outcomes not yet recorded. With 64 KiB answers held for each
	// it is 64 MiB at worst, half of the node's memory budget.
	defaultMaxOutstanding = 1024
)

// Config holds the settings of a Claimer.
type Config struct {
	Self           claims.Owner // this process; the incarnation must differ after every start
	Liveness       claims.LivenessFunc
	MaxOutstanding int           // 0 means 1024
	NewToken       func() string // nil means random tokens
}

// Request is a request that needs a claim.
type Request struct {
	Caller         fleet.CallerID
	IdempotencyKey string
	Operation      string
	Digest         string // claims.Digest of operation and body
}

// Kind says what Acquire found.
type Kind int

// Kinds of results.
const (
	Run        Kind = iota // Claim is held: run the request, then call Complete, Release or Abandon once
	Replay                 // Answer is the first answer
	Unknown                // the request may have run and is never run again
	Mismatch               // the key was used for another request (status 422)
	InProgress             // another attempt may be running; ask again after RetryAfter
)

// Result is the outcome of Acquire.
type Result struct {
	Kind       Kind
	Claim      *Claim
	Answer     claims.Answer
	RetryAfter time.Duration
}

// Claim is a claim that this process holds. It must be ended exactly once.
type Claim struct {
	key      string
	record   claims.Record
	revision kv.Revision // of the record in the store
	flight   *flight
}

// Claimer acquires and ends claims. It is safe for concurrent use. Store calls of a request: one write to claim and one
// to record the outcome; a resend costs one write call that turns into a read.
type Claimer struct {
	config Config
	store  *countingStore
	lease  *sharedLease

	mu      sync.Mutex // guards flights and pending; not held across I/O
	flights map[string]*flight
	pending pendingList
}

// New returns a Claimer over the store. Register its Controller so that outcomes are recorded after store outages.
func New(store kv.Store, config Config) *Claimer {
	if config.MaxOutstanding == 0 {
		config.MaxOutstanding = defaultMaxOutstanding
	}
	if config.NewToken == nil {
		config.NewToken = rand.Text
	}
	counting := &countingStore{store: store}
	return &Claimer{
		config:  config,
		store:   counting,
		lease:   &sharedLease{store: counting},
		flights: make(map[string]*flight),
		pending: pendingList{byKey: make(map[string][]*outcome)},
	}
}

// Acquire claims the request's key or tells what became of an earlier attempt. It waits for a running attempt until ctx
// ends. The only error is ErrNotRun.
func (c *Claimer) Acquire(ctx context.Context, r Request) (Result, error) {
	ctx = kv.WithPurpose(ctx, storePurpose)
	key := claims.Key(r.Caller, r.IdempotencyKey)
	for {
		entered := c.enter(key, r.Digest)
		switch {
		case entered.err != nil:
			return Result{}, entered.err
		case entered.known != nil:
			return *entered.known, nil
		case entered.leads:
			return c.lead(ctx, entered.flight, key, r)
		}
		result, again, err := entered.flight.wait(ctx, r.Digest)
		if !again {
			return result, err
		}
	}
}

// Complete ends the claim with the answer. The answer may be delivered when Complete returns nil, even if the store
// could not be reached: it is then recorded in the background and resends to this instance get it from memory. It
// returns claims.ErrAnswerTooLarge without ending the claim, or ErrClaimEnded.
func (c *Claimer) Complete(ctx context.Context, claim *Claim, answer claims.Answer) error {
	if _, err := claims.Complete(claim.record, claim.record.Token, answer); err != nil {
		return err
	}
	return c.end(ctx, claim, &outcome{kind: completed, answer: answer})
}

// Release ends the claim of a request that certainly was not run, so that a resend may run it.
func (c *Claimer) Release(ctx context.Context, claim *Claim) error {
	return c.end(ctx, claim, &outcome{kind: released})
}

// Abandon ends the claim of a request whose outcome is unknown, for example after a connection broke.
func (c *Claimer) Abandon(ctx context.Context, claim *Claim) error {
	return c.end(ctx, claim, &outcome{kind: abandoned})
}

// end records the outcome, or keeps it to be recorded later, and then lets the waiting requests go on. It does not
// stop when ctx is cancelled: the outcome counts although its caller has left.
func (c *Claimer) end(ctx context.Context, claim *Claim, o *outcome) error {
	if !claim.flight.ended.CompareAndSwap(false, true) {
		return ErrClaimEnded
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	o.key, o.record, o.base = claim.key, claim.record, claim.revision
	err := c.record(kv.WithPurpose(ctx, storePurpose), o)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.pending.add(o)
	}
	c.finish(claim.key, claim.flight, o)
	return nil
}
