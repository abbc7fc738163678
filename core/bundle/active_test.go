package bundle

import (
	"crypto/ed25519"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against digests that depend on the order in which operators write entries: two operators could not sign the same bundle.
func TestSplitIgnoresEntryOrderAndAssembleInvertsIt(t *testing.T) {
	doc := testDocument(600)
	manifest, sections, err := Split(doc)
	require.NoError(t, err)
	other, _, err := Split(shuffled(doc, rand.New(rand.NewPCG(1, 2))))
	require.NoError(t, err)
	assert.Equal(t, string(manifest.Bytes()), string(other.Bytes()))
	parsed, err := ParseManifest(manifest.Bytes())
	require.NoError(t, err)
	assembled, err := Assemble(parsed, sections)
	require.NoError(t, err)
	assert.Equal(t, doc.normalized(), assembled.normalized())
}

// Guards against accepting a manifest that too few operators signed.
func TestVerifyCountsDistinctKnownOperators(t *testing.T) {
	manifest, _, err := Split(testDocument(1))
	require.NoError(t, err)
	withUnknown := signBy(manifest, "anna", "mallory")
	forged := signBy(manifest, "anna", "bert")
	forged.Signatures[1].Signature = forged.Signatures[0].Signature
	enoughAndUnknown := signBy(manifest, "anna", "mallory", "carla")
	withoutDomain := signBy(manifest, "anna")
	withoutDomain.Signatures = append(withoutDomain.Signatures,
		Signature{Operator: "bert", Signature: ed25519.Sign(testKey("bert"), manifest.Bytes())})
	cases := []struct {
		name   string
		signed SignedManifest
		want   []error
	}{
		{"two operators are enough", signBy(manifest, "carla", "anna"), nil},
		{"an unknown operator beside enough known ones is ignored", enoughAndUnknown, nil},
		{"one operator is too few", signBy(manifest, "anna"), []error{ErrNotEnoughSignatures}},
		{"one operator twice is too few", signBy(manifest, "anna", "anna"), []error{ErrNotEnoughSignatures}},
		{"an unknown operator does not count", withUnknown, []error{ErrNotEnoughSignatures, ErrUnknownOperator}},
		{"a signature of another operator is refused", forged, []error{ErrBadSignature}},
		{"a signature without the domain prefix is refused", withoutDomain, []error{ErrBadSignature}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := testVerifier().Verify(c.signed)
			if c.want == nil {
				require.NoError(t, err)
				assert.Equal(t, manifest, got)
			}
			for _, want := range c.want {
				require.ErrorIs(t, err, want)
			}
		})
	}
	_, err = Verifier{}.Verify(signBy(manifest, "anna"))
	require.ErrorIs(t, err, ErrBadVerifier)
}

// Guards against activating a bundle whose manifest or sections were tampered with, or that lacks a section.
func TestActivateRejectsTamperedBundles(t *testing.T) {
	manifest, sections, err := Split(testDocument(20))
	require.NoError(t, err)
	signed := signBy(manifest, "anna", "bert")
	higher := manifest.clone()
	higher.Generation = 9
	_, err = Activate(SignedManifest{Manifest: higher.Bytes(), Signatures: signed.Signatures}, sections, testVerifier())
	require.ErrorIs(t, err, ErrBadSignature)
	for name, digest := range manifest.Sections {
		genuine := sections[digest]
		sections[digest] = append([]byte(" "), genuine...)
		_, err = Activate(signed, sections, testVerifier())
		require.ErrorIs(t, err, ErrDigestMismatch, name)
		delete(sections, digest)
		_, err = Activate(signed, sections, testVerifier())
		require.ErrorIs(t, err, ErrMissingSection, name)
		sections[digest] = genuine
	}
}

// Guards against authenticating callers with a wrong key or while disabled, and against access to models and services of other groups.
func TestActiveResolvesCallersAndPermissions(t *testing.T) {
	doc := testDocument(10)
	doc.Callers[1].Disabled = true
	active := activate(t, doc)
	caller, ok := active.Authenticate(apiKeyOf(0))
	require.True(t, ok)
	assert.Equal(t, doc.Callers[0].ID, caller.ID)
	assert.Equal(t, DefaultGroupWeight, caller.Group.Weight)
	_, ok = active.Authenticate(apiKeyOf(1))
	assert.False(t, ok, "disabled")
	_, ok = active.Authenticate("")
	assert.False(t, ok, "empty key")
	_, ok = active.Authenticate(doc.Callers[0].KeySHA256)
	assert.False(t, ok, "the digest is not the key")

	model, err := active.Model(caller, "safety")
	require.NoError(t, err)
	assert.Equal(t, "assist", model.Base)
	_, err = active.Model(caller, "nothing")
	require.ErrorIs(t, err, ErrUnknownModel)
	_, op, err := active.Service(caller, "quotes", "look-up")
	require.NoError(t, err)
	assert.True(t, op.Idempotent)
	_, _, err = active.Service(caller, "quotes", "nothing")
	require.ErrorIs(t, err, ErrUnknownOperation)

	trial, ok := active.Authenticate(apiKeyOf(4))
	require.True(t, ok)
	_, err = active.Model(trial, "safety")
	require.ErrorIs(t, err, ErrNotAllowed)
	_, _, err = active.Service(trial, "quotes", "look-up")
	require.ErrorIs(t, err, ErrNotAllowed)
	assert.Len(t, active.Models(trial), 1)
	assert.Equal(t, int64(DefaultProgressTimeoutMs), active.Limits().ProgressTimeoutMs)
	key := apiKeyOf(0)
	allocations := testing.AllocsPerRun(100, func() {
		found, _ := active.Authenticate(key)
		_, _ = active.Model(found, "safety")
	})
	assert.LessOrEqual(t, allocations, 1.0, "one copy of the key")
}

// Guards against going back to an older generation, and against treating an announced generation as accepted.
func TestTrackerAcceptsOnlyHigherGenerations(t *testing.T) {
	tracker := &GenerationTracker{}
	doc := testDocument(1)
	doc.Generation = 5
	active := activate(t, doc)
	require.NoError(t, tracker.Accept(active))
	require.ErrorIs(t, tracker.Accept(active), ErrNotNewer)
	doc.Generation = 4
	require.ErrorIs(t, tracker.Accept(activate(t, doc)), ErrNotNewer)
	assert.False(t, tracker.RecordAnnounced(5))
	assert.False(t, tracker.Behind())
	assert.True(t, tracker.RecordAnnounced(8))
	assert.True(t, tracker.Behind())
	assert.Equal(t, active.Generation(), tracker.Accepted())
	doc.Generation = 8
	require.NoError(t, tracker.Accept(activate(t, doc)))
	assert.False(t, tracker.Behind())
}
