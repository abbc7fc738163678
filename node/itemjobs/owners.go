package itemjobs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/core/rendezvous"
)

const (
	// scanInterval is the mean interval between scans that compare the open jobs with the alive instances. A change of the members triggers an
	// additional scan.
	scanInterval = 2 * time.Second
	// scanTimeout bounds the store calls of one scan, not including those that take jobs over.
	scanTimeout = 4 * time.Second
	// takeOverTimeout bounds the store calls that take one job over: five in sequence, of up to 1.5 s each when the store is slow. A job that is
	// not taken over in this time is retried from the start.
	takeOverTimeout = 8 * time.Second
	// maxMarkStaleness is how stale the listed marks may be.
	maxMarkStaleness = 3 * time.Second
	// settleDelay is the wait after a change of the members, until all instances see it and agree on which one takes a job over.
	settleDelay = 150 * time.Millisecond
)

// watchOwners takes over open jobs whose owner is not alive, and drops jobs that other instances took over, until ctx ends.
func (s *Service) watchOwners(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, seedOwners))
	for ctx.Err() == nil {
		select {
		case <-s.scanSignal:
			time.Sleep(settleDelay)
		case <-time.After(s.nextScanIn(random)):
		case <-ctx.Done():
			return
		}
		if err := s.scanOpen(ctx); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "Open jobs could not be scanned")
		}
	}
}

// nextScanIn returns the time until the next scan, unless something triggers one earlier.
func (s *Service) nextScanIn(random *rand.Rand) time.Duration {
	if s.ownersUnknown {
		return unknownOwnerDelay
	}
	return scanInterval/2 + time.Duration(random.Int64N(int64(scanInterval)))
}

// scanOpen compares the open marks with the members once and takes over the jobs that fall to this instance. The marks may be some seconds
// stale, since every change is conditional on the record. An instance on standby, which is one outside the working
// set of the gateway's Peers, skips the scan if it owns no open job.
func (s *Service) scanOpen(ctx context.Context) error {
	if !s.Peers.Serves() && !s.ownsOpenJob() {
		return nil
	}
	ctx = kv.WithPurpose(ctx, "job-owners")
	toTakeOver, err := s.compareOpen(ctx)
	if err != nil {
		return err
	}
	for _, id := range toTakeOver {
		if s.isDraining() {
			break
		}
		s.takeOver(ctx, id)
	}
	return nil
}

// compareOpen compares the open marks with the members, drops jobs that this instance no longer owns, and returns those that it has to take
// over.
func (s *Service) compareOpen(ctx context.Context) (toTakeOver []itemjob.ID, err error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	asOf := s.Now()
	open, err := s.Store.List(kv.AllowStale(ctx), openPrefix)
	if err != nil {
		return nil, err
	}
	now := s.Now()
	s.recordRevision(open.Revision)
	processes := aliveProcesses(s.Peers.Members())
	orphaned := make(map[string]int64)
	marks := make(map[itemjob.ID]openMark, len(open.Items))
	laterSince := make(map[ownerProcess]time.Time)
	unknown := false // an owner is not known yet
	for _, item := range open.Items {
		var mark openMark
		if err := decode(item.Value, &mark); err != nil {
			klog.ErrorS(err, "Open mark skipped", "key", item.Key)
			continue
		}
		id := jobIDFromKey(item.Key, openPrefix)
		marks[id] = mark
		switch {
		case s.isUntracked(id, mark):
			toTakeOver = append(toTakeOver, id)
		case !s.isOwnerAlive(mark, processes, laterSince, now):
			orphaned[itemjob.LimitKey(mark.Route, mark.Account)] += mark.Tokens
			if s.isOwnerUnknown(mark, laterSince, now) {
				unknown = true
			} else if successor(id, s.Peers.Successors(mark.Owner)) == s.Self.ID {
				toTakeOver = append(toTakeOver, id)
			}
		}
	}
	if s.ownersUnknown = unknown; unknown {
		s.Peers.Records().Relist() // the store may hold its watch
	}
	s.mu.Lock()
	s.orphaned, s.seenOpen, s.laterSince = orphaned, firstSeen(marks, s.seenOpen, now), laterSince
	s.mu.Unlock()
	s.verifyOwned(ctx, marks, asOf)
	return toTakeOver, nil
}

