// Package upkeep maintains the records of batch jobs and files and the blobs that the records refer to. It restores the second copy of
// these blobs, removes the records of jobs and files after the retention time, and determines for the garbage collection of blobs which
// blobs are still referenced.
//
// The records of shard n are those of its jobs, and those of the files whose caller's digest begins with n in hexadecimal, so that one
// listing returns the jobs of a shard and one the files. Each instance walks the records of the shards that it owns. All writes compare
// the epoch of the shard and the revision of the record.
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
	// passInterval is the interval of passes, which check for lost holders and for shards whose walk is due.
	passInterval = 10 * time.Second
	// maxWalkInterval is the longest interval between whole walks of a shard, which check the copies of every blob at its holders. At the design
	// size (700,000 blobs) they result in 390 such requests per second in the fleet.
	maxWalkInterval = time.Hour
	// maxFirstWalkDelay is the maximum random delay of the first walk of a newly owned shard. It spreads the first walks when many shards
	// are acquired together.
	maxFirstWalkDelay = time.Minute
	// minRetryDelay is the delay before a failed walk is retried; it doubles with each failure, up to maxWalkInterval.
	minRetryDelay = time.Minute
	// writesPerSecond and writeBurst limit the writes of one instance. With 370 instances, the loss of a failure domain results in 185
	// writes per second.
	writesPerSecond = 0.5
	writeBurst      = 8
	// maxRecordsPerWrite is the maximum number of records written or removed in one transaction. The store accepts up to 128 comparisons and
	// 128 operations.
	maxRecordsPerWrite = 32
	// storePurpose labels the store calls of this package.
	storePurpose = "upkeep"
)

// Repairer restores copies of blobs. bulk.Store implements it.
type Repairer interface {
	// Repair restores missing copies of a blob. It returns the reference to record, and whether it differs from ref.
	Repair(ctx context.Context, ref batch.BlobRef) (batch.BlobRef, bool, error)
	// Replaceable returns the holders that have been gone for at least the repair delay.
	Replaceable(holders []fleet.InstanceID) []fleet.InstanceID
}

// Shards returns the shards that this instance owns, and their epochs. shards.Keeper implements it.
type Shards interface {
	Owned() []shards.Ownership
	Epoch(shard batch.Shard) (uint64, bool)
}

// Config holds the dependencies and settings of a Keeper.
type Config struct {
	Store       kv.Store
	Shards      Shards
	Repairer    Repairer
	DiskHolders func() []fleet.InstanceID // the known instances with a disk
	Retention   time.Duration             // from the end of a job or the upload of a file to the removal of its records
	Seed        uint64
}

// Keeper walks the records of owned shards. It is not safe for concurrent use.
type Keeper struct {
	config      Config
	writes      *rate.Limiter
	random      *rand.Rand
	shards      map[batch.Shard]*shardState
	handledLost map[fleet.InstanceID]bool // lost holders for which a walk of every shard was already scheduled
}

// shardState is the schedule of the walks of an owned shard, and the holders found by its last whole walk.
type shardState struct {
	epoch         uint64
	nextWholeWalk time.Time // next whole walk
	nextLostWalk  time.Time // next walk for blobs of lost holders only; zero if none is due
	holders       map[fleet.InstanceID]bool
	retryDelay    time.Duration // delay after the next failed walk
}

// New returns a keeper without shards; Pass adds those that this instance owns.
func New(config Config) *Keeper {
	return &Keeper{
		config:      config,
		writes:      rate.NewLimiter(writesPerSecond, writeBurst),
		random:      rand.New(rand.NewPCG(config.Seed, 0)),
		shards:      make(map[batch.Shard]*shardState),
		handledLost: make(map[fleet.InstanceID]bool),
	}
}

// Run calls Pass every passInterval until ctx is done. It needs its own goroutine, since repairs may take minutes at the limited write rate.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(passInterval)
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

// Pass updates the owned shards and the lost holders, and walks the shards whose walk is due.
func (k *Keeper) Pass(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, storePurpose)
	k.updateShards(time.Now())
	lost := k.updateLost(time.Now())
	for shard, state := range k.shards {
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		whole := !now.Before(state.nextWholeWalk)
		if !whole && (state.nextLostWalk.IsZero() || now.Before(state.nextLostWalk)) {
			continue
		}
		k.walk(ctx, shard, state, whole, lost)
	}
}

// updateShards adds shards that this instance has acquired and removes those that it no longer owns.
func (k *Keeper) updateShards(now time.Time) {
	owned := make(map[batch.Shard]bool)
	for _, o := range k.config.Shards.Owned() {
		owned[o.Shard] = true
		if state, ok := k.shards[o.Shard]; ok && state.epoch == o.Epoch {
			continue
		}
		first := now.Add(time.Duration(k.random.Int64N(int64(maxFirstWalkDelay))))
		k.shards[o.Shard] = &shardState{epoch: o.Epoch, nextWholeWalk: first, holders: map[fleet.InstanceID]bool{}, retryDelay: minRetryDelay}
	}
	for shard := range k.shards {
		if !owned[shard] {
			delete(k.shards, shard)
		}
	}
}

// updateLost returns the holders whose copies must be replaced. For each new one it schedules a walk of every shard.
func (k *Keeper) updateLost(now time.Time) map[fleet.InstanceID]bool {
	known := k.config.DiskHolders()
	for _, state := range k.shards {
		for id := range state.holders {
			known = append(known, id)
		}
	}
	lost := make(map[fleet.InstanceID]bool)
	for _, id := range k.config.Repairer.Replaceable(known) {
		lost[id] = true
		if k.handledLost[id] {
			continue
		}
		klog.InfoS("Holder of blob copies is lost; its copies are being replaced", "holder", id)
		for _, state := range k.shards {
			state.nextLostWalk = now
		}
	}
	k.handledLost = lost
	return lost
}

// walk walks the records of one shard and schedules the next walk.
func (k *Keeper) walk(ctx context.Context, shard batch.Shard, state *shardState, whole bool, lost map[fleet.InstanceID]bool) {
	w := &walk{keeper: k, shard: shard, whole: whole, lost: lost, holders: make(map[fleet.InstanceID]bool)}
	err := w.run(ctx)
	now := time.Now()
	if err != nil {
		klog.ErrorS(err, "Walk of the records of a shard failed; it will be retried", "shard", shard)
		state.nextLostWalk = now.Add(state.retryDelay)
		state.retryDelay = min(2*state.retryDelay, maxWalkInterval)
		if whole {
			state.nextWholeWalk = state.nextLostWalk
		}
		return
	}
	state.nextLostWalk, state.retryDelay = time.Time{}, minRetryDelay
	if whole {
		state.holders = w.holders
		state.nextWholeWalk = now.Add(maxWalkInterval - time.Duration(k.random.Int64N(int64(maxWalkInterval/4))))
	}
}
