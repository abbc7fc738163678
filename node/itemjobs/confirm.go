package itemjobs

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// confirmTimeout bounds the store call that confirms jobs. A response that takes longer is too old to start items.
	confirmTimeout = 1500 * time.Millisecond
	// confirmRetryDelay is the delay after a failed call.
	confirmRetryDelay = 250 * time.Millisecond
	// minOutage is how long the store must be unreachable before items of unconfirmed jobs start. A single failed call counts as half a second
	// of outage, which is less. An outage keeps the items of a job, if some wait all the time, from starting for less than 3 s: if the last
	// confirmation was requested at 0 s, it is valid until 2 s; the call that renews it starts at 1 s and fails at 2.5 s at the latest; the store
	// counts as unreachable 0.2 s later, at 2.7 s, and items start again at about 4.7 s.
	minOutage = 2 * time.Second
)

// confirmJobs asks the store, while items wait, whether their jobs are still open and owned by this instance. It is needed because the notices
// of an end and of a new owner may be lost. It runs until ctx ends.
func (s *Service) confirmJobs(ctx context.Context) {
	for {
		select {
		case <-s.confirmSignal:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && !s.StoreUnreachable() && s.needsConfirmation(s.Now()) {
			batch := s.jobsToConfirm()
			if len(batch) == 0 {
				break // the jobs were dropped in the meantime
			}
			if s.confirmOnce(ctx, batch) {
				wait.Wake(s.scheduleSignal)
			} else if !wait.For(ctx, confirmRetryDelay) {
				return
			}
		}
	}
}

// needsConfirmation reports whether the store must be asked about any runnable job.
func (s *Service) needsConfirmation(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if j.isRunnable() && j.NeedsConfirmation(now) {
			return true
		}
	}
	return false
}

// jobsToConfirm returns the jobs to ask the store about, at most as many as fit into one transaction, with the oldest confirmation first. Jobs
// that need no confirmation yet are included, so that one call confirms all.
func (s *Service) jobsToConfirm() []*ownedJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []*ownedJob
	for _, j := range s.jobs {
		if j.isRunnable() {
			batch = append(batch, j)
		}
	}
	slices.SortFunc(batch, func(a, b *ownedJob) int { return a.ConfirmedAt().Compare(b.ConfirmedAt()) })
	return batch[:min(len(batch), maxTxnEntries)]
}

// confirmOnce compares the revisions of the jobs' records with the store in one transaction that writes nothing. It returns false if the call
// failed or its response lacks the records.
func (s *Service) confirmOnce(ctx context.Context, batch []*ownedJob) bool {
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, "job-confirm"), confirmTimeout)
	defer cancel()
	var txn kv.Txn
	expectOwned(&txn, batch)
	asOf := s.Now()
	result, err := s.Store.Txn(ctx, txn)
	if err != nil {
		klog.InfoS("Jobs were not confirmed, their items do not start", "jobs", len(batch), "cause", err.Error())
		return false
	}
	return s.applyConfirmation(batch, result, asOf)
}

// expectOwned makes a transaction conditional on the unchanged records of jobs, and makes it read the records if the condition fails.
func expectOwned(txn *kv.Txn, batch []*ownedJob) {
	for _, j := range batch {
		txn.Compares = append(txn.Compares, kv.Compare{Key: recordKey(j.ID), Target: kv.CompareModRevision, Revision: j.revision})
		txn.Else = append(txn.Else, kv.Op{Kind: kv.OpGet, Key: recordKey(j.ID)})
	}
}

// applyConfirmation applies the result of a transaction with expectOwned that was sent at asOf: it confirms the jobs whose records are unchanged
// and drops the others. It returns false if the condition failed and the result lacks the records.
func (s *Service) applyConfirmation(batch []*ownedJob, result kv.TxnResult, asOf time.Time) bool {
	if !result.Succeeded && len(result.Gets) != len(batch) {
		klog.ErrorS(nil, "Response of the store lacks records of jobs", "jobs", len(batch), "shown", len(result.Gets))
		return false
	}
	for i, j := range batch {
		if result.Succeeded || result.Gets[i].ModRevision == j.revision {
			s.confirm(j, asOf)
		} else {
			s.dropChanged(j, result.Gets[i])
		}
	}
	return true
}

func (s *Service) confirm(j *ownedJob, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.Confirm(asOf)
}

// mayStartUnconfirmed reports whether items may start although the store has not confirmed their jobs recently. It does so in an outage of
// minOutage during which no known instance reaches the store, since no job can be ended then. Only the scheduler calls it.
func (s *Service) mayStartUnconfirmed(now time.Time) bool {
	if !s.StoreUnreachable() || len(s.Peers.Available()) > 0 {
		s.outageSince = time.Time{}
		return false
	}
	if s.outageSince.IsZero() {
		s.outageSince = now
	}
	return now.Sub(s.outageSince) >= minOutage
}
