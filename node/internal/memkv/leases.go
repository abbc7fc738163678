package memkv

import (
	"context"
	"maps"
	"slices"
	"time"

	"eelgrassproxy.example/adapters/kv"
)

// lease is a lease and the time at which it expires unless it is renewed.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Writes returns the number of transactions so far that wrote or deleted keys.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Grant implements kv.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return 0, err
	}
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return s.lastLease, nil
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(_ context.Context, id kv.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return 0, err
	}
	l, ok := s.leases[id]
	if !ok {
		return 0, kv.ErrLeaseGone
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	return l.ttl, nil
}

// Revoke implements kv.Store.
func (s *Store) Revoke(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return err
	}
	if !s.hasLease(id) {
		return kv.ErrLeaseGone
	}
	s.endLease(id)
	return nil
}

// hasLease reports whether a lease exists. The caller holds s.mu.
func (s *Store) hasLease(id kv.LeaseID) bool {
	_, ok := s.leases[id]
	return ok
}

// expire ends the leases that were not renewed in time. It runs at the start of each call of the store, so that no timer is needed.
// The caller holds s.mu.
func (s *Store) expire(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expires) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and its keys. The caller holds s.mu.
func (s *Store) endLease(id kv.LeaseID) {
	delete(s.leases, id)
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.write(kv.Op{Kind: kv.OpDelete, Key: key})
		}
	}
}
