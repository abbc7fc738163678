// Package batch runs the jobs of the shards that this instance owns: it loads open jobs, runs their items chunk by chunk through an
// Executor, stores the results in bulk storage and records each chunk in one transaction that compares the shard's epoch.
//
// Workers start chunks in the order of core/batch and hold no lock across I/O. An item is dispatched only while the shard's epoch is
// this instance's own; a record is written only if the store agrees. A lost shard therefore costs repeated work at most.
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

// Errors of this layer.
var (
	// ErrNotOwner means that this instance does not own the shard, or no longer under the epoch that it knew.
	ErrNotOwner = eris.New("shard is not owned by this instance")
	// ErrJobEnded means that the job was cancelled or finished.
	ErrJobEnded = eris.New("job has ended")
	// ErrChanged means that a record is not as this instance last read it.
	ErrChanged = eris.New("record was changed by another owner")
	// ErrBulk means that a blob cannot be read.
	ErrBulk = eris.New("blob cannot be read")
	// ErrStore means that the store did not confirm a write.
	ErrStore = eris.New("store did not confirm the write")
)

const (
	// ReconcileEvery is the period for registering the Runner: the longest time until a new or cancelled job is noticed. The fleet makes
	// 256 reads each period, 4 % of the store's reads.
	ReconcileEvery = 3 * time.Second
	// ownerWait is how long results and items wait for their shard once this instance owns shards again. After a store outage it acquires
	// its shards within seconds; what does not come back by then is somebody else's.
	ownerWait = 30 * time.Second
	// storePurpose labels the store calls of this package.
	storePurpose = "batch"
)

// Item is one item of a job to be executed.
type Item struct {
	Job        batch.JobID
	Caller     fleet.CallerID
	Endpoint   string
	Index      int    // within the job
	Try        int    // from 0
	Line       []byte // JSON line as the caller uploaded it; must not be changed
	Repeatable bool   // false: dispatch must not repeat it unless it certainly did not run
	Deadline   time.Time
	AtRisk     bool // the job may miss its deadline
	// MayRun tells whether the item's shard is still owned. Ask right before the item is sent: the wait for room at a target, or a pause
	// of the process, may outlast the lease.
	MayRun func() bool
}

// ItemOutcome is the outcome of one attempt.
type ItemOutcome struct {
	Kind   batch.OutcomeKind
	HTTP   int    // status of the target's response, 0 without one
	Body   []byte // JSON of the response
	Reason string // for every kind but completed
}

// Executor runs one attempt of an item. It waits while the batch limit of the targets is reached, and returns when ctx ends; the attempt
// is then AttemptNotRun or AttemptUnknown.
type Executor interface {
	Execute(ctx context.Context, item Item) ItemOutcome
}

// Bulk reads and writes blobs.
type Bulk interface {
	Put(ctx context.Context, data []byte) (batch.BlobRef, error)
	Get(ctx context.Context, ref batch.BlobRef) ([]byte, error)
}

// Shards tells which shards this instance owns; shards.Keeper implements it.
type Shards interface {
	Owned() []shards.Ownership
	Epoch(shard batch.Shard) (uint64, bool)
}

// Config holds the settings of a Runner.
type Config struct {
	Workers     int // chunks run at once; 0 means 16
	ChunkItems  int // items of one chunk in flight at once; 0 means 64
	MaxUnsaved  int // finished chunks that wait for the store, about 1 KB each; 0 means 1024
	StoreWaitMs int // pause before a store or bulk call is tried again, in milliseconds; 0 means 1000

	// Ended is told of each item that ends otherwise than completed, with its reason; nil ignores them. It must not block.
	Ended func(batch.Job, batch.Result)
}

func (c Config) withDefaults() Config {
	const (
		workers     = 16
		chunkItems  = 64
		maxUnsaved  = 1024
		storeWaitMs = 1000
	)
	if c.Ended == nil {
		c.Ended = func(batch.Job, batch.Result) {}
	}
	c.Workers = orDefault(c.Workers, workers)
	c.ChunkItems = orDefault(c.ChunkItems, chunkItems)
	c.MaxUnsaved = orDefault(c.MaxUnsaved, maxUnsaved)
	c.StoreWaitMs = orDefault(c.StoreWaitMs, storeWaitMs)
	return c
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// Runner runs chunks. Reconcile and Run are called by different goroutines; it implements workers.Controller.
type Runner struct {
	store    kv.Store
	bulk     Bulk
	shards   Shards
	executor Executor
	config   Config

	mu       sync.Mutex // guards the fields below; not held across I/O. The shards' lock may be taken under it.
	ready    *sync.Cond // signalled when a chunk may have become startable
	jobs     map[batch.JobID]*job
	tasks    map[chunkID]*task // running, or finished and not yet recorded
	unsaved  []*task           // finished and not yet recorded, oldest first
	acting   time.Time         // since when this instance owns shards; zero while it owns none
	order    *batch.Order
	draining bool
}

// chunkID names a chunk.
type chunkID struct {
	job batch.JobID
	n   int
}

// New returns a runner. Register it as a controller and call Run.
func New(store kv.Store, bulk Bulk, owned Shards, executor Executor, config Config) *Runner {
	r := &Runner{
		store:    store,
		bulk:     bulk,
		shards:   owned,
		executor: executor,
		config:   config.withDefaults(),
		jobs:     make(map[batch.JobID]*job),
		tasks:    make(map[chunkID]*task),
		order:    batch.NewOrder(),
	}
	r.ready = sync.NewCond(&r.mu)
	return r
}

// Name implements workers.Controller.
func (*Runner) Name() string { return "batch" }

// Reconcile implements workers.Controller: it records what waits for the store, loads and drops jobs, and finishes those that are done.
func (r *Runner) Reconcile(ctx context.Context) error {
	ctx = kv.WithPurpose(ctx, storePurpose)
	r.noteActing(time.Now())
	r.saveAll(ctx)
	err := r.load(ctx)
	r.finishAll(ctx)
	r.wake()
	return err
}

// Run runs chunks on the configured number of workers and returns when ctx ends and every worker has returned.
func (r *Runner) Run(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, storePurpose)
	stop := context.AfterFunc(ctx, r.wake)
	defer stop()
	var group sync.WaitGroup
	for range r.config.Workers {
		group.Go(func() { r.work(ctx) })
	}
	group.Wait()
}

// Busy tells whether chunks of the shard are running or wait to be recorded.
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

// Drain starts no further chunk and returns when the running ones are recorded, or with the error of ctx. Reconcile passes must go on.
func (r *Runner) Drain(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.wake)
	defer stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	for len(r.tasks) > 0 && ctx.Err() == nil {
		r.ready.Wait()
	}
	return ctx.Err()
}

// noteActing keeps the time since when this instance owns shards.
func (r *Runner) noteActing(now time.Time) {
	owns := len(r.shards.Owned()) > 0
	r.mu.Lock()
	defer r.mu.Unlock()
	if !owns {
		r.acting = time.Time{}
	} else if r.acting.IsZero() {
		r.acting = now
	}
}

// gone tells whether a shard that is not owned will not come back to this instance soon.
func (r *Runner) gone(shard batch.Shard) bool {
	if _, owned := r.shards.Epoch(shard); owned {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.acting.IsZero() && time.Since(r.acting) > ownerWait
}

// wake lets waiting workers look again.
func (r *Runner) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready.Broadcast()
}
