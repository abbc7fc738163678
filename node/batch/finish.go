package batch

import (
	"context"
	"errors"
	"slices"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// handleRecorded marks a chunk as recorded and finishes the job if this was its last chunk.
func (r *Runner) handleRecorded(ctx context.Context, t *task) {
	if !r.markRecorded(t) {
		return
	}
	if err := r.finish(ctx, t.id.job); err != nil && !errors.Is(err, errNotOwnedNow) {
		klog.ErrorS(err, "Batch job cannot be finished, will retry", "job", t.id.job)
	}
}

// markRecorded updates the job for a recorded chunk and reports whether this was the last chunk of the job.
func (r *Runner) markRecorded(t *task) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tasks, t.id)
	r.ready.Broadcast()
	j, ok := r.jobs[t.id.job]
	if !ok || j.chunks[t.id.n].recorded {
		return false
	}
	j.chunks[t.id.n] = chunkState{revision: t.revision, recorded: true}
	j.counts = j.counts.Plus(t.outcome.counts)
	j.pending--
	j.rate.Observe(t.itemCount(), r.config.Now())
	return j.pending == 0
}

// finishAll finishes the jobs whose chunks are all recorded.
func (r *Runner) finishAll(ctx context.Context) {
	for _, id := range r.completeJobs() {
		err := r.finish(ctx, id)
		if err != nil && !errors.Is(err, errNotOwnedNow) {
			klog.ErrorS(err, "Batch job cannot be finished, will retry", "job", id)
		}
		if errors.Is(err, ErrStore) {
			return
		}
	}
}

// completeJobs returns the jobs whose chunks are all recorded.
func (r *Runner) completeJobs() []batch.JobID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []batch.JobID
	for id, j := range r.jobs {
		if j.pending == 0 && !j.stale {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// finish writes the final state of a job whose chunks are all recorded. If the shard's epoch or the job record has changed, the job is
// marked stale and the next pass reads it again.
func (r *Runner) finish(ctx context.Context, id batch.JobID) error {
	finished, revision, err := r.finalRecord(id)
	if err != nil {
		return err
	}
	epoch, owned := r.shards.Epoch(id.Shard())
	if !owned {
		return eris.Wrapf(errNotOwnedNow, "job %q", id)
	}
	value, err := finished.Encode()
	if err != nil {
		return err
	}
	result, err := r.store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{
			{Key: id.Shard().EpochKey(), Target: kv.CompareValue, Value: batch.EncodeEpoch(epoch)},
			{Key: id.Key(), Target: kv.CompareModRevision, Revision: revision},
		},
		Then: []kv.Op{
			{Kind: kv.OpPut, Key: id.Key(), Value: value},
			{Kind: kv.OpDelete, Key: id.OpenKey()},
		},
	})
	if err != nil {
		return eris.Wrapf(ErrStore, "finish job %s: %v", id, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.Succeeded {
		r.dropJob(id)
	} else if j, ok := r.jobs[id]; ok {
		j.stale = true
	}
	return nil
}

// finalRecord returns the final record of a job and the revision of the record that it replaces.
func (r *Runner) finalRecord(id batch.JobID) (batch.Job, kv.Revision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[id]
	if !ok {
		return batch.Job{}, 0, eris.Wrapf(ErrJobEnded, "job %q", id)
	}
	finished, err := j.record.Finish(j.counts, r.config.Now())
	return finished, j.revision, err
}

// saveAll records the finished chunks that are not yet recorded. After the first failed store call it keeps the remaining ones for the next
// pass.
func (r *Runner) saveAll(ctx context.Context) {
	down := false
	for _, t := range r.takeUnsaved() {
		if down {
			r.addUnsaved(t)
			continue
		}
		err := r.save(ctx, t)
		if !isFinal(err) {
			r.addUnsaved(t)
			down = errors.Is(err, ErrStore)
		}
	}
}

// takeUnsaved returns the finished chunks that are not yet recorded and empties the list.
func (r *Runner) takeUnsaved() []*task {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.unsaved
	r.unsaved = nil
	return waiting
}

// addUnsaved adds a finished chunk to the list of those that are not yet recorded.
func (r *Runner) addUnsaved(t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsaved = append(r.unsaved, t)
}
