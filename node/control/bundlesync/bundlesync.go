// Package bundlesync puts the newest verified bundle in force on an instance. It learns of generations from the store and from
// peers, fetches deltas or sections from either, and never goes back to an older generation.
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

// Errors of this layer. Callers compare with errors.Is.
var (
	// ErrNoSource means that neither the store nor a peer supplied a bundle that verifies.
	ErrNoSource = eris.New("no source supplied a verifiable bundle")
	// ErrBelowHeard means that a peer offered a generation below one that another peer claimed to have in force.
	ErrBelowHeard = eris.New("peer's bundle is older than one heard of")
	// ErrNoDelta means that a source does not hold the delta; sections are fetched instead.
	ErrNoDelta = eris.New("source does not hold the bundle delta")
	// ErrBadSource means that a source returned data that is malformed or exceeds the bounds.
	ErrBadSource = eris.New("source returned unusable bundle data")
)

const (
	// purpose labels the store calls of this package.
	purpose = "bundle-sync"
	// callTimeout bounds one call to a source; a silent peer must not use up the 3 s in which a change is to be in force.
	callTimeout = time.Second
	// firstBackoff and maxBackoff bound the wait after a failed pass.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 30 * time.Second
	// pollPeriod is how often an instance reads the head without any hint, in case that no probe reaches it: at 370 instances
	// about 12 reads/s of the store's 2,000.
	pollPeriod = 30 * time.Second
	// hintSpread delays the reaction to a hint by up to this time, so that instances do not ask one peer in step.
	hintSpread = 100 * time.Millisecond
	// maxHints bounds the hints kept; further ones come with later probes.
	maxHints = 8
)

// PeerSource fetches bundles from other instances. The peer is the address of its peers' listener. Nothing that it returns is
// trusted.
type PeerSource interface {
	// Manifest returns the signed manifest in force at the peer.
	Manifest(ctx context.Context, peer string) (bundle.SignedManifest, error)
	// Section returns the bytes of a section.
	Section(ctx context.Context, peer string, digest string) ([]byte, error)
	// Delta returns the delta that leads to the generation, or ErrNoDelta.
	Delta(ctx context.Context, peer string, to fleet.Generation) (bundle.Delta, error)
}

// Config holds what the controller works with. All fields are required.
type Config struct {
	Table     *blackboard.BundleTable
	Store     kv.Store
	Peers     PeerSource
	Verifier  bundle.Verifier
	Watcher   func() bool     // tells whether this instance now watches the head in the store
	Addresses func() []string // peers to ask when the store has no answer
	Random    *rand.Rand      // for jitter and the choice of peers; used by the controller alone
}

// Controller implements workers.Controller. Run adds immediate reaction to hints and the watch. All methods are safe for
// concurrent use.
type Controller struct {
	Config
	gate chan struct{} // holds one token while a pass runs
	wake chan struct{} // tells Run of a hint

	mu      sync.Mutex // guards the fields below; never held across I/O
	tracker bundle.Tracker
	hints   []hint // newest generations, bounded by maxHints
	heardAt map[fleet.Generation]time.Time
	backoff time.Duration
	retryAt time.Time
	pollAt  time.Time
	recent  recentDeltas
}

// hint is a peer's claim that it has a generation in force.
type hint struct {
	generation fleet.Generation
	peer       string // empty for the store
}

// New returns a controller. Register it with a period of about a second and call Run.
func New(config Config) *Controller {
	return &Controller{
		Config:  config,
		gate:    make(chan struct{}, 1),
		wake:    make(chan struct{}, 1),
		heardAt: map[fleet.Generation]time.Time{},
	}
}

// Name implements workers.Controller.
func (c *Controller) Name() string { return "bundle-sync" }

// Hint tells that a peer claims to have a generation in force. It does not block.
func (c *Controller) Hint(generation fleet.Generation, peer string) {
	if !c.note(hint{generation: generation, peer: peer}) {
		return
	}
	wait.Wake(c.wake)
}

// note records a hint and reports whether it is of use. A generation heard of for the first time ends the backoff, and so does each change
// of the head in the store: otherwise a peer that claims a generation nobody has would delay the bundles that exist.
func (c *Controller) note(h hint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.generation <= c.tracker.Accepted() {
		return false
	}
	fresh := c.tracker.Heard(h.generation)
	if fresh {
		c.heardAt[h.generation] = time.Now()
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

// Behind tells whether a generation higher than the one in force was heard of.
func (c *Controller) Behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Behind()
}

// Delta returns the delta that led to a recent generation, for peers that ask for it.
func (c *Controller) Delta(to fleet.Generation) (bundle.Delta, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent.get(to)
}

// Reconcile implements workers.Controller: one pass over the sources if there is a reason for it.
func (c *Controller) Reconcile(ctx context.Context) error {
	select {
	case c.gate <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.gate }()
	ctx = kv.WithPurpose(ctx, purpose)
	work := c.due(time.Now())
	if work == nil {
		return nil
	}
	err := work(ctx)
	c.finish(time.Now(), err)
	return err
}

// due returns the work of a pass, or nil.
func (c *Controller) due(now time.Time) func(context.Context) error {
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

// finish sets the times of the next pass.
func (c *Controller) finish(now time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.backoff, c.retryAt = 0, time.Time{}
		c.pollAt = now.Add(c.jitter(pollPeriod))
		return
	}
	c.backoff = min(max(2*c.backoff, firstBackoff), maxBackoff)
	c.retryAt = now.Add(c.jitter(c.backoff))
	c.pollAt = c.retryAt
}

// jitter returns half to three halves of d; c.mu is held.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Random.Int64N(int64(d)))
}
