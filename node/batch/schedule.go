package batch

import (
	"context"
	"errors"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"k8s.io/klog/v2"
)

// task is a chunk that is running, or whose results wait to be recorded. Only one goroutine uses it at a time.
type task struct {
	id          chunkID
	jobRecord   batch.Job
	expires     time.Time // as in job
	firstItem   int       // index of the chunk's first item within the job
	atRisk      bool
	ctx         context.Context // ends with the job or the runner
	cancel      context.CancelFunc
	chunkRecord batch.Chunk    // base of the next chunk record: as read, or covering the results stored since then; zero value if there is neither
	revision    kv.Revision    // revision of the chunk's key as last read or written; 0 if there is no record
	results     []batch.Result // results of the first items of the chunk
	lines       [][]byte       // lines of the items as uploaded
	outcome     *chunkOutcome  // set when all items have results
}

// chunkOutcome holds the part of a finished chunk that is still to be recorded.
type chunkOutcome struct {
	results batch.BlobRef
	counts  batch.Counts
}

// work runs chunks until ctx ends.
func (r *Runner) work(ctx context.Context) {
	for {
		t := r.nextTask(ctx)
		if t == nil {
			return
		}
		err := r.runChunk(t)
		t.cancel()
		r.handleFinished(ctx, t, err)
	}
}

// nextTask waits for a chunk that may be started and returns its task, or nil when ctx has ended.
func (r *Runner) nextTask(ctx context.Context) *task {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ctx.Err() == nil {
		if t := r.startNext(ctx, r.config.Now()); t != nil {
			return t
		}
		r.ready.Wait()
	}
	return nil
}

// startNext returns a task for the next chunk in the order given by core/batch, or nil if no chunk may be started. The caller must hold
// r.mu.
func (r *Runner) startNext(ctx context.Context, now time.Time) *task {
	if r.draining || len(r.unsaved) >= r.config.MaxUnsaved {
		return nil
	}
	candidates, chunks := r.candidates(now)
	best := r.scheduler.Next(candidates, now)
	if best < 0 {
		return nil
	}
	j := r.jobs[candidates[best].Job]
	t := r.newTask(ctx, j, chunks[best])
	t.atRisk = candidates[best].AtRisk(now)
	r.scheduler.Started(j.record.Caller, j.record.ItemsIn(t.id.n))
	return t
}

// candidates returns the jobs that have a startable chunk, and the number of this chunk for each. The caller must hold r.mu.
func (r *Runner) candidates(now time.Time) ([]batch.Candidate, []int) {
	epochs := make(map[batch.Shard]uint64)
	for _, o := range r.shards.Owned() {
		epochs[o.Shard] = o.Epoch
	}
	var candidates []batch.Candidate
	var chunks []int
	for id, j := range r.jobs {
		epoch, owned := epochs[id.Shard()]
		if !owned || epoch != j.epoch || j.stale {
			continue
		}
		n := r.startable(j, now)
		if n < 0 {
			continue
		}
		chunks = append(chunks, n)
		candidates = append(candidates, batch.Candidate{
			Job:       id,
			Caller:    j.record.Caller,
			Deadline:  j.record.Deadline,
			Remaining: j.record.Items - j.counts.Total(),
			Rate:      j.rate.PerSecond(),
		})
	}
	return candidates, chunks
}

// startable returns the first chunk that may be started, or -1. The caller must hold r.mu. Chunks are started in order, so the search
// continues where the last one ended. Abandoning a chunk marks the job stale, and after its records are read again the search starts at
// the first chunk.
func (r *Runner) startable(j *job, now time.Time) int {
	for j.nextChunk < len(j.chunks) && r.isStarted(j, j.nextChunk) {
		j.nextChunk++
	}
	for n := j.nextChunk; n < len(j.chunks); n++ {
		if !r.isStarted(j, n) && !now.Before(j.chunks[n].earliestStart) {
			return n
		}
	}
	return -1
}

// isStarted reports whether a chunk is recorded or running. The caller must hold r.mu.
func (r *Runner) isStarted(j *job, n int) bool {
	_, running := r.tasks[chunkID{j.record.ID, n}]
	return running || j.chunks[n].recorded
}

// newTask registers a chunk as running and returns its task. The caller must hold r.mu.
func (r *Runner) newTask(ctx context.Context, j *job, n int) *task {
	t := &task{id: chunkID{j.record.ID, n}, jobRecord: j.record, expires: j.expires, firstItem: j.record.FirstItem(n), revision: j.chunks[n].revision}
	if j.chunks[n].claimed != nil {
		t.chunkRecord = *j.chunks[n].claimed
	}
	taskCtx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(j.ctx, cancel)
	t.ctx, t.cancel = taskCtx, func() { stop(); cancel() }
	r.tasks[t.id] = t
	return t
}

// handleFinished handles the end of runChunk: it records a chunk whose results are complete, or keeps it for a later pass if the store
// does not confirm the record. A chunk whose blobs cannot be read is delayed, and one with another error is abandoned.
func (r *Runner) handleFinished(ctx context.Context, t *task, err error) {
	if errors.Is(err, ErrBulk) {
		klog.ErrorS(err, "Chunk of a batch job is delayed", "job", t.id.job, "chunk", t.id.n)
		r.delayChunk(t)
		return
	}
	if err != nil {
		r.abandon(t)
		return
	}
	t.lines, t.results = nil, nil // the results are in bulk storage
	if err := r.save(ctx, t); !isFinal(err) {
		r.addUnsaved(t)
	}
}

// unreadableChunkDelay is the delay after which a chunk whose blobs could not be read may be started again.
const unreadableChunkDelay = 30 * time.Second

// delayChunk ends the task of a chunk whose blobs cannot be read and delays the chunk. Other chunks of the job are not affected.
func (r *Runner) delayChunk(t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tasks, t.id)
	if j, ok := r.jobs[t.id.job]; ok {
		j.chunks[t.id.n].earliestStart = r.config.Now().Add(unreadableChunkDelay)
		j.nextChunk = min(j.nextChunk, t.id.n)
	}
	r.ready.Broadcast()
}

// abandon ends the task of a chunk and marks the job stale, so that its records are read again before another chunk is started.
func (r *Runner) abandon(t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tasks, t.id)
	if j, ok := r.jobs[t.id.job]; ok {
		j.stale = true
	}
	r.ready.Broadcast()
}
