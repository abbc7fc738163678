package batch_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/node/internal/memkv"
)

// link is the store as used by one instance, with injected faults.
type link struct {
	*memkv.Store
	cluster *cluster

	mu           sync.Mutex // guards the fields below
	wake         *sync.Cond
	paused       bool
	disconnected bool
	pauseWrite   time.Duration // pause before the next chunk write, after the instance has checked its lease
	loseBefore   int           // number of transactions to lose before they take effect
	loseAfter    int           // number of transactions whose response to lose
	refuseFirst  int           // number of transactions to refuse as unavailable
}

// callTime is the duration of each store call.
const callTime = 20 * time.Millisecond

// gate blocks while the instance is paused.
func (l *link) gate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.paused && !l.disconnected {
		l.wake.Wait()
	}
}

func (l *link) pause(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused || l.disconnected {
		return
	}
	l.paused = true
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.paused = false
		l.wake.Broadcast()
	})
}

func (l *link) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = true
	l.wake.Broadcast()
}

func (l *link) isDisconnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.disconnected
}

// beginCall delays a store call and blocks while the instance is paused. It returns an error if the instance is lost.
func (l *link) beginCall() error {
	time.Sleep(callTime)
	l.gate()
	if l.isDisconnected() {
		return kv.ErrUnavailable
	}
	return nil
}

func (l *link) Get(ctx context.Context, key string) (kv.KeyValue, error) {
	if err := l.beginCall(); err != nil {
		return kv.KeyValue{}, err
	}
	return l.Store.Get(ctx, key)
}

func (l *link) List(ctx context.Context, prefix string) (kv.Listing, error) {
	if err := l.beginCall(); err != nil {
		return kv.Listing{}, err
	}
	return l.Store.List(ctx, prefix)
}

func (l *link) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	if err := l.beginCall(); err != nil {
		return 0, err
	}
	return l.Store.KeepAlive(ctx, id)
}

// Txn implements kv.Store with the injected faults and checks each chunk record that takes effect.
func (l *link) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if isChunkWrite(txn) {
		l.mu.Lock()
		d := l.pauseWrite
		l.pauseWrite = 0
		l.mu.Unlock()
		if d > 0 {
			l.pause(d)
		}
	}
	if err := l.beginCall(); err != nil {
		return kv.TxnResult{}, err
	}
	l.mu.Lock()
	refuse, before, after := takeFault(&l.refuseFirst), takeFault(&l.loseBefore), takeFault(&l.loseAfter)
	l.mu.Unlock()
	if refuse {
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	if before {
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	}
	result, err := l.cluster.apply(ctx, txn)
	if after && err == nil {
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	}
	return result, err
}

func takeFault(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func isChunkWrite(txn kv.Txn) bool {
	return len(txn.Then) > 0 && txn.Then[0].Kind == kv.OpPut && strings.Contains(txn.Then[0].Key, "/chunks/")
}
