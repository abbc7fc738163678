package itemjobs

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/core/rendezvous"
)

const (
	// scanPeriod is the mean interval between scans that compare the open jobs with the alive instances. A change of the members triggers an
	// additional scan.
	scanPeriod = 2 * time.Second
	// scanTimeout bounds the store calls of one scan, not including those that take jobs over.
	scanTimeout = 4 * time.Second
	// takeUpTimeout bounds the store calls that take one job over: five in sequence, of up to 1.5 s each when the store is slow. A job that is
	// not taken over in this time is retried from the start.
	takeUpTimeout = 8 * time.Second
	// marksLag is how stale the listed marks may be.
	marksLag = 3 * time.Second
	// settleDelay is the wait after a change of the members, until all instances see it and agree on which one takes a job over.
	settleDelay = 150 * time.Millisecond
)

// watchOwners takes over open jobs whose owner is not alive, and drops jobs that other instances took over, until ctx ends.
func (s *Service) watchOwners(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, seedOwners))
	for ctx.Err() == nil {
		select {
		case <-s.scan:
			time.Sleep(settleDelay)
		case <-time.After(scanPeriod/2 + time.Duration(random.Int64N(int64(scanPeriod)))):
		case <-ctx.Done():
			return
		}
		if err := s.scanOpen(ctx); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "Open jobs could not be scanned")
		}
	}
}

// scanOpen compares the open marks with the members once and takes over the jobs that fall to this instance. The marks may be some seconds
// stale, since every change is conditional on the record. A standby instance that owns no open job skips the scan.
func (s *Service) scanOpen(ctx context.Context) error {
	if !s.Peers.Serves() && !s.ownsOpen() {
		return nil
	}
	ctx = kv.WithPurpose(ctx, "job-owners")
	mine, err := s.compareOpen(ctx)
	if err != nil {
		return err
	}
	for _, id := range mine {
		if s.isDraining() {
			break
		}
		s.takeUp(ctx, id)
	}
	return nil
}

// compareOpen compares the open marks with the members, drops jobs that this instance no longer owns, and returns those that it has to take
// over.
func (s *Service) compareOpen(ctx context.Context) (mine []itemjob.ID, err error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	asOf := time.Now()
	open, err := s.Store.List(kv.AllowStale(ctx), openPrefix)
	if err != nil {
		return nil, err
	}
	living, serving := livingOf(s.Peers.Members()), s.Peers.Serving()
	orphaned := make(map[string]int64)
	marks := make(map[itemjob.ID]openMark, len(open.Items))
	for _, item := range open.Items {
		var mark openMark
		if err := decode(item.Value, &mark); err != nil {
			klog.ErrorS(err, "Open mark skipped", "key", item.Key)
			continue
		}
		id := jobOf(item.Key, openPrefix)
		marks[id] = mark
		switch {
		case s.isForgotten(id, mark):
			mine = append(mine, id)
		case !isOwned(mark, living):
			orphaned[mark.Route] += mark.Tokens
			if successor(id, serving) == s.Self.ID {
				mine = append(mine, id)
			}
		}
	}
	s.mu.Lock()
	s.orphaned = orphaned
	s.mu.Unlock()
	s.verify(ctx, marks, asOf)
	return mine, nil
}

// ownsOpen reports whether this instance owns an open job, or the store may name it as the owner of a job that is not in Service.jobs.
func (s *Service) ownsOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if j.isOpen() {
			return true
		}
	}
	return s.uncertain
}

// livingOf returns the processes of the members that are alive or draining.
func livingOf(members []fleet.Member) map[fleet.InstanceID]uint64 {
	living := make(map[fleet.InstanceID]uint64)
	for _, m := range members {
		if m.State == fleet.MemberAlive || m.State == fleet.MemberDraining {
			living[m.ID] = m.Incarnation
		}
	}
	return living
}

// isForgotten reports whether the mark names this process as the owner of a job that is not in Service.jobs. This happens when the store's
// response to the write that made it the owner was lost.
func (s *Service) isForgotten(id itemjob.ID, mark openMark) bool {
	_, known := s.owned(id)
	return !known && mark.Owner == s.Self.ID && mark.Process == s.Self.Incarnation
}

// isOwned reports whether the process that owns a job is alive. An owner that is a later process of its instance than the known one counts as
// alive, since it has just started.
func isOwned(mark openMark, living map[fleet.InstanceID]uint64) bool {
	process, lives := living[mark.Owner]
	return lives && process <= mark.Process
}

// takeUp takes over a job whose owner is not alive. Each job has its own timeout: with one timeout for all of them, a slow store left the last
// ones without an owner.
func (s *Service) takeUp(ctx context.Context, id itemjob.ID) {
	ctx, cancel := context.WithTimeout(ctx, takeUpTimeout)
	defer cancel()
	if err := s.Adopt(ctx, id, nil); err != nil {
		klog.ErrorS(err, "Job was not taken up", "job", id)
	}
}

