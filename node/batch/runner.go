// Package batch runs the jobs of batch files whose shards this instance owns; node/itemjobs runs jobs that each have an owner of their own. It
// loads open jobs, runs their items chunk by chunk through an Executor, puts the results into bulk storage and records each chunk in one
// transaction that compares the shard's epoch.
//
// Workers start chunks in the order given by core/batch and hold no lock during I/O. An item is dispatched only while this instance owns
// the shard, and a record is written only if the shard's epoch in the store is still the one of this instance. The loss of a shard
// therefore causes repeated work at most.
package batch

import (
	"context"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/control/shards"
	"github.com/rotisserie/eris"
)

// Errors of running and recording chunks.
var (
	// ErrNotOwner means that this instance does not own the shard, or that the shard's epoch has changed.
	ErrNotOwner = eris.New("shard is not owned by this instance")
	// ErrJobEnded means that the job is over, because it was cancelled or because it has finished.
	ErrJobEnded = eris.New("job has ended")
	// ErrChanged means that a record was changed since this instance last read it.
	ErrChanged = eris.New("record was changed by another owner")
	// ErrBulk means that a blob cannot be read from bulk storage.
	ErrBulk = eris.New("blob cannot be read")
	// ErrStore means that a store call failed; a write may or may not have taken effect.
	ErrStore = eris.New("store did not confirm the write")
)

const (
	// ReconcileEvery is the interval at which the Runner should run as a controller, and thus the longest time until it detects a new or
	// cancelled job. The fleet makes 256 reads per interval, 4 % of the store's reads.
	ReconcileEvery = 3 * time.Second
	// shardWaitTimeout is how long results and items wait for their shard after this instance owns any shards again. After a store outage, an
	// instance acquires its shards within seconds; a shard that is not back after this time belongs to another instance.
	shardWaitTimeout = 30 * time.Second
	// storePurpose labels the store calls of this package.
	storePurpose = "batch"
)

// Item is one item of a job to be executed.
type Item struct {
	Job        batch.JobID
	Caller     fleet.CallerID
	Endpoint   string
	Index      int       // index within the job
	Try        int       // attempts at the item before this one
	Line       []byte    // JSON line as the caller uploaded it; must not be modified
	Repeatable bool      // if false, the item must not be repeated unless it certainly did not run
	Deadline   time.Time // by this instance's clock
	AtRisk     bool      // the job may miss its deadline
	// MayRun reports whether the item's shard is still owned. The executor calls it immediately before it sends the item, since the lease
	// may expire while the item waits for room at a target or while the process is paused.
	MayRun func() bool
}

// ItemOutcome is the outcome of one attempt.
type ItemOutcome struct {
	Kind   batch.OutcomeKind
	HTTP   int    // status of the target's response; 0 if there is none
	Body   []byte // body of the target's response
	Reason string // why the attempt did not complete; unused for AttemptCompleted
}

// Executor makes one attempt to run an item. Execute waits while the targets have no room for batch. If ctx ends, it returns with
// AttemptNotRun or AttemptUnknown. It must be safe for concurrent use.
type Executor interface {
	Execute(ctx context.Context, item Item) ItemOutcome
}

// Bulk reads and writes blobs in bulk storage. It must be safe for concurrent use.
type Bulk interface {
	Put(ctx context.Context, data []byte) (batch.BlobRef, error)
	Get(ctx context.Context, ref batch.BlobRef) ([]byte, error)
}

// Shards provides the shards that this instance owns, with their epochs. shards.Keeper implements it.
type Shards interface {
	Owned() []shards.Ownership
	Epoch(shard batch.Shard) (uint64, bool)
}

// Config holds the settings of a Runner.
type Config struct {
	Workers           int // maximum of chunks running at the same time; 0 means 16
	ChunkItems        int // maximum of items of one chunk in flight; 0 means 64
	MaxUnsaved        int // finished chunks not yet recorded, about 1 KB each, at which no further chunk is started; 0 means 1024
	StoreRetryDelayMs int // delay before a store or bulk call is retried, in milliseconds; 0 means 1000

	// Now returns the current time, with a reading of the monotonic clock; nil means time.Now. The time of day may differ from that of other
	// instances and be set at any time.
	Now func() time.Time
	// OnItemNotCompleted is called for each item that ends without being completed, with its result, which holds the reason. It must not block and
	// must be safe for concurrent use. It may be nil.
	OnItemNotCompleted func(batch.Job, batch.Result)
}

