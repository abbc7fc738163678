package roll

import (
	"crypto/ed25519"
	"testing"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/node/internal/memkv"
	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
)

// benchCallers is the number of callers at the design size.
const benchCallers = 44_000

// BenchmarkRollDelta reports the cost of rolling a change of one caller, including the decoding of the request, at the instance that rolls
// it.
func BenchmarkRollDelta(b *testing.B) {
	doc := document(1, benchCallers)
	manifest, sections, err := bundle.Split(doc)
	require.NoError(b, err)
	signed := bundle.SignedManifest{Manifest: manifest.Bytes(), Signatures: []bundle.Signature{bundle.Sign(manifest.Bytes(), "anna", annasKey)}}
	from, err := bundle.Activate(signed, sections, annasVerifier())
	require.NoError(b, err)
	caller := doc.Callers[benchCallers/2]
	caller.Disabled = true
	delta, next, err := bundle.CallerDelta(manifest, sections, caller.ID, &caller)
	require.NoError(b, err)
	delta.Signatures = []bundle.Signature{bundle.Sign(next.Bytes(), "anna", annasKey)}
	encoded, err := bundle.EncodeDelta(delta)
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s := memkv.New()
		require.NoError(b, Roll(b.Context(), s, 0, doc, sections, signed))
		b.StartTimer()
		decoded, err := bundle.DecodeDelta(encoded)
		require.NoError(b, err)
		_, err = RollDelta(b.Context(), s, from, 1, decoded, annasVerifier())
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(encoded)), "request-bytes")
}

// BenchmarkRollDocument reports the cost of the same change rolled as a whole document.
func BenchmarkRollDocument(b *testing.B) {
	text, err := yaml.Marshal(document(1, benchCallers))
	require.NoError(b, err)
	key := annasKey.Public().(ed25519.PublicKey)
	verifier := bundle.Verifier{Keys: map[string]ed25519.PublicKey{"anna": key}, Required: 1}
	b.ReportAllocs()
	for b.Loop() {
		doc, err := bundle.ParseYAML(text, "document")
		require.NoError(b, err)
		require.NoError(b, doc.Validate())
		manifest, sections, err := bundle.Split(doc)
		require.NoError(b, err)
		signed := bundle.SignedManifest{Manifest: manifest.Bytes(), Signatures: []bundle.Signature{bundle.Sign(manifest.Bytes(), "anna", annasKey)}}
		_, err = verifier.Verify(signed)
		require.NoError(b, err)
		require.NoError(b, Roll(b.Context(), memkv.New(), 0, doc, sections, signed))
	}
	b.ReportMetric(float64(len(text)), "request-bytes")
}
