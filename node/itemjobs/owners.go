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
	// scanPeriod is how often an instance compares the open jobs with the living instances, beside each change of these.
	scanPeriod = 2 * time.Second
	// scanTimeout bounds the calls of one look, without what it takes up.
	scanTimeout = 4 * time.Second
	// takeUpTimeout bounds the calls that take one job up: five in turn, of up to 1.5 s each when the store is slow. A job that is given up
	// halfway begins again.
	takeUpTimeout = 8 * time.Second
	// marksLag is how far the listed marks may be behind.
	marksLag = 3 * time.Second
	// settleDelay lets the view of the members settle after a change, so that instances agree on who takes a job up.
	settleDelay = 150 * time.Millisecond
)

// watchOwners takes up open jobs whose owner is gone, and drops jobs that others took.
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
			klog.ErrorS(err, "Open jobs were not looked at")
		}
	}
}

// scanOpen compares the open marks with the members once. Marks that are seconds old will do: what is done about one depends on the record.
// An instance that stands by and owns no job has nothing to compare.
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

// compareOpen compares the open marks with the members, drops jobs that are no longer this instance's, and returns those that it is to take up.
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

// ownsOpen tells whether this instance owns a job with unfinished items, or may be named as the owner of one without knowing it.
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

// livingOf returns the processes of the members that were heard lately.
func livingOf(members []fleet.Member) map[fleet.InstanceID]uint64 {
	living := make(map[fleet.InstanceID]uint64)
	for _, m := range members {
		if m.State == fleet.MemberAlive || m.State == fleet.MemberDraining {
			living[m.ID] = m.Incarnation
		}
	}
	return living
}

// isForgotten tells whether this process is named as the owner of a job without knowing it: the store's answer to a submission was lost.
func (s *Service) isForgotten(id itemjob.ID, mark openMark) bool {
	_, known := s.owned(id)
	return !known && mark.Owner == s.Self.ID && mark.Process == s.Self.Incarnation
}

// isOwned tells whether the process that owns a job lives. An owner that is a later process of its instance than the one that is known has
// just started, and is not gone.
func isOwned(mark openMark, living map[fleet.InstanceID]uint64) bool {
	process, lives := living[mark.Owner]
	return lives && process <= mark.Process
}

// takeUp takes a job up whose owner is gone. Each has a time of its own: with one for all, a slow store left the last ones without an owner.
func (s *Service) takeUp(ctx context.Context, id itemjob.ID) {
	ctx, cancel := context.WithTimeout(ctx, takeUpTimeout)
	defer cancel()
	if err := s.Adopt(ctx, id, nil); err != nil {
		klog.ErrorS(err, "Job was not taken up", "job", id)
	}
}

// successor returns the instance that takes a job up: all that see the same members choose the same one.
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

// Adopt takes a job up: it writes this instance into the record, so that the former owner can record nothing more, and loads what is
// recorded. given is the former owner's progress; nil means that it may be in the store.
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

// tellFormer lets an owner that was replaced, and may not know it, stop the items of a job.
func (s *Service) tellFormer(ctx context.Context, id itemjob.ID, former fleet.InstanceID) {
	address, ok := s.addressOf(former)
	if !ok {
		return
	}
	if err := s.calls.drop(ctx, address, id); err != nil {
		klog.V(1).InfoS("Former owner was not told that it was replaced", "job", id, "former_owner", former, "error", err.Error())
	}
}

// resume goes on with a job that this instance has become the owner of by a write sent at asOf.
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

// storedProgress reads what the former owner left in the store when it gave the job up.
func (s *Service) storedProgress(ctx context.Context, id itemjob.ID) *progress {
	p := &progress{}
	found, err := s.Store.Get(ctx, partialKey(id))
	if err == nil {
		err = decode(found.Value, p)
	}
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		klog.ErrorS(err, "Progress of unfinished items was not read, they run from the start", "job", id)
	}
	return p
}

// verify drops jobs that the store says are not this instance's any more.
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
			klog.ErrorS(err, "Doubtful job was not looked up", "job", j.ID)
		}
	}
}
