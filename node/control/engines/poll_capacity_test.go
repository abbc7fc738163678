package engines

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"github.com/stretchr/testify/require"
)

// reportAge is the age of a load report when it arrives: the mean if the engine samples its load every 250 ms.
const reportAge = 125 * time.Millisecond

// BenchmarkCapacityPollRate reports the load polls per second of an instance whose used targets receive no requests.
func BenchmarkCapacityPollRate(b *testing.B) {
	for _, used := range []int{12, 24, 120} {
		b.Run(fmt.Sprintf("used=%d", used), func(b *testing.B) {
			board := blackboard.New()
			var ids []fleet.TargetID
			var entries []blackboard.TargetEntry
			for i := range used {
				id := fleet.TargetID(fmt.Sprint("target-", i))
				ids = append(ids, id)
				entries = append(entries, blackboard.TargetEntry{Target: fleet.Target{ID: id, Kind: fleet.KindEngine, State: fleet.TargetLive}})
			}
			board.Targets.Update(entries, nil)
			p := New(board, nil, func() []fleet.TargetID { return ids }, func(fleet.TargetID) int { return 0 }, board.Loads.Report)
			polls, passes, now := 0, 0, time.Now()
			for b.Loop() {
				passes++
				now = now.Add(500 * time.Millisecond) // the interval at which node/daemon runs the Poller
				for _, t := range p.dueForLoad(now) {
					polls++
					board.Loads.Report(t.ID, fleet.LoadReport{SampledAt: now.Add(-reportAge)})
				}
			}
			b.ReportMetric(float64(polls)/float64(passes)*2, "polls/s")
		})
	}
}

// BenchmarkCapacityPollPass reports the processor time of a call of dueForState that finds no engine due. It is called twice a second.
func BenchmarkCapacityPollPass(b *testing.B) {
	for _, targets := range []int{12, 400, 3_900} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			board := blackboard.New()
			var entries []blackboard.TargetEntry
			for i := range targets {
				id := fleet.TargetID(fmt.Sprint("target-", i))
				entries = append(entries, blackboard.TargetEntry{Target: fleet.Target{ID: id, Kind: fleet.KindEngine, State: fleet.TargetLive}})
			}
			board.Targets.Update(entries, nil)
			p := New(board, nil, func() []fleet.TargetID { return nil }, func(fleet.TargetID) int { return 0 }, board.Loads.Report)
			now := time.Now()
			p.dueForState(now)
			started := processorTime(b)
			for b.Loop() {
				p.dueForState(now)
			}
			b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
