// Package kvmirror keeps a copy of the keys under a prefix of the store and reports each change to a callback. While the store is unreachable,
// the copy can be updated from that of a peer. A mirror follows the store while it lists the keys and then watches them for changes.
package kvmirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// minRetryDelay and maxRetryDelay are the first and the longest mean backoff after a failed call; jitter changes it by up to half. maxRetryDelay
	// limits how long a mirror misses changes after the end of an outage to about a second.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// minOutage is how long calls must have failed for the next listing to count as the first one after an outage.
	minOutage = 500 * time.Millisecond
)

// followCheckInterval is the interval at which a mirror that does not follow the store checks whether it should.
const followCheckInterval = 200 * time.Millisecond

var (
	// errNotFollowing ends a watch when the mirror is to rely on the copies of peers from now on.
	errNotFollowing = errors.New("not following the store")
	// errRelist ends a watch when Relist was called.
	errRelist = errors.New("listing again")
)

// Change is a set of changes of the mirrored keys.
type Change struct {
	Put     []kv.KeyValue
	Removed []string // keys
	// AfterOutage is set if the change comes from the first listing after an outage of the store. Leases may have expired during the outage, so
	// that removed keys need not have been deleted on purpose.
	AfterOutage bool
	// Horizon of the call that returned the changes. Some of these may be newer.
	Horizon kv.Horizon
}

// Snapshot is a copy of the keys as of a revision of the store, or the difference from a copy as of an earlier one. Earlier builds know neither
// differences nor digests.
type Snapshot struct {
	Revision kv.Revision   `json:"revision"`
	Items    []kv.KeyValue `json:"items"`
	Horizon  *Horizon      `json:"horizon,omitempty"` // nil if it is unknown
	// Since is the revision of the copy to which Items and Removed are to be applied. 0 means that Items are the whole copy.
	Since    kv.Revision `json:"since,omitempty"`
	Removed  []string    `json:"removed,omitempty"`  // keys removed since then; there may be some that the reader does not have
	Complete bool        `json:"complete,omitempty"` // Removed has all keys that were removed since then, including those written since then
	Digest   uint64      `json:"digest,omitempty"`   // of the whole copy; 0 if it is unknown
}

// Horizon is a kv.Horizon that another process can use: its age needs no agreement of clocks.
type Horizon struct {
	Revision kv.Revision `json:"revision"`
	AgeMs    int64       `json:"age_ms"` // when the snapshot was taken, rounded up
}

// at returns the horizon in terms of this process's clock, for a snapshot that was taken at or after asked.
func (h *Horizon) at(asked time.Time) kv.Horizon {
	if h == nil {
		return kv.Horizon{}
	}
	return kv.Horizon{At: asked.Add(-time.Duration(h.AgeMs) * time.Millisecond), Revision: h.Revision}
}

// Mirror keeps a copy of the keys under one prefix. Run must be called once. Relist, Revision, Snapshot and Merge are safe for
// concurrent use.
type Mirror struct {
	store      kv.Store
	prefix     string
	apply      func(Change)
	follow     func() bool   // reports whether to list and watch the store
	allowStale bool          // the next listing may be some seconds old; only Run uses it
	listDelay  time.Duration // before the first listing
	watchDelay time.Duration // between the first listing and the first watch
	relist     chan struct{} // holds a request to end the watch and to list again
	awaitFirst func(context.Context)

	mu          sync.Mutex // guards the fields below; held while apply runs, so that changes are applied in order
	items       map[string]entry
	digest      uint64      // of the items, see digestOf
	revision    kv.Revision // of the newest listing, event or merged copy
	history     history
	awaiting    bool       // awaitFirst runs
	distrusted  bool       // a peer's changes did not lead to its copy, see applyDelta
	generation  uint64     // number of changes, also of the revision and the horizon
	horizon     kv.Horizon // the latest one
	failedSince time.Time  // when calls began to fail; zero while they succeed
	strayLogged bool       // a skipped key outside the prefix was logged

	// outage is how long the store was lost before the last watch ended in doubt, until the next listing; only Run uses it.
	outage time.Duration
}