// firstSeen returns when the jobs of the marks were first listed: as in before, or now.
func firstSeen(marks map[itemjob.ID]openMark, before map[itemjob.ID]time.Time, now time.Time) map[itemjob.ID]time.Time {
	seen := make(map[itemjob.ID]time.Time, len(marks))
	for id := range marks {
		seen[id] = now
		if at, ok := before[id]; ok {
			seen[id] = at
		}
	}
	return seen
}

// ownsOpenJob reports whether this instance owns an open job, or the store may name it as the owner of a job that is not in Service.jobs.
func (s *Service) ownsOpenJob() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if j.isOpen() {
			return true
		}
	}
	return s.ownershipUncertain
}

// aliveProcesses returns the processes of the members that are alive or draining.
func aliveProcesses(members []fleet.Member) map[fleet.InstanceID]uint64 {
	processes := make(map[fleet.InstanceID]uint64)
	for _, m := range members {
		if m.State == fleet.MemberAlive || m.State == fleet.MemberDraining {
			processes[m.ID] = m.Incarnation
		}
	}
	return processes
}

// isUntracked reports whether the mark names this process as the owner of a job that is not in Service.jobs. This happens when the store's
// response to the write that made it the owner was lost.
func (s *Service) isUntracked(id itemjob.ID, mark openMark) bool {
	_, tracked := s.ownedJob(id)
	return !tracked && mark.Owner == s.Self.ID && mark.Process == s.Self.Incarnation
}

// ownerProcess is a process that owns jobs.
type ownerProcess struct {
	owner   fleet.InstanceID
	process uint64
}

const (
	// maxLaterProcess is how long an owner that seems to be a later process of its instance than the known one counts as alive, and the longest time
	// for which an instance that is not known does.
	maxLaterProcess = 10 * time.Second
	// unknownOwnerDelay is how long an owner that is not known counts as alive in any case: until this instance has listed the membership records
	// again, and the owner has repeated the write of its record if that failed.
	unknownOwnerDelay = 2 * time.Second
)

// isOwnerAlive reports whether the process that owns a job is alive. An owner that seems to be a later process of its instance than the known one may
// have just started, and counts as alive for maxLaterProcess since a scan first saw it. After that it is an earlier process whose clock was ahead of that of
// the known one. laterSince collects when these owners were first seen.
func (s *Service) isOwnerAlive(mark openMark, processes map[fleet.InstanceID]uint64, laterSince map[ownerProcess]time.Time, now time.Time) bool {
	process, alive := processes[mark.Owner]
	if !alive || process >= mark.Process {
		return alive && process == mark.Process
	}
	return now.Sub(s.firstSeenLater(mark, laterSince, now)) < maxLaterProcess
}

// isOwnerUnknown reports whether the owner of a job, which is not among the members, may be an instance that this one has not learned of: this one
// has started recently, or its copy of the membership records is not complete. Otherwise, two instances that have not learned of each other take the
// same jobs from each other in turn, and run their items again. An unknown owner counts as alive for unknownOwnerDelay since a scan first saw it,
// and until the copy was complete after that, but for maxLaterProcess at most. laterSince is as for isOwnerAlive.
func (s *Service) isOwnerUnknown(mark openMark, laterSince map[ownerProcess]time.Time, now time.Time) bool {
	if mark.Owner == "" || s.Peers.HasKnown(mark.Owner) {
		return false
	}
	since := s.firstSeenLater(mark, laterSince, now)
	seenFor := now.Sub(since)
	return seenFor < unknownOwnerDelay || seenFor < maxLaterProcess && s.Peers.Records().CompleteAsOf().Before(since)
}

