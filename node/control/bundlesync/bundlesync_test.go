package bundlesync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/internal/memkv"
	"eelgrassproxy.example/node/internal/wait"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an instance that, while the store is down, cannot start, starts with an older bundle than its peers have, or accepts an
// unsigned or tampered bundle from a peer (F4).
func TestStartWithTheStoreDownTakesTheHighestVerifiableGenerationOfThePeers(t *testing.T) {
	s, peers := memkv.New(), newPeers()
	s.SetDown(true)
	peers.add(t, "five", 5)
	peers.add(t, "seven", 7)
	peers.add(t, "unsigned nine", 9).manifest.Signatures = nil
	eight := peers.add(t, "tampered eight", 8)
	for digest := range eight.sections {
		eight.sections[digest] = []byte("[]")
	}
	c := newController(s, peers)
	require.NoError(t, c.Reconcile(t.Context()))
	assert.Equal(t, fleet.Generation(7), c.Table.Generation())
}

// Guards against an instance that returns to an older generation (I9) because of a wrong claim or forged delta of a peer, or because the
// store returns an older head.
func TestALowerOrEqualGenerationIsNeverPutInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, peers := memkv.New(), newPeers()
		for generation := range fleet.Generation(4) {
			rollTo(t, s, generation+1)
		}
		c := newController(s, peers)
		require.NoError(t, c.Reconcile(t.Context()))
		require.Equal(t, fleet.Generation(4), c.Table.Generation())
		inForce := c.Table.Current()
		old := peers.add(t, "old", 3)
		peers.add(t, "equal", 4)
		oldDelta, err := storeSource{s}.delta(t.Context(), 3)
		require.NoError(t, err)
		oldDelta.From, oldDelta.To = 4, 99
		old.deltas = func(fleet.Generation) (bundle.Delta, bool) { return oldDelta, true }
		c.Hint(99, "old")
		c.Hint(98, "equal")
		c.Hint(3, "old")
		require.Error(t, c.Reconcile(t.Context()))
		assert.Same(t, inForce, c.Table.Current())
		assert.True(t, c.Behind(), "the hint is recorded")

		older := memkv.New()
		rollTo(t, older, 1)
		c.Store = older
		time.Sleep(2 * pollInterval)
		require.NoError(t, c.Reconcile(t.Context()))
		assert.Same(t, inForce, c.Table.Current())
	})
}

// Guards against a tampered section or delta of a peer being put in force, and against a pass that fails although the store has the bundle.
func TestTamperedPeerDataIsRefusedAndTheStoreAsked(t *testing.T) {
	s, peers := memkv.New(), newPeers()
	rollTo(t, s, 1)
	c := newController(s, peers)
	require.NoError(t, c.Reconcile(t.Context()))
	rollTo(t, s, 2)
	bad := peers.add(t, "bad", 2)
	for digest := range bad.sections {
		bad.sections[digest] = append([]byte(" "), bad.sections[digest]...)
	}
	forged, err := storeSource{s}.delta(t.Context(), 2)
	require.NoError(t, err)
	forged.Callers.Upserts[0].Disabled = true
	bad.deltas = func(fleet.Generation) (bundle.Delta, bool) { return forged, true }
	c.Hint(2, "bad")
	_ = c.Reconcile(t.Context())
	assert.Equal(t, fleet.Generation(2), c.Table.Generation())
	want, _ := signed(t, document(2))
	assert.Equal(t, want, c.Table.Current().Manifest())

	s.SetDown(true)
	third := peers.add(t, "bad", 3)
	for digest := range third.sections {
		third.sections[digest] = []byte("[]")
	}
	c.Hint(3, "bad")
	require.ErrorIs(t, c.Reconcile(t.Context()), bundle.ErrDigestMismatch)
	assert.Equal(t, fleet.Generation(2), c.Table.Generation())
}

