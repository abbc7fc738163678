package batch

import (
	"bytes"
	"context"
	"errors"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"github.com/rotisserie/eris"
)

// group is a range of claimed items with the epoch under which the claim was written.
type group struct {
	items batch.Range
	epoch uint64
}

// claimNextGroup puts the results so far into bulk storage and claims the next group of items.
func (r *Runner) claimNextGroup(t *task) (group, error) {
	if len(t.results) > 0 {
		ref, err := r.storeResults(t)
		if err != nil {
			return group{}, err
		}
		counts := batch.CountResults(t.results)
		t.chunkRecord = batch.Chunk{State: batch.ChunkClaimed, Claimed: []batch.Range{{To: len(t.results)}}, Covered: len(t.results), Results: &ref, Counts: counts}
	}
	epoch, err := r.writeClaim(t)
	from := len(t.results)
	return group{items: batch.Range{From: from, To: min(from+batch.GroupItems, t.itemCount())}, epoch: epoch}, err
}

// writeClaim writes the claim of the group that follows the stored results. It retries until the store confirms or refuses the write, and
// returns the epoch of the claim.
func (r *Runner) writeClaim(t *task) (uint64, error) {
	for t.ctx.Err() == nil {
		epoch, err := r.writeChunk(t.ctx, t, func(epoch uint64) (batch.Chunk, error) {
			next, _, err := t.chunkRecord.Claim(epoch, t.itemCount(), t.chunkRecord.Results, t.chunkRecord.Counts)
			return next, err
		})
		if isFinal(err) {
			return epoch, err
		}
		if r.shardLost(t.id.job.Shard()) {
			return 0, eris.Wrapf(ErrNotOwner, "shard %q", t.id.job.Shard())
		}
		r.waitBeforeRetry(t.ctx)
	}
	return 0, t.ctx.Err()
}

// save records a finished chunk. If isFinal reports false for the error, the caller must keep the task and retry; otherwise the task has
// ended.
func (r *Runner) save(ctx context.Context, t *task) error {
	_, err := r.writeChunk(ctx, t, func(epoch uint64) (batch.Chunk, error) {
		return t.chunkRecord.Record(epoch, t.itemCount(), t.outcome.results, t.outcome.counts)
	})
	if err == nil {
		r.handleRecorded(ctx, t)
		return nil
	}
	if r.shardLost(t.id.job.Shard()) {
		err = eris.Wrapf(ErrNotOwner, "shard %q", t.id.job.Shard())
	}
	if isFinal(err) {
		r.abandon(t)
	}
	return err
}

// isFinal reports whether a write that returned err needs no retry: it succeeded, or failed for good.
func isFinal(err error) bool {
	return !errors.Is(err, ErrStore) && !errors.Is(err, errNotOwnedNow)
}

// errNotOwnedNow means that this instance does not own the shard now, for example because its lease may have expired. The write may be
// retried when the shard is owned again, since it compares the epoch and the records.
var errNotOwnedNow = eris.New("shard is not owned at the moment")

// writeChunk writes the chunk record that next returns for the shard's epoch. The write takes effect only if the store still has this
// epoch and the job and chunk records as last read. It is repeated if only the job record changed and the job is still open. writeChunk
// returns the epoch written.
func (r *Runner) writeChunk(ctx context.Context, t *task, next func(epoch uint64) (batch.Chunk, error)) (uint64, error) {
	for {
		revision, open := r.jobRevision(t.id.job)
		if !open {
			return 0, eris.Wrapf(ErrJobEnded, "job %q", t.id.job)
		}
		epoch, owned := r.shards.Epoch(t.id.job.Shard())
		if !owned {
			return 0, errNotOwnedNow
		}
		chunk, err := next(epoch)
		if err != nil {
			return 0, err
		}
		value, err := chunk.Encode()
		if err != nil {
			return 0, err
		}
		result, err := r.store.Txn(ctx, chunkTxn(t, epoch, revision, value))
		if err != nil {
			return 0, eris.Wrapf(ErrStore, "chunk %d of job %s: %v", t.id.n, t.id.job, err)
		}
		if result.Succeeded {
			t.revision = result.Revision
			return epoch, nil
		}
		retry, err := r.checkRefusedWrite(t, epoch, value, result.Gets)
		if !retry {
			return epoch, err
		}
	}
}

// chunkTxn returns the transaction that writes the chunk record if the epoch, the job record and the chunk record are unchanged, and else
// reads all three.
func chunkTxn(t *task, epoch uint64, job kv.Revision, value []byte) kv.Txn {
	id, key := t.id.job, t.id.job.ChunkKey(t.id.n)
	return kv.Txn{
		Compares: []kv.Compare{
			{Key: id.Shard().EpochKey(), Target: kv.CompareValue, Value: batch.EncodeEpoch(epoch)},
			{Key: id.Key(), Target: kv.CompareModRevision, Revision: job},
			{Key: key, Target: kv.CompareModRevision, Revision: t.revision},
		},
		Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: value}},
		Else: []kv.Op{
			{Kind: kv.OpGet, Key: id.Shard().EpochKey()},
			{Kind: kv.OpGet, Key: id.Key()},
			{Kind: kv.OpGet, Key: key},
		},
	}
}

// checkRefusedWrite handles a write whose comparisons failed, by the records found. It returns a nil error if the write took effect in an
// earlier try, retry if the write may be retried, and else an error.
func (r *Runner) checkRefusedWrite(t *task, epoch uint64, value []byte, found []kv.KeyValue) (retry bool, err error) {
	const reads = 3
	if len(found) != reads {
		return false, eris.Wrap(ErrStore, "response of the store lacks the records")
	}
	current, job, chunk := found[0], found[1], found[2]
	if chunk.CreateRevision != 0 && bytes.Equal(chunk.Value, value) {
		t.revision = chunk.ModRevision
		return false, nil
	}
	if !bytes.Equal(current.Value, batch.EncodeEpoch(epoch)) {
		return false, eris.Wrapf(ErrNotOwner, "shard %s has epoch %s, not %d", t.id.job.Shard(), current.Value, epoch)
	}
	if chunk.ModRevision != t.revision {
		return false, eris.Wrapf(ErrChanged, "chunk %d of job %s", t.id.n, t.id.job)
	}
	record, err := batch.DecodeJob(job.Value)
	if err != nil {
		return false, err
	}
	return r.updateJob(record, job.ModRevision)
}

// updateJob updates the job from the record that a refused write found. It drops a job that has ended, and returns retry if the job is
// still open.
func (r *Runner) updateJob(record batch.Job, revision kv.Revision) (retry bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record.State != batch.JobAccepted {
		r.dropJob(record.ID)
		return false, eris.Wrapf(ErrJobEnded, "job %s is %s", record.ID, record.State)
	}
	if j, ok := r.jobs[record.ID]; ok {
		j.record, j.revision = record, revision
	}
	return true, nil
}

func (r *Runner) jobRevision(id batch.JobID) (kv.Revision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[id]
	if !ok {
		return 0, false
	}
	return j.revision, true
}
