package bundle

import (
	"encoding/json"
	"fmt"
	"testing"

	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// randomDocument generates a valid document. It draws names from a small set, so that two documents have entries in common.
func randomDocument(t *rapid.T, generation fleet.Generation) *Document {
	doc := testDocument(0)
	doc.Generation = generation
	doc.Limits.QueueTimeoutMs = int64(rapid.IntRange(0, 2).Draw(t, "queue timeout"))
	doc.Topology.Link.BytesPerSecond = int64(rapid.IntRange(0, 1).Draw(t, "link"))
	doc.Models[0].MaxRunning = rapid.IntRange(1, 2).Draw(t, "max running")
	for n := range rapid.IntRange(0, 2).Draw(t, "extra models") {
		name := fmt.Sprintf("extra-%d", n)
		doc.Models = append(doc.Models, Model{Name: name, Base: "extra", Version: "1", MaxRunning: 1})
		doc.Groups[0].Models = append(doc.Groups[0].Models, name)
	}
	doc.Services[0].MaxRunning = rapid.IntRange(1, 2).Draw(t, "service max running")
	if rapid.Bool().Draw(t, "no placement") {
		doc.Placement = nil
	}
	doc.Groups[1].Burst = rapid.IntRange(0, 2).Draw(t, "burst")
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 0, 20, rapid.ID).Draw(t, "callers") {
		c := testCaller(n)
		c.Disabled = rapid.Bool().Draw(t, "disabled")
		c.KeySHA256 = keyDigestHex(apiKeyOf((n + rapid.IntRange(0, 1).Draw(t, "key shift")*100) % 131))
		doc.Callers = append(doc.Callers, c)
	}
	return doc
}

// Guards against deltas that result in another bundle than the one that operators signed, and against stale entries of the older
// generation in the index.
func TestDeltaApplyEqualsFullSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := randomDocument(t, 3), randomDocument(t, 4)
		oldManifest, oldSections, err := Split(old)
		require.NoError(t, err)
		manifest, sections, err := Split(next)
		require.NoError(t, err)
		delta := Diff(old, next)
		delta.Signatures = signBy(manifest, "anna", "bert").Signatures
		encoded, err := EncodeDelta(delta)
		require.NoError(t, err)
		decoded, err := DecodeDelta(encoded)
		require.NoError(t, err)
		gotSections, gotManifest, err := Apply(oldManifest, oldSections, decoded)
		require.NoError(t, err)
		assert.Equal(t, manifest, gotManifest)
		assert.Equal(t, sections, gotSections)
		bySections, err := DiffSections(oldManifest, manifest, oldSections, sections)
		require.NoError(t, err)
		bySections.Signatures = delta.Signatures
		assert.Equal(t, delta, bySections)

		from, err := Activate(signBy(oldManifest, "anna", "bert"), oldSections, testVerifier())
		require.NoError(t, err)
		want, err := Activate(signBy(manifest, "anna", "bert"), sections, testVerifier())
		require.NoError(t, err)
		got, err := from.Advance(decoded, testVerifier())
		require.NoError(t, err)
		assertEqualActive(t, want, got)
	})
}

func assertEqualActive(t assert.TestingT, want, got *Active) {
	assert.Equal(t, want.Manifest(), got.Manifest())
	assert.Equal(t, want.sections, got.sections)
	assert.Equal(t, want.catalog, got.catalog)
	assert.Equal(t, want.CallerCount(), got.CallerCount())
	for n := range want.callers.shards {
		assert.Equal(t, len(want.callers.shards[n]), len(got.callers.shards[n]))
		for digest, caller := range want.callers.shards[n] {
			assert.Equal(t, caller, got.callers.lookup(digest))
		}
	}
}

// Guards against accepting a delta that was tampered with, lacks signatures, is applied to the wrong generation, or is signed but invalid.
func TestAdvanceRejectsTamperedUnsignedOrInvalidDeltas(t *testing.T) {
	old, next := testDocument(50), testDocument(51)
	next.Generation = 2
	active := activate(t, old)
	delta := signedDelta(t, old, next)

	tampered := delta
	tampered.Callers = Change[Caller]{Upserts: []Caller{{ID: "caller-000050", Group: "workshops", KeySHA256: keyDigestHex("stolen")}}}
	_, err := active.Advance(tampered, testVerifier())
	require.ErrorIs(t, err, ErrBadSignature)
	unsigned := delta
	unsigned.Signatures = delta.Signatures[:1]
	_, err = active.Advance(unsigned, testVerifier())
	require.ErrorIs(t, err, ErrNotEnoughSignatures)
	advanced, err := active.Advance(delta, testVerifier())
	require.NoError(t, err)
	_, err = advanced.Advance(delta, testVerifier())
	require.ErrorIs(t, err, ErrWrongBase)

	invalid := testDocument(50)
	invalid.Generation = 2
	invalid.Callers[7].KeySHA256 = invalid.Callers[8].KeySHA256
	_, err = active.Advance(signedDelta(t, old, invalid), testVerifier())
	require.ErrorIs(t, err, ErrDuplicate)
	invalid.Callers[7] = testCaller(7)
	invalid.Callers[7].Group = "nobody"
	_, err = active.Advance(signedDelta(t, old, invalid), testVerifier())
	require.ErrorIs(t, err, ErrUnknownReference)
}

// Guards against panics on malicious manifests and deltas, against manifests with more than one accepted encoding, and against deltas
// that leave sections with wrong digests.
func FuzzManifestAndDelta(f *testing.F) {
	old, next := testDocument(20), testDocument(21)
	next.Generation = 2
	manifest, sections, err := Split(old)
	require.NoError(f, err)
	encoded, err := json.Marshal(Diff(old, next))
	require.NoError(f, err)
	f.Add(manifest.Bytes())
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		if parsed, err := ParseManifest(data); err == nil {
			require.Equal(t, string(data), string(parsed.Bytes()))
		}
		delta, err := DecodeDelta(data)
		if err != nil {
			return
		}
		applied, after, err := Apply(manifest, sections, delta)
		if err != nil {
			return
		}
		for name, digest := range after.Sections {
			require.Equal(t, digest, digestOf(applied[digest]), name)
		}
	})
}
