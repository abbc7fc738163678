// Package upkeep keeps what batch jobs and files leave behind: it restores the second copy of the blobs that records name, removes jobs
// and files after the retention time, and tells the collector of blobs which ones are still named.
//
// The records of shard n are those of its jobs, and those of the files whose caller's digest begins with n in hexadecimal, so that one
// listing finds each. Every instance walks the records of the shards that it owns. All writes compare the shard's epoch and the revision
// of the record.
package upkeep

import (
	"context"
	"math/rand/v2"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/control/shards"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// passEvery is the period in which lost holders and due shards are looked for.
	passEvery = 10 * time.Second
	// walkEvery is the period of a whole walk of a shard, in which every holder is asked for its copies. At the design size (700,000 blobs)
	// that makes 390 questions a second in the fleet.
	walkEvery = time.Hour
	// firstWalkWithin spreads the first walks of newly owned shards.
	firstWalkWithin = time.Minute
	// retryAfter is the wait before a walk that failed is repeated; it doubles up to walkEvery.
	retryAfter = time.Minute
	// writesPerSecond and writeBurst bound the writes of one instance: 370 instances make 185 writes a second when a failure domain is lost.
	writesPerSecond = 0.5
	writeBurst      = 8
	// writeGroup is the number of records written or removed in one transaction. The store takes 128 comparisons and 128 operations.
	writeGroup = 32
	// storePurpose labels the store calls of this package.
	storePurpose = "upkeep"
)

// Repairer restores copies; bulk.Store implements it.
type Repairer interface {
	// Repair returns the reference to record, and whether it differs.
	Repair(ctx context.Context, ref batch.BlobRef) (batch.BlobRef, bool, error)
	// Replaceable returns those of the holders that have been gone for the repair delay.
	Replaceable(holders []fleet.InstanceID) []fleet.InstanceID
}

// Shards tells which shards this instance owns; shards.Keeper implements it.
type Shards interface {
	Owned() []shards.Ownership
	Epoch(shard batch.Shard) (uint64, bool)
}

// Config holds the parts and settings of a Keeper.
type Config struct {
	Store     kv.Store
	Shards    Shards
	Bulk      Repairer
	Holders   func() []fleet.InstanceID // the known instances with a disk
	Retention time.Duration             // from the end of a job or the upload of a file to the removal of its records
	Seed      uint64
}

// Keeper walks the records of owned shards. Its methods are called by one goroutine.
type Keeper struct {
	config  Config
	writes  *rate.Limiter
	random  *rand.Rand
	shards  map[batch.Shard]*shardState
	handled map[fleet.InstanceID]bool // lost holders for which every shard's walk has been made due
}

// shardState is what is known of one owned shard.
type shardState struct {
	epoch   uint64
	wholeAt time.Time // next whole walk
	lostAt  time.Time // next walk for blobs of lost holders only; zero if none is due
	holders map[fleet.InstanceID]bool
	retry   time.Duration // wait after the next failed walk
}

// New returns a keeper that knows of no shard yet.
func New(config Config) *Keeper {
	return &Keeper{
		config:  config,
		writes:  rate.NewLimiter(writesPerSecond, writeBurst),
		random:  rand.New(rand.NewPCG(config.Seed, 0)),
		shards:  make(map[batch.Shard]*shardState),
		handled: make(map[fleet.InstanceID]bool),
	}
}

// Run makes passes until ctx ends. It has a goroutine of its own, since a repair at the limited rate may take minutes.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(passEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.Pass(ctx)
		}
	}
}

// Pass walks the shards that are due.
func (k *Keeper) Pass(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, storePurpose)
	k.follow(time.Now())
	lost := k.lost(time.Now())
	for shard, state := range k.shards {
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		whole := !now.Before(state.wholeAt)
		if !whole && (state.lostAt.IsZero() || now.Before(state.lostAt)) {
			continue
		}
		k.walk(ctx, shard, state, whole, lost)
	}
}

// follow takes up shards that were acquired and forgets those that were given up.
func (k *Keeper) follow(now time.Time) {
	owned := make(map[batch.Shard]bool)
	for _, o := range k.config.Shards.Owned() {
		owned[o.Shard] = true
		if state, ok := k.shards[o.Shard]; ok && state.epoch == o.Epoch {
			continue
		}
		first := now.Add(time.Duration(k.random.Int64N(int64(firstWalkWithin))))
		k.shards[o.Shard] = &shardState{epoch: o.Epoch, wholeAt: first, holders: map[fleet.InstanceID]bool{}, retry: retryAfter}
	}
	for shard := range k.shards {
		if !owned[shard] {
			delete(k.shards, shard)
		}
	}
}

// lost returns the holders whose copies are to be replaced. A holder that is newly among them makes every shard due.
func (k *Keeper) lost(now time.Time) map[fleet.InstanceID]bool {
	known := k.config.Holders()
	for _, state := range k.shards {
		for id := range state.holders {
			known = append(known, id)
		}
	}
	lost := make(map[fleet.InstanceID]bool)
	for _, id := range k.config.Bulk.Replaceable(known) {
		lost[id] = true
		if k.handled[id] {
			continue
		}
		klog.InfoS("A disk holder is lost, its copies are replaced", "holder", id)
		for _, state := range k.shards {
			state.lostAt = now
		}
	}
	k.handled = lost
	return lost
}

// walk walks one shard and sets when the next walk is due.
func (k *Keeper) walk(ctx context.Context, shard batch.Shard, state *shardState, whole bool, lost map[fleet.InstanceID]bool) {
	w := &walk{keeper: k, shard: shard, whole: whole, lost: lost, holders: make(map[fleet.InstanceID]bool)}
	err := w.run(ctx)
	now := time.Now()
	if err != nil {
		klog.ErrorS(err, "Records of a shard are not in order yet", "shard", shard)
		state.lostAt = now.Add(state.retry)
		state.retry = min(2*state.retry, walkEvery)
		if whole {
			state.wholeAt = state.lostAt
		}
		return
	}
	state.lostAt, state.retry = time.Time{}, retryAfter
	if whole {
		state.holders = w.holders
		state.wholeAt = now.Add(walkEvery - time.Duration(k.random.Int64N(int64(walkEvery/4))))
	}
}
