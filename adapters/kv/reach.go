package kv

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minWatchTime is how long a watch lasts at least before it reports a DoubtedWatchError, since every listing and watch that follow are billed. A
	// store that refuses some of the calls for long would otherwise cause a listing for every refusal.
	minWatchTime = 2 * time.Second
	// doubtSpread is the time over which the watches of all processes report the same fault. It delays changes that the watches missed,
	// of which instances have to learn within 4 s.
	doubtSpread = 300 * time.Millisecond
)

// DoubtedWatchError is an event of a watch that may miss changes, because calls failed or were not answered while it was open and the store answers
// again. List again. The watch stays open until then, since the listing may fail while the watch has changes.
type DoubtedWatchError struct {
	Outage time.Duration // for how long no call got through before the store answered again; 0 if others were answered meanwhile
}

// Error implements error.
func (e *DoubtedWatchError) Error() string {
	return fmt.Sprintf("watch was open while calls of the store failed, for %s without an answer", e.Outage)
}

// Reach is a Store that notes whether its calls get through, and reports watches that may miss changes because other calls did not. It is safe for
// concurrent use.
type Reach struct {
	Store

	mu         sync.Mutex    // guards the fields below; a leaf
	failed     time.Time     // of the first failure since the last success; zero while calls get through
	unanswered time.Time     // when the latest of the calls that failed was sent
	answered   time.Time     // when the latest of the calls that got through was sent
	outage     time.Duration // the longest time without a success since the last doubt
	doubt      doubt         // of the watches that were opened before the last fault ended
}

// doubt is a fault during which watches may have missed changes.
type doubt struct {
	before time.Time     // when the call was sent that showed the end of the fault
	outage time.Duration // as in DoubtedWatchError
	next   chan struct{} // closed when there is a later one
}

var _ Store = (*Reach)(nil)

// NewReach returns a store over another one.
func NewReach(store Store) *Reach {
	return &Reach{Store: store, doubt: doubt{next: make(chan struct{})}}
}

// Lost returns for how long no call got through, 0 while they do.
func (r *Reach) Lost() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed.IsZero() {
		return 0
	}
	return time.Since(r.failed)
}

// note takes the result of a call that was sent at a time and returns it. The store's word that a key, lease or revision does not exist is an answer.
func (r *Reach) note(ctx context.Context, sent time.Time, err error) error {
	through := !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrOutcomeUnknown)
	if !through && errors.Is(ctx.Err(), context.Canceled) {
		return err // the caller gave the call up
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if through {
		if !r.failed.IsZero() {
			r.outage = max(r.outage, time.Since(r.failed))
			r.failed = time.Time{}
		}
		r.answered = later(r.answered, sent)
	} else {
		if r.failed.IsZero() {
			r.failed = time.Now()
		}
		r.unanswered = later(r.unanswered, sent)
	}
	r.doubtWatches()
	return err
}

// doubtWatches puts the watches in doubt that were opened before the end of a fault, once a call that was sent after the last failed one got
// through. The caller holds r.mu.
func (r *Reach) doubtWatches() {
	if !r.unanswered.After(r.doubt.before) || !r.answered.After(r.unanswered) {
		return
	}
	close(r.doubt.next)
	r.doubt = doubt{before: r.answered, outage: r.outage, next: make(chan struct{})}
	r.outage = 0
}

// lastDoubt returns the last fault.
func (r *Reach) lastDoubt() doubt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doubt
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Watch implements Store. A store that was silent may hold the call of a watch for as long as a watch may last, although it answers all other calls
// again. So a watch that was open while calls failed reports a DoubtedWatchError soon after calls get through.
func (r *Reach) Watch(ctx context.Context, prefix string, after Revision) (<-chan WatchEvent, error) {
	opened := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	events, err := r.Store.Watch(ctx, prefix, after)
	if err != nil {
		cancel()
		return nil, err
	}
	out := make(chan WatchEvent)
	go func() {
		defer close(out)
		defer cancel()
		r.forward(ctx, opened, events, out)
	}()
	return out, nil
}

// forward forwards the events of a watch that was opened at a time until it ends, and reports once for each fault that it is in doubt.
func (r *Reach) forward(ctx context.Context, opened time.Time, events <-chan WatchEvent, out chan<- WatchEvent) {
	doubted := r.lastDoubt()
	var end <-chan time.Time // nil while the watch is not in doubt
	for {
		if end == nil && opened.Before(doubted.before) {
			end = time.After(max(0, minWatchTime-time.Since(opened)) + rand.N(doubtSpread))
		}
		select {
		case e, ok := <-events:
			if !ok || !sendEvent(ctx, out, e) {
				return
			}
		case <-doubted.next:
			doubted = r.lastDoubt()
		case <-end:
			if !sendEvent(ctx, out, WatchEvent{Err: &DoubtedWatchError{Outage: doubted.outage}}) {
				return
			}
			opened, end = time.Now(), nil // it is in doubt again after a later fault
		case <-ctx.Done():
			return
		}
	}
}

// sendEvent reports whether the event was received before ctx ended.
func sendEvent(ctx context.Context, out chan<- WatchEvent, e WatchEvent) bool {
	select {
	case out <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// Get implements Store.
func (r *Reach) Get(ctx context.Context, key string) (KeyValue, error) {
	sent := time.Now()
	found, err := r.Store.Get(ctx, key)
	return found, r.note(ctx, sent, err)
}

// List implements Store.
func (r *Reach) List(ctx context.Context, prefix string) (Listing, error) {
	sent := time.Now()
	listing, err := r.Store.List(ctx, prefix)
	return listing, r.note(ctx, sent, err)
}

// ListAfter implements Store.
func (r *Reach) ListAfter(ctx context.Context, prefix, after string) (Listing, error) {
	sent := time.Now()
	listing, err := r.Store.ListAfter(ctx, prefix, after)
	return listing, r.note(ctx, sent, err)
}

// Txn implements Store.
func (r *Reach) Txn(ctx context.Context, txn Txn) (TxnResult, error) {
	sent := time.Now()
	result, err := r.Store.Txn(ctx, txn)
	return result, r.note(ctx, sent, err)
}

// Grant implements Store.
func (r *Reach) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	sent := time.Now()
	lease, err := r.Store.Grant(ctx, ttl)
	return lease, r.note(ctx, sent, err)
}

// KeepAlive implements Store.
func (r *Reach) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	sent := time.Now()
	ttl, err := r.Store.KeepAlive(ctx, id)
	return ttl, r.note(ctx, sent, err)
}

// Revoke implements Store.
func (r *Reach) Revoke(ctx context.Context, id LeaseID) error {
	return r.note(ctx, time.Now(), r.Store.Revoke(ctx, id))
}