// New returns a mirror that calls apply with each change, one at a time. The first change is the first listing, or a copy merged before it.
// apply must not call methods of the mirror.
func New(store kv.Store, prefix string, apply func(Change)) *Mirror {
	return &Mirror{store: store, prefix: prefix, apply: apply, follow: func() bool { return true }, relist: make(chan struct{}, 1), items: make(map[string]entry)}
}

// Relist ends the present watch and lists the keys again. It is meant for a watch that delivers no events although there are some. It does not
// block, and has no effect while the mirror does not follow the store.
func (m *Mirror) Relist() { wait.Wake(m.relist) }

// FollowWhile makes the mirror follow the store only while follow returns true; otherwise it keeps its copy, which Merge can update. It still lists
// once if it has no copy. Call it before Run.
func (m *Mirror) FollowWhile(follow func() bool) { m.follow = follow }

// AllowStaleFirstListing lets the first listing be some seconds old, which some stores serve more cheaply; see kv.AllowStale. The
// watch, or a peer's copy, adds the missing changes. Call it before Run.
func (m *Mirror) AllowStaleFirstListing() { m.allowStale = true }

// DelayFirstListing delays the first listing, so that it includes keys that other instances are about to write. Call it before Run.
func (m *Mirror) DelayFirstListing(d time.Duration) { m.listDelay = d }

// DelayFirstWatch delays the first watch after the first listing, until it is clear whether to follow the store. Call it before Run.
func (m *Mirror) DelayFirstWatch(d time.Duration) { m.watchDelay = d }

// AwaitFirstCopy makes Run call await before the first listing. Until await returns, Merge takes a peer's copy, which replaces the first listing unless
// the mirror follows the store after the delay of DelayFirstWatch. Call it before Run.
func (m *Mirror) AwaitFirstCopy(await func(context.Context)) { m.awaitFirst = await }

// Prefix returns the prefix of the mirrored keys.
func (m *Mirror) Prefix() string { return m.prefix }

// Revision returns the store's revision of the copy, or 0 if there is none yet.
func (m *Mirror) Revision() kv.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// CompleteAsOf returns a time such that the copy has all keys that were in the store before it, or the zero time if there is none.
func (m *Mirror) CompleteAsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.horizon.At
}

// Run lists and watches the prefix until ctx ends. Failed calls are retried with backoff.
func (m *Mirror) Run(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, "mirror")
	pause, watchDelay := minRetryDelay, m.watchDelay
	if m.listDelay > 0 {
		wait.For(ctx, m.listDelay)
	}
	if m.awaitCopy(ctx) {
		m.allowStale = false // a stale listing may be older than the copy
		wait.For(ctx, watchDelay)
		watchDelay = 0
	}
	for ctx.Err() == nil {
		if !m.follow() && m.hasCopy() {
			wait.For(ctx, followCheckInterval)
			continue
		}
		select {
		case <-m.relist: // the listing that follows serves this request
		default:
		}
		revision, err := m.list(ctx)
		if err == nil {
			pause = minRetryDelay
			delayed := watchDelay > 0 && wait.For(ctx, watchDelay)
			watchDelay = 0
			if delayed && !m.follow() {
				continue
			}
			err = m.watch(ctx, revision)
			for again := (*relistedError)(nil); errors.As(err, &again); {
				err = m.watch(ctx, again.revision)
			}
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errNotFollowing) || errors.Is(err, errRelist) {
			continue
		}
		if errors.Is(err, kv.ErrCompacted) {
			klog.InfoS("Store has compacted the history of a watch, listing again", "prefix", m.prefix)
			continue
		}
		m.recordFailure(err)
		wait.For(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetryDelay)
	}
}

// awaitCopy calls the function of AwaitFirstCopy, and reports whether there is a copy then.
func (m *Mirror) awaitCopy(ctx context.Context) bool {
	if m.awaitFirst == nil {
		return false
	}
	m.setAwaiting(true)
	m.awaitFirst(ctx)
	m.setAwaiting(false)
	return m.hasCopy()
}

func (m *Mirror) setAwaiting(awaiting bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.awaiting = awaiting
}