// firstSeenLater returns when a scan first saw that the owner of a job may be one that this instance has not learned of, and adds it to laterSince.
func (s *Service) firstSeenLater(mark openMark, laterSince map[ownerProcess]time.Time, now time.Time) time.Time {
	owner := ownerProcess{mark.Owner, mark.Process}
	s.mu.Lock()
	since, seen := s.laterSince[owner]
	s.mu.Unlock()
	if !seen {
		since = now
	}
	laterSince[owner] = since
	return since
}

// isOwnerLost reports whether another instance may take a job over from its owner.
func (s *Service) isOwnerLost(mark openMark) bool {
	now, laterSince := s.Now(), make(map[ownerProcess]time.Time)
	return !s.isOwnerAlive(mark, aliveProcesses(s.Peers.Members()), laterSince, now) && !s.isOwnerUnknown(mark, laterSince, now)
}

// takeOver takes over a job whose owner is not alive. Each job has its own timeout: with one timeout for all of them, a slow store left the last
// ones without an owner.
func (s *Service) takeOver(ctx context.Context, id itemjob.ID) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
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
// recorded state. handedOver is the progress that the former owner handed over; with nil, the progress is read from the store, and the job is
// left alone if its owner is alive. Adopt does nothing for a job that has ended or that this instance owns. After a nil error, the job has ended,
// this instance owns it or, only with a nil handedOver, another alive instance does: a former owner that handed its progress over may drop the
// job. Errors: ErrNotFound, ErrUnavailable, ErrBadRecord, errContended, and those of the store.
func (s *Service) Adopt(ctx context.Context, id itemjob.ID, handedOver *progress) error {
	record, revision, err := s.getRecord(ctx, id)
	if err != nil {
		return err
	}
	submittedBy := s.submittedBy(&record, handedOver)
	if j, ok := s.ownedJob(id); ok {
		if j.revision == revision {
			return nil
		}
		s.drop(j, fmt.Sprintf("its record names %q as the owner", record.Owner))
	}
	mark := markOf(&record)
	if record.Ended || handedOver == nil && !s.isUntracked(id, mark) && !s.isOwnerLost(mark) {
		return nil
	}
	defer s.beginAcquisition(id)()
	former := record.Owner
	record.Owner, record.Process, record.KnownAge = s.Self.ID, s.Self.Incarnation, s.Now().Sub(submittedBy)
	ops, err := putJSON(recordKey(id), record, openKey(id), markOf(&record))
	if err != nil {
		return err
	}
	asOf := s.Now()
	revision, err = s.replaceRecord(ctx, id, revision, ops)
	if err != nil {
		if !errors.Is(err, errContended) {
			s.setOwnershipUncertain()
		}
		return err
	}
	go s.notifyFormerOwner(context.WithoutCancel(ctx), id, former, revision)
	if err := s.resumeJob(ctx, record, revision, former, handedOver, submittedBy, asOf); err != nil {
		s.setOwnershipUncertain() // so that this instance finds the job by its scans, on standby too
		return err
	}
	return nil
}

