//go:build !race

package peer

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"github.com/stretchr/testify/require"
)

func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCapacityProbe reports the processor time and the bytes of one probe over loopback, of both ends together: a node sends one
// probe and answers one each second, so that this is what a node spends.
func BenchmarkCapacityProbe(b *testing.B) {
	for _, updates := range []int{0, 4, 16} {
		b.Run(fmt.Sprintf("updates=%d", updates), func(b *testing.B) {
			calls := 0
			address, meter := serve(b, echo(&calls))
			client := clientWith(b, testToken)
			probe := sample
			probe.Updates, probe.Targets = nil, nil
			for i := range updates {
				probe.Updates = append(probe.Updates, membership.Update{
					ID: fleet.InstanceID(fmt.Sprintf("instance-%03d", i)), State: fleet.MemberSuspect, Incarnation: 1_800_000_000_000 << 16,
				})
			}
			_, err := client.Probe(b.Context(), address, probe)
			require.NoError(b, err)
			sent, received := meter.Bytes()
			started := processorTime(b)
			for b.Loop() {
				if _, err := client.Probe(b.Context(), address, probe); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(b.N), "cpu-us/op")
			sentAfter, receivedAfter := meter.Bytes()
			b.ReportMetric(float64(sentAfter-sent+receivedAfter-received)/float64(b.N), "wire-bytes/op")
		})
	}
}

// BenchmarkCapacityDetector reports the processor time of the failure detectors alone, without HTTP, for each second of a node.
func BenchmarkCapacityDetector(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			d := newDriver(b, n, 0)
			d.runFor(time.Minute)
			seconds := 0
			started := processorTime(b)
			for b.Loop() {
				d.runFor(10 * time.Second)
				seconds += 10
			}
			b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(seconds*n), "cpu-us/node-s")
		})
	}
}