// hasCopy reports whether there is a copy.
func (m *Mirror) hasCopy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision > 0
}

// Snapshot returns a copy of the mirrored keys in no particular order.
func (m *Mirror) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.whole()
}

// Merge replaces the copy with a peer's, or applies a peer's changes to it, if that one is newer and this mirror does not follow the store or cannot
// reach it. It reports whether the copy changed. The peer must have taken the snapshot at or after asked, a time of this process.
func (m *Mirror) Merge(s Snapshot, asked time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failedSince.IsZero() && m.follow() && !m.awaiting || s.Revision <= m.revision {
		return false
	}
	if s.Since > m.revision {
		return false
	}
	klog.InfoS("Peer's copy is taken over", "prefix", m.prefix, "revision", s.Revision, "before", m.revision, "since", s.Since, "keys", len(s.Items),
		"removed", len(s.Removed))
	if s.Since > 0 {
		return m.applyDelta(s, s.Horizon.at(asked))
	}
	m.replace(s, s.Horizon.at(asked), false)
	return true
}

// Put adds newer values of keys, from a peer or another read of the store, also while the mirror follows the store. Unlike Merge it removes no key. The
// revision of the copy becomes that of the values, so that Put must only be used with mirrors of one key.
func (m *Mirror) Put(items []kv.KeyValue) {
	for _, item := range items {
		m.applyEvent(kv.WatchEvent{KeyValue: item})
	}
}

// recordFailure records that a call failed, and logs the first failure.
func (m *Mirror) recordFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failedSince.IsZero() {
		m.failedSince = time.Now()
		klog.ErrorS(err, "Store is lost, keeping what is known", "prefix", m.prefix, "keys", len(m.items), "revision", m.revision)
	}
}

// list replaces the copy with a listing of the store.
func (m *Mirror) list(ctx context.Context) (kv.Revision, error) {
	sent, stale := time.Now(), m.allowStale
	listing, err := m.listKeys(ctx)
	if err != nil {
		return 0, err
	}
	horizon := kv.Horizon{At: sent, Revision: listing.Revision}
	if stale {
		horizon = kv.Horizon{}
	}
	m.applyListing(listing, horizon)
	return listing.Revision, nil
}

// applyListing replaces the copy with a listing.
func (m *Mirror) applyListing(listing kv.Listing, horizon kv.Horizon) {
	m.mu.Lock()
	defer m.mu.Unlock()
	afterOutage := !m.failedSince.IsZero() && time.Since(m.failedSince) > minOutage || m.outage > minOutage
	m.outage = 0
	if !m.failedSince.IsZero() {
		klog.InfoS("Store is back", "prefix", m.prefix, "revision", listing.Revision, "outage_ms", time.Since(m.failedSince).Milliseconds())
		m.failedSince = time.Time{}
	}
	m.replace(Snapshot{Revision: listing.Revision, Items: listing.Items}, horizon, afterOutage)
}

// listKeys lists the keys. Only the first listing may be stale. A later stale one could bring removed keys back, or be so old that the store has
// compacted the history that a watch needs.
func (m *Mirror) listKeys(ctx context.Context) (kv.Listing, error) {
	if m.allowStale {
		m.allowStale = false
		ctx = kv.AllowStale(ctx)
	}
	return m.store.List(ctx, m.prefix)
}

// replace updates the copy to a newer one and applies the difference. The caller holds m.mu.
func (m *Mirror) replace(s Snapshot, horizon kv.Horizon, afterOutage bool) {
	change := Change{AfterOutage: afterOutage, Horizon: horizon}
	m.advanceHorizon(horizon)
	m.history.skipped(m.revision, s.Revision)
	seen := make(map[string]bool, len(s.Items))
	for _, item := range s.Items {
		if !m.covers(item.Key) {
			continue
		}
		seen[item.Key] = true
		if m.items[item.Key].ModRevision < item.ModRevision {
			m.set(item, s.Revision)
			change.Put = append(change.Put, item)
		}
	}
	for key, item := range m.items {
		if !seen[key] && item.ModRevision <= s.Revision {
			m.remove(key, s.Revision)
			change.Removed = append(change.Removed, key)
		}
	}
	m.revision = max(m.revision, s.Revision)
	m.distrusted = false
	m.generation++
	m.apply(change)
}

