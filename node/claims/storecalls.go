package claims

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/claims"
	"github.com/rotisserie/eris"
)

// revision is the modification revision of a claim's key; 0 means that the key does not exist.
type revision = kv.Revision

// storedClaim is the state of a claim's key in the store. record is nil if the key does not exist.
type storedClaim struct {
	record   *claims.Record
	revision revision
}

// StoreCalls is the number of store calls of a Claimer, by kind.
type StoreCalls struct {
	Writes int64 // transactions
	Reads  int64
	Leases int64 // lease grants
}

// StoreCalls returns the number of store calls made so far.
func (c *Claimer) StoreCalls() StoreCalls {
	return StoreCalls{Writes: c.store.writes.Load(), Reads: c.store.reads.Load(), Leases: c.store.leases.Load()}
}

// countingStore passes calls to the store and counts them.
type countingStore struct {
	store                 kv.Store
	writes, reads, leases atomic.Int64
}

func (s *countingStore) get(ctx context.Context, key string) (kv.KeyValue, error) {
	s.reads.Add(1)
	return s.store.Get(ctx, key)
}

func (s *countingStore) txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	s.writes.Add(1)
	return s.store.Txn(ctx, t)
}

func (s *countingStore) grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.leases.Add(1)
	return s.store.Grant(ctx, ttl)
}

// read returns the state of the key's claim.
func (c *Claimer) read(ctx context.Context, key string) (storedClaim, error) {
	found, err := c.store.get(ctx, storePrefix+key)
	if errors.Is(err, kv.ErrNotFound) {
		return storedClaim{}, nil
	}
	if err != nil {
		return storedClaim{}, err
	}
	return decode(found)
}

// compareAndSwap writes the record if the key still has the base revision, and returns the state of the key afterwards:
// the record written, or the record of another writer. The caller distinguishes them by the token.
func (c *Claimer) compareAndSwap(ctx context.Context, key string, base revision, r claims.Record) (storedClaim, error) {
	value, err := r.Encode()
	if err != nil {
		return storedClaim{}, fmt.Errorf("%w: %v", kv.ErrUnavailable, err)
	}
	lease, err := c.lease.current(ctx)
	if err != nil {
		return storedClaim{}, eris.Wrapf(kv.ErrUnavailable, "grant the claims' lease: %v", err)
	}
	name := storePrefix + key
	result, err := c.store.txn(ctx, kv.Txn{
		Compares: []kv.Compare{compareRevision(name, base)},
		Then:     []kv.Op{{Kind: kv.OpPut, Key: name, Value: value, Lease: lease}},
		Else:     []kv.Op{{Kind: kv.OpGet, Key: name}},
	})
	if errors.Is(err, kv.ErrLeaseGone) {
		c.lease.discard(lease)
	}
	if err != nil {
		return storedClaim{}, err
	}
	if result.Succeeded {
		return storedClaim{record: &r, revision: result.Revision}, nil
	}
	if len(result.Gets) != 1 {
		return storedClaim{}, eris.Wrap(kv.ErrOutcomeUnknown, "response of the store lacks the key that was read")
	}
	return decode(result.Gets[0])
}

// compareRevision returns a comparison that succeeds while the key has the base revision.
func compareRevision(name string, base revision) kv.Compare {
	if base == 0 {
		return kv.Compare{Key: name, Target: kv.CompareCreateRevision}
	}
	return kv.Compare{Key: name, Target: kv.CompareModRevision, Revision: base}
}

func decode(found kv.KeyValue) (storedClaim, error) {
	if found.CreateRevision == 0 {
		return storedClaim{}, nil
	}
	record, err := claims.Decode(found.Value)
	if err != nil {
		return storedClaim{}, err
	}
	return storedClaim{record: &record, revision: found.ModRevision}, nil
}
