// Package shards keeps this instance's part of the 256 shards of batch jobs: it acquires the shards that rendezvous hashing gives to
// this instance, under one lease and with an epoch for each shard, and hands over those that belong elsewhere.
package shards

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

const (
	// ReconcileEvery is the period for registering the Keeper.
	ReconcileEvery = time.Second
	// LeaseTTL is the time to live of the lease that all owner records hang on.
	LeaseTTL = 15 * time.Second
	// renewEvery leaves two further tries before the lease expires.
	renewEvery = 5 * time.Second
	// listEvery is the period of listings beside the watch; a watch may miss changes without an error.
	listEvery = time.Minute
	// recoverySpread spreads the listings of all instances after their watches ended together. A listing is about 50 KB.
	recoverySpread = 5 * time.Second
	// longestRetry bounds the random wait after a failed store call; 370 instances then make about 250 calls a second.
	longestRetry = 3 * time.Second
	// takeoverWait is how long a shard must be free for each rank between this instance and the desired owner.
	takeoverWait = 10 * time.Second
	// minHold is the shortest time from an acquisition to a voluntary release. It keeps two instances with different views of the
	// members from passing a shard to and fro.
	minHold = 30 * time.Second
	// takeoverHold is minHold after a takeover: the desired owner is alive for the members but acquires nothing, so that giving the
	// shard back soon would leave it without an owner again.
	takeoverHold = 5 * time.Minute
	// acquirePerPass bounds the acquisitions of a pass: 8 instances of a small fleet make 128 writes a second.
	acquirePerPass = 16
	// releasePerPass bounds the shards handed over in a pass, so that a joining instance moves work gently.
	releasePerPass = 4
	// storePurpose labels the store calls of this package.
	storePurpose = "shards"
)

// Lease is what a holder may assume about its lease. Times are counted from before a request was sent.
type Lease interface {
	Granted(sentAt time.Time, ttl time.Duration)
	Renewed(sentAt time.Time, ttl time.Duration)
	Lost()
	MayAct(now time.Time) bool
}

// Ownership is one shard that this instance owns, with the epoch of its acquisition.
type Ownership struct {
	Shard batch.Shard
	Epoch uint64
}

// Config holds the settings of a Keeper.
type Config struct {
	Self  fleet.InstanceID
	Alive func() []fleet.InstanceID // instances that may own shards; without Self every shard is handed over
	Lease Lease                     // used by the Keeper only
	Busy  func(batch.Shard) bool    // tells whether chunks of the shard are running or wait to be recorded; nil: never
	Seed  uint64                    // seed of the jitter
}

// Keeper owns shards. Owned, Epoch and Close are safe for concurrent use; it implements workers.Controller.
type Keeper struct {
	store  kv.Store
	config Config

	mu    sync.Mutex // guards owned and the lease state; not held across I/O or while Busy is called
	owned map[batch.Shard]ownedShard
	lease kv.LeaseID // 0 while none is held

	// The fields below are used by Reconcile only.
	renewAt time.Time
	retryAt time.Time
	view    view
	ranking ranking
	random  *rand.Rand
}

type ownedShard struct {
	epoch   uint64
	keepTo  time.Time // no voluntary release before
	leaving bool      // gets no new chunks and is released when it is no longer busy
}

// New returns a Keeper that owns nothing yet.
func New(store kv.Store, config Config) *Keeper {
	if config.Busy == nil {
		config.Busy = func(batch.Shard) bool { return false }
	}
	return &Keeper{
		store:  store,
		config: config,
		owned:  make(map[batch.Shard]ownedShard),
		random: rand.New(rand.NewPCG(config.Seed, 0)),
	}
}

// Name implements workers.Controller.
func (*Keeper) Name() string { return "shards" }

// Owned returns the shards in which new work may be started, none once the lease may no longer be acted on.
func (k *Keeper) Owned() []Ownership {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.config.Lease.MayAct(time.Now()) {
		return nil
	}
	owned := make([]Ownership, 0, len(k.owned))
	for shard, o := range k.owned {
		if !o.leaving {
			owned = append(owned, Ownership{Shard: shard, Epoch: o.epoch})
		}
	}
	return owned
}

// Epoch returns the epoch under which this instance owns the shard; false if it does not or may no longer act. A shard that is being
// handed over has an epoch until it is released, so that its running chunks are recorded.
func (k *Keeper) Epoch(shard batch.Shard) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o, ok := k.owned[shard]
	if !ok || !k.config.Lease.MayAct(time.Now()) {
		return 0, false
	}
	return o.epoch, true
}

// Reconcile implements workers.Controller: it renews the lease, follows the owners, and acquires and releases shards.
func (k *Keeper) Reconcile(ctx context.Context) error {
	if time.Now().Before(k.retryAt) {
		return nil
	}
	err := k.pass(kv.WithPurpose(ctx, storePurpose))
	if err != nil {
		k.retryAt = time.Now().Add(k.jitter(longestRetry))
	}
	return err
}

func (k *Keeper) pass(ctx context.Context) error {
	if err := k.keepLease(ctx); err != nil {
		return eris.Wrap(err, "keep the lease of shards")
	}
	if err := k.follow(ctx); err != nil {
		return eris.Wrap(err, "follow the owners of shards")
	}
	k.settle(time.Now())
	if !k.view.current() {
		return nil
	}
	k.ranking.update(k.config.Alive())
	if err := k.acquire(ctx); err != nil {
		return eris.Wrap(err, "acquire a shard")
	}
	return eris.Wrap(k.release(ctx), "release a shard")
}

// Close gives up all shards at once by revoking the lease. Call it when no chunk is running and no further pass will run.
func (k *Keeper) Close(ctx context.Context) error {
	k.mu.Lock()
	lease := k.lease
	k.forgetLease()
	k.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return k.store.Revoke(kv.WithPurpose(ctx, storePurpose), lease)
}

// forgetLease drops the lease and all shards; k.mu is held.
func (k *Keeper) forgetLease() {
	k.config.Lease.Lost()
	k.lease = 0
	clear(k.owned)
}

func (k *Keeper) jitter(longest time.Duration) time.Duration {
	return time.Duration(k.random.Int64N(int64(longest)))
}
