package peer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
)

// BenchmarkFetchDelta reports the bytes that a peer's delta of one changed caller with two signatures takes, headers included.
func BenchmarkFetchDelta(b *testing.B) {
	signature := bundle.Signature{Operator: "anna", Signature: make([]byte, 64)}
	delta := bundle.Delta{From: 1, To: 2, Signatures: []bundle.Signature{signature, signature}}
	delta.Callers.Upserts = []bundle.Caller{{ID: "caller-022000", Group: "workshops", KeySHA256: strings.Repeat("0", 64), Disabled: true}}
	probes := 0
	handlers := echo(&probes)
	handlers.Delta = func(fleet.Generation) (bundle.Delta, bool) { return delta, true }
	address, _ := serve(b, handlers)
	client := clientWith(b, testToken)
	fetches := 0
	for b.Loop() {
		_, err := client.Delta(b.Context(), address, 2)
		require.NoError(b, err)
		fetches++
	}
	sent, received := client.Bytes()
	b.ReportMetric(float64(sent)/float64(fetches), "sent-bytes")
	b.ReportMetric(float64(received)/float64(fetches), "received-bytes")
}
