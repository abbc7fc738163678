// Package shards manages which of the 256 shards of batch jobs this instance owns. It acquires the shards that rendezvous hashing assigns
// to this instance, under one lease and with an epoch for each shard, and releases shards that are assigned to other instances.
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
	// ReconcileInterval is the interval at which Keeper.Reconcile is to be called.
	ReconcileInterval = time.Second
	// LeaseTTL is the time to live of the lease to which all owner records of this instance are attached.
	LeaseTTL = 15 * time.Second
	// renewInterval is the interval of lease renewals. It leaves time for two more attempts before the lease expires.
	renewInterval = 5 * time.Second
	// maxListInterval is the longest interval between listings while a watch is open; a watch may miss changes without an error.
	maxListInterval = time.Minute
	// maxRecoveryDelay is the maximum random delay of the listing after a watch has ended. It spreads the listings of all instances when
	// their watches end at the same time. A listing is about 50 KB.
	maxRecoveryDelay = 5 * time.Second
	// maxRetryDelay is the maximum random delay after a failed pass. With 370 instances it results in about 250 store calls per second.
	maxRetryDelay = 3 * time.Second
	// takeoverWait is how long a shard must have been free, multiplied by the rank of this instance, before this instance acquires it. The
	// desired owner has rank 0.
	takeoverWait = 10 * time.Second
	// minHold is the minimum time between an acquisition and a voluntary release. It prevents two instances with different member
	// lists from passing a shard back and forth.
	minHold = 30 * time.Second
	// minTakeoverHold replaces minHold after a takeover. The desired owner is listed as alive but does not acquire shards; releasing the
	// shard early would leave it without an owner again.
	minTakeoverHold = 5 * time.Minute
	// maxAcquirePerPass is the maximum number of acquisitions in a pass. With 8 instances it results in up to 128 writes per second.
	maxAcquirePerPass = 16
	// maxLeaving is the maximum number of shards that are being handed over at the same time. It limits how fast work moves to an
	// instance that joins.
	maxLeaving = 4
	// storePurpose labels the store calls of this package.
	storePurpose = "shards"
)

// Lease tracks, by the local clock, whether this instance may still act on its lease in the store. The time to live is counted from sentAt,
// the time before the request was sent. The Keeper calls it under its mutex, so that an implementation need not be safe for concurrent use;
// lease.Holder of core/lease is one.
type Lease interface {
	Granted(sentAt time.Time, ttl time.Duration)
	Renewed(sentAt time.Time, ttl time.Duration)
	Lost()
	MayAct(now time.Time) bool
}

// Ownership is a shard that this instance owns, with the epoch of its acquisition.
type Ownership struct {
	Shard batch.Shard
	Epoch uint64
}

// Config holds the settings of a Keeper.
type Config struct {
	Self           fleet.InstanceID
	AliveInstances func() []fleet.InstanceID // instances that may own shards; without Self, as in a drain, all shards are handed over
	Lease          Lease                     // used by the Keeper only
	IsBusy         func(batch.Shard) bool    // reports whether chunks of the shard are running or not yet recorded; nil means never
	Seed           uint64                    // seed of the jitter
}

// Keeper acquires, holds and releases the shards of this instance. It implements workers.Controller. Owned, Epoch and Close are safe for
// concurrent use.
type Keeper struct {
	store  kv.Store
	config Config

	mu    sync.Mutex // guards owned, lease and the calls of config.Lease; not held during I/O or calls of config.IsBusy
	owned map[batch.Shard]ownedShard
	lease kv.LeaseID // 0 if no lease is held

	// The fields below are used by Reconcile only.
	renewAt time.Time
	retryAt time.Time
	view    view
	ranking ranking
	random  *rand.Rand
}

type ownedShard struct {
	epoch     uint64
	holdUntil time.Time // no voluntary release before this time
	leaving   bool      // being handed over: no new chunks are started, and the shard is released when it is no longer busy
}

// New returns a Keeper without a lease or shards.
func New(store kv.Store, config Config) *Keeper {
	if config.IsBusy == nil {
		config.IsBusy = func(batch.Shard) bool { return false }
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

// Owned returns the shards in which new work may be started. It returns none if the lease may no longer be acted on.
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

// Epoch returns the epoch under which this instance owns the shard, and false if it does not own the shard or may no longer act on its
// lease. A shard that is being handed over keeps its epoch until it is released, so that its running chunks can be recorded.
func (k *Keeper) Epoch(shard batch.Shard) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o, ok := k.owned[shard]
	if !ok || !k.config.Lease.MayAct(time.Now()) {
		return 0, false
	}
	return o.epoch, true
}

// Reconcile implements workers.Controller. It renews the lease, updates the owners from the store, and acquires and releases shards. After
// an error it does nothing until a random delay of up to maxRetryDelay has passed.
func (k *Keeper) Reconcile(ctx context.Context) error {
	if time.Now().Before(k.retryAt) {
		return nil
	}
	err := k.pass(kv.WithPurpose(ctx, storePurpose))
	if err != nil {
		k.retryAt = time.Now().Add(k.jitter(maxRetryDelay))
	}
	return err
}

func (k *Keeper) pass(ctx context.Context) error {
	if err := k.ensureLease(ctx); err != nil {
		return eris.Wrap(err, "grant or renew the lease of the shards")
	}
	if err := k.updateView(ctx); err != nil {
		return eris.Wrap(err, "update the owners of the shards")
	}
	k.updateOwned(time.Now())
	if !k.view.watching() {
		return nil
	}
	k.ranking.update(k.config.AliveInstances())
	if err := k.acquire(ctx); err != nil {
		return eris.Wrap(err, "acquire a shard")
	}
	return eris.Wrap(k.release(ctx), "release a shard")
}

// Close releases all shards at once by revoking the lease. It must be called only when no chunk is running and Reconcile will not be
// called again.
func (k *Keeper) Close(ctx context.Context) error {
	k.mu.Lock()
	lease := k.lease
	k.clearLease()
	k.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return k.store.Revoke(kv.WithPurpose(ctx, storePurpose), lease)
}

// clearLease clears the lease and the owned shards. k.mu must be held.
func (k *Keeper) clearLease() {
	k.config.Lease.Lost()
	k.lease = 0
	clear(k.owned)
}

func (k *Keeper) jitter(longest time.Duration) time.Duration {
	return time.Duration(k.random.Int64N(int64(longest)))
}
