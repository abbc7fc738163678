package itemjobs

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// collectPeriod is how often old jobs are removed from the store.
	collectPeriod = time.Minute
	// keptMargin is added to the time for which results stay readable, for clients that read a little later and for clocks that differ.
	keptMargin = time.Minute
	// maxTxnEntries is the number of conditions, writes and removals that one transaction of the store takes.
	maxTxnEntries = 32
	// collectTimeout bounds one round.
	collectTimeout = 20 * time.Second
)

// collect forgets old jobs: from memory at each instance, and from the store at one of them.
func (s *Service) collect(ctx context.Context) {
	for wait.For(ctx, collectPeriod) {
		s.forgetOld(time.Now())
		if !s.collects() {
			continue
		}
		if err := s.removeOld(ctx, time.Now()); err != nil {
			klog.ErrorS(err, "Old jobs were not removed from the store")
		}
	}
}

// forgetOld drops complete jobs from memory whose results need not be readable any more. Later reads find them in the store.
func (s *Service) forgetOld(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		if j.Complete() && now.After(j.forget) {
			delete(s.jobs, id)
		}
	}
}

// collects tells whether this instance is the one to remove old jobs: the first of the living ones. Two that both think so do no harm.
func (s *Service) collects() bool {
	for _, m := range s.Peers.Members() {
		if m.State == fleet.MemberAlive && m.ID < s.Self.ID {
			return false
		}
	}
	return true
}

// removeOld removes the keys of jobs that are finished or ended and old.
func (s *Service) removeOld(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(kv.AllowStale(kv.WithPurpose(ctx, "job-collect")), collectTimeout)
	defer cancel()
	open, err := s.Store.List(ctx, openPrefix)
	if err != nil {
		return err
	}
	unfinished := make(map[itemjob.ID]bool, len(open.Items))
	for _, item := range open.Items {
		unfinished[jobOf(item.Key, openPrefix)] = true
	}
	records, err := s.Store.List(ctx, recordPrefix)
	if err != nil {
		return err
	}
	for _, item := range records.Items {
		var record itemjob.Record
		if err := decode(item.Value, &record); err != nil {
			klog.ErrorS(err, "Record of a job skipped", "key", item.Key)
			continue
		}
		if unfinished[record.ID] || now.Before(record.Submitted.Add(s.Kept+keptMargin)) {
			continue
		}
		if err := s.remove(ctx, &record); err != nil {
			return err
		}
	}
	return nil
}

// remove deletes the keys of one job, its record last, so that an interrupted removal is found again.
func (s *Service) remove(ctx context.Context, record *itemjob.Record) error {
	results, err := s.Store.List(ctx, resultPrefix+string(record.ID)+"/")
	if err != nil {
		return err
	}
	keys := []string{partialKey(record.ID)}
	for n := range record.Parts {
		keys = append(keys, partKey(record.ID, n))
	}
	for _, item := range results.Items {
		keys = append(keys, item.Key)
	}
	keys = append(keys, recordKey(record.ID))
	for len(keys) > 0 {
		n := min(len(keys), maxTxnEntries)
		var ops []kv.Op
		for _, key := range keys[:n] {
			ops = append(ops, kv.Op{Kind: kv.OpDelete, Key: key})
		}
		if _, err := s.Store.Txn(ctx, kv.Txn{Then: ops}); err != nil {
			return err
		}
		keys = keys[n:]
	}
	klog.InfoS("Old job removed", "job", record.ID, "submitted", record.Submitted)
	return nil
}
