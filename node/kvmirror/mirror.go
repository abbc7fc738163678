// Package kvmirror keeps a copy of the keys under a prefix of the store and tells its owner of each change.
package kvmirror

import (
	"context"
	"errors"
	"math/rand/v2"
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

// Change is what an Owner is told.
type Change struct {
	Put     []kv.KeyValue
	Removed []string
	// AfterOutage tells that the removals come from the first listing after an outage of the store, during which leases may have run out.
	AfterOutage bool
}

// Mirror follows one prefix. Run it once.
type Mirror struct {
	store  kv.Store
	prefix string
	apply  func(Change)
	items  map[string]kv.Revision
	failed time.Time // since when calls fail; zero while they succeed
}

// New returns a mirror that calls apply, from one goroutine, with each change, beginning with the first listing.
func New(store kv.Store, prefix string, apply func(Change)) *Mirror {
	return &Mirror{store: store, prefix: prefix, apply: apply, items: make(map[string]kv.Revision)}
}

// Run lists and watches until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, "mirror")
	pause := firstRetry
	for ctx.Err() == nil {
		revision, err := m.list(ctx)
		if err == nil {
			pause = firstRetry
			err = m.watch(ctx, revision)
		}
		if errors.Is(err, kv.ErrCompacted) || ctx.Err() != nil {
			klog.InfoS("Store dropped the history of a watch, listing again", "prefix", m.prefix)
			continue
		}
		m.lost(err)
		wait.For(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, lastRetry)
	}
}

func (m *Mirror) lost(err error) {
	if m.failed.IsZero() {
		m.failed = time.Now()
		klog.ErrorS(err, "Store is lost, keeping what is known", "prefix", m.prefix, "keys", len(m.items))
	}
}

// list replaces the copy.
func (m *Mirror) list(ctx context.Context) (kv.Revision, error) {
	listing, err := m.store.List(ctx, m.prefix)
	if err != nil {
		return 0, err
	}
	change := Change{AfterOutage: !m.failed.IsZero() && time.Since(m.failed) > outageAfter}
	if !m.failed.IsZero() {
		klog.InfoS("Store is back", "prefix", m.prefix, "revision", listing.Revision, "outage_ms", time.Since(m.failed).Milliseconds())
		m.failed = time.Time{}
	}
	seen := make(map[string]bool, len(listing.Items))
	for _, item := range listing.Items {
		seen[item.Key] = true
		if m.items[item.Key] != item.ModRevision {
			m.items[item.Key] = item.ModRevision
			change.Put = append(change.Put, item)
		}
	}
	for key := range m.items {
		if !seen[key] {
			delete(m.items, key)
			change.Removed = append(change.Removed, key)
		}
	}
	m.apply(change)
	return listing.Revision, nil
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
	}
	return ctx.Err()
}

// event applies one change. An event that is not newer than the copy repeats what a listing showed.
func (m *Mirror) event(e kv.WatchEvent) {
	known := m.items[e.KeyValue.Key]
	if e.KeyValue.ModRevision <= known {
		return
	}
	if e.Deleted {
		if known == 0 {
			return
		}
		delete(m.items, e.KeyValue.Key)
		m.apply(Change{Removed: []string{e.KeyValue.Key}})
		return
	}
	m.items[e.KeyValue.Key] = e.KeyValue.ModRevision
	m.apply(Change{Put: []kv.KeyValue{e.KeyValue}})
}
