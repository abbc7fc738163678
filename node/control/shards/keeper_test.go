package shards_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/control/shards"
	"eelgrassproxy.example/node/internal/memkv"
	"github.com/stretchr/testify/require"
)

// lease is a minimal correct shards.Lease: MayAct returns false from 2 s before expiry.
type lease struct {
	mu    sync.Mutex
	until time.Time
}

func (l *lease) Granted(sentAt time.Time, ttl time.Duration) { l.Renewed(sentAt, ttl) }
func (l *lease) Renewed(sentAt time.Time, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = sentAt.Add(ttl - 2*time.Second)
}
func (l *lease) Lost() { l.Renewed(time.Time{}, 0) }
func (l *lease) MayAct(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
}

// node is an instance whose Reconcile the test calls once a second.
type node struct {
	keeper *shards.Keeper
	paused bool
	busy   bool
}

type cluster struct {
	t         *testing.T
	store     *memkv.Store
	alive     []fleet.InstanceID
	nodes     map[fleet.InstanceID]*node
	order     []fleet.InstanceID
	maxEpochs map[batch.Shard]uint64 // highest epoch with which the shard was owned
}

func newCluster(t *testing.T, ids ...fleet.InstanceID) *cluster {
	c := &cluster{t: t, store: memkv.New(), nodes: map[fleet.InstanceID]*node{}, maxEpochs: map[batch.Shard]uint64{}}
	for _, id := range ids {
		c.join(id)
	}
	return c
}

func (c *cluster) join(id fleet.InstanceID) {
	n := &node{}
	n.keeper = shards.New(c.store, shards.Config{
		Self:           id,
		AliveInstances: func() []fleet.InstanceID { return c.alive },
		Lease:          &lease{},
		IsBusy:         func(batch.Shard) bool { return n.busy },
		Seed:           uint64(len(c.nodes)),
	})
	c.nodes[id] = n
	c.order = append(c.order, id)
	c.alive = append(c.alive, id)
}

// run calls Reconcile of all nodes once a second for the given time, and checks each time that no shard has two owners and that no epoch
// decreases.
func (c *cluster) run(ctx context.Context, d time.Duration) {
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		for _, id := range c.order {
			if n := c.nodes[id]; !n.paused {
				_ = n.keeper.Reconcile(ctx)
			}
		}
		synctest.Wait()
		c.check()
	}
}

func (c *cluster) check() {
	owner := map[batch.Shard]fleet.InstanceID{}
	for _, id := range c.order {
		for _, o := range c.nodes[id].keeper.Owned() {
			require.Empty(c.t, owner[o.Shard], "shard %s has two owners", o.Shard)
			require.GreaterOrEqual(c.t, o.Epoch, c.maxEpochs[o.Shard])
			owner[o.Shard], c.maxEpochs[o.Shard] = id, o.Epoch
		}
	}
}

func (c *cluster) ownedCount(id fleet.InstanceID) int { return len(c.nodes[id].keeper.Owned()) }

// Guards against shards that after the loss of an instance have no owner, two owners, or the epoch of their former owner.
func TestAllShardsAreOwnedOnceAndMoveWhenAnInstanceIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		ctx := t.Context()
		c.run(ctx, 40*time.Second)
		require.Equal(t, batch.Shards, c.ownedCount("a")+c.ownedCount("b")+c.ownedCount("c"))
		before := c.nodes["a"].keeper.Owned()
		c.nodes["a"].paused = true
		c.alive = []fleet.InstanceID{"b", "c"}
		c.run(ctx, 60*time.Second)
		require.Equal(t, batch.Shards, c.ownedCount("b")+c.ownedCount("c"))
		for _, o := range before {
			require.Greater(t, c.maxEpochs[o.Shard], o.Epoch)
		}
		c.nodes["a"].paused = false
		require.Zero(t, c.ownedCount("a"), "an instance that resumes must not act before it has acquired shards again")
	})
}

// Guards against a takeover before the former owner has stopped, when the members still list the paused instance as alive.
func TestAPausedOwnerStopsBeforeOthersTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b")
		ctx := t.Context()
		c.run(ctx, 40*time.Second)
		owned := c.nodes["a"].keeper.Owned()
		c.nodes["a"].paused = true
		c.run(ctx, 90*time.Second)
		for _, o := range owned {
			_, acts := c.nodes["a"].keeper.Epoch(o.Shard)
			require.False(t, acts, "shard %s", o.Shard)
		}
		require.Equal(t, batch.Shards, c.ownedCount("b"), "the instance with the next rank takes over after takeoverWait")
	})
}

// Guards against moving all work at once to an instance that joins, and against releasing a shard with running chunks.
func TestAJoiningInstanceGetsAFewShardsASecondAndNoBusyOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a")
		ctx := t.Context()
		c.run(ctx, 80*time.Second)
		require.Equal(t, batch.Shards, c.ownedCount("a"))
		c.nodes["a"].busy = true
		c.join("b")
		c.run(ctx, 10*time.Second)
		require.Zero(t, c.ownedCount("b"))
		c.nodes["a"].busy = false
		for range 30 {
			had := c.ownedCount("b")
			c.run(ctx, time.Second)
			require.LessOrEqual(t, c.ownedCount("b")-had, 5)
		}
		c.run(ctx, 60*time.Second)
		require.InDelta(t, batch.Shards/2, c.ownedCount("b"), 40)
		require.Equal(t, batch.Shards, c.ownedCount("a")+c.ownedCount("b"))
	})
}

// Guards against a shard that has an owner in the store but that no instance treats as its own, because the response to its acquisition was
// lost.
func TestAnAcquisitionWithALostResponseIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a")
		lost := 0
		c.store.OnTxn(nil, func(kv.Txn) error {
			lost++
			if lost%3 == 0 {
				return kv.ErrOutcomeUnknown
			}
			return nil
		})
		c.run(t.Context(), 300*time.Second)
		require.Equal(t, batch.Shards, c.ownedCount("a"))
		for shard, epoch := range c.maxEpochs {
			require.Equal(t, uint64(1), epoch, "shard %s", shard)
		}
	})
}

// Guards against a burst of store calls from all instances when the store becomes available again.
func TestRecoveryAfterAnOutageIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := []fleet.InstanceID{"a", "b", "c", "d", "e", "f", "g", "h"}
		c := newCluster(t, ids...)
		ctx := t.Context()
		c.run(ctx, 40*time.Second)
		c.store.SetDown(true)
		c.run(ctx, 60*time.Second)
		for _, id := range ids {
			require.Zero(t, c.ownedCount(id))
		}
		c.store.SetDown(false)
		most, total := 0, 0
		for range 40 {
			had := c.store.Calls()
			c.run(ctx, time.Second)
			most = max(most, c.store.Calls()-had)
		}
		for _, id := range ids {
			total += c.ownedCount(id)
		}
		require.Equal(t, batch.Shards, total)
		require.LessOrEqual(t, most, len(ids)*12, "calls in one second")
		t.Logf("most calls in one second after the outage: %d by %d instances", most, len(ids))
	})
}
