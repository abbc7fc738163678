package roll

import (
	"context"
	"crypto/ed25519"
	"testing"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/internal/memkv"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var annasKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

func annasVerifier() bundle.Verifier {
	return bundle.Verifier{Keys: map[string]ed25519.PublicKey{"anna": annasKey.Public().(ed25519.PublicKey)}, Required: 1}
}

// rollBase rolls generation 1 and returns it as the active bundle of an instance.
func rollBase(t *testing.T, s kv.Store) *bundle.Active {
	t.Helper()
	doc := document(1, 50)
	require.NoError(t, rollDoc(t, s, 0, doc))
	manifest, sections, err := bundle.Split(doc)
	require.NoError(t, err)
	signed := bundle.SignedManifest{Manifest: manifest.Bytes(), Signatures: []bundle.Signature{bundle.Sign(manifest.Bytes(), "anna", annasKey)}}
	active, err := bundle.Activate(signed, sections, annasVerifier())
	require.NoError(t, err)
	return active
}

// disableDelta returns the signed delta that disables the numbered caller of the bundle.
func disableDelta(t *testing.T, from *bundle.Active, n int) bundle.Delta {
	t.Helper()
	caller := document(1, n+1).Callers[n]
	caller.Disabled = true
	return callerDelta(t, from, caller)
}

// callerDelta returns the signed delta that sets the caller.
func callerDelta(t *testing.T, from *bundle.Active, caller bundle.Caller) bundle.Delta {
	t.Helper()
	manifest, err := bundle.ParseManifest(from.Manifest().Manifest)
	require.NoError(t, err)
	digest := manifest.Sections[bundle.CallerSectionOf(caller.ID)]
	section, _ := from.Section(digest)
	delta, next, err := bundle.CallerDelta(manifest, bundle.Sections{digest: section}, caller.ID, &caller)
	require.NoError(t, err)
	delta.Signatures = []bundle.Signature{bundle.Sign(next.Bytes(), "anna", annasKey)}
	return delta
}

func rollDelta(s kv.Store, from *bundle.Active, delta bundle.Delta) (*bundle.Active, error) {
	result, err := RollDelta(context.Background(), s, from, delta.From, delta, annasVerifier())
	return result.Next, err
}

// Guards against a roll by delta that costs as much as a roll of the whole bundle, or that leaves a bundle that cannot be fetched.
func TestRollByDeltaWritesOnlyWhatChanged(t *testing.T) {
	s := memkv.New()
	from := rollBase(t, s)
	calls := s.Calls()
	var ops []kv.Op
	s.OnTxn(func(txn kv.Txn) { ops = txn.Then }, nil)
	next, err := rollDelta(s, from, disableDelta(t, from, 7))
	require.NoError(t, err)
	assert.Equal(t, 2, s.Calls()-calls)
	require.Len(t, ops, 4, "manifest, head, delta and one section")
	assert.Equal(t, store.Head{Generation: 2, Manifest: next.Digest()}, headOf(t, s))
	item, err := s.Get(t.Context(), store.ManifestKey(2))
	require.NoError(t, err)
	stored, err := store.DecodeManifest(item.Value)
	require.NoError(t, err)
	manifest, err := annasVerifier().Verify(stored)
	require.NoError(t, err)
	sections := bundle.Sections{}
	for _, digest := range manifest.Sections {
		item, err := s.Get(t.Context(), store.SectionKey(digest))
		require.NoError(t, err)
		sections[digest] = item.Value
	}
	_, err = bundle.Activate(stored, sections, annasVerifier())
	require.NoError(t, err)
	item, err = s.Get(t.Context(), store.DeltaKey(2))
	require.NoError(t, err)
	delta, err := bundle.DecodeDelta(item.Value)
	require.NoError(t, err)
	_, err = from.Advance(delta, annasVerifier())
	require.NoError(t, err, "peers apply the stored delta")
}

// Guards against two operators who are both told that their change is in force (F7), and against a conflict for a resend of the change in
// force.
func TestRacingDeltasGiveOneWinnerAndAConflict(t *testing.T) {
	s := memkv.New()
	from := rollBase(t, s)
	winner, loser := disableDelta(t, from, 3), disableDelta(t, from, 4)
	raced := false
	s.OnTxn(func(txn kv.Txn) {
		if writesHead(txn) && !raced {
			raced = true
			_, err := rollDelta(s, from, winner)
			require.NoError(t, err)
		}
	}, nil)
	_, err := rollDelta(s, from, loser)
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, fleet.Generation(2), conflict.InForce)

	next, err := rollDelta(s, from, winner)
	require.NoError(t, err, "resend at an instance that still has the base")
	caughtUp, err := rollDelta(s, next, winner)
	require.NoError(t, err, "resend at an instance that has the result")
	assert.Nil(t, caughtUp)
	_, err = rollDelta(s, next, loser)
	require.ErrorIs(t, err, ErrConflict, "resend of the losing delta to an instance that has the winner's bundle")
	third, err := rollDelta(s, next, disableDelta(t, next, 4))
	require.NoError(t, err, "the losing change, made again on the new generation")
	assert.Equal(t, fleet.Generation(3), third.Generation())
	_, err = rollDelta(s, third, winner)
	require.NoError(t, err, "resend after a later roll")
}

// Guards against reporting a failure for a delta that took effect (F5), and success for one that did not.
func TestLostResponseOfADeltaIsReadBack(t *testing.T) {
	s := memkv.New()
	from := rollBase(t, s)
	delta := disableDelta(t, from, 1)
	s.OnTxn(nil, func(kv.Txn) error { return kv.ErrOutcomeUnknown })
	next, err := rollDelta(s, from, delta)
	require.NoError(t, err)
	assert.Equal(t, fleet.Generation(2), headOf(t, s).Generation)
	s.OnTxn(nil, func(kv.Txn) error { s.SetDown(true); return kv.ErrOutcomeUnknown })
	got, err := rollDelta(s, next, disableDelta(t, next, 2))
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	assert.Nil(t, got, "a bundle must not be put in force if the outcome of its roll is unknown")
}

// Guards against putting in force deltas that are unsigned, invalid or made for another generation.
func TestDeltasThatMustNotBeRolled(t *testing.T) {
	s := memkv.New()
	from := rollBase(t, s)
	unsigned, tampered := disableDelta(t, from, 1), disableDelta(t, from, 1)
	unsigned.Signatures = nil
	tampered.Callers.Upserts[0].Disabled = false
	ungrouped := document(1, 1).Callers[0]
	ungrouped.Group = "none"
	unknownGroup := callerDelta(t, from, ungrouped)
	for name, delta := range map[string]bundle.Delta{"unsigned": unsigned, "tampered": tampered, "unknown group": unknownGroup} {
		_, err := rollDelta(s, from, delta)
		require.ErrorIs(t, err, ErrInvalid, name)
	}
	good := disableDelta(t, from, 1)
	_, err := RollDelta(t.Context(), s, from, 0, good, annasVerifier())
	require.ErrorIs(t, err, ErrInvalid, "made for another generation than the one seen")
	_, err = rollDelta(s, nil, good)
	require.ErrorIs(t, err, ErrBehind, "an instance without a bundle")
	assert.Equal(t, fleet.Generation(1), headOf(t, s).Generation)
}
