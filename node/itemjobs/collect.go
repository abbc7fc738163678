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
	// collectInterval is the interval between removals of old jobs from memory and from the store.
	collectInterval = time.Minute
	// retentionMargin is added to Config.Retention before a job is removed from the store, for clients that read a little later and for clock
	// differences.
	retentionMargin = time.Minute
	// maxTxnEntries is the number of conditions, writes and removals that fit into one transaction of the store.
	maxTxnEntries = 32
	// collectTimeout bounds the store calls of one removeOld.
	collectTimeout = 20 * time.Second
)

// collect removes old jobs periodically until ctx ends: every instance from its memory, and one instance also from the store.
func (s *Service) collect(ctx context.Context) {
	for wait.For(ctx, collectInterval) {
		s.evictOld(s.Now())
		if !s.isCollector() {
			continue
		}
		if err := s.removeOld(ctx, s.Now()); err != nil {
			klog.ErrorS(err, "Old jobs were not removed from the store")
		}
	}
}

// evictOld evicts complete jobs from memory when Config.Retention has passed since their submission. Later reads find them in the store as long as
// they are there.
func (s *Service) evictOld(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		if j.AllStored() && now.After(j.evictAt) {
			delete(s.jobs, id)
		}
	}
}

// isCollector reports whether this instance is the one that removes old jobs from the store: the alive one with the lowest id. Removals by two
// instances at once are harmless.
func (s *Service) isCollector() bool {
	for _, m := range s.Peers.Members() {
		if m.State == fleet.MemberAlive && m.ID < s.Self.ID {
			return false
		}
	}
	return true
}

// removeOld removes the keys of jobs that are complete or ended and were submitted more than Config.Retention and retentionMargin ago.
func (s *Service) removeOld(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(kv.AllowStale(kv.WithPurpose(ctx, "job-collect")), collectTimeout)
	defer cancel()
	open, err := s.Store.List(ctx, openPrefix)
	if err != nil {
		return err
	}
	unfinished := make(map[itemjob.ID]bool, len(open.Items))
	for _, item := range open.Items {
		unfinished[jobIDFromKey(item.Key, openPrefix)] = true
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
		if unfinished[record.ID] || now.Before(record.Submitted.Add(s.Retention+retentionMargin)) {
			continue
		}
		if err := s.removeJob(ctx, &record); err != nil {
			return err
		}
	}
	return nil
}

// removeJob deletes the keys of one job. The record is deleted last, so that the next removeOld finds a job whose removal was interrupted.
func (s *Service) removeJob(ctx context.Context, record *itemjob.Record) error {
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
