package roll

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/internal/memkv"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func document(generation fleet.Generation, callers int) *bundle.Document {
	doc := &bundle.Document{
		Generation: generation,
		Models:     []bundle.Model{{Name: "m", Base: "b", Version: "1", MaxRunning: 1}},
		Groups:     []bundle.Group{{Name: "g", Models: []string{"m"}}},
	}
	for n := range callers {
		sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", n))
		doc.Callers = append(doc.Callers, bundle.Caller{ID: fleet.CallerID(fmt.Sprintf("c%d", n)), Group: "g", KeySHA256: hex.EncodeToString(sum[:])})
	}
	return doc
}

func rollDoc(t *testing.T, s kv.Store, seen fleet.Generation, doc *bundle.Document) error {
	t.Helper()
	manifest, sections, err := bundle.Split(doc)
	require.NoError(t, err)
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	signed := bundle.SignedManifest{Manifest: manifest.Bytes()}
	signed.Signatures = []bundle.Signature{bundle.Sign(signed.Manifest, "anna", key)}
	return Roll(context.Background(), s, seen, doc, sections, signed)
}

func headOf(t *testing.T, s kv.Store) store.Head {
	t.Helper()
	item, err := s.Get(context.Background(), store.HeadKey)
	require.NoError(t, err)
	head, err := store.DecodeHead(item.Value)
	require.NoError(t, err)
	return head
}

func writesHead(txn kv.Txn) bool {
	return slices.ContainsFunc(txn.Then, func(op kv.Op) bool { return op.Key == store.HeadKey })
}

// Guards against two operators who are both told that their bundle is in force (F7).
func TestOneOfTwoRacingOperatorsGetsAConflictThatNamesTheGenerationInForce(t *testing.T) {
	s := memkv.New()
	require.NoError(t, rollDoc(t, s, 0, document(1, 3)))
	other := document(3, 4)
	raced := false
	s.OnTxn(func(txn kv.Txn) {
		if writesHead(txn) && !raced {
			raced = true
			require.NoError(t, rollDoc(t, s, 1, other))
		}
	}, nil)
	err := rollDoc(t, s, 1, document(2, 5))
	require.ErrorIs(t, err, ErrConflict)
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, fleet.Generation(3), conflict.InForce)
	assert.Equal(t, fleet.Generation(3), headOf(t, s).Generation)

	err = rollDoc(t, s, 1, document(4, 1))
	require.ErrorAs(t, err, &conflict, "a roll based on an older generation")
	assert.Equal(t, fleet.Generation(3), conflict.InForce)
	require.ErrorIs(t, rollDoc(t, s, 3, document(3, 1)), ErrNotNewer)
}

// Guards against treating a different bundle of the same generation as a resend.
func TestTwoBundlesOfOneGenerationConflict(t *testing.T) {
	s := memkv.New()
	require.NoError(t, rollDoc(t, s, 0, document(1, 3)))
	require.ErrorIs(t, rollDoc(t, s, 0, document(1, 4)), ErrConflict)
}

// Guards against reporting a failure for a roll that took effect (F5), and against a resend that takes effect again.
func TestRollWhoseResponseIsLostAfterItTookEffectSucceeds(t *testing.T) {
	s := memkv.New()
	require.NoError(t, rollDoc(t, s, 0, document(1, 3)))
	s.OnTxn(nil, func(txn kv.Txn) error {
		if writesHead(txn) {
			return kv.ErrOutcomeUnknown
		}
		return nil
	})
	require.NoError(t, rollDoc(t, s, 1, document(2, 3)))
	s.OnTxn(nil, nil)
	require.NoError(t, rollDoc(t, s, 1, document(2, 3)), "resend")
	require.NoError(t, rollDoc(t, s, 2, document(3, 3)))
	require.NoError(t, rollDoc(t, s, 1, document(2, 3)), "resend after a later roll")
	assert.Equal(t, fleet.Generation(3), headOf(t, s).Generation)
}

// Guards against reporting that a roll had no effect although an attempt of it may still take effect.
func TestRollWhoseOutcomeCannotBeReadBackIsUnknown(t *testing.T) {
	s := memkv.New()
	s.OnTxn(nil, func(kv.Txn) error {
		s.SetDown(true)
		return kv.ErrOutcomeUnknown
	})
	require.ErrorIs(t, rollDoc(t, s, 0, document(1, 3)), ErrOutcomeUnknown)
	require.ErrorIs(t, rollDoc(t, s, 0, document(1, 3)), ErrUnavailable, "the store is unavailable before anything was written")
}

// Guards against reporting that a roll had no effect if the second attempt fails while the first attempt may still take effect.
func TestRollIsUnknownIfALaterAttemptFailsForCertain(t *testing.T) {
	s := memkv.New()
	require.NoError(t, rollDoc(t, s, 0, document(1, 3)))
	late := &lateStore{Store: s}
	require.ErrorIs(t, rollDoc(t, late, 1, document(2, 3)), ErrOutcomeUnknown)
	require.NoError(t, rollDoc(t, s, 1, document(2, 3)), "resend")
}

// lateStore returns an unknown outcome for the first transaction and is unavailable for all later transactions.
type lateStore struct {
	*memkv.Store
	transactions int
}

func (s *lateStore) Txn(context.Context, kv.Txn) (kv.TxnResult, error) {
	s.transactions++
	if s.transactions == 1 {
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	}
	return kv.TxnResult{}, kv.ErrUnavailable
}

// Guards against transactions that are too large for the store, and against a head that names sections that are not yet written.
func TestManySectionsGoInEarlierTransactions(t *testing.T) {
	s := memkv.New()
	var sizes []int
	s.OnTxn(func(txn kv.Txn) {
		sizes = append(sizes, len(txn.Then))
		if !writesHead(txn) {
			_, err := s.Get(context.Background(), store.HeadKey)
			require.ErrorIs(t, err, kv.ErrNotFound)
		}
	}, nil)
	require.NoError(t, rollDoc(t, s, 0, document(1, 5000)))
	require.Len(t, sizes, 3)
	for _, size := range sizes {
		assert.LessOrEqual(t, size, maxTxnOps)
	}
	sections, err := s.List(context.Background(), "/eelgrass/bundle/sections/")
	require.NoError(t, err)
	manifest, _, err := bundle.Split(document(1, 5000))
	require.NoError(t, err)
	for _, digest := range manifest.Sections {
		assert.True(t, slices.ContainsFunc(sections.Items, func(i kv.KeyValue) bool { return strings.HasSuffix(i.Key, digest) }))
	}
}
