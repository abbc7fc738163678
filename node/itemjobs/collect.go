package itemjobs

import (
	"context"
	"sync"
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
	// retentionMargin is added to Config.Retention before a job is removed from the store, for clients that read a little later.
	retentionMargin = time.Minute
	// revisionInterval is the minimum interval between the entries of a revisionLog.
	revisionInterval = 10 * time.Second
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

// revisionLog holds past revisions of the store and when a response of the store showed them. It tells how old a key is at least without the time
// of day, which differs between instances and may be set. It is safe for concurrent use.
type revisionLog struct {
	mu      sync.Mutex // guards entries
	entries []revisionEntry
}

// revisionEntry is a revision of the store that was reached at a time or earlier.
type revisionEntry struct {
	at       time.Time
	revision kv.Revision
}

// add adds the revision in a response of the store that arrived at a time, and drops entries that are not needed for before with an age of maxAge.
func (l *revisionLog) add(revision kv.Revision, at time.Time, maxAge time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.entries); n > 0 && at.Sub(l.entries[n-1].at) < revisionInterval {
		return
	}
	l.entries = append(l.entries, revisionEntry{at, revision})
	for len(l.entries) > 1 && at.Sub(l.entries[1].at) >= maxAge {
		l.entries = l.entries[1:]
	}
}

// before returns a revision that the store had reached at least age ago, or 0 if none is known.
func (l *revisionLog) before(age time.Duration, now time.Time) kv.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	var known kv.Revision
	for _, e := range l.entries {
		if now.Sub(e.at) >= age {
			known = max(known, e.revision)
		}
	}
	return known
}

// recordRevision adds a revision of the store, in a response that arrived just now, to Service.revisions.
func (s *Service) recordRevision(revision kv.Revision) {
	s.revisions.add(revision, s.Now(), s.Retention+retentionMargin)
}

// evictOld evicts complete jobs from memory when Config.Retention has passed since their submission. Later reads find them in the store as long as
// they are there.
func (s *Service) evictOld(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		if j.AllStored() && now.After(j.evictAt) {
			s.evictComplete(id, j)
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

// removeOld removes the keys of jobs that are complete or ended and were recorded more than Config.Retention and retentionMargin ago, as far as this
// instance has known the revisions of the store for that long.
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
	s.recordRevision(records.Revision)
	old := s.revisions.before(s.Retention+retentionMargin, now)
	for _, item := range records.Items {
		if item.CreateRevision > old {
			continue
		}
		var record itemjob.Record
		if err := decode(item.Value, &record); err != nil {
			klog.ErrorS(err, "Record of a job skipped", "key", item.Key)
			continue
		}
		if unfinished[record.ID] {
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