func (c Config) withDefaults() Config {
	const (
		workers           = 16
		chunkItems        = 64
		maxUnsaved        = 1024
		storeRetryDelayMs = 1000
	)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OnItemNotCompleted == nil {
		c.OnItemNotCompleted = func(batch.Job, batch.Result) {}
	}
	c.Workers = orDefault(c.Workers, workers)
	c.ChunkItems = orDefault(c.ChunkItems, chunkItems)
	c.MaxUnsaved = orDefault(c.MaxUnsaved, maxUnsaved)
	c.StoreRetryDelayMs = orDefault(c.StoreRetryDelayMs, storeRetryDelayMs)
	return c
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// Runner runs the chunks of jobs. It implements workers.Controller and is safe for concurrent use: Reconcile and Run are called by
// different goroutines.
type Runner struct {
	store    kv.Store
	bulk     Bulk
	shards   Shards
	executor Executor
	config   Config

	mu          sync.Mutex // guards the fields below; not held during I/O. The lock of shards may be acquired while it is held.
	ready       *sync.Cond // signalled when a chunk may have become startable or has ended
	jobs        map[batch.JobID]*job
	tasks       map[chunkID]*task // running, or finished and not yet recorded
	unsaved     []*task           // finished and not yet recorded, oldest first
	owningSince time.Time         // time since which this instance owns shards; zero while it owns none
	scheduler   *batch.Scheduler
	draining    bool

	ages map[batch.Shard]shardAges // used by Reconcile only
}

// chunkID identifies a chunk by its job and its number within the job.
type chunkID struct {
	job batch.JobID
	n   int
}

// New returns a Runner. The caller must register it as a controller and call Run.
func New(store kv.Store, bulk Bulk, owned Shards, executor Executor, config Config) *Runner {
	r := &Runner{
		store:     store,
		bulk:      bulk,
		shards:    owned,
		executor:  executor,
		config:    config.withDefaults(),
		jobs:      make(map[batch.JobID]*job),
		tasks:     make(map[chunkID]*task),
		scheduler: batch.NewScheduler(),
		ages:      make(map[batch.Shard]shardAges),
	}
	r.ready = sync.NewCond(&r.mu)
	return r
}

// Name implements workers.Controller.
func (*Runner) Name() string { return "batch" }

// Reconcile implements workers.Controller. It records finished chunks that wait for the store, loads and drops jobs, and finishes the jobs
// whose chunks are all recorded.
func (r *Runner) Reconcile(ctx context.Context) error {
	ctx = kv.WithPurpose(ctx, storePurpose)
	r.updateOwningSince(r.config.Now())
	r.saveAll(ctx)
	err := r.load(ctx)
	r.finishAll(ctx)
	r.wakeWorkers()
	return err
}

// Run runs chunks on the configured number of workers. It returns when ctx has ended and every worker has returned.
func (r *Runner) Run(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, storePurpose)
	stop := context.AfterFunc(ctx, r.wakeWorkers)
	defer stop()
	var group sync.WaitGroup
	for range r.config.Workers {
		group.Go(func() { r.work(ctx) })
	}
	group.Wait()
}

// Busy reports whether chunks of the shard are running or wait to be recorded.
func (r *Runner) Busy(shard batch.Shard) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.tasks {
		if id.job.Shard() == shard {
			return true
		}
	}
	return false
}

// Drain stops starting chunks and waits until the running ones are recorded. It returns the error of ctx if ctx ends first. Reconcile must
// still be called, since it records chunks.
func (r *Runner) Drain(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.wakeWorkers)
	defer stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	for len(r.tasks) > 0 && ctx.Err() == nil {
		r.ready.Wait()
	}
	return ctx.Err()
}

// updateOwningSince updates the time since which this instance owns shards.
func (r *Runner) updateOwningSince(now time.Time) {
	owns := len(r.shards.Owned()) > 0
	r.mu.Lock()
	defer r.mu.Unlock()
	if !owns {
		r.owningSince = time.Time{}
	} else if r.owningSince.IsZero() {
		r.owningSince = now
	}
}

// shardLost reports whether the shard is considered lost: it is not owned although this instance has owned shards for longer than
// shardWaitTimeout.
func (r *Runner) shardLost(shard batch.Shard) bool {
	if _, owned := r.shards.Epoch(shard); owned {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.owningSince.IsZero() && r.config.Now().Sub(r.owningSince) > shardWaitTimeout
}

// wakeWorkers makes waiting workers look for a chunk again.
func (r *Runner) wakeWorkers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready.Broadcast()
}
