package jobs

import (
	"context"
	"errors"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Cancel cancels a job of a caller. It returns a nil error only after the record is written; no result is recorded after that.
// Cancelling a cancelled job succeeds. Errors: ErrNotFound, ErrFinished, ErrUnavailable, ErrUnconfirmed.
func (s *Service) Cancel(ctx context.Context, caller fleet.CallerID, id batch.JobID) (JobWithProgress, error) {
	if _, err := s.Get(ctx, caller, id); err != nil {
		return JobWithProgress{}, err
	}
	return s.CancelAny(ctx, id)
}

// CancelAny is Cancel for a job of any caller, for operators.
func (s *Service) CancelAny(ctx context.Context, id batch.JobID) (JobWithProgress, error) {
	ctx = kv.WithPurpose(ctx, storePurpose)
	mayBeWritten := false
	for range maxWriteAttempts {
		done, err := s.cancelOnce(ctx, id)
		if done {
			return s.cancelledJob(ctx, id)
		}
		if errors.Is(err, ErrNotFound) || errors.Is(err, ErrFinished) {
			return JobWithProgress{}, err
		}
		if errors.Is(err, kv.ErrOutcomeUnknown) {
			mayBeWritten = true
			continue
		}
		if err != nil && !mayBeWritten {
			return JobWithProgress{}, err
		}
	}
	return JobWithProgress{}, eris.Wrapf(ErrUnconfirmed, "cancel job %s", id)
}

// cancelOnce reads the record and replaces it with a cancelled one. It returns true if the job is cancelled, also by an earlier call,
// and false without an error if the record was changed concurrently.
func (s *Service) cancelOnce(ctx context.Context, id batch.JobID) (bool, error) {
	job, revision, err := s.read(ctx, id)
	if err != nil {
		return false, err
	}
	if job.State == batch.JobCancelled {
		return true, nil
	}
	cancelled, err := job.Cancel(utcNow())
	if err != nil {
		return false, eris.Wrapf(ErrFinished, "job %s is %s", id, job.State)
	}
	value, err := cancelled.Encode()
	if err != nil {
		return false, err
	}
	result, err := s.store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{{Key: id.Key(), Target: kv.CompareModRevision, Revision: revision}},
		Then: []kv.Op{
			{Kind: kv.OpPut, Key: id.Key(), Value: value},
			{Kind: kv.OpDelete, Key: id.OpenKey()},
		},
	})
	if errors.Is(err, kv.ErrUnavailable) {
		return false, eris.Wrapf(ErrUnavailable, "cancel job %s: %v", id, err)
	}
	return err == nil && result.Succeeded, err
}

// cancelledJob returns a cancelled job. If it cannot be read, the result has its id and state only.
func (s *Service) cancelledJob(ctx context.Context, id batch.JobID) (JobWithProgress, error) {
	job, err := s.GetAny(ctx, id)
	if err == nil {
		return job, nil
	}
	return JobWithProgress{Job: batch.Job{ID: id, State: batch.JobCancelled}}, nil
}
