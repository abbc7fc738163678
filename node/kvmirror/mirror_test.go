package kvmirror_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/node/internal/memkv"
	"eelgrassproxy.example/node/kvmirror"
)

// copyOf is an owner that keeps what it was told.
type copyOf struct {
	items   map[string]string
	removed []string
	outages int
}

func (c *copyOf) apply(change kvmirror.Change) {
	for _, item := range change.Put {
		c.items[item.Key] = string(item.Value)
	}
	for _, key := range change.Removed {
		delete(c.items, key)
		c.removed = append(c.removed, key)
		if change.AfterOutage {
			c.outages++
		}
	}
}

func put(t *testing.T, store *memkv.Store, key, value string) {
	_, err := store.Txn(context.Background(), kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: []byte(value)}}})
	require.NoError(t, err)
}

func remove(t *testing.T, store *memkv.Store, key string) {
	_, err := store.Txn(context.Background(), kv.Txn{Then: []kv.Op{{Kind: kv.OpDelete, Key: key}}})
	require.NoError(t, err)
}

// mirrored runs a test with a mirror of the prefix p/.
func mirrored(t *testing.T, test func(*memkv.Store, *kvmirror.Mirror, *copyOf)) {
	synctest.Test(t, func(t *testing.T) {
		store, owner := memkv.New(), &copyOf{items: make(map[string]string)}
		put(t, store, "p/old", "1")
		m := kvmirror.New(store, "p/", owner.apply)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.Run(ctx)
		}()
		synctest.Wait()
		test(store, m, owner)
		cancel()
		<-done
	})
}

// Guards against changes that are missed, and keys of other prefixes that are told.
func TestChangesAreTold(t *testing.T) {
	mirrored(t, func(store *memkv.Store, m *kvmirror.Mirror, owner *copyOf) {
		require.Equal(t, map[string]string{"p/old": "1"}, owner.items)
		put(t, store, "p/new", "2")
		put(t, store, "q/other", "3")
		remove(t, store, "p/old")
		synctest.Wait()
		require.Equal(t, map[string]string{"p/new": "2"}, owner.items)
		require.Zero(t, owner.outages)
		require.Len(t, m.Snapshot().Items, 1)
	})
}

// Guards against an outage that empties the copy, and against removals afterwards that look like the operator's.
func TestOutageKeepsTheCopy(t *testing.T) {
	mirrored(t, func(store *memkv.Store, m *kvmirror.Mirror, owner *copyOf) {
		store.SetDown(true)
		time.Sleep(5 * time.Second)
		require.Equal(t, map[string]string{"p/old": "1"}, owner.items)
		require.Greater(t, m.Lost(), 4*time.Second)
		store.Delete("p/old")
		store.SetDown(false)
		time.Sleep(2 * time.Second)
		require.Empty(t, owner.items)
		require.Equal(t, 1, owner.outages)
		require.Zero(t, m.Lost())
	})
}

// Guards against an old copy of a peer that replaces a newer one, and against a peer that is believed while the store answers.
func TestPeersCopyIsTakenOnlyWhenItHelps(t *testing.T) {
	mirrored(t, func(store *memkv.Store, m *kvmirror.Mirror, owner *copyOf) {
		newer := kvmirror.Snapshot{Revision: 9, Items: []kv.KeyValue{{Key: "p/peer", Value: []byte("5"), ModRevision: 8}}}
		require.False(t, m.Merge(newer), "the store answers")
		store.SetDown(true)
		time.Sleep(time.Second)
		require.False(t, m.Merge(kvmirror.Snapshot{Revision: 1}), "not newer")
		require.True(t, m.Merge(newer))
		require.Equal(t, map[string]string{"p/peer": "5"}, owner.items)
		require.Zero(t, owner.outages)
		require.False(t, m.Merge(newer))
	})
}

// Guards against store calls of an instance that is to live on its peers' copies, and against one that never begins to follow.
func TestMirrorFollowsOnlyWhenAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, owner := memkv.New(), &copyOf{items: make(map[string]string)}
		put(t, store, "p/a", "1")
		m := kvmirror.New(store, "p/", owner.apply)
		follow := make(chan bool, 1)
		following := false
		m.OnlyIf(func() bool {
			select {
			case following = <-follow:
			default:
			}
			return following
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.Run(ctx)
		}()
		synctest.Wait()
		require.Equal(t, "1", owner.items["p/a"], "the first copy comes from the store")
		put(t, store, "p/a", "2")
		time.Sleep(time.Second)
		calls := store.Calls()
		time.Sleep(10 * time.Second)
		require.Equal(t, calls, store.Calls())
		require.True(t, m.Merge(kvmirror.Snapshot{Revision: 7, Items: []kv.KeyValue{{Key: "p/a", Value: []byte("3"), ModRevision: 7}}}))
		require.Equal(t, "3", owner.items["p/a"])
		follow <- true
		time.Sleep(time.Second)
		for range 9 {
			put(t, store, "p/a", "4")
		}
		synctest.Wait()
		require.Equal(t, "4", owner.items["p/a"])
		cancel()
		<-done
	})
}
