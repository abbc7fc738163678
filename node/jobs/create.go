package jobs

import (
	"context"
	"errors"
	"fmt"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Create accepts a submission and returns its job after the record is written. If the same submission was accepted before, at any
// instance, it returns that job. Errors: ErrInvalid, ErrKeyMismatch, ErrNotAccepted, and ErrUnconfirmed if it is unknown whether the
// record was written.
func (s *Service) Create(ctx context.Context, caller fleet.CallerID, submission batch.Submission) (JobWithProgress, error) {
	ctx = kv.WithPurpose(ctx, storePurpose)
	job, err := batch.NewJob(caller, submission, utcNow())
	if err != nil {
		return JobWithProgress{}, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	value, err := job.Encode()
	if err != nil {
		return JobWithProgress{}, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	mayBeWritten := false
	for range maxWriteAttempts {
		result, err := s.store.Txn(ctx, createTxn(job, value))
		switch {
		case err == nil && result.Succeeded:
			return JobWithProgress{Job: job}, nil
		case err == nil:
			return s.existingJob(ctx, job, result)
		case errors.Is(err, kv.ErrValueTooLarge):
			return JobWithProgress{}, fmt.Errorf("%w: %v", ErrInvalid, err)
		case errors.Is(err, kv.ErrUnavailable) && !mayBeWritten:
			return JobWithProgress{}, fmt.Errorf("%w: %v", ErrNotAccepted, err)
		}
		// The transaction only creates a record that does not exist, so that repeating it reads back the effect of the first one.
		mayBeWritten = mayBeWritten || !errors.Is(err, kv.ErrUnavailable)
		if ctx.Err() != nil {
			break
		}
	}
	return JobWithProgress{}, eris.Wrapf(ErrUnconfirmed, "create job %s", job.ID)
}

// createTxn returns the transaction that writes the record and its index entries, or reads the record if it exists.
func createTxn(job batch.Job, value []byte) kv.Txn {
	created := []byte(job.Created.Format(indexTimeLayout))
	return kv.Txn{
		Compares: []kv.Compare{{Key: job.ID.Key(), Target: kv.CompareCreateRevision}},
		Then: []kv.Op{
			{Kind: kv.OpPut, Key: job.ID.Key(), Value: value},
			{Kind: kv.OpPut, Key: job.ID.OpenKey(), Value: created},
			{Kind: kv.OpPut, Key: job.ID.CallerKey(job.Caller), Value: created},
		},
		Else: []kv.Op{{Kind: kv.OpGet, Key: job.ID.Key()}},
	}
}

// existingJob returns the existing job if it comes from the same submission, and ErrKeyMismatch otherwise.
func (s *Service) existingJob(ctx context.Context, job batch.Job, result kv.TxnResult) (JobWithProgress, error) {
	if len(result.Gets) != 1 {
		return JobWithProgress{}, eris.Wrap(ErrUnconfirmed, "response of the store lacks the record")
	}
	existing, err := batch.DecodeJob(result.Gets[0].Value)
	if err != nil {
		return JobWithProgress{}, eris.Wrapf(err, "job %q", job.ID)
	}
	if existing.RequestDigest != job.RequestDigest {
		return JobWithProgress{}, eris.Wrapf(ErrKeyMismatch, "job %q", job.ID)
	}
	return JobWithProgress{Job: existing, Progress: existing.Counts}, nil
}
