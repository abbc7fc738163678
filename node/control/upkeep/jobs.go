package upkeep

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"k8s.io/klog/v2"
)

// repairJob restores the copies of the input and the results of a job.
func (w *walk) repairJob(ctx context.Context, job batch.Job, records *jobRecords) error {
	revision := recordUnchanged(records.job)
	return errors.Join(w.repairResults(ctx, job, records, revision), w.repairInput(ctx, job, revision))
}

// repairInput restores the copies of the input chunks. It must run after repairResults, because writing the job record changes the revision
// that the other writes compare.
func (w *walk) repairInput(ctx context.Context, job batch.Job, revision kv.Compare) error {
	changed := false
	var failed error
	for i := range job.Chunks {
		failed = errors.Join(failed, w.repair(ctx, &job.Chunks[i].BlobRef, &changed))
	}
	if !changed {
		return failed
	}
	value, err := job.Encode()
	if err != nil {
		return errors.Join(failed, err)
	}
	return errors.Join(failed, w.write(ctx, []kv.Compare{revision}, []kv.Op{{Kind: kv.OpPut, Key: job.ID.Key(), Value: value}}))
}

// repairResults restores the copies of the results of chunks whose records no longer change. A claimed chunk of an open job is skipped: the
// next claim of its owner stores the results again, and a change of the record by this walk would make the owner give up the chunk.
func (w *walk) repairResults(ctx context.Context, job batch.Job, records *jobRecords, revision kv.Compare) error {
	var failed error
	var compares []kv.Compare
	var puts []kv.Op
	for _, item := range records.chunks {
		chunk, err := batch.DecodeChunk(item.Value)
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("key %q: %w", item.Key, err))
			continue
		}
		final := chunk.State == batch.ChunkRecorded || job.State != batch.JobAccepted
		if chunk.Results == nil || !final {
			continue
		}
		changed := false
		failed = errors.Join(failed, w.repair(ctx, chunk.Results, &changed))
		if !changed {
			continue
		}
		value, err := chunk.Encode()
		if err != nil {
			return errors.Join(failed, err)
		}
		compares = append(compares, recordUnchanged(item))
		puts = append(puts, kv.Op{Kind: kv.OpPut, Key: item.Key, Value: value})
	}
	for len(puts) > 0 {
		n := min(maxRecordsPerWrite, len(puts))
		failed = errors.Join(failed, w.write(ctx, append(slices.Clone(compares[:n]), revision), puts[:n]))
		compares, puts = compares[n:], puts[n:]
	}
	return failed
}

// removeJob removes the records of a job whose retention time has passed. It removes the chunks first, so that a job submitted again with the
// same ID never finds chunks of the earlier job.
func (w *walk) removeJob(ctx context.Context, job batch.Job, records *jobRecords) error {
	revision := recordUnchanged(records.job)
	for group := range slices.Chunk(records.chunks, maxRecordsPerWrite) {
		var deletes []kv.Op
		for _, item := range group {
			deletes = append(deletes, kv.Op{Kind: kv.OpDelete, Key: item.Key})
		}
		if err := w.write(ctx, []kv.Compare{revision}, deletes); err != nil {
			return err
		}
	}
	err := w.write(ctx, []kv.Compare{revision}, []kv.Op{
		{Kind: kv.OpDelete, Key: job.ID.Key()},
		{Kind: kv.OpDelete, Key: job.ID.OpenKey()},
		{Kind: kv.OpDelete, Key: job.ID.CallerKey(job.Caller)},
	})
	if err == nil {
		klog.InfoS("Records of a batch job removed after the retention time", "job", job.ID, "finished", job.Finished)
	}
	return err
}
