package claims

import (
	"context"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/claims"
)

const (
	// leaseReplacementAge is the age at which the shared lease is replaced by a new one.
	leaseReplacementAge = time.Hour
	// maxLeaseAge is the age up to which a lease remains in use if the store grants no new one. Claims written under such
	// a lease are kept for at least 24 h instead of 47 h.
	maxLeaseAge = 24 * time.Hour
)

// sharedLease is the lease to which the claims of this instance are attached. It is granted for the claims' retention of
// 48 h and never renewed. Every hour a new lease replaces it for later claims. So all claims of an hour expire together
// after 47 to 48 h, which costs one store call per hour, and no claim needs a delete or its own lease. The lease must not
// be revoked at shutdown, since this would delete the claims. sharedLease is safe for concurrent use.
type sharedLease struct {
	store *countingStore

	mu          sync.Mutex // guards id and requestedAt; not held during store calls
	id          kv.LeaseID
	requestedAt time.Time // when the grant was requested, so that the age is never underestimated
}

// current returns the lease for a write and grants a new one if the lease is missing or too old. Concurrent calls may each
// grant a lease; all but the last are used for one write and then expire.
func (l *sharedLease) current(ctx context.Context) (kv.LeaseID, error) {
	if id, ok := l.youngerThan(maxLeaseAge); ok {
		return id, nil
	}
	return l.grant(ctx)
}

// refresh replaces a lease that is older than an hour.
func (l *sharedLease) refresh(ctx context.Context) error {
	if _, ok := l.youngerThan(leaseReplacementAge); ok {
		return nil
	}
	_, err := l.grant(ctx)
	return err
}

// discard stops the use of a lease that no longer exists in the store.
func (l *sharedLease) discard(id kv.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}

// youngerThan returns the lease and reports whether there is one that is younger than age.
func (l *sharedLease) youngerThan(age time.Duration) (kv.LeaseID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.id != 0 && time.Since(l.requestedAt) < age
}

func (l *sharedLease) grant(ctx context.Context) (kv.LeaseID, error) {
	requestedAt := time.Now()
	id, err := l.store.grant(ctx, claims.Retention)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.requestedAt = id, requestedAt
	return id, nil
}