// Guards against changes that take longer than 3 s or fetch whole sections: a watcher fetches the deltas from the store, and the other
// instance fetches them from the watcher without reading the store.
func TestAChangeReachesWatcherAndPeerByDelta(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, peers := memkv.New(), newPeers()
		rollTo(t, s, 1)
		watcher, other := newController(s, peers), newController(s, peers)
		watcher.IsWatcher = func() bool { return true }
		require.NoError(t, watcher.Reconcile(ctx))
		require.NoError(t, other.Reconcile(ctx))
		peers.peers["watcher"] = &fakePeer{deltas: watcher.Delta}
		go watcher.Run(ctx)
		go other.Run(ctx)
		synctest.Wait()

		calls := s.Calls()
		rollTo(t, s, 2)
		rollTo(t, s, 3)
		rolling := s.Calls()
		synctest.Wait()
		require.Equal(t, fleet.Generation(3), watcher.Table.Generation())
		require.Positive(t, rolling-calls)
		reads := s.Calls()
		other.Hint(3, "watcher")
		time.Sleep(maxHintDelay)
		synctest.Wait()
		assert.Equal(t, fleet.Generation(3), other.Table.Generation())
		assert.Equal(t, reads, s.Calls(), "store calls of the other instance")
		assert.Equal(t, 2, peers.calls["watcher"], "one call for each delta")
		want, _ := signed(t, document(3))
		assert.Equal(t, want, other.Table.Current().Manifest())
		cancel()
		synctest.Wait()
	})
}

// Guards against a watch that is not renewed after an outage, and against unbounded retries during it.
func TestTheWatchRecoversAfterAnOutageWithBoundedRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, peers := memkv.New(), newPeers()
		rollTo(t, s, 1)
		c := newController(s, peers)
		c.IsWatcher = func() bool { return true }
		require.NoError(t, c.Reconcile(ctx))
		go c.Run(ctx)
		go func() {
			for wait.For(ctx, time.Second) {
				_ = c.Reconcile(ctx)
			}
		}()
		synctest.Wait()
		s.SetDown(true)
		before := s.Calls()
		for range 3600 {
			c.Hint(99, "liar")
			time.Sleep(time.Second)
		}
		assert.Less(t, s.Calls()-before, 600, "store calls in an hour")
		s.SetDown(false)
		time.Sleep(2 * maxBackoff)
		rollTo(t, s, 2)
		synctest.Wait()
		assert.Equal(t, fleet.Generation(2), c.Table.Generation())
		cancel()
		synctest.Wait()
	})
}

// Guards against an instance that restarts while the store is down and serves the older bundle of the only reachable peer although probes
// named a newer one (I9), and against an instance that then never starts.
func TestStartDoesNotGoBelowAGenerationHeardOnProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, peers := memkv.New(), newPeers()
		for generation := range fleet.Generation(7) {
			rollTo(t, s, generation+1)
		}
		s.SetDown(true)
		peers.add(t, "old", 5)
		c := newController(s, peers)
		c.Hint(7, "silent")
		require.ErrorIs(t, c.Reconcile(t.Context()), ErrBelowClaimed)
		assert.Nil(t, c.Table.Current())
		peers.add(t, "silent", 7)
		time.Sleep(maxBackoff)
		require.NoError(t, c.Reconcile(t.Context()))
		assert.Equal(t, fleet.Generation(7), c.Table.Generation())

		s.SetDown(false)
		other := newController(s, newPeers())
		other.Hint(99, "mistaken")
		require.NoError(t, other.Reconcile(t.Context()), "the store's head takes precedence over a hint")
		assert.Equal(t, fleet.Generation(7), other.Table.Generation())
	})
}

// Guards against an instance that, after a pause of its process, puts every missed generation in force one after the other.
func TestPausedInstanceGoesDirectlyToTheNewestGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memkv.New()
		rollTo(t, s, 1)
		c := newController(s, newPeers())
		c.IsWatcher = func() bool { return true }
		require.NoError(t, c.Reconcile(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		watch, err := s.Watch(ctx, store.HeadKey, 0)
		require.NoError(t, err)
		events := buffered(ctx, watch)
		for generation := range fleet.Generation(3) {
			rollTo(t, s, generation+2)
		}
		synctest.Wait()
		first := <-events
		latest, err := newest(events, first)
		require.NoError(t, err)
		var inForce []fleet.Generation
		board := blackboard.New()
		board.Subscribe(blackboard.TopicBundle, func() { inForce = append(inForce, board.Bundle.Generation()) })
		require.True(t, board.Bundle.Advance(c.Table.Current()))
		c.Table = board.Bundle
		c.headChanged(t.Context(), latest)
		assert.Equal(t, []fleet.Generation{1, 4}, inForce)
		_, ok := c.Delta(3)
		assert.True(t, ok, "the delta of each generation is kept for peers that are behind")
	})
}

// Guards against a panic in catchUp if a roll at this instance puts the hinted bundle in force after catchUp was chosen and before it runs.
func TestCatchUpWithoutHintsDoesNotPanic(t *testing.T) {
	s := memkv.New()
	rollTo(t, s, 1)
	c := newController(s, newPeers())
	require.NoError(t, c.Reconcile(t.Context()))
	require.NoError(t, c.catchUp(t.Context()))
}
