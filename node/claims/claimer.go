// Package claims keeps at-most-once claims in the store. It records a claim before a request that must not be repeated
// is dispatched, and the outcome afterwards. docs/decisions/0004-at-most-once-claims.md gives the reasons.
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

// Errors returned by a Claimer.
var (
	// ErrNotRun means that the claim could not be recorded and this attempt was not dispatched. It does not mean that no
	// other attempt with the same key has run; if the store shows another attempt, Acquire reports it as a Result.
	ErrNotRun = eris.New("claim cannot be recorded, the request was not run")
	// ErrClaimEnded means that Complete, Release or Abandon was already called for the claim.
	ErrClaimEnded = eris.New("claim has already ended")
)

const (
	// storePrefix precedes a claim's key in the store.
	storePrefix = "/eelgrass/claims/"
	// storePurpose labels the store calls of this package.
	storePurpose = "claims"
	// recordTimeout bounds the time to record an outcome while the caller waits for the response. After it, the outcome
	// is recorded in the background.
	recordTimeout = time.Second
	// retryAfter is the RetryAfter of InProgress: about the time in which the failure detector detects a failed instance.
	retryAfter = time.Second
	// defaultMaxOutstanding bounds the running claims plus the outcomes that are not yet recorded. With a response of
	// 64 KiB for each, they take at most 64 MiB, half of the memory budget of the instance.
	defaultMaxOutstanding = 1024
)

// Config holds the settings of a Claimer.
type Config struct {
	Self           claims.Owner // this process; the incarnation must be different after each start
	Liveness       claims.LivenessFunc
	MaxOutstanding int           // maximum of running claims plus outcomes not yet recorded; 0 means 1024
	NewToken       func() string // nil means random tokens
}

// Request is a request that needs a claim.
type Request struct {
	Caller         fleet.CallerID
	IdempotencyKey string
	Operation      string
	Digest         string // claims.Digest of operation and body
}

// Kind is the kind of a Result.
type Kind int

// Kinds of results.
const (
	Run        Kind = iota // Claim is held: run the request, then call Complete, Release or Abandon once
	Replay                 // Answer is the response recorded for an earlier attempt
	Unknown                // the request may have run and must not be run again
	Mismatch               // the key was used for another request (status 422)
	InProgress             // another attempt may be running; retry after RetryAfter
)

// Result is the outcome of Acquire.
type Result struct {
	Kind       Kind
	Claim      *Claim          // with Run
	Answer     claims.Response // with Replay: the recorded response
	RetryAfter time.Duration   // with InProgress
}

// Claim is a claim held by this process. It must be ended exactly once, with Complete, Release or Abandon.
type Claim struct {
	key      string
	record   claims.Record
	revision kv.Revision // revision of the record in the store
	flight   *flight
}

// Claimer acquires and ends claims. It is safe for concurrent use. A request costs two store calls: one write for the
// claim and one for the outcome. A resend costs one write call, which only reads if the key is already claimed.
type Claimer struct {
	config Config
	store  *countingStore
	lease  *sharedLease

	mu      sync.Mutex // guards flights and pending; not held during store calls
	flights map[string]*flight
	pending pendingList
}

// New returns a Claimer that uses the store. The caller must register its Controller, which records outcomes after store
// outages.
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

// Acquire claims the request's key, or returns the state or outcome of an earlier attempt. It waits for an attempt
// of another process until ctx ends, about 16 s have passed or a read of the claim fails, and for one of this process
// until that one or ctx ends. The Result is InProgress if the attempt has not ended by then. All errors wrap ErrNotRun.
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
		case entered.isLeader:
			return c.lead(ctx, entered.flight, key, r)
		}
		result, again, err := entered.flight.wait(ctx, r.Digest)
		if !again {
			return result, err
		}
	}
}

// Complete ends the claim with the response. When it returns nil, the response may be sent to the caller, even if the
// store was unreachable: the response is then recorded in the background, and resends to this instance get it from
// memory. Complete returns claims.ErrResponseTooLarge without ending the claim, or ErrClaimEnded.
func (c *Claimer) Complete(ctx context.Context, claim *Claim, response claims.Response) error {
	if _, err := claims.Complete(claim.record, claim.record.Token, response); err != nil {
		return err
	}
	return c.end(ctx, claim, &outcome{kind: completed, response: response})
}

// Release ends the claim of a request that was certainly not run, so that a resend may run it. It returns ErrClaimEnded
// if the claim has ended.
func (c *Claimer) Release(ctx context.Context, claim *Claim) error {
	return c.end(ctx, claim, &outcome{kind: released})
}

// Abandon ends the claim of a request whose outcome is unknown, for example after a connection failed. It returns
// ErrClaimEnded if the claim has ended.
func (c *Claimer) Abandon(ctx context.Context, claim *Claim) error {
	return c.end(ctx, claim, &outcome{kind: unknown})
}

// end records the outcome, or keeps it to be recorded later, and then wakes the requests that wait for it. It ignores the
// cancellation of ctx: the outcome must be recorded even if the caller has disconnected.
func (c *Claimer) end(ctx context.Context, claim *Claim, o *outcome) error {
	if !claim.flight.ended.CompareAndSwap(false, true) {
		return ErrClaimEnded
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	o.key, o.record, o.baseRevision = claim.key, claim.record, claim.revision
	err := c.record(kv.WithPurpose(ctx, storePurpose), o)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.pending.add(o)
	}
	c.finish(claim.key, claim.flight, o)
	return nil
}
