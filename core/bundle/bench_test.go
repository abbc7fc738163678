package bundle

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
)

// benchSizes are numbers of callers.
var benchSizes = []int{1_000, 10_000, 44_000}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkActivate reports the time of a full activation and the heap bytes that an Active retains per caller.
func BenchmarkActivate(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			before := heapBytes()
			active := activate(b, testDocument(n))
			kept := heapBytes() - before
			manifest := active.Manifest()
			sections := active.sections
			for b.Loop() {
				_, err := Activate(manifest, sections, testVerifier())
				require.NoError(b, err)
			}
			b.ReportMetric(float64(kept)/float64(n), "heap-bytes/caller")
		})
	}
}

// BenchmarkAdvanceOneCaller reports the time, the allocations and the size of the delta when one caller changes.
func BenchmarkAdvanceOneCaller(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			old, next := testDocument(n), testDocument(n)
			next.Generation = 2
			next.Callers[n/2].Disabled = true
			active := activate(b, old)
			delta := signedDelta(b, old, next)
			encoded, err := EncodeDelta(delta)
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, err := active.Advance(delta, testVerifier())
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(encoded)), "wire-bytes")
		})
	}
}

// BenchmarkAdvanceGroup reports the cost of a change to the group that most callers are in.
func BenchmarkAdvanceGroup(b *testing.B) {
	old, next := testDocument(44_000), testDocument(44_000)
	next.Generation = 2
	next.Groups[0].Burst++
	active := activate(b, old)
	delta := signedDelta(b, old, next)
	b.ReportAllocs()
	for b.Loop() {
		_, err := active.Advance(delta, testVerifier())
		require.NoError(b, err)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	active := activate(b, testDocument(44_000))
	key := apiKeyOf(17)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := active.Authenticate(key); !ok {
			b.Fatal("refused")
		}
	}
}

// BenchmarkParseYAML reports the cost of parsing a document with 44,000 callers, the number that the system is designed for.
func BenchmarkParseYAML(b *testing.B) {
	text, err := yaml.Marshal(testDocument(44_000))
	require.NoError(b, err)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		_, err := ParseYAML(text, "bench")
		require.NoError(b, err)
	}
}
