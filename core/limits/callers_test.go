package limits

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_700_000_000, 0)

// Guards against shares that starve a caller in a large fleet, or that add up to more than the fleet-wide limit over
// the entrypoints that a caller was given.
func TestCallersGetTheirFleetRateOverTheEntrypointsTheyUse(t *testing.T) {
	cases := map[string]struct {
		serving, used int
		want          int // requests admitted in ten seconds at 80/s, burst 8
	}{
		"a lone instance grants the whole rate":                      {1, 1, 808},
		"eight instances grant the fleet rate together":              {8, 8, 808},
		"in a fleet of 370 eight entrypoints grant the fleet rate":   {370, 8, 808},
		"in a fleet of 370 a single instance grants an eighth of it": {370, 1, 101},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			admitted := 0
			for range tc.used {
				limits := NewCallerLimits(DefaultSpread)
				limits.SetServing(tc.serving)
				for ms := range 10_001 {
					now := epoch.Add(time.Duration(ms) * time.Millisecond)
					if limits.Take("a", CallerLimit{Rate: 80, Burst: 8}, 1, now).Allowed {
						admitted++
					}
				}
			}
			require.InDelta(t, tc.want, admitted, 8)
		})
	}
}

// Guards against an advised delay after which the caller is refused again, and against a delay for a request that can
// never be admitted.
func TestRefusedCallerIsAdmittedAfterExactlyTheAdvisedTime(t *testing.T) {
	limits := NewCallerLimits(1)
	limit := CallerLimit{Rate: 3, Burst: 1}
	require.True(t, limits.Take("a", limit, 1, epoch).Allowed)
	refused := limits.Take("a", limit, 1, epoch)
	require.Equal(t, RateExceeded, refused.Reason)
	require.False(t, limits.Take("a", limit, 1, epoch.Add(refused.RetryAfter-time.Microsecond)).Allowed)
	require.True(t, limits.Take("a", limit, 1, epoch.Add(refused.RetryAfter)).Allowed)
	require.Equal(t, TakeResult{Reason: CostTooHigh}, limits.Take("a", limit, 2, epoch))
}

// Guards against memory that grows with the number of callers ever seen, and against a sweep that drops a bucket before
// it is full again.
func TestIdleBucketsAreDroppedAndBusyOnesAreKept(t *testing.T) {
	limits := NewCallerLimits(1)
	quick, slow := CallerLimit{Rate: 10, Burst: 5}, CallerLimit{Rate: 0.01, Burst: 1}
	fill(limits, 44_000, quick, epoch)
	require.True(t, limits.Take("slow", slow, 1, epoch).Allowed)
	require.Equal(t, 44_001, limits.Len())
	before := heapBytes()
	later := epoch.Add(2 * sweepInterval)
	for i := range 2000 { // enough callers to use every shard
		limits.Take(fleet.CallerID(fmt.Sprint("new", i)), quick, 1, later)
	}
	require.Equal(t, 2001, limits.Len())
	require.False(t, limits.Take("slow", slow, 1, later).Allowed)
	require.Less(t, heapBytes(), before-1_000_000, "the maps must not keep their memory after the sweep")
	runtime.KeepAlive(limits)
}

func fill(limits *CallerLimits, callers int, limit CallerLimit, now time.Time) {
	for i := range callers {
		limits.Take(callerID(i), limit, 1, now)
	}
}

func callerID(i int) fleet.CallerID { return fleet.CallerID(fmt.Sprintf("caller-%08d", i)) }

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkCallerTake measures the time per decision and the bytes per caller in memory, including the caller's ID.
func BenchmarkCallerTake(b *testing.B) {
	for _, callers := range []int{1_000, 10_000, 44_000} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			limit := CallerLimit{Rate: 1, Burst: 1000}
			before := heapBytes()
			limits := NewCallerLimits(DefaultSpread)
			fill(limits, callers, limit, epoch)
			perCaller := float64(heapBytes()-before) / float64(callers)
			ids := make([]fleet.CallerID, callers)
			for i := range ids {
				ids[i] = callerID(i)
			}
			b.ResetTimer()
			for i := range b.N {
				limits.Take(ids[i%callers], limit, 1, epoch.Add(time.Duration(i)))
			}
			b.ReportMetric(perCaller, "bytes/caller")
		})
	}
}
