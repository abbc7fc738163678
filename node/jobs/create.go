package jobs

import (
	"context"
	"errors"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Create accepts a submission, or returns the job that an equal submission made before, at any instance. It returns only when the record
// is written. Errors: ErrInvalid, ErrKeyMismatch, ErrNotAccepted, and ErrUnconfirmed if the store does not tell whether it was written.
func (s *Service) Create(ctx context.Context, caller fleet.CallerID, submission batch.Submission) (View, error) {
	ctx = kv.WithPurpose(ctx, storePurpose)
	job, err := batch.NewJob(caller, submission, utcNow())
	if err != nil {
		return View{}, eris.Wrap(ErrInvalid, err.Error())
	}
	value, err := job.Encode()
	if err != nil {
		return View{}, eris.Wrap(ErrInvalid, err.Error())
	}
	mayBeWritten := false
	for range writeTries {
		result, err := s.store.Txn(ctx, createTxn(job, value))
		switch {
		case err == nil && result.Succeeded:
			return View{Job: job}, nil
		case err == nil:
			return s.resubmitted(ctx, job, result)
		case errors.Is(err, kv.ErrValueTooLarge):
			return View{}, eris.Wrap(ErrInvalid, err.Error())
		case errors.Is(err, kv.ErrUnavailable) && !mayBeWritten:
			return View{}, eris.Wrap(ErrNotAccepted, err.Error())
		}
		// The transaction creates only what is absent: sending it again reads back what the first one did.
		mayBeWritten = mayBeWritten || !errors.Is(err, kv.ErrUnavailable)
		if ctx.Err() != nil {
			break
		}
	}
	return View{}, eris.Wrapf(ErrUnconfirmed, "create job %s", job.ID)
}

// createTxn writes the record with its marks, or reads the record that exists.
func createTxn(job batch.Job, value []byte) kv.Txn {
	created := []byte(job.Created.Format(markTime))
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

// resubmitted returns the job that exists, if it is of the same request.
func (s *Service) resubmitted(ctx context.Context, job batch.Job, result kv.TxnResult) (View, error) {
	if len(result.Gets) != 1 {
		return View{}, eris.Wrap(ErrUnconfirmed, "response of the store lacks the record")
	}
	existing, err := batch.DecodeJob(result.Gets[0].Value)
	if err != nil {
		return View{}, eris.Wrapf(err, "job %s", job.ID)
	}
	if existing.RequestDigest != job.RequestDigest {
		return View{}, eris.Wrapf(ErrKeyMismatch, "job %s", job.ID)
	}
	return View{Job: existing, Progress: existing.Counts}, nil
}
