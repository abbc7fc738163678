package bundle

import (
	"fmt"
	"runtime/metrics"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
)

// processorTime returns the processor time that the process has used, user and system.
func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peakHeap returns how far the heap rises above its level before the call, sampled each millisecond.
func peakHeap(call func()) float64 {
	before := heapBytes()
	done := make(chan struct{})
	go func() { call(); close(done) }()
	highest := before
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	for ticker := time.NewTicker(time.Millisecond); ; <-ticker.C {
		metrics.Read(sample)
		highest = max(highest, sample[0].Value.Uint64())
		select {
		case <-done:
			ticker.Stop()
			return float64(highest - before)
		default:
		}
	}
}

// BenchmarkCapacityOperator reports what one signed-off change costs an operator's whole document: bytes of YAML, and processor time of
// parsing and of splitting.
func BenchmarkCapacityOperator(b *testing.B) {
	for _, n := range benchSizes {
		text, err := yaml.Marshal(testDocument(n))
		require.NoError(b, err)
		b.Run(fmt.Sprintf("parse/callers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			started := processorTime(b)
			for b.Loop() {
				_, err := ParseYAML(text, "bench")
				require.NoError(b, err)
			}
			b.ReportMetric(float64((processorTime(b)-started).Milliseconds())/float64(b.N), "cpu-ms/op")
			b.ReportMetric(float64(len(text)), "yaml-bytes")
			b.ReportMetric(peakHeap(func() { _, _ = ParseYAML(text, "bench") })/(1<<20), "peak-MiB")
		})
		b.Run(fmt.Sprintf("split/callers=%d", n), func(b *testing.B) {
			doc := testDocument(n)
			started := processorTime(b)
			for b.Loop() {
				_, _, err := Split(doc)
				require.NoError(b, err)
			}
			b.ReportMetric(float64((processorTime(b)-started).Milliseconds())/float64(b.N), "cpu-ms/op")
		})
	}
}

// BenchmarkCapacityStored reports the bytes that one changed caller adds to the store: manifest, changed section and delta.
func BenchmarkCapacityStored(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			old, next := testDocument(n), testDocument(n)
			next.Generation = 2
			next.Callers[n/2].Disabled = true
			manifest, sections, err := Split(next)
			require.NoError(b, err)
			before, _, err := Split(old)
			require.NoError(b, err)
			delta, err := EncodeDelta(signedDelta(b, old, next))
			require.NoError(b, err)
			changed := 0
			for _, name := range ChangedSections(before, manifest) {
				changed += len(sections[manifest.Sections[name]])
			}
			all := 0
			for _, section := range sections {
				all += len(section)
			}
			for b.Loop() {
			}
			b.ReportMetric(float64(len(manifest.Bytes())), "manifest-bytes")
			b.ReportMetric(float64(changed), "section-bytes")
			b.ReportMetric(float64(len(delta)), "delta-bytes")
			b.ReportMetric(float64(all), "bundle-bytes")
		})
	}
}

// BenchmarkCapacityApply reports the processor time of putting a change of one caller in force.
func BenchmarkCapacityApply(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			old, next := testDocument(n), testDocument(n)
			next.Generation = 2
			next.Callers[n/2].Disabled = true
			active, delta := activate(b, old), signedDelta(b, old, next)
			started := processorTime(b)
			for b.Loop() {
				_, err := active.Advance(delta, testVerifier())
				require.NoError(b, err)
			}
			b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
