// Package kvmirror keeps a copy of the keys under a prefix of the store and tells its owner of each change. While the store is out of
// reach, the copy can be brought forward from that of a peer.
package kvmirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// firstRetry and lastRetry bound the pause after a failed call. The last one keeps what is missed after an outage within a second.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// outageAfter is how long calls fail before a listing counts as the first one after an outage.
	outageAfter = 500 * time.Millisecond
)

// followCheck is how often a mirror that does not ask the store looks whether it should.
const followCheck = 200 * time.Millisecond

// errNotFollowing ends a watch of a mirror that is to live on the copies of peers.
var errNotFollowing = errors.New("not following the store")

// Change is what an owner is told.
type Change struct {
	Put     []kv.KeyValue
	Removed []string
	// AfterOutage tells that the removals come from the first listing after an outage of the store, during which leases may have run out.
	AfterOutage bool
}

// Snapshot is a copy as of a revision of the store.
type Snapshot struct {
	Revision kv.Revision   `json:"revision"`
	Items    []kv.KeyValue `json:"items"`
}

// Mirror follows one prefix. Run it once; the other methods are safe for concurrent use.
type Mirror struct {
	store  kv.Store
	prefix string
	apply  func(Change)
	follow func() bool   // whether the store is asked at all
	stale  bool          // the first listing may be some seconds old
	delay  time.Duration // before the first listing
	settle time.Duration // between the first listing and the first watch

	mu       sync.Mutex // guards the fields below, and is held while apply runs, so that changes arrive in order
	items    map[string]kv.KeyValue
	revision kv.Revision // of the newest listing or event
	failed   time.Time   // since when calls fail; zero while they succeed
}

// New returns a mirror that calls apply with each change, one at a time, beginning with the first listing. apply must not call the mirror.
func New(store kv.Store, prefix string, apply func(Change)) *Mirror {
	return &Mirror{store: store, prefix: prefix, apply: apply, follow: func() bool { return true }, items: make(map[string]kv.KeyValue)}
}

// OnlyIf lets the mirror ask the store only while follow returns true; otherwise it lives on the copies of peers. Call it before Run.
func (m *Mirror) OnlyIf(follow func() bool) { m.follow = follow }

// AllowStale lets the first listing be some seconds old, which costs less; the watch, or a peer's copy, makes good what it lacks. Call it before
// Run.
func (m *Mirror) AllowStale() { m.stale = true }

// Delay lets the first listing wait for what others are about to write. Call it before Run.
func (m *Mirror) Delay(d time.Duration) { m.delay = d }

// Settle lets the first watch begin some time after the first listing, when it is clear whether to follow. Call it before Run.
func (m *Mirror) Settle(d time.Duration) { m.settle = d }

// Revision returns the revision of the copy.
func (m *Mirror) Revision() kv.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Run lists and watches until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, "mirror")
	pause, settle := firstRetry, m.settle
	if m.delay > 0 {
		wait.For(ctx, m.delay)
	}
	for ctx.Err() == nil {
		if !m.follow() && m.known() {
			wait.For(ctx, followCheck)
			continue
		}
		revision, err := m.list(ctx)
		if err == nil {
			pause = firstRetry
			settled := settle > 0 && wait.For(ctx, settle)
			settle = 0
			if settled && !m.follow() {
				continue
			}
			err = m.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errNotFollowing) {
			continue
		}
		if errors.Is(err, kv.ErrCompacted) {
			klog.InfoS("Store dropped the history of a watch, listing again", "prefix", m.prefix)
			continue
		}
		m.lost(err)
		wait.For(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, lastRetry)
	}
}

// known tells whether there is a copy.
func (m *Mirror) known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision > 0
}

// Snapshot returns the copy.
func (m *Mirror) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Snapshot{Revision: m.revision, Items: make([]kv.KeyValue, 0, len(m.items))}
	for _, item := range m.items {
		s.Items = append(s.Items, item)
	}
	return s
}

// Merge takes over a peer's copy if it is newer and the store is out of reach. It returns whether it was taken.
func (m *Mirror) Merge(s Snapshot) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failed.IsZero() && m.follow() || s.Revision <= m.revision {
		return false
	}
	klog.InfoS("Peer's copy is taken over", "prefix", m.prefix, "revision", s.Revision, "before", m.revision, "keys", len(s.Items))
	m.replace(s, false)
	return true
}

func (m *Mirror) lost(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failed.IsZero() {
		m.failed = time.Now()
		klog.ErrorS(err, "Store is lost, keeping what is known", "prefix", m.prefix, "keys", len(m.items), "revision", m.revision)
	}
}

// list replaces the copy by the store's.
func (m *Mirror) list(ctx context.Context) (kv.Revision, error) {
	listing, err := m.read(ctx)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	afterOutage := !m.failed.IsZero() && time.Since(m.failed) > outageAfter
	if !m.failed.IsZero() {
		klog.InfoS("Store is back", "prefix", m.prefix, "revision", listing.Revision, "outage_ms", time.Since(m.failed).Milliseconds())
		m.failed = time.Time{}
	}
	m.replace(Snapshot{Revision: listing.Revision, Items: listing.Items}, afterOutage)
	return listing.Revision, nil
}

// read lists the keys. Only the first listing may be stale: a later one would bring removed keys back, or begin where the store has dropped the
// history.
func (m *Mirror) read(ctx context.Context) (kv.Listing, error) {
	if m.stale {
		m.stale = false
		ctx = kv.AllowStale(ctx)
	}
	return m.store.List(ctx, m.prefix)
}

// replace makes the copy equal to a newer one; m.mu is held.
func (m *Mirror) replace(s Snapshot, afterOutage bool) {
	change := Change{AfterOutage: afterOutage}
	seen := make(map[string]bool, len(s.Items))
	for _, item := range s.Items {
		seen[item.Key] = true
		if m.items[item.Key].ModRevision < item.ModRevision {
			m.items[item.Key] = item
			change.Put = append(change.Put, item)
		}
	}
	for key, item := range m.items {
		if !seen[key] && item.ModRevision <= s.Revision {
			delete(m.items, key)
			change.Removed = append(change.Removed, key)
		}
	}
	m.revision = max(m.revision, s.Revision)
	m.apply(change)
}

// watch applies events until the watch fails.
func (m *Mirror) watch(ctx context.Context, after kv.Revision) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := m.store.Watch(ctx, m.prefix, after)
	if err != nil {
		return err
	}
	for e := range events {
		if e.Err != nil {
			return e.Err
		}
		m.event(e)
		if !m.follow() {
			return errNotFollowing
		}
	}
	return ctx.Err()
}

// event applies one change. An event that is not newer than the copy repeats what a listing showed.
func (m *Mirror) event(e kv.WatchEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := e.KeyValue.Key
	known, exists := m.items[key]
	if e.KeyValue.ModRevision <= known.ModRevision {
		return
	}
	m.revision = max(m.revision, e.KeyValue.ModRevision)
	if !e.Deleted {
		m.items[key] = e.KeyValue
		m.apply(Change{Put: []kv.KeyValue{e.KeyValue}})
		return
	}
	if exists {
		delete(m.items, key)
		m.apply(Change{Removed: []string{key}})
	}
}
