package kv_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
)

// Guards against a key that outlives its lease, and against a watcher that does not learn of it. Renewals keep the key.
func TestLeaseExpiryDeletesKeysAndNotifiesTheWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := newStore(t, kv.Options{})
		lease, err := client.Grant(t.Context(), 1500*time.Millisecond) // the store grants 2 s
		require.NoError(t, err)
		created := mustTxn(t, client, put("members/a", "up", lease))
		events, err := client.Watch(t.Context(), "members/", created.Revision)
		require.NoError(t, err)

		time.Sleep(time.Second)
		ttl, err := client.KeepAlive(t.Context(), lease)
		require.NoError(t, err)
		assert.Equal(t, 2*time.Second, ttl)
		renewed := time.Now()

		gone := <-events
		assert.True(t, gone.Deleted)
		assert.Equal(t, "members/a", gone.KeyValue.Key)
		assert.Equal(t, created.Revision+1, gone.KeyValue.ModRevision)
		assert.Equal(t, ttl, time.Since(renewed))
		_, err = client.KeepAlive(t.Context(), lease)
		require.ErrorIs(t, err, kv.ErrLeaseGone)
		_, err = client.Txn(t.Context(), put("members/a", "up", lease))
		require.ErrorIs(t, err, kv.ErrLeaseGone)
	})
}

// Guards against missed or repeated changes across a cut watch, and against a cut that goes unnoticed.
func TestWatchResumesAfterACut(t *testing.T) {
	fake, client := newStore(t, kv.Options{})
	first := mustTxn(t, client, put("p/1", "a", 0))
	events, err := client.Watch(t.Context(), "p/", 0)
	require.NoError(t, err)
	assert.Equal(t, first.Revision, (<-events).KeyValue.ModRevision)

	fake.CutWatches()
	require.ErrorIs(t, (<-events).Err, kv.ErrUnavailable)
	_, open := <-events
	assert.False(t, open)

	mustTxn(t, client, put("q", "not watched", 0))
	second := mustTxn(t, client, kv.Txn{Then: []kv.Op{{Kind: kv.OpDelete, Key: "p/1"}, {Kind: kv.OpPut, Key: "p/2"}}})
	events, err = client.Watch(t.Context(), "p/", first.Revision)
	require.NoError(t, err)
	deleted, created := <-events, <-events
	assert.True(t, deleted.Deleted)
	assert.Equal(t, "p/2", created.KeyValue.Key)
	assert.Equal(t, second.Revision, created.KeyValue.ModRevision)
}

// Guards against a watcher that silently skips compacted changes.
func TestWatchOfACompactedRevisionAsksForAListing(t *testing.T) {
	fake, client := newStore(t, kv.Options{})
	first := mustTxn(t, client, put("k", "1", 0))
	mustTxn(t, client, put("k", "2", 0))
	last := mustTxn(t, client, put("k", "3", 0))
	fake.Compact(int64(last.Revision))

	events, err := client.Watch(t.Context(), "k", first.Revision)
	require.NoError(t, err)
	require.ErrorIs(t, (<-events).Err, kv.ErrCompacted)

	events, err = client.Watch(t.Context(), "k", last.Revision-1)
	require.NoError(t, err)
	assert.Equal(t, "3", string((<-events).KeyValue.Value))
}

// Guards against a watch on a connection that went silent for good, and against a watch that is never established.
func TestSilentWatchEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, client := newStore(t, kv.Options{WatchIdleTimeout: 30 * time.Second})
		start := time.Now()
		events, err := client.Watch(t.Context(), "k", 0)
		require.NoError(t, err)
		require.ErrorIs(t, (<-events).Err, kv.ErrWatchIdle)
		assert.Equal(t, 30*time.Second, time.Since(start))

		fake.Hang(true)
		start = time.Now()
		_, err = client.Watch(t.Context(), "k", 0)
		require.ErrorIs(t, err, kv.ErrUnavailable)
		assert.Equal(t, kv.DefaultCallTimeout, time.Since(start))
	})
}
