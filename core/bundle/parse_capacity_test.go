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

// processorTime returns the user and system processor time that the process has used so far.
func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peakHeap returns the peak growth of the heap during the call in bytes, sampled every millisecond.
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

// BenchmarkCapacityOperator reports what one signed change costs an operator, who processes the whole document for it: size of the YAML,
// processor time of parsing and of splitting, and peak heap of parsing.
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

// BenchmarkCapacityStored reports the bytes that a change of one caller adds to the store (manifest, changed section and delta), and the
// size of all sections.
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

// BenchmarkCapacityApply reports the processor time of Advance with a change of one caller.
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
