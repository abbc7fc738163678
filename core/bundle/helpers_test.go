package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/require"
)

// rapidSeed makes the property tests generate the same documents in each run; -rapid.seed on the command line overrides it.
const rapidSeed = "20250101"

func init() {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
}

// testOperators are the operators whose keys testVerifier knows.
var testOperators = []string{"anna", "bert", "carla"}

// testKey returns a private key that depends only on the operator's name.
func testKey(operator string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(operator))
	return ed25519.NewKeyFromSeed(seed[:])
}

// testVerifier requires signatures by two of testOperators.
func testVerifier() Verifier {
	v := Verifier{Keys: map[string]ed25519.PublicKey{}, Required: 2}
	for _, operator := range testOperators {
		v.Keys[operator] = testKey(operator).Public().(ed25519.PublicKey)
	}
	return v
}

// signBy returns the manifest signed by the operators, in this order.
func signBy(manifest Manifest, operators ...string) SignedManifest {
	signed := SignedManifest{Manifest: manifest.Bytes()}
	for _, operator := range operators {
		signed.Signatures = append(signed.Signatures, Sign(signed.Manifest, operator, testKey(operator)))
	}
	return signed
}

// apiKeyOf returns the API key of testCaller(n).
func apiKeyOf(n int) string { return fmt.Sprintf("key-of-caller-%06d-with-a-usual-length", n) }

func keyDigestHex(apiKey string) string {
	sum := sha256.Sum256([]byte(apiKey))
	return hex.EncodeToString(sum[:])
}

// testDocument returns a valid document with the given number of callers in two groups.
func testDocument(callers int) *Document {
	doc := &Document{
		Generation: 1,
		Topology: Topology{Regions: []Region{
			{Name: "randstad", FailureDomains: []fleet.FailureDomain{"randstad-a", "randstad-b"}},
			{Name: "brabant", FailureDomains: []fleet.FailureDomain{"brabant-a"}},
		}, Link: Link{BytesPerSecond: 4_000_000, OnlineReservePercent: 50}},
		Models: []Model{
			{Name: "bench-assist", Base: "assist", Version: "3", MaxRunning: 8},
			{Name: "safety", Base: "assist", Version: "3", Adapter: "safety", MaxRunning: 8},
		},
		Services: []Service{{Name: "quotes", MaxRunning: 4, Operations: []Operation{{Name: "issue"}, {Name: "look-up", Idempotent: true}}}},
		Placement: []Placement{
			{Base: "assist", Version: "3", Adapters: []string{"safety"}, MinReplicas: 2, MaxReplicas: 12},
		},
		Groups: []Group{
			{Name: "workshops", Models: []string{"bench-assist", "safety"}, Services: []string{"quotes"}, RequestsPerSecond: 2.5, Burst: 10},
			{Name: "trial", Models: []string{"bench-assist"}, RequestsPerSecond: 0.1, Burst: 1, Weight: 3},
		},
	}
	for n := range callers {
		doc.Callers = append(doc.Callers, testCaller(n))
	}
	return doc
}

// testCaller returns the caller with the number n; every fifth is in the group "trial".
func testCaller(n int) Caller {
	group := "workshops"
	if n%5 == 4 {
		group = "trial"
	}
	return Caller{ID: fleet.CallerID(fmt.Sprintf("caller-%06d", n)), Group: group, KeySHA256: keyDigestHex(apiKeyOf(n))}
}

// activate splits, signs and activates a document that must be valid.
func activate(t testing.TB, doc *Document) *Active {
	t.Helper()
	manifest, sections, err := Split(doc)
	require.NoError(t, err)
	active, err := Activate(signBy(manifest, "anna", "bert"), sections, testVerifier())
	require.NoError(t, err)
	return active
}

// signedDelta returns the delta between two documents, signed by two operators.
func signedDelta(t testing.TB, old, new *Document) Delta {
	t.Helper()
	manifest, _, err := Split(new)
	require.NoError(t, err)
	delta := Diff(old, new)
	delta.Signatures = signBy(manifest, "anna", "bert").Signatures
	return delta
}

// shuffled returns a copy of the document with models, callers and groups in random order.
func shuffled(doc *Document, random *rand.Rand) *Document {
	out := *doc
	out.Models = append([]Model(nil), doc.Models...)
	out.Callers = append([]Caller(nil), doc.Callers...)
	out.Groups = append([]Group(nil), doc.Groups...)
	random.Shuffle(len(out.Models), func(i, j int) { out.Models[i], out.Models[j] = out.Models[j], out.Models[i] })
	random.Shuffle(len(out.Callers), func(i, j int) { out.Callers[i], out.Callers[j] = out.Callers[j], out.Callers[i] })
	random.Shuffle(len(out.Groups), func(i, j int) { out.Groups[i], out.Groups[j] = out.Groups[j], out.Groups[i] })
	return &out
}
