package batch_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	core "eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/node/batch"
	"github.com/stretchr/testify/require"
)

func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCapacityRunner reports store writes and processor time per item, from submission to the end of the job.
func BenchmarkCapacityRunner(b *testing.B) {
	for _, repeatable := range []bool{true, false} {
		for _, items := range []int{1_300, 10_000, core.MaxItems} {
			b.Run(fmt.Sprintf("repeatable=%t/items=%d", repeatable, items), func(b *testing.B) {
				for b.Loop() {
					s := newTestRunner(b, completeImmediately, batch.Config{})
					writes, started := s.store.Writes(), processorTime(b)
					s.runUntilEnded(b, caller, s.submit(b, caller, "job", items, repeatable), time.Millisecond)
					b.ReportMetric(float64(s.store.Writes()-writes)/float64(items), "writes/item")
					b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(items), "cpu-us/item")
					s.stop()
				}
			})
		}
	}
}

// BenchmarkCapacityOpenItems reports the memory of open items that are not started. Blobs do not count.
func BenchmarkCapacityOpenItems(b *testing.B) {
	for _, items := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			for b.Loop() {
				var open atomic.Bool
				s := newTestRunner(b, func(ctx context.Context, item batch.Item) batch.ItemOutcome {
					for !open.Load() && ctx.Err() == nil {
						time.Sleep(time.Millisecond)
					}
					return batch.ItemOutcome{Kind: core.AttemptUnknown}
				}, batch.Config{Workers: 1})
				s.bulk.discard = true
				const perJob = 10_000
				for n := range items / perJob {
					s.submit(b, caller, fmt.Sprint("job", n), perJob, true)
				}
				before := heapBytes()
				_ = s.runner.Reconcile(b.Context())
				b.ReportMetric(float64(heapBytes()-before)/1024, "KiB-open")
				open.Store(true)
				s.stop()
			}
		})
	}
}

// BenchmarkCapacityReconcile reports the store calls and processor time of a pass over all 256 shards when nothing has changed.
func BenchmarkCapacityReconcile(b *testing.B) {
	for _, jobs := range []int{10, 100, 1_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			s := newTestRunner(b, completeImmediately, batch.Config{Workers: 1})
			s.stop()
			for n := range jobs {
				s.submit(b, caller, fmt.Sprint("job", n), 1_300, true)
			}
			require.NoError(b, s.runner.Reconcile(b.Context()))
			calls, started := s.store.Calls(), processorTime(b)
			for b.Loop() {
				require.NoError(b, s.runner.Reconcile(b.Context()))
			}
			b.ReportMetric(float64(s.store.Calls()-calls)/float64(b.N), "calls/pass")
			b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(b.N), "cpu-us/pass")
		})
	}
}
