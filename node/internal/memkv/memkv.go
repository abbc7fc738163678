// Package memkv provides an in-memory kv.Store with injected faults for tests.
package memkv

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/kv"
)

// Store is an in-memory kv.Store with revisions, leases and watches. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex // guards all fields
	items     map[string]kv.KeyValue
	revision  kv.Revision
	watches   map[chan kv.WatchEvent]string
	history   []kv.WatchEvent // all changes, oldest first
	down      bool
	calls     int
	writes    int
	leases    map[kv.LeaseID]lease
	lastLease kv.LeaseID // id of the last lease granted
	beforeTxn func(kv.Txn)
	afterTxn  func(kv.Txn) error
}

// New returns an empty store. Its revision starts above 0, so that a watch from the revision of an empty listing misses no change.
func New() *Store {
	return &Store{
		revision: 1,
		items:    map[string]kv.KeyValue{},
		watches:  map[chan kv.WatchEvent]string{},
		leases:   map[kv.LeaseID]lease{},
	}
}

// SetDown makes every call fail with kv.ErrUnavailable and ends the watches, or makes the store available again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		return
	}
	for ch := range s.watches {
		ch <- kv.WatchEvent{Err: kv.ErrUnavailable}
		close(ch)
		delete(s.watches, ch)
	}
}

// OnTxn sets functions that run before each transaction and after each successful one. An error of after replaces the response of a
// transaction that has taken effect. Both may be nil.
func (s *Store) OnTxn(before func(kv.Txn), after func(kv.Txn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeTxn, s.afterTxn = before, after
}

// Calls returns the number of calls so far, including failed ones. A watch counts as one call.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Delete removes a key without a new revision and without an event, as if all watches had missed it.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, key)
}

// beginCall counts a call and ends the leases that have expired. It returns kv.ErrUnavailable if the store is down. The caller holds
// s.mu.
func (s *Store) beginCall() error {
	s.calls++
	s.expire(time.Now())
	if s.down {
		return kv.ErrUnavailable
	}
	return nil
}

// Get implements kv.Store.
func (s *Store) Get(_ context.Context, key string) (kv.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return kv.KeyValue{}, err
	}
	item, ok := s.items[key]
	if !ok {
		return kv.KeyValue{}, kv.ErrNotFound
	}
	return item, nil
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) (kv.Listing, error) {
	return s.ListAfter(ctx, prefix, "")
}

// ListAfter implements kv.Store.
func (s *Store) ListAfter(ctx context.Context, prefix, after string) (kv.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return kv.Listing{}, err
	}
	listing := kv.Listing{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			listing.Items = append(listing.Items, item)
		}
	}
	slices.SortFunc(listing.Items, func(a, b kv.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
	if kv.IsOnePage(ctx) {
		cutPage(&listing)
	}
	return listing, nil
}

// maxPageBytes bounds the values of a page that has several items, as the platform's store does.
const maxPageBytes = 1 << 20

// cutPage reduces a listing to its first page.
func cutPage(listing *kv.Listing) {
	size := 0
	for i, item := range listing.Items {
		if size += len(item.Value); i > 0 && size > maxPageBytes {
			listing.Items, listing.More = listing.Items[:i], true
			return
		}
	}
}

// Txn implements kv.Store.
func (s *Store) Txn(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.mu.Lock()
	before, after := s.beforeTxn, s.afterTxn
	s.mu.Unlock()
	if before != nil {
		before(txn)
	}
	result, err := s.apply(txn)
	if err == nil && after != nil {
		err = after(txn)
	}
	return result, err
}

// apply runs a transaction.
func (s *Store) apply(txn kv.Txn) (kv.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return kv.TxnResult{}, err
	}
	result := kv.TxnResult{Succeeded: true}
	for _, c := range txn.Compares {
		result.Succeeded = result.Succeeded && s.holds(c)
	}
	ops := txn.Then
	if !result.Succeeded {
		ops = txn.Else
	}
	if slices.ContainsFunc(ops, func(op kv.Op) bool { return op.Lease != 0 && !s.hasLease(op.Lease) }) {
		return kv.TxnResult{}, kv.ErrLeaseGone
	}
	if slices.ContainsFunc(ops, func(op kv.Op) bool { return op.Kind != kv.OpGet }) {
		s.revision++
		s.writes++
	}
	for _, op := range ops {
		if op.Kind == kv.OpGet {
			result.Gets = append(result.Gets, s.items[op.Key])
			continue
		}
		s.write(op)
	}
	result.Revision = s.revision
	return result, nil
}

// holds reports whether a comparison holds. The caller holds s.mu.
func (s *Store) holds(c kv.Compare) bool {
	item := s.items[c.Key]
	switch c.Target {
	case kv.CompareCreateRevision:
		return item.CreateRevision == c.Revision
	case kv.CompareModRevision:
		return item.ModRevision == c.Revision
	}
	return bytes.Equal(item.Value, c.Value)
}

// write applies a put or delete and sends the event to the watches. The caller holds s.mu.
func (s *Store) write(op kv.Op) {
	item := s.items[op.Key]
	if item.CreateRevision == 0 {
		item = kv.KeyValue{Key: op.Key, CreateRevision: s.revision}
	}
	item.Value, item.ModRevision, item.Lease = op.Value, s.revision, op.Lease
	s.items[op.Key] = item
	if op.Kind == kv.OpDelete {
		delete(s.items, op.Key)
	}
	event := kv.WatchEvent{KeyValue: item, Deleted: op.Kind == kv.OpDelete, Horizon: kv.Horizon{At: time.Now(), Revision: s.revision}}
	s.history = append(s.history, event)
	for ch, prefix := range s.watches {
		if strings.HasPrefix(op.Key, prefix) {
			ch <- event
		}
	}
}

// Watch implements kv.Store. With after 0, it streams the changes after the call.
func (s *Store) Watch(ctx context.Context, prefix string, after kv.Revision) (<-chan kv.WatchEvent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return nil, err
	}
	ch := make(chan kv.WatchEvent, 1024)
	s.watches[ch] = prefix
	for _, event := range s.history {
		if after > 0 && event.KeyValue.ModRevision > after && strings.HasPrefix(event.KeyValue.Key, prefix) {
			ch <- event
		}
	}
	context.AfterFunc(ctx, func() { s.endWatch(ch) })
	return unbuffered(ctx, ch), nil
}

// unbuffered forwards the events through an unbuffered channel, as the client of the real store does, so that no event is ready before
// its receiver waits for it.
func unbuffered(ctx context.Context, events <-chan kv.WatchEvent) <-chan kv.WatchEvent {
	out := make(chan kv.WatchEvent)
	go func() {
		defer close(out)
		for event := range events {
			select {
			case out <- event:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// endWatch closes the channel of a watch and removes it, unless the watch has already ended.
func (s *Store) endWatch(ch chan kv.WatchEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.watches[ch]; open {
		close(ch)
		delete(s.watches, ch)
	}
}
