package itemjobs

import (
	"context"
	"errors"
	"math"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/node/internal/wait"
)

// endTimeout bounds all attempts of one call to end a job.
const endTimeout = 3 * time.Second

// EndError is the error of a job that was not ended for certain. Like a SubmissionError, it passes the outcome on as a value.
type EndError struct {
	MayHaveEnded bool // the store may have recorded the end, or may still do so
	cause        error
}

// Error implements error.
func (e *EndError) Error() string {
	if e.MayHaveEnded {
		return "job may have ended: " + e.cause.Error()
	}
	return "job was not ended: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *EndError) Unwrap() error { return e.cause }

// End ends a job for its client: no further results are recorded, and its owner starts no further items once it has been notified or has asked
// the store. If the store's response to the write is lost, the record is read again to find out whether the job has ended. The write is not
// undone when ctx is cancelled. Ending an ended job succeeds. Errors: ErrNotFound, also for another account's job, *EndError.
func (s *Service) End(ctx context.Context, caller itemjob.Caller, id itemjob.ID) error {
	ctx, cancel := context.WithTimeout(kv.WithPurpose(context.WithoutCancel(ctx), "job-end"), endTimeout)
	defer cancel()
	started := s.Now()
	var attempted *itemjob.Record // as it was before a write of this call whose outcome is unknown
	for {
		record, revision, err := s.getPermitted(ctx, caller, id)
		switch {
		case errors.Is(err, ErrNotFound):
			return err
		case err != nil:
			return &EndError{MayHaveEnded: attempted != nil, cause: err}
		}
		if record.Ended && attempted != nil {
			s.reportEnd(ctx, attempted, started)
			return nil
		}
		if record.Ended {
			owned := s.DropOwned(id, ended, "its client ended it earlier")
			klog.InfoS("Job has already ended", "job", id, "ended_at", record.EndedAt, "owned", owned)
			return nil
		}
		err = s.endOnce(ctx, record, revision)
		switch {
		case err == nil:
			s.reportEnd(ctx, &record, started)
			return nil
		case errors.Is(err, kv.ErrOutcomeUnknown) && wait.For(ctx, writeRetryDelay):
			klog.InfoS("Outcome of ending a job is unknown, reading its record again", "job", id, "revision", revision, "owner", record.Owner, "cause", err.Error())
			attempted = &record
		case !errors.Is(err, errContended):
			klog.ErrorS(err, "Job was not ended, or the outcome is unknown", "job", id, "revision", revision, "owner", record.Owner)
			return &EndError{MayHaveEnded: attempted != nil || !hadNoEffect(err), cause: err}
		}
	}
}

// reportEnd notifies the owner of a job that ended, counts the end and logs it. record is the one before the end, which names the owner.
func (s *Service) reportEnd(ctx context.Context, record *itemjob.Record, started time.Time) {
	acknowledged := s.notifyOwnerOfEnd(ctx, record)
	s.stats.ended(acknowledged)
	klog.InfoS("Job ended", "job", record.ID, "owner", record.Owner, "owner_told", acknowledged, "took_ms", s.Now().Sub(started).Milliseconds())
}

// endOnce ends the job if its record is still at the revision. Errors: those of replaceRecord.
func (s *Service) endOnce(ctx context.Context, record itemjob.Record, revision kv.Revision) error {
	record.Ended, record.EndedAt, record.Owner, record.Process = true, s.Now(), "", 0
	ops, err := putJSON(recordKey(record.ID), record)
	if err != nil {
		return err
	}
	_, err = s.replaceRecord(ctx, record.ID, revision, append(ops, kv.Op{Kind: kv.OpDelete, Key: openKey(record.ID)}))
	return err
}

// notifyOwnerOfEnd stops the items of a job at its owner, and reports whether the owner acknowledged. An unreachable owner finds out before it
// starts further items, when it asks the store; see confirmJobs.
func (s *Service) notifyOwnerOfEnd(ctx context.Context, record *itemjob.Record) bool {
	s.DropOwned(record.ID, ended, "its client ended it")
	if record.Owner == s.Self.ID {
		return true
	}
	address, ok := s.knownAddress(record.Owner)
	if !ok {
		return false
	}
	if err := s.calls.drop(ctx, address, record.ID, ended); err != nil {
		klog.ErrorS(err, "Owner could not be notified that a job ended", "job", record.ID, "owner", record.Owner)
		return false
	}
	return true
}

// ended is the revision of a record from which on a job has no owner any more, since its client ended it.
const ended kv.Revision = math.MaxInt64

// DropOwned drops a job that this instance does not own since the given revision of its record. A notice that arrives late leaves a job alone that
// this instance came to own again at a later one. A job that this instance is still taking over does not start; see beginAcquisition. It reports
// whether there was such a job.
func (s *Service) DropOwned(id itemjob.ID, since kv.Revision, reason string) bool {
	s.mu.Lock()
	j, ok := s.jobs[id]
	ok = ok && j.revision < since
	t, inProgress := s.acquiring[id]
	if inProgress {
		t.endedBy = max(t.endedBy, since)
	}
	s.mu.Unlock()
	if ok {
		s.drop(j, reason)
	}
	return ok || inProgress
}
