package pools

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/request"
	"github.com/stretchr/testify/require"
)

// processorTime returns the user and system time that the process has used.
func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCapacitySubset reports the processor time of choosing the subset of a pool, which takes place after every change of the target
// table. A fifth of the targets serve the pool's model.
func BenchmarkCapacitySubset(b *testing.B) {
	topology := fleet.Topology{RegionOf: map[fleet.FailureDomain]fleet.Region{}}
	for d := range 9 {
		topology.RegionOf[fleet.FailureDomain(fmt.Sprintf("domain-%d", d))] = fleet.Region(fmt.Sprintf("region-%d", d/3))
	}
	for _, n := range []int{12, 400, 3_900} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			board := blackboard.New()
			var entries []blackboard.TargetEntry
			for i := range n {
				entries = append(entries, blackboard.TargetEntry{
					Target: fleet.Target{
						ID: fleet.TargetID(fmt.Sprintf("target-%04d", i)), Kind: fleet.KindEngine, State: fleet.TargetLive,
						FailureDomain: fleet.FailureDomain(fmt.Sprintf("domain-%d", i%9)),
					},
					Models: []fleet.LoadedModel{{Model: fmt.Sprintf("model-%d", i%5), Version: "1"}},
				})
			}
			board.Targets.Update(entries, nil)
			p := New("instance-001", "domain-0", board, 24)
			key := request.PoolKey{Kind: fleet.KindEngine, Base: "model-0", Version: "1"}
			b.ReportAllocs()
			started := processorTime(b)
			for b.Loop() {
				p.subset(key, topology)
			}
			b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