// successor returns the alive member that takes a job over, or "" if none is alive. Instances that see the same members choose the same one.
func successor(id itemjob.ID, members []fleet.Member) fleet.InstanceID {
	var ids []string
	for _, m := range members {
		if m.State == fleet.MemberAlive {
			ids = append(ids, string(m.ID))
		}
	}
	chosen := rendezvous.Rendezvous(string(id), ids, 1)
	if len(chosen) == 0 {
		return ""
	}
	return fleet.InstanceID(chosen[0])
}

// Adopt takes a job over: it writes this instance into the record, after which the former owner can record no more results, and loads the
// recorded state. given is the progress that the former owner handed over; with nil, the progress is read from the store, and the job is left
// alone if its owner is alive. Adopt does nothing for a job that has ended or that this instance owns. Errors: ErrNotFound, ErrUnavailable,
// ErrBadRecord, errContended, and those of the store.
func (s *Service) Adopt(ctx context.Context, id itemjob.ID, given *progress) error {
	if _, ok := s.owned(id); ok {
		return nil
	}
	record, revision, err := s.getRecord(ctx, id)
	if err != nil {
		return err
	}
	mark := markOf(&record)
	if record.Ended || given == nil && !s.isForgotten(id, mark) && isOwned(mark, livingOf(s.Peers.Members())) {
		return nil
	}
	defer s.beginTakeUp(id)()
	former := record.Owner
	record.Owner, record.Process = s.Self.ID, s.Self.Incarnation
	ops, err := putJSON(recordKey(id), record, openKey(id), markOf(&record))
	if err != nil {
		return err
	}
	asOf := time.Now()
	revision, err = s.replaceRecord(ctx, id, revision, ops)
	if err != nil {
		if !errors.Is(err, errContended) {
			s.setUncertain()
		}
		return err
	}
	go s.tellFormer(context.WithoutCancel(ctx), id, former)
	return s.resume(ctx, record, revision, former, given, asOf)
}

// tellFormer asks the former owner of a job to stop its items, in case it does not know yet that it was replaced.
func (s *Service) tellFormer(ctx context.Context, id itemjob.ID, former fleet.InstanceID) {
	address, ok := s.addressOf(former)
	if !ok {
		return
	}
	if err := s.calls.drop(ctx, address, id); err != nil {
		klog.V(1).InfoS("Former owner could not be notified that it was replaced", "job", id, "former_owner", former, "error", err.Error())
	}
}

// resume loads a job that this instance came to own by a write sent at asOf, and continues it.
func (s *Service) resume(ctx context.Context, record itemjob.Record, revision kv.Revision, former fleet.InstanceID, given *progress, asOf time.Time) error {
	items, err := s.loadItems(ctx, &record)
	if err != nil {
		return err
	}
	results, err := s.load(ctx, record.ID, 0)
	if err != nil {
		return err
	}
	job := itemjob.NewJob(record, items, results)
	if given == nil {
		given = s.storedProgress(ctx, record.ID)
	}
	continued := given.apply(job, time.Now())
	klog.InfoS("Job taken up", "job", record.ID, "former_owner", former, "items", len(items), "results", len(results), "continued", continued,
		"due_in_ms", time.Until(record.Due).Milliseconds())
	s.own(job, revision, asOf)
	return nil
}

// storedProgress reads the progress that the former owner wrote to the store. It is empty if there is none or it cannot be read.
func (s *Service) storedProgress(ctx context.Context, id itemjob.ID) *progress {
	p := &progress{}
	found, err := s.Store.Get(ctx, partialKey(id))
	if err == nil {
		err = decode(found.Value, p)
	}
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		klog.ErrorS(err, "Progress of unfinished items could not be read, they restart from the beginning", "job", id)
	}
	return p
}

// verify reads the records of the owned jobs that the open marks, listed at asOf, do not show as this instance's, and drops those that it no
// longer owns. Jobs that it came to own within marksLag are skipped, since the marks may be older.
func (s *Service) verify(ctx context.Context, marks map[itemjob.ID]openMark, asOf time.Time) {
	s.mu.Lock()
	var doubtful []*owned
	for id, j := range s.jobs {
		mark, open := marks[id]
		mine := open && mark.Owner == s.Self.ID && mark.Process == s.Self.Incarnation
		if !mine && !j.Complete() && j.since.Before(asOf.Add(-marksLag)) {
			doubtful = append(doubtful, j)
		}
	}
	s.mu.Unlock()
	for _, j := range doubtful {
		sent := time.Now()
		current, err := s.Store.Get(ctx, recordKey(j.ID))
		switch {
		case errors.Is(err, kv.ErrNotFound) || err == nil && current.ModRevision != j.revision:
			s.dropChanged(j, current)
		case err == nil:
			s.confirm(j, sent)
		default:
			klog.ErrorS(err, "Ownership of a job could not be verified", "job", j.ID)
		}
	}
}
