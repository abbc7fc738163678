package batch

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// job is an open job of an owned shard. Runner.mu guards its fields except ctx and cancel.
type job struct {
	record    batch.Job
	revision  kv.Revision
	created   kv.Revision // of the record
	createdBy time.Time   // by this instance's clock: the job was created then or earlier
	expires   time.Time   // by this instance's clock: the end of the job's window, counted from createdBy
	epoch     uint64      // epoch of the shard when the records were read
	chunks    []chunkState
	pending   int // chunks that are not recorded
	counts    batch.Counts
	rate      batch.Rate
	nextChunk int             // every chunk before it is recorded or running, unless stale
	ctx       context.Context // ends when the job is dropped
	cancel    context.CancelFunc
	stale     bool // the records must be read again before another chunk is started
}

// chunkState is the state of one chunk of a job.
type chunkState struct {
	revision      kv.Revision  // revision of the chunk record; 0 if there is none
	claimed       *batch.Chunk // record in state claimed of a chunk that was started and not finished
	recorded      bool
	earliestStart time.Time // earliest start after its blobs could not be read
}

// load reads the open jobs of the owned shards into memory and drops the others.
func (r *Runner) load(ctx context.Context) error {
	epochs := make(map[batch.Shard]uint64)
	for _, o := range r.shards.Owned() {
		epochs[o.Shard] = o.Epoch
	}
	var failed error
	for shard, epoch := range epochs {
		if err := r.loadShard(ctx, shard, epoch); err != nil {
			failed = err
			break // the store is probably unavailable; calls for the other shards would delay its recovery
		}
	}
	r.dropUnowned()
	return failed
}

func (r *Runner) loadShard(ctx context.Context, shard batch.Shard, epoch uint64) error {
	listing, err := r.store.List(ctx, shard.OpenPrefix())
	if err != nil {
		return eris.Wrapf(ErrStore, "list open jobs of shard %s: %v", shard, err)
	}
	open := make(map[batch.JobID]bool, len(listing.Items))
	for _, item := range listing.Items {
		open[batch.JobID(strings.TrimPrefix(item.Key, shard.OpenPrefix()))] = true
	}
	r.dropEnded(shard, open)
	if len(open) == 0 {
		return nil
	}
	if err := r.readAges(ctx, shard, epoch); err != nil {
		return err
	}
	for id := range open {
		if r.upToDate(id, epoch) {
			continue
		}
		if err := r.loadJob(ctx, id, epoch); err != nil {
			if errors.Is(err, ErrStore) {
				return err
			}
			klog.ErrorS(err, "Batch job cannot be read", "job", id)
		}
	}
	return r.saveAges(ctx, shard, epoch)
}

func (r *Runner) upToDate(id batch.JobID, epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[id]
	return ok && j.epoch == epoch && !j.stale
}

// loadJob reads a job and its chunk records.
func (r *Runner) loadJob(ctx context.Context, id batch.JobID, epoch uint64) error {
	before := r.pendingChunks(id)
	found, err := r.store.Get(ctx, id.Key())
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return eris.Wrapf(ErrStore, "read job %s: %v", id, err)
	}
	record, err := batch.DecodeJob(found.Value)
	if err != nil || record.State != batch.JobAccepted {
		return err
	}
	listing, err := r.store.List(ctx, id.ChunksPrefix())
	if err != nil {
		return eris.Wrapf(ErrStore, "list chunks of job %s: %v", id, err)
	}
	j := &job{record: record, revision: found.ModRevision, created: found.CreateRevision, epoch: epoch}
	j.createdBy = r.ages[id.Shard()].createdBy(j.created, r.config.Now())
	if err := j.setChunks(listing); err != nil {
		return err
	}
	r.addJob(j, before)
	return nil
}

// pendingChunks returns the number of chunks of a job that are not recorded, or -1 if the job is not loaded.
func (r *Runner) pendingChunks(id batch.JobID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j, ok := r.jobs[id]; ok {
		return j.pending
	}
	return -1
}

// setChunks sets the chunks, counts and pending from the chunk records.
func (j *job) setChunks(listing kv.Listing) error {
	j.chunks = make([]chunkState, len(j.record.Chunks))
	j.pending = len(j.chunks)
	for _, item := range listing.Items {
		n, err := strconv.Atoi(strings.TrimPrefix(item.Key, j.record.ID.ChunksPrefix()))
		if err != nil || n < 0 || n >= len(j.chunks) {
			return eris.Wrapf(batch.ErrInvalidRecord, "chunk key %s", item.Key)
		}
		chunk, err := batch.DecodeChunk(item.Value)
		if err != nil {
			return fmt.Errorf("key %q: %w", item.Key, err)
		}
		j.chunks[n] = chunkState{revision: item.ModRevision, claimed: &chunk}
		if chunk.State == batch.ChunkRecorded {
			j.chunks[n] = chunkState{revision: item.ModRevision, recorded: true}
			j.counts = j.counts.Plus(chunk.Counts)
			j.pending--
		}
	}
	return nil
}

// addJob adds a loaded job, or replaces its previous state. Running chunks continue under the same context. before is the number of pending
// chunks before the records were read; if a chunk was recorded since then, the job is marked stale and the next pass reads it again.
func (r *Runner) addJob(j *job, before int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.jobs[j.record.ID]; ok {
		j.ctx, j.cancel, j.rate = old.ctx, old.cancel, old.rate
		j.stale = old.pending != before
		if old.created == j.created {
			j.createdBy = earlier(j.createdBy, old.createdBy)
		}
	} else {
		j.ctx, j.cancel = context.WithCancel(context.Background())
		j.rate.Observe(0, r.config.Now())
	}
	j.expires = j.createdBy.Add(j.record.Window())
	r.jobs[j.record.ID] = j
	r.ready.Broadcast()
}

// dropEnded drops the jobs of a shard that are no longer open, which cancels their items in flight.
func (r *Runner) dropEnded(shard batch.Shard, open map[batch.JobID]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.jobs {
		if id.Shard() == shard && !open[id] {
			r.dropJob(id)
		}
	}
}

// dropUnowned drops the jobs of shards that are not owned. It keeps jobs with a chunk that is running or waits to be recorded: after a
// store outage this instance may acquire the shard again.
func (r *Runner) dropUnowned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	busy := make(map[batch.JobID]bool)
	for id := range r.tasks {
		busy[id.job] = true
	}
	for id := range r.jobs {
		if _, owned := r.shards.Epoch(id.Shard()); !owned && !busy[id] {
			r.dropJob(id)
		}
	}
	for shard := range r.ages {
		if _, owned := r.shards.Epoch(shard); !owned {
			delete(r.ages, shard)
		}
	}
}

// dropJob removes a job and cancels its items in flight. The caller must hold r.mu.
func (r *Runner) dropJob(id batch.JobID) {
	if j, ok := r.jobs[id]; ok {
		j.cancel()
		delete(r.jobs, id)
	}
}
