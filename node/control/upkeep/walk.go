package upkeep

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/files"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Errors of this package.
var (
	// ErrStore means that a list or write call to the store failed.
	ErrStore = eris.New("call to the store failed")
	// ErrChanged means that a record was changed since it was listed, or that this instance no longer owns the shard.
	ErrChanged = eris.New("record or owner of the shard has changed")
	// ErrCopies means that the missing copies of a blob could not be restored.
	ErrCopies = eris.New("copies of a blob are missing")
)

// walk is the state of one walk over the records of a shard.
type walk struct {
	keeper  *Keeper
	shard   batch.Shard
	whole   bool                      // check every blob, not only blobs with a lost holder
	lost    map[fleet.InstanceID]bool // holders whose copies must be replaced
	holders map[fleet.InstanceID]bool // every holder that a walked reference names
}

// run repairs and removes records. It continues after the failure of a single record, and returns the joined errors; after an error, the
// walk must be repeated.
func (w *walk) run(ctx context.Context) error {
	return errors.Join(w.jobs(ctx), w.files(ctx))
}

// jobRecords holds the records of one job as they were listed.
type jobRecords struct {
	job    kv.KeyValue
	chunks []kv.KeyValue
}

// jobs walks the jobs of the shard. It stops early if the store fails or ctx is done.
func (w *walk) jobs(ctx context.Context) error {
	prefix := batch.JobsPrefix + w.shard.String() + "/"
	listing, err := w.keeper.config.Store.List(ctx, prefix)
	if err != nil {
		return eris.Wrapf(ErrStore, "list jobs of shard %s: %v", w.shard, err)
	}
	var failed error
	for _, records := range groupByJob(listing, prefix) {
		if err := w.job(ctx, records); err != nil {
			failed = errors.Join(failed, err)
		}
		if errors.Is(failed, ErrStore) || ctx.Err() != nil {
			return failed
		}
	}
	return failed
}

// groupByJob returns the records of each job. Chunk records without a job record are left out: chunk records are removed before the record of
// their job.
func groupByJob(listing kv.Listing, prefix string) map[batch.JobID]*jobRecords {
	jobs := make(map[batch.JobID]*jobRecords)
	for _, item := range listing.Items {
		id, _, isChunk := strings.Cut(strings.TrimPrefix(item.Key, prefix), "/")
		records, ok := jobs[batch.JobID(id)]
		if !ok {
			records = &jobRecords{}
			jobs[batch.JobID(id)] = records
		}
		if isChunk {
			records.chunks = append(records.chunks, item)
		} else {
			records.job = item
		}
	}
	for id, records := range jobs {
		if records.job.Key == "" {
			delete(jobs, id)
		}
	}
	return jobs
}

// job removes the records of a job after the retention time, and otherwise repairs them.
func (w *walk) job(ctx context.Context, records *jobRecords) error {
	job, err := batch.DecodeJob(records.job.Value)
	if err != nil {
		return fmt.Errorf("key %q: %w", records.job.Key, err)
	}
	if job.State != batch.JobAccepted && w.retentionPassed(job.Finished) {
		return w.removeJob(ctx, job, records)
	}
	return w.repairJob(ctx, job, records)
}

// retentionPassed reports whether the retention time has passed since the given time.
func (w *walk) retentionPassed(since time.Time) bool {
	return time.Since(since) >= w.keeper.config.Retention
}

// files walks the files of the shard. It stops early if the store fails or ctx is done.
func (w *walk) files(ctx context.Context) error {
	listing, err := w.keeper.config.Store.List(ctx, files.ShardPrefix(w.shard))
	if err != nil {
		return eris.Wrapf(ErrStore, "list files of shard %s: %v", w.shard, err)
	}
	var failed error
	for _, item := range listing.Items {
		if err := w.file(ctx, item); err != nil {
			failed = errors.Join(failed, err)
		}
		if errors.Is(failed, ErrStore) || ctx.Err() != nil {
			return failed
		}
	}
	return failed
}

// file removes the record of a file after the retention time, and otherwise repairs it. Job records refer to the blobs directly and do not
// need the record of the file.
func (w *walk) file(ctx context.Context, item kv.KeyValue) error {
	record, err := files.Decode(item.Value)
	if err != nil {
		return fmt.Errorf("key %q: %w", item.Key, err)
	}
	if w.retentionPassed(record.Uploaded) {
		return w.write(ctx, []kv.Compare{recordUnchanged(item)}, []kv.Op{{Kind: kv.OpDelete, Key: item.Key}})
	}
	changed := false
	var failed error
	for i := range record.Chunks {
		err := w.repair(ctx, &record.Chunks[i].Blob, &changed)
		failed = errors.Join(failed, err)
	}
	if !changed {
		return failed
	}
	value, err := record.Encode()
	if err != nil {
		return err
	}
	return errors.Join(failed, w.write(ctx, []kv.Compare{recordUnchanged(item)}, []kv.Op{{Kind: kv.OpPut, Key: item.Key, Value: value}}))
}

// repair restores the copies of a blob if one of its holders is lost, or in a whole walk. If the reference differs afterwards, it updates
// ref and sets changed.
func (w *walk) repair(ctx context.Context, ref *batch.BlobRef, changed *bool) error {
	lost := false
	for _, id := range ref.Holders {
		lost = lost || w.lost[id]
		w.holders[id] = true
	}
	if !w.whole && !lost {
		return nil
	}
	repaired, differs, err := w.keeper.config.Repairer.Repair(ctx, *ref)
	if err != nil {
		return eris.Wrapf(ErrCopies, "blob %s: %v", ref.Digest, err)
	}
	if differs {
		*ref, *changed = repaired, true
	}
	return nil
}

// recordUnchanged returns a comparison that succeeds if the record was not changed since it was listed.
func recordUnchanged(item kv.KeyValue) kv.Compare {
	return kv.Compare{Key: item.Key, Target: kv.CompareModRevision, Revision: item.ModRevision}
}

// write applies operations in one transaction if the comparisons succeed and the epoch of the shard is unchanged. It waits for the rate
// limit of writes.
func (w *walk) write(ctx context.Context, compares []kv.Compare, then []kv.Op) error {
	if err := w.keeper.writes.Wait(ctx); err != nil {
		return err
	}
	epoch, owned := w.keeper.config.Shards.Epoch(w.shard)
	if !owned {
		return eris.Wrapf(ErrChanged, "shard %s is not owned", w.shard)
	}
	own := kv.Compare{Key: w.shard.EpochKey(), Target: kv.CompareValue, Value: batch.EncodeEpoch(epoch)}
	result, err := w.keeper.config.Store.Txn(ctx, kv.Txn{Compares: append([]kv.Compare{own}, compares...), Then: then})
	if err != nil {
		return eris.Wrapf(ErrStore, "write %s: %v", then[0].Key, err)
	}
	if !result.Succeeded {
		return fmt.Errorf("%w: key %q", ErrChanged, then[0].Key)
	}
	return nil
}
