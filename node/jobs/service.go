// Package jobs accepts, lists and cancels batch jobs and reads their results. All state is in the store and in bulk storage, so that
// every instance can serve every job.
package jobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Errors of this layer.
var (
	// ErrNotAccepted means that the submission was certainly not accepted, because the store is unavailable.
	ErrNotAccepted = eris.New("store is unavailable, the job was not accepted")
	// ErrUnconfirmed means that a change may have been written. Repeating the same request is safe and returns the outcome.
	ErrUnconfirmed = eris.New("outcome of the write is unknown, send the same request again")
	// ErrUnavailable means that the store or the bulk storage is unavailable. The call had no effect.
	ErrUnavailable = eris.New("jobs cannot be read or changed now")
	// ErrInvalid means that the submission is invalid or too large for the store.
	ErrInvalid = eris.New("submission is rejected as invalid")
	// ErrKeyMismatch means that the idempotency key was used for another submission.
	ErrKeyMismatch = eris.New("idempotency key was used for another submission")
	// ErrNotFound means that the caller has no such job.
	ErrNotFound = eris.New("job does not exist")
	// ErrFileNotFound means that the caller has no such file.
	ErrFileNotFound = eris.New("input file does not exist")
	// ErrFinished means that the job has ended and cannot be cancelled.
	ErrFinished = eris.New("job has already ended")
)

const (
	// storePurpose labels the store calls of this package.
	storePurpose = "jobs"
	// maxWriteAttempts bounds the transactions of one call. A transaction is repeated after an unknown outcome or a concurrent change.
	maxWriteAttempts = 4
	// MaxPage is the largest number of jobs in one page. The records of a page are read in one transaction, and the store accepts at
	// most 128 operations in one.
	MaxPage = 50
)

// Bulk reads and writes blobs.
type Bulk interface {
	Put(ctx context.Context, data []byte) (batch.BlobRef, error)
	Get(ctx context.Context, ref batch.BlobRef) ([]byte, error)
}

// File describes the content of an uploaded file for a submission.
type File struct {
	Items  int
	Chunks []batch.InputChunk // in order; together they have Items lines
}

// Files looks up the uploaded files of a caller. Errors of File: ErrFileNotFound, ErrUnavailable.
type Files interface {
	File(ctx context.Context, caller fleet.CallerID, fileID string) (File, error)
}

// JobWithProgress is a job with the counts of the results recorded so far.
type JobWithProgress struct {
	batch.Job
	Progress batch.Counts
}

// Service gives callers and operators access to jobs. It is safe for concurrent use.
type Service struct {
	store kv.Store
	bulk  Bulk
}

// New returns a service over the store and bulk storage.
func New(store kv.Store, bulk Bulk) *Service {
	return &Service{store: store, bulk: bulk}
}

// Get returns a job of a caller. Errors: ErrNotFound, also for the job of another caller; ErrUnavailable.
func (s *Service) Get(ctx context.Context, caller fleet.CallerID, id batch.JobID) (JobWithProgress, error) {
	job, err := s.GetAny(ctx, id)
	if err == nil && job.Caller != caller {
		return JobWithProgress{}, eris.Wrapf(ErrNotFound, "job %q", id)
	}
	return job, err
}

// GetAny returns a job of any caller. Errors: ErrNotFound, ErrUnavailable.
func (s *Service) GetAny(ctx context.Context, id batch.JobID) (JobWithProgress, error) {
	ctx = kv.WithPurpose(ctx, storePurpose)
	job, _, err := s.read(ctx, id)
	if err != nil {
		return JobWithProgress{}, err
	}
	withProgress := JobWithProgress{Job: job, Progress: job.Counts}
	if job.State == batch.JobAccepted || job.State == batch.JobCancelled {
		withProgress.Progress, err = s.progress(ctx, id)
	}
	return withProgress, err
}

// progress returns the sum of the counts in the chunk records of a job.
func (s *Service) progress(ctx context.Context, id batch.JobID) (batch.Counts, error) {
	var sum batch.Counts
	chunks, err := s.chunks(ctx, id)
	for _, chunk := range chunks {
		sum = sum.Plus(chunk.Counts)
	}
	return sum, err
}

// read returns a job and the revision of its record. Errors: ErrNotFound, ErrUnavailable.
func (s *Service) read(ctx context.Context, id batch.JobID) (batch.Job, kv.Revision, error) {
	if !id.Valid() {
		return batch.Job{}, 0, eris.Wrapf(ErrNotFound, "job %q", id)
	}
	found, err := s.store.Get(ctx, id.Key())
	if errors.Is(err, kv.ErrNotFound) {
		return batch.Job{}, 0, eris.Wrapf(ErrNotFound, "job %q", id)
	}
	if err != nil {
		return batch.Job{}, 0, eris.Wrapf(ErrUnavailable, "read job %s: %v", id, err)
	}
	job, err := batch.DecodeJob(found.Value)
	if err != nil {
		return batch.Job{}, 0, eris.Wrapf(err, "job %q", id)
	}
	return job, found.ModRevision, nil
}

// chunks returns the chunk records of a job in order.
func (s *Service) chunks(ctx context.Context, id batch.JobID) ([]batch.Chunk, error) {
	listing, err := s.store.List(ctx, id.ChunksPrefix())
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "list the chunks of job %s: %v", id, err)
	}
	chunks := make([]batch.Chunk, 0, len(listing.Items))
	for _, item := range listing.Items {
		chunk, err := batch.DecodeChunk(item.Value)
		if err != nil {
			return nil, fmt.Errorf("key %q: %w", item.Key, err)
		}
		chunks = append(chunks, chunk)
	}
	return chunks, nil
}

func utcNow() time.Time { return time.Now().UTC() }
