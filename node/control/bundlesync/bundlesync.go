// Package bundlesync puts the newest verified bundle in force on an instance. It learns of new generations from the store and from
// peers, fetches deltas or whole sections from either, and never returns to an older generation.
//
// The head is the store's record of the newest generation. A watcher is an instance that watches the head; a few instances in each region do, and
// the others hear of a new generation by hints from peers. To roll a bundle is to write a new generation of it to the store.
package bundlesync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/internal/wait"
	"github.com/rotisserie/eris"
)

// Errors of this package. Compare with errors.Is.
var (
	// ErrNoSource is returned if neither the store nor a peer supplied a bundle that can be verified.
	ErrNoSource = eris.New("no source supplied a verifiable bundle")
	// ErrBelowClaimed is returned if a peer offered a lower generation than the highest one that the store or another peer claimed to have.
	ErrBelowClaimed = eris.New("peer's bundle is older than the highest claimed generation")
	// ErrNoDelta is returned if a source does not hold a delta; the sections are fetched instead.
	ErrNoDelta = eris.New("source does not hold the bundle delta")
	// ErrBadSource is returned if a source supplied data that is malformed or too large.
	ErrBadSource = eris.New("source returned unusable bundle data")
)

const (
	// purpose labels the store calls of this package.
	purpose = "bundle-sync"
	// callTimeout is the timeout of one call to a source. A change must be in force within 3 s, even if a peer does not respond.
	callTimeout = time.Second
	// firstBackoff and maxBackoff are the minimum and maximum backoff, before jitter, after a failed pass.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 30 * time.Second
	// pollInterval is the mean interval at which an instance reads the head without a hint, in case no probe reaches it. With 370
	// instances this costs about 12 reads/s of the store's 2,000.
	pollInterval = 30 * time.Second
	// maxHintDelay is the maximum random delay before a hint is followed, so that instances do not call one peer all at the same time.
	maxHintDelay = 100 * time.Millisecond
	// maxHints is the maximum number of hints kept. The oldest is dropped; later probes repeat it if it still holds.
	maxHints = 8
)

// PeerSource fetches bundles from other instances. A peer is given by the address of its peers' listener. The returned data is not
// verified; the controller does that.
type PeerSource interface {
	// Manifest returns the signed manifest in force at the peer.
	Manifest(ctx context.Context, peer string) (bundle.SignedManifest, error)
	// Section returns the bytes of a section.
	Section(ctx context.Context, peer string, digest string) ([]byte, error)
	// Delta returns the delta that leads to generation to, or ErrNoDelta if the peer does not hold it.
	Delta(ctx context.Context, peer string, to fleet.Generation) (bundle.Delta, error)
}

// Config holds the dependencies of a Controller. All fields are required.
type Config struct {
	Table         *blackboard.BundleTable
	Store         kv.Store
	Peers         PeerSource
	Verifier      bundle.Verifier
	IsWatcher     func() bool     // reports whether this instance should watch the head in the store
	PeerAddresses func() []string // peers to ask if the store supplies no usable bundle
	Random        *rand.Rand      // for jitter and the choice of peers; must not be shared
}

// Controller implements workers.Controller. While Run runs, hints are followed within maxHintDelay instead of at the next Reconcile, and
// the head is watched by instances that are watchers. All methods are safe for concurrent use.
type Controller struct {
	Config
	passSlot chan struct{} // holds one token while a pass runs
	wake     chan struct{} // wakes Run after a new hint

	mu          sync.Mutex // guards the fields below and Random; not held during I/O
	tracker     bundle.GenerationTracker
	hints       []hint // oldest first, at most maxHints
	firstHintAt map[fleet.Generation]time.Time
	backoff     time.Duration
	retryAt     time.Time
	pollAt      time.Time
	recent      recentDeltas
}

// hint is an unverified claim of a peer that it has a generation in force, or of the store that it holds one.
type hint struct {
	generation fleet.Generation
	peer       string // empty for the store
}

// New returns a Controller. The caller registers it with a period of about a second and calls Run.
func New(config Config) *Controller {
	return &Controller{
		Config:      config,
		passSlot:    make(chan struct{}, 1),
		wake:        make(chan struct{}, 1),
		firstHintAt: map[fleet.Generation]time.Time{},
	}
}

// Name implements workers.Controller.
func (c *Controller) Name() string { return "bundle-sync" }

// Hint records that a peer claims to have a generation in force; an empty peer stands for the store. It does not block.
func (c *Controller) Hint(generation fleet.Generation, peer string) {
	if !c.recordHint(hint{generation: generation, peer: peer}) {
		return
	}
	wait.Wake(c.wake)
}

// recordHint records a hint and reports whether it is new and names a higher generation than the one in force. A generation higher than all
// named before ends the backoff, and so does each hint from the store: otherwise a peer that claims a generation that does not exist would
// delay the bundles that do.
func (c *Controller) recordHint(h hint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.generation <= c.tracker.Accepted() {
		return false
	}
	fresh := c.tracker.RecordAnnounced(h.generation)
	if fresh {
		c.firstHintAt[h.generation] = time.Now()
	}
	if fresh || h.peer == "" {
		c.backoff, c.retryAt = 0, time.Time{}
	}
	for _, known := range c.hints {
		if known == h {
			return false
		}
	}
	if len(c.hints) == maxHints {
		c.hints = c.hints[1:]
	}
	c.hints = append(c.hints, h)
	return true
}

// Behind reports whether a hint named a higher generation than the one in force.
func (c *Controller) Behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Behind()
}

// Delta returns the delta that led to generation to, for peers that request it. It returns false unless that is one of the last deltas
// that this instance applied.
func (c *Controller) Delta(to fleet.Generation) (bundle.Delta, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent.get(to)
}

// Reconcile implements workers.Controller: it makes a pass if one is due. Only one pass runs at a time.
func (c *Controller) Reconcile(ctx context.Context) error {
	select {
	case c.passSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.passSlot }()
	ctx = kv.WithPurpose(ctx, purpose)
	work := c.duePass(time.Now())
	if work == nil {
		return nil
	}
	err := work(ctx)
	c.scheduleNext(time.Now(), err)
	return err
}

// duePass returns the function that makes the pass that is due, or nil if none is.
func (c *Controller) duePass(now time.Time) func(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.retryAt) {
		return nil
	}
	if c.Table.Current() == nil {
		return c.start
	}
	if len(c.hints) > 0 {
		return c.catchUp
	}
	if !now.Before(c.pollAt) {
		return c.pollStore
	}
	return nil
}

// scheduleNext schedules the next pass after one that ended with err.
func (c *Controller) scheduleNext(now time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.backoff, c.retryAt = 0, time.Time{}
		c.pollAt = now.Add(c.jitterLocked(pollInterval))
		return
	}
	c.backoff = min(max(2*c.backoff, firstBackoff), maxBackoff)
	c.retryAt = now.Add(c.jitterLocked(c.backoff))
	c.pollAt = c.retryAt
}

// jitterLocked returns a random duration from 0.5*d to 1.5*d. c.mu must be held.
func (c *Controller) jitterLocked(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Random.Int64N(int64(d)))
}
