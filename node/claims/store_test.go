package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/kv"
)

// memStore is an in-memory store with faults. Its calls take time, so that those of several instances interleave.
type memStore struct {
	kv.Store    // nil; provides the methods that claims do not use
	mu          sync.Mutex
	rng         *rand.Rand
	revision    kv.Revision
	items       map[string]kv.KeyValue
	outages     []window
	faults      float64 // share of transactions with a fault
	faultsEnded bool    // no more faults or outages
	started     time.Time
	ttls        []time.Duration // of granted leases
	failNext    bool            // the next transaction takes effect, then the store is unavailable for a second
}

type window struct{ from, to time.Duration }

// maxStoreLatency is the maximum time that a call takes in either direction.
const maxStoreLatency = 20 * time.Millisecond

func newMemStore(seed uint64) *memStore {
	return &memStore{rng: rand.New(rand.NewPCG(seed, 1)), items: map[string]kv.KeyValue{}, started: time.Now()}
}

func (s *memStore) drawCall() (requestDelay, responseDelay time.Duration, fault float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	requestDelay = time.Duration(s.rng.Int64N(int64(maxStoreLatency)))
	responseDelay = time.Duration(s.rng.Int64N(int64(maxStoreLatency)))
	fault = 1.0
	if !s.faultsEnded && s.faults > 0 {
		fault = s.rng.Float64() / s.faults
	}
	return requestDelay, responseDelay, fault
}

func (s *memStore) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.started)
	for _, w := range s.outages {
		if !s.faultsEnded && now >= w.from && now < w.to {
			return true
		}
	}
	return false
}

func (s *memStore) endFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsEnded = true
}

func (s *memStore) Get(_ context.Context, key string) (kv.KeyValue, error) {
	requestDelay, responseDelay, fault := s.drawCall()
	time.Sleep(requestDelay)
	if s.down() || fault < 0.5 {
		return kv.KeyValue{}, kv.ErrUnavailable
	}
	s.mu.Lock()
	found, ok := s.items[key]
	s.mu.Unlock()
	time.Sleep(responseDelay)
	if !ok {
		return kv.KeyValue{}, kv.ErrNotFound
	}
	return found, nil
}

// Txn fails in four ways: without an effect; with an effect but without a response; lost before it reaches the store; and
// delayed so that it takes effect after the failure was reported.
func (s *memStore) Txn(_ context.Context, t kv.Txn) (kv.TxnResult, error) {
	requestDelay, responseDelay, fault := s.drawCall()
	time.Sleep(requestDelay)
	switch {
	case s.down() || fault < 0.2:
		return kv.TxnResult{}, kv.ErrUnavailable
	case fault < 0.4:
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	case fault < 0.6:
		time.AfterFunc(200*responseDelay, func() { s.apply(t) })
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	}
	result := s.apply(t)
	if s.failNext {
		s.failNext = false
		now := time.Since(s.started)
		s.outages = append(s.outages, window{now, now + time.Second})
	}
	time.Sleep(responseDelay)
	if fault < 1 || s.down() {
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	}
	return result, nil
}

func (s *memStore) apply(t kv.Txn) kv.TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := kv.TxnResult{Succeeded: true}
	for _, compare := range t.Compares {
		item := s.items[compare.Key]
		property := item.ModRevision
		if compare.Target == kv.CompareCreateRevision {
			property = item.CreateRevision
		}
		result.Succeeded = result.Succeeded && property == compare.Revision
	}
	ops := t.Else
	if result.Succeeded {
		ops = t.Then
	}
	for _, op := range ops {
		if op.Kind == kv.OpGet {
			result.Gets = append(result.Gets, s.items[op.Key])
			continue
		}
		s.put(op)
	}
	result.Revision = s.revision
	return result
}

func (s *memStore) put(op kv.Op) {
	s.revision++
	item := s.items[op.Key]
	if item.CreateRevision == 0 {
		item.CreateRevision = s.revision
	}
	item.Key, item.Value, item.Lease, item.ModRevision = op.Key, op.Value, op.Lease, s.revision
	s.items[op.Key] = item
}

func (s *memStore) Grant(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	requestDelay, _, _ := s.drawCall()
	time.Sleep(requestDelay)
	if s.down() {
		return 0, kv.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ttls = append(s.ttls, ttl)
	return kv.LeaseID(len(s.ttls)), nil
}
