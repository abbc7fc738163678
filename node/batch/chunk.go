package batch

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/node/internal/wait"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// runChunk runs the items of the chunk until each has a result and puts the results into bulk storage. After an error the chunk must not be
// recorded: it is delayed (ErrBulk) or abandoned.
func (r *Runner) runChunk(t *task) error {
	if err := r.readInputs(t); err != nil {
		return err
	}
	var err error
	if t.jobRecord.Repeatable {
		err = r.runRepeatable(t)
	} else {
		err = r.runClaimed(t)
	}
	if err != nil {
		return err
	}
	ref, err := r.storeResults(t)
	if err != nil {
		return err
	}
	t.outcome = &chunkOutcome{results: ref, counts: batch.CountResults(t.results)}
	return nil
}

// readInputs fetches the lines of the items and the results that were already stored, for example by a former owner. Items that were
// claimed without a stored result get the result unknown.
func (r *Runner) readInputs(t *task) error {
	if err := r.readLines(t); err != nil {
		return err
	}
	if err := r.readResults(t); err != nil {
		return err
	}
	lost := t.chunkRecord.Unresolved()
	for i := lost.From; i < lost.To; i++ {
		result := t.result(i, batch.ItemUnknown, ItemOutcome{Reason: "the instance that ran the item was lost"})
		r.notifyNotCompleted(t, result)
		t.results = append(t.results, result)
	}
	return nil
}

// readLines fetches the lines of the items. After the job's deadline a failed read is ignored, so that the items can expire without their
// lines.
func (r *Runner) readLines(t *task) error {
	data, err := r.getBlob(t, t.jobRecord.Chunks[t.id.n].BlobRef)
	if err != nil && !r.pastDeadline(t) {
		return err
	}
	t.lines = splitLines(data)
	if size := t.itemCount(); len(t.lines) != size {
		klog.InfoS("Chunk of a batch job has a wrong number of lines", "job", t.id.job, "chunk", t.id.n, "lines", len(t.lines), "expected", size)
		t.lines = append(t.lines, make([][]byte, size)...)[:size]
	}
	return nil
}

// readResults fetches the results that were already stored. After the job's deadline, results that cannot be read become unknown.
func (r *Runner) readResults(t *task) error {
	if t.chunkRecord.Covered == 0 {
		return nil
	}
	data, err := r.getBlob(t, *t.chunkRecord.Results)
	if err == nil {
		t.results, err = batch.DecodeResults(data)
	}
	if err == nil && len(t.results) != t.chunkRecord.Covered {
		err = eris.Wrapf(batch.ErrInvalidRecord, "%d results, %d expected", len(t.results), t.chunkRecord.Covered)
	}
	if err == nil {
		return nil
	}
	if !r.pastDeadline(t) {
		return fmt.Errorf("%w: %v", ErrBulk, err)
	}
	t.results = nil
	for i := range t.chunkRecord.Covered {
		result := t.result(i, batch.ItemUnknown, ItemOutcome{Reason: "the stored results were lost"})
		r.notifyNotCompleted(t, result)
		t.results = append(t.results, result)
	}
	return nil
}

// pastDeadline reports whether the job's deadline has passed.
func (r *Runner) pastDeadline(t *task) bool { return r.config.Now().Sub(t.expires) >= 0 }

// runRepeatable runs all items together without a claim, since running an item again is harmless.
func (r *Runner) runRepeatable(t *task) error {
	incomplete := r.runItems(t, batch.Range{To: t.itemCount()}, nil)
	if incomplete != nil {
		return eris.Wrapf(ErrNotOwner, "chunk %d of job %s", t.id.n, t.id.job)
	}
	return t.ctx.Err()
}

// runClaimed claims the items group by group and runs each group after its claim has been written. Items that were not dispatched because
// the shard's epoch changed run only after the claim has been written again under the new epoch: the write fails if another owner has
// written a record for the chunk.
func (r *Runner) runClaimed(t *task) error {
	for len(t.results) < t.itemCount() {
		group, err := r.claimNextGroup(t)
		if err != nil {
			return err
		}
		incomplete := r.runItems(t, group.items, &group.epoch)
		for incomplete != nil {
			group.epoch, err = r.writeClaim(t)
			if err != nil {
				return err
			}
			incomplete = r.runMissing(t, group, incomplete)
		}
		if err := t.ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

// storeResults puts the results so far into bulk storage. It retries until it succeeds or the task ends.
func (r *Runner) storeResults(t *task) (batch.BlobRef, error) {
	data, err := batch.EncodeResults(t.results)
	if err != nil {
		return batch.BlobRef{}, err
	}
	for {
		ref, err := r.bulk.Put(t.ctx, data)
		if err == nil {
			return ref, nil
		}
		klog.ErrorS(err, "Results of a batch chunk cannot be stored, will retry", "job", t.id.job, "chunk", t.id.n)
		if !r.waitBeforeRetry(t.ctx) {
			return batch.BlobRef{}, t.ctx.Err()
		}
	}
}

// maxGetTries bounds the reads of a blob by one task. After that, the chunk is delayed, so that a blob whose holders are unreachable does
// not keep a worker from other jobs.
const maxGetTries = 3

// getBlob reads a blob. It returns ErrBulk if all tries fail or the task ends.
func (r *Runner) getBlob(t *task, ref batch.BlobRef) ([]byte, error) {
	var failed error
	for range maxGetTries {
		data, err := r.bulk.Get(t.ctx, ref)
		if err == nil {
			return data, nil
		}
		failed = err
		if !r.waitBeforeRetry(t.ctx) {
			break
		}
	}
	return nil, eris.Wrapf(ErrBulk, "%s: %v", ref.Digest, failed)
}

// waitBeforeRetry waits before a failed call is retried. It returns false if ctx ends first.
func (r *Runner) waitBeforeRetry(ctx context.Context) bool {
	return wait.For(ctx, time.Duration(r.config.StoreRetryDelayMs)*time.Millisecond)
}

// itemCount returns the number of items of the chunk.
func (t *task) itemCount() int { return t.jobRecord.ItemsIn(t.id.n) }

// splitLines returns the non-empty lines of a blob.
func splitLines(data []byte) [][]byte {
	var lines [][]byte
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		if len(bytes.TrimSpace(line)) > 0 {
			lines = append(lines, line)
		}
	}
	return lines
}
