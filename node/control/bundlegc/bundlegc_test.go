package bundlegc

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/control/roll"
	"eelgrassproxy.example/node/internal/memkv"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var key = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// bundleStore is a store of bundles that differ in the key of their only caller.
type bundleStore struct {
	t     *testing.T
	store *memkv.Store
}

func (r bundleStore) document(generation, content int) (*bundle.Document, bundle.SignedManifest, bundle.Sections) {
	sum := sha256.Sum256(fmt.Append(nil, content))
	doc := &bundle.Document{
		Generation: fleet.Generation(generation),
		Models:     []bundle.Model{{Name: "m", Base: "b", Version: "1", MaxRunning: 1}},
		Groups:     []bundle.Group{{Name: "g", Models: []string{"m"}}},
		Callers:    []bundle.Caller{{ID: "c", Group: "g", KeySHA256: hex.EncodeToString(sum[:])}},
	}
	manifest, sections, err := bundle.Split(doc)
	require.NoError(r.t, err)
	signatures := []bundle.Signature{bundle.Sign(manifest.Bytes(), "anna", key)}
	return doc, bundle.SignedManifest{Manifest: manifest.Bytes(), Signatures: signatures}, sections
}

// roll rolls the generation with a caller's key derived from content.
func (r bundleStore) roll(generation, content int) {
	doc, signed, sections := r.document(generation, content)
	require.NoError(r.t, roll.Roll(context.Background(), r.store, fleet.Generation(generation-1), doc, sections, signed))
}

// section returns the store key of the section that contains the caller with the key derived from content.
func (r bundleStore) section(content int) string {
	_, signed, _ := r.document(1, content)
	manifest, err := bundle.ParseManifest(signed.Manifest)
	require.NoError(r.t, err)
	return store.SectionKey(manifest.Sections[bundle.CallerSectionOf("c")])
}

func (r bundleStore) has(key string) bool {
	_, err := r.store.Get(context.Background(), key)
	return err == nil
}

func (r bundleStore) count(prefix string) int {
	listing, err := r.store.List(context.Background(), prefix)
	require.NoError(r.t, err)
	return len(listing.Items)
}

func (r bundleStore) collector() *Controller {
	return New(Config{Store: r.store, Table: blackboard.New().Bundle, IsChosen: func() bool { return true }})
}

// passes runs the collector for span, one pass per passPeriod.
func passes(t *testing.T, c *Controller, span time.Duration) {
	for range span / passPeriod {
		require.NoError(t, c.Reconcile(t.Context()))
		time.Sleep(passPeriod)
	}
}

func isDelete(txn kv.Txn) bool { return len(txn.Then) > 0 && txn.Then[0].Kind == kv.OpDelete }

const generations = keptGenerations + 30

func newBundleStore(t *testing.T) bundleStore {
	r := bundleStore{t: t, store: memkv.New()}
	for generation := 1; generation <= generations; generation++ {
		r.roll(generation, generation)
	}
	return r
}

// Guards against a store that grows without limit, and against deleting data that an instance or an operator may still fetch.
func TestOnlyTheLastGenerationsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newBundleStore(t)
		c := r.collector()
		passes(t, c, 2*passPeriod)
		assert.Equal(t, keptGenerations, r.count(store.ManifestPrefix()))
		assert.Equal(t, keptGenerations, r.count(store.DeltaPrefix()))
		assert.True(t, r.has(r.section(1)), "a section is not deleted before it is an hour old")
		passes(t, c, sectionAge+2*passPeriod)
		assert.False(t, r.has(r.section(1)))
		assert.False(t, r.has(r.section(30)))
		for content := generations - keptGenerations + 1; content <= generations; content++ {
			assert.True(t, r.has(r.section(content)), "generation %d", content)
		}
		_, signed, _ := r.document(generations, generations)
		manifest, err := bundle.ParseManifest(signed.Manifest)
		require.NoError(t, err)
		for name, digest := range manifest.Sections {
			assert.True(t, r.has(store.SectionKey(digest)), name)
		}
		calls := r.store.Calls()
		passes(t, c, 10*passPeriod)
		assert.LessOrEqual(t, r.store.Calls()-calls, 40, "a pass that deletes nothing makes four calls")
	})
}

// Guards against a race with a roll: the collector has listed a section as unused and deletes it although the new head needs it again.
func TestARollThatUsesAnOldSectionAgainKeepsIt(t *testing.T) {
	cases := []struct {
		name   string
		before func(r bundleStore) // between the listing and the deletion
	}{
		{"the head is rolled", func(r bundleStore) { r.roll(generations+1, 1) }},
		{"the section is written and the head follows", func(r bundleStore) {
			_, _, sections := r.document(generations+1, 1)
			var ops []kv.Op
			for digest, data := range sections {
				ops = append(ops, kv.Op{Kind: kv.OpPut, Key: store.SectionKey(digest), Value: data})
			}
			_, err := r.store.Txn(r.t.Context(), kv.Txn{Then: ops})
			require.NoError(r.t, err)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newBundleStore(t)
				collector := r.collector()
				passes(t, collector, sectionAge) // sections are old enough to be deleted from the next pass on
				raced := false
				r.store.OnTxn(func(txn kv.Txn) {
					if isDelete(txn) && !raced {
						raced = true
						c.before(r)
					}
				}, nil)
				passes(t, collector, 3*passPeriod)
				require.True(t, raced)
				assert.True(t, r.has(r.section(1)))
				assert.False(t, r.has(r.section(2)), "the others are collected in a later pass")
			})
		})
	}
}

// Guards against two collectors, both chosen at the same time, that together delete more than one would, and against a collector that
// deletes although the manifests of kept generations cannot be read.
func TestConcurrentCollectorsAndUnreadableManifests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newBundleStore(t)
		first, second := r.collector(), r.collector()
		nested := false
		r.store.OnTxn(func(txn kv.Txn) {
			if isDelete(txn) && !nested {
				nested = true
				require.NoError(t, second.Reconcile(t.Context()))
			}
		}, nil)
		require.NoError(t, first.Reconcile(t.Context()))
		require.True(t, nested)
		assert.Equal(t, keptGenerations, r.count(store.ManifestPrefix()))

		r.store.OnTxn(func(txn kv.Txn) { require.False(t, isDelete(txn), "deletes with an unreadable head") }, nil)
		r.roll(generations+1, generations+1)
		r.store.Delete(store.ManifestKey(generations + 1))
		time.Sleep(passPeriod)
		require.ErrorIs(t, first.Reconcile(t.Context()), ErrIncomplete)
	})
}
