package blackboard

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/require"
)

func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func capacityTargets(n int) []TargetEntry {
	entries := make([]TargetEntry, n)
	for i := range entries {
		entries[i] = TargetEntry{
			Target: fleet.Target{
				ID: fleet.TargetID(fmt.Sprintf("target-%04d", i)), Kind: fleet.KindEngine, State: fleet.TargetLive,
				Address: fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256), FailureDomain: fleet.FailureDomain(fmt.Sprintf("domain-%d", i%9)),
			},
			Models: []fleet.LoadedModel{{Model: fmt.Sprintf("model-%d", i%5), Version: "1", Adapters: []string{"safety", "quotes"}}},
			Role:   "any",
		}
	}
	return entries
}

// BenchmarkCapacityTargets reports the memory of the target table and the processor time of one change, which stores a new snapshot of
// the whole table.
func BenchmarkCapacityTargets(b *testing.B) {
	for _, n := range []int{12, 400, 3_900} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			before := heapBytes()
			board := New()
			board.Targets.Update(capacityTargets(n), nil)
			tableBytes := heapBytes() - before
			role := 0
			b.ReportAllocs()
			started := processorTime(b)
			for b.Loop() {
				role++
				board.Targets.Change("target-0007", func(e *TargetEntry) bool {
					e.Role = []string{"any", "decode"}[role%2]
					return true
				})
			}
			b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(tableBytes)/1024, "table-KiB")
			runtime.KeepAlive(board)
		})
	}
}
