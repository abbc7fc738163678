package claims

import (
	"context"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/claims"
)

const (
	// regrantAfter is the age at which the shared lease is replaced by a new one.
	regrantAfter = time.Hour
	// oldestLease is the age up to which a lease serves on while the store grants no new one. Claims written under it
	// then stay for at least 24 h instead of 47 h.
	oldestLease = 24 * time.Hour
)

// sharedLease is the lease that the claims of this instance are written under. It is granted for the claims' retention
// of 48 h and never renewed; each hour a new one takes its place for the claims written from then on. All claims of an
// hour thus expire together after 47 to 48 h, at the cost of one call an hour, and no claim needs a delete or a lease
// of its own. The lease must not be revoked at shutdown: that would delete the claims.
type sharedLease struct {
	store *countingStore

	mu    sync.Mutex // guards id and asked; not held across I/O
	id    kv.LeaseID
	asked time.Time // before the grant was sent, so that the age is never underestimated
}

// current returns the lease for a write and grants one if there is none that is young enough. Concurrent first writes
// may each grant one; all but the last are used once and expire unnoticed.
func (l *sharedLease) current(ctx context.Context) (kv.LeaseID, error) {
	if id, ok := l.within(oldestLease); ok {
		return id, nil
	}
	return l.grant(ctx)
}

// refresh replaces a lease older than an hour.
func (l *sharedLease) refresh(ctx context.Context) error {
	if _, ok := l.within(regrantAfter); ok {
		return nil
	}
	_, err := l.grant(ctx)
	return err
}

// drop forgets a lease that the store no longer knows.
func (l *sharedLease) drop(id kv.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}

func (l *sharedLease) within(age time.Duration) (kv.LeaseID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.id != 0 && time.Since(l.asked) < age
}

func (l *sharedLease) grant(ctx context.Context) (kv.LeaseID, error) {
	asked := time.Now()
	id, err := l.store.grant(ctx, claims.Retention)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.asked = id, asked
	return id, nil
}
