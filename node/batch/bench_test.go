package batch_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"eelgrassproxy.example/adapters/kv"
	core "eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/node/batch"
)

// BenchmarkRunner reports the items per second of one runner with an executor that returns immediately and an in-memory store and bulk
// storage.
func BenchmarkRunner(b *testing.B) {
	const items = 100_000
	for b.Loop() {
		s := newTestRunner(b, completeImmediately, batch.Config{})
		id := s.submit(b, caller, "job", items, true)
		started := time.Now()
		s.runUntilEnded(b, caller, id, time.Millisecond)
		b.ReportMetric(items/time.Since(started).Seconds(), "items/s")
		s.stop()
	}
}

// BenchmarkHeld reports the memory of a runner for 100,000 items of ten jobs: open items that are not started, and finished chunks that
// wait for the store. Blobs do not count.
func BenchmarkHeld(b *testing.B) {
	const items = 100_000
	for b.Loop() {
		var open atomic.Bool
		s := newTestRunner(b, func(ctx context.Context, item batch.Item) batch.ItemOutcome {
			for !open.Load() {
				time.Sleep(time.Millisecond)
			}
			return completeImmediately(ctx, item)
		}, batch.Config{Workers: 1})
		for n := range 10 {
			s.submit(b, caller, fmt.Sprint("job", n), items/10, true)
		}
		s.bulk.discard = true
		before := heapBytes()
		_ = s.runner.Reconcile(b.Context())
		b.ReportMetric(float64(heapBytes()-before)/1024, "KiB-open")
		s.store.OnTxn(nil, func(kv.Txn) error { return kv.ErrOutcomeUnknown })
		open.Store(true)
		for s.store.Writes() < core.Shards+10+400 {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric(float64(heapBytes()-before)/1024, "KiB-open-and-held")
		s.stop()
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