// covers reports whether a key is one of the mirrored keys, whose users rely on the prefix. It logs the first key that is not. The caller holds
// m.mu.
func (m *Mirror) covers(key string) bool {
	if strings.HasPrefix(key, m.prefix) {
		return true
	}
	if !m.strayLogged {
		m.strayLogged = true
		klog.InfoS("Key outside the mirrored prefix skipped, further ones are not logged", "prefix", m.prefix, "key", key)
	}
	return false
}

// relistedError ends a watch that was in doubt, when a listing has replaced the copy. The next watch starts at its revision.
type relistedError struct{ revision kv.Revision }

func (*relistedError) Error() string { return "listed again" }

// listResult is the result of a listing that was sent at a time.
type listResult struct {
	kv.Listing
	sent time.Time
	err  error
}

// startListing lists the keys in the background.
func (m *Mirror) startListing(ctx context.Context) <-chan listResult {
	listed := make(chan listResult, 1)
	go func() {
		sent := time.Now()
		listing, err := m.store.List(ctx, m.prefix)
		listed <- listResult{listing, sent, err}
	}()
	return listed
}

// watch applies the events after a revision until the watch fails, Relist is called, or the mirror is to stop following the store. A watch in doubt
// goes on until a listing succeeds: without it, the mirror would learn of nothing while the store refuses listings.
func (m *Mirror) watch(ctx context.Context, after kv.Revision) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := m.store.Watch(ctx, m.prefix, after)
	if err != nil {
		return err
	}
	var listed <-chan listResult // nil unless a listing runs
	var retry <-chan time.Time   // nil unless a listing failed
	pause := minRetryDelay
	for {
		select {
		case e, ok := <-events:
			if !ok {
				return ctx.Err()
			}
			if doubted := (*kv.DoubtedWatchError)(nil); errors.As(e.Err, &doubted) {
				klog.InfoS("Watch was open while store calls failed, listing again", "prefix", m.prefix, "outage_ms", doubted.Outage.Milliseconds())
				m.outage = max(m.outage, doubted.Outage)
				if !m.follow() {
					return errNotFollowing
				}
				if listed == nil && retry == nil {
					listed = m.startListing(ctx)
				}
				continue
			}
			if e.Err != nil {
				return e.Err
			}
			m.applyEvent(e)
			if !m.follow() {
				return errNotFollowing
			}
		case result := <-listed:
			if listed = nil; result.err == nil {
				m.applyListing(result.Listing, kv.Horizon{At: result.sent, Revision: result.Revision})
				return &relistedError{result.Revision}
			}
			retry = time.After(pause/2 + rand.N(pause))
			pause = min(2*pause, maxRetryDelay)
		case <-retry:
			if retry = nil; !m.follow() {
				return errNotFollowing
			}
			listed = m.startListing(ctx)
		case <-m.relist:
			return errRelist
		}
	}
}

// advanceHorizon keeps the latest horizon. The caller holds m.mu.
func (m *Mirror) advanceHorizon(h kv.Horizon) {
	if h.At.After(m.horizon.At) {
		m.horizon = h
	}
}

// applyEvent applies one event. Events that are not newer than the copy of their key are skipped, since a listing already included them.
func (m *Mirror) applyEvent(e kv.WatchEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := e.KeyValue.Key
	if !m.covers(key) {
		return
	}
	existing := m.items[key]
	if e.KeyValue.ModRevision <= existing.ModRevision {
		return
	}
	m.advanceHorizon(e.Horizon)
	m.generation++
	defer func() { m.revision = max(m.revision, e.KeyValue.ModRevision) }()
	if !e.Deleted {
		m.set(e.KeyValue, e.KeyValue.ModRevision)
		m.apply(Change{Put: []kv.KeyValue{e.KeyValue}, Horizon: e.Horizon})
		return
	}
	if m.remove(key, e.KeyValue.ModRevision) {
		m.apply(Change{Removed: []string{key}, Horizon: e.Horizon})
	}
}
