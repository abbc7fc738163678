package jobs_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/node/internal/memkv"
	"eelgrassproxy.example/node/jobs"
	"github.com/stretchr/testify/require"
)

// emptyBulk is a Bulk without blobs.
type emptyBulk struct{}

func (emptyBulk) Put(context.Context, []byte) (batch.BlobRef, error) { return batch.BlobRef{}, nil }
func (emptyBulk) Get(context.Context, batch.BlobRef) ([]byte, error) {
	return nil, errors.New("no such blob")
}

func submission(key string) batch.Submission {
	return batch.Submission{
		FileID: "file", Items: 10, Chunks: []batch.InputChunk{{BlobRef: batch.BlobRef{Digest: "d"}, Lines: 10}}, Endpoint: "/v1/completions",
		Repeatable: true, Window: time.Hour, IdempotencyKey: key,
	}
}

// loseNextResponse makes the next transaction take effect and its response get lost.
func loseNextResponse(store *memkv.Store) {
	lost := false
	store.OnTxn(nil, func(kv.Txn) error {
		if lost {
			return nil
		}
		lost = true
		return kv.ErrOutcomeUnknown
	})
}

// Guards against a second job from a repeated submission at another instance, and against accepting a different submission under a
// used idempotency key.
func TestAResubmissionAtAnyInstanceFindsTheSameJob(t *testing.T) {
	store, ctx := memkv.New(), t.Context()
	first, err := jobs.New(store, emptyBulk{}).Create(ctx, "a", submission("k"))
	require.NoError(t, err)
	again, err := jobs.New(store, emptyBulk{}).Create(ctx, "a", submission("k"))
	require.NoError(t, err)
	require.Equal(t, first.Job, again.Job)
	other := submission("k")
	other.FileID = "other"
	_, err = jobs.New(store, emptyBulk{}).Create(ctx, "a", other)
	require.ErrorIs(t, err, jobs.ErrKeyMismatch)
	elsewhere, err := jobs.New(store, emptyBulk{}).Create(ctx, "b", submission("k"))
	require.NoError(t, err)
	require.NotEqual(t, first.ID, elsewhere.ID)
	_, err = jobs.New(store, emptyBulk{}).Get(ctx, "b", first.ID)
	require.ErrorIs(t, err, jobs.ErrNotFound, "a caller sees its own jobs only")
}

// Guards against ErrNotAccepted for a job that was or may have been written, and against the acknowledgement of a job that was not
// written.
func TestTheErrorOfACreateSaysWhetherTheJobWasAccepted(t *testing.T) {
	store, ctx := memkv.New(), t.Context()
	service := jobs.New(store, emptyBulk{})
	loseNextResponse(store)
	job, err := service.Create(ctx, "a", submission("lost response"))
	require.NoError(t, err, "the read-back finds the record")
	require.Equal(t, batch.JobAccepted, job.State)

	store.OnTxn(nil, func(kv.Txn) error { return kv.ErrOutcomeUnknown })
	_, err = service.Create(ctx, "a", submission("never told"))
	require.ErrorIs(t, err, jobs.ErrUnconfirmed)
	store.OnTxn(nil, func(kv.Txn) error { store.SetDown(true); return kv.ErrOutcomeUnknown })
	_, err = service.Create(ctx, "a", submission("down behind the write"))
	require.ErrorIs(t, err, jobs.ErrUnconfirmed, "the first attempt may have been written")
	store.OnTxn(nil, nil)
	_, err = service.Create(ctx, "a", submission("down"))
	require.ErrorIs(t, err, jobs.ErrNotAccepted)
	store.SetDown(false)
	_, err = service.Create(ctx, "a", batch.Submission{})
	require.ErrorIs(t, err, jobs.ErrInvalid)
}

// Guards against an acknowledged cancellation that was not written, and against the cancellation of a finished job.
func TestACancelIsAcknowledgedOnlyWhenWritten(t *testing.T) {
	store, ctx := memkv.New(), t.Context()
	service := jobs.New(store, emptyBulk{})
	job, err := service.Create(ctx, "a", submission("k"))
	require.NoError(t, err)
	_, err = service.Cancel(ctx, "b", job.ID)
	require.ErrorIs(t, err, jobs.ErrNotFound)
	store.OnTxn(func(kv.Txn) { store.SetDown(true) }, nil)
	_, err = service.Cancel(ctx, "a", job.ID)
	require.ErrorIs(t, err, jobs.ErrUnavailable)
	store.OnTxn(nil, nil)
	store.SetDown(false)

	loseNextResponse(store)
	cancelled, err := service.Cancel(ctx, "a", job.ID)
	require.NoError(t, err)
	require.Equal(t, batch.JobCancelled, cancelled.State)
	open, err := service.ListOpen(ctx, "", 10)
	require.NoError(t, err)
	require.Empty(t, open.Jobs)

	done, err := service.Create(ctx, "a", submission("done"))
	require.NoError(t, err)
	finished, err := done.Finish(batch.Counts{Completed: 10}, time.Now())
	require.NoError(t, err)
	value, err := finished.Encode()
	require.NoError(t, err)
	_, err = store.Txn(ctx, kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: done.ID.Key(), Value: value}}})
	require.NoError(t, err)
	_, err = service.Cancel(ctx, "a", done.ID)
	require.ErrorIs(t, err, jobs.ErrFinished)
}

// Guards against pages that skip or repeat jobs, or show those of other callers.
func TestJobsAreListedByCallerInPagesNewestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := jobs.New(memkv.New(), emptyBulk{})
		var want, got []batch.JobID
		for n := range 7 {
			accepted, err := service.Create(t.Context(), "a", submission(fmt.Sprint(n)))
			require.NoError(t, err)
			want = append([]batch.JobID{accepted.ID}, want...)
			time.Sleep(time.Second)
		}
		_, err := service.Create(t.Context(), "b", submission("other"))
		require.NoError(t, err)
		var after batch.JobID
		for more := true; more; {
			page, err := service.List(t.Context(), "a", after, 3)
			require.NoError(t, err)
			for _, job := range page.Jobs {
				got = append(got, job.ID)
			}
			after, more = got[len(got)-1], page.More
		}
		require.Equal(t, want, got)
		_, err = service.List(t.Context(), "a", batch.JobID(strings.Repeat("0", 64)), 3)
		require.ErrorIs(t, err, jobs.ErrNotFound)
	})
}

// Guards against output that looks complete although a blob with results could not be read.
func TestOutputFailsWhenResultsCannotBeRead(t *testing.T) {
	store, ctx := memkv.New(), t.Context()
	service := jobs.New(store, emptyBulk{})
	job, err := service.Create(ctx, "a", submission("k"))
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, service.Output(ctx, "a", job.ID, &out))
	chunk, err := batch.Chunk{}.Record(1, 10, batch.BlobRef{Digest: "gone"}, batch.Counts{Completed: 10})
	require.NoError(t, err)
	value, err := chunk.Encode()
	require.NoError(t, err)
	_, err = store.Txn(ctx, kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: job.ID.ChunkKey(0), Value: value}}})
	require.NoError(t, err)
	require.ErrorIs(t, service.Output(ctx, "a", job.ID, &out), jobs.ErrUnavailable)
	require.ErrorIs(t, service.Errors(ctx, "b", job.ID, &out), jobs.ErrNotFound)
}
