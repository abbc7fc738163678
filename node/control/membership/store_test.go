package membership

import (
	"context"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/kv"
)

// fakeStore implements the part of kv.Store that the Registrar uses: leases that expire, and transactions with one comparison.
type fakeStore struct {
	kv.Store
	mu       sync.Mutex
	down     bool
	revision kv.Revision
	leases   map[kv.LeaseID]time.Time
	items    map[string]kv.KeyValue
}

func newFakeStore() *fakeStore {
	return &fakeStore{leases: map[kv.LeaseID]time.Time{}, items: map[string]kv.KeyValue{}}
}

// lock locks mu and removes expired leases. It returns an error while the store is down; mu is locked in either case.
func (s *fakeStore) lock() error {
	s.mu.Lock()
	for id, until := range s.leases {
		if time.Now().After(until) {
			s.drop(id)
		}
	}
	if s.down {
		return kv.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) drop(id kv.LeaseID) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			delete(s.items, key)
		}
	}
}

func (s *fakeStore) setDown(down bool) {
	_ = s.lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) keys() (keys []string) {
	_ = s.lock()
	defer s.mu.Unlock()
	for key := range s.items {
		keys = append(keys, key)
	}
	return keys
}

func (s *fakeStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	err := s.lock()
	defer s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	s.revision++
	id := kv.LeaseID(s.revision)
	s.leases[id] = time.Now().Add(ttl)
	return id, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, id kv.LeaseID) (time.Duration, error) {
	err := s.lock()
	defer s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if _, ok := s.leases[id]; !ok {
		return 0, kv.ErrLeaseGone
	}
	s.leases[id] = time.Now().Add(RecordTTL)
	return RecordTTL, nil
}

func (s *fakeStore) Revoke(_ context.Context, id kv.LeaseID) error {
	err := s.lock()
	defer s.mu.Unlock()
	if err == nil {
		s.drop(id)
	}
	return err
}

func (s *fakeStore) List(context.Context, string) (kv.Listing, error) {
	err := s.lock()
	defer s.mu.Unlock()
	listing := kv.Listing{Revision: s.revision}
	for _, item := range s.items {
		listing.Items = append(listing.Items, item)
	}
	return listing, err
}

func (s *fakeStore) Txn(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	err := s.lock()
	defer s.mu.Unlock()
	if err != nil {
		return kv.TxnResult{}, err
	}
	compare, put := txn.Compares[0], txn.Then[0]
	current := s.items[compare.Key]
	if current.ModRevision != compare.Revision {
		return kv.TxnResult{Revision: s.revision, Gets: []kv.KeyValue{current}}, nil
	}
	s.revision++
	s.items[put.Key] = kv.KeyValue{Key: put.Key, Value: put.Value, CreateRevision: s.revision, ModRevision: s.revision, Lease: put.Lease}
	return kv.TxnResult{Succeeded: true, Revision: s.revision}, nil
}