// submittedBy returns a time as for itemjob.NewJob, for a job whose record was just read: the earliest by the record, the progress that a former
// owner handed over, and this instance's own scans.
func (s *Service) submittedBy(record *itemjob.Record, handedOver *progress) time.Time {
	by := s.Now().Add(-record.KnownAge)
	if handedOver != nil {
		by = earlier(by, handedOver.submittedBy)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen, ok := s.seenOpen[record.ID]; ok {
		by = earlier(by, seen)
	}
	return by
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// notifyFormerOwner asks the former owner of a job to stop its items, in case it does not know yet that it was replaced at a revision of the
// record.
func (s *Service) notifyFormerOwner(ctx context.Context, id itemjob.ID, former fleet.InstanceID, since kv.Revision) {
	address, ok := s.knownAddress(former)
	if !ok {
		return
	}
	if err := s.calls.drop(ctx, address, id, since); err != nil {
		klog.V(1).InfoS("Former owner could not be notified that it was replaced", "job", id, "former_owner", former, "error", err.Error())
	}
}

// resumeJob loads a job that this instance came to own by a write sent at asOf, and continues it. submittedBy is as for itemjob.NewJob.
func (s *Service) resumeJob(ctx context.Context, record itemjob.Record, revision kv.Revision, former fleet.InstanceID, handedOver *progress, submittedBy, asOf time.Time) error {
	items, err := s.loadItems(ctx, &record)
	if err != nil {
		return err
	}
	results, outputs, err := s.loadAllResults(ctx, record.ID)
	if err != nil {
		return err
	}
	by := originHandedOver
	if handedOver == nil {
		by = originTakenOver
		handedOver = s.storedProgress(ctx, record.ID)
		submittedBy = earlier(submittedBy, handedOver.submittedBy)
	}
	job, now := itemjob.NewJob(record, items, results, submittedBy), s.Now()
	if !outputs {
		job.ForgetOutputs(len(results))
	}
	job.SetDueIn(dueIn(job, handedOver, now), now)
	continued := handedOver.apply(job, now)
	klog.InfoS("Job taken up", "job", record.ID, "former_owner", former, "items", len(items), "results", len(results), "continued", continued,
		"due_in_ms", job.DueTime().Sub(now).Milliseconds(), "age_ms", job.Age(now).Milliseconds(), "version", record.Version, "accepted_by", record.AcceptedBy, "owned_by", by)
	if job.AllStored() {
		s.closeComplete(ctx, record.ID, revision)
	}
	handedOver.releaseMemory() // the job reserves it for itself
	s.addOwned(job, by, revision, asOf)
	return nil
}

// closeComplete deletes the open mark of a complete job, which the write at the revision put back. That write does not depend on the results: the former
// owner may have recorded the last ones after the mark was read.
func (s *Service) closeComplete(ctx context.Context, id itemjob.ID, revision kv.Revision) {
	_, err := s.replaceRecord(ctx, id, revision, []kv.Op{{Kind: kv.OpDelete, Key: openKey(id)}, {Kind: kv.OpDelete, Key: partialKey(id)}})
	if err != nil {
		klog.ErrorS(err, "Complete job was not closed, it will be taken over again", "job", id)
	}
}

// dueIn returns the estimated time until a job is due that this instance takes over. The age that is known for certain may lack seconds, which
// would make all its results late. Hence, if the former owner does not say when it is due, the time of day decides unless it is certainly wrong.
func dueIn(job *itemjob.Job, handedOver *progress, now time.Time) time.Duration {
	if handedOver.DueIn != 0 {
		return handedOver.DueIn
	}
	return min(job.Due.Sub(now.Round(0)), job.DueTime().Sub(now))
}

// storedProgress reads the progress that the former owner wrote to the store. It is empty if there is none or it cannot be read.
func (s *Service) storedProgress(ctx context.Context, id itemjob.ID) *progress {
	p := &progress{}
	decoded, err := s.memory.encode(ctx, maxProgressBytes)
	if err == nil {
		defer decoded()
		var found kv.KeyValue
		if found, err = s.Store.Get(ctx, partialKey(id)); err == nil {
			err = decode(found.Value, p)
		}
	}
	p.submittedBy = s.Now().Add(-p.Age)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		klog.ErrorS(err, "Progress of unfinished items could not be read, they restart from the beginning", "job", id)
	}
	return p
}

// verifyOwned reads the records of the owned jobs that the open marks, listed at asOf, do not show as this instance's, and drops those that it
// no longer owns. Jobs that it came to own within maxMarkStaleness are skipped, since the marks may be older.
func (s *Service) verifyOwned(ctx context.Context, marks map[itemjob.ID]openMark, asOf time.Time) {
	s.mu.Lock()
	var unverified []*ownedJob
	for id, j := range s.jobs {
		mark, open := marks[id]
		mine := open && mark.Owner == s.Self.ID && mark.Process == s.Self.Incarnation
		if !mine && !j.AllStored() && j.ownedSince.Before(asOf.Add(-maxMarkStaleness)) {
			unverified = append(unverified, j)
		}
	}
	s.mu.Unlock()
	for _, j := range unverified {
		sent := s.Now()
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
