package itemjobs

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/core/rendezvous"
	"eelgrassproxy.example/node/internal/wait"
)

// Drain hands all open jobs over to other instances, and releases those that cannot be handed over. It ends the items in flight; the next owner
// continues them from the events received so far. This instance starts no more items, and forwards the jobs that clients submit to it.
func (s *Service) Drain(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, "job-drain")
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, j := range s.suspendJobs() {
		if !s.handOver(ctx, j) {
			s.release(ctx, j)
		}
	}
}

// suspendJobs suspends all open jobs, ends their runs, and returns the jobs.
func (s *Service) suspendJobs() []*ownedJob {
	s.mu.Lock()
	var open []*ownedJob
	var runs []*run
	for _, j := range s.jobs {
		if j.isOpen() {
			j.suspended = true
			open = append(open, j)
			runs = append(runs, s.runsOf(j)...)
		}
	}
	for _, r := range runs {
		r.yielding = true
	}
	s.mu.Unlock()
	yieldRuns(runs)
	if len(runs) > 0 {
		time.Sleep(settleDelay) // until the runs have added their events to their tasks
	}
	return open
}

// remainingProgress returns the state of a job that its next owner needs in addition to the recorded results. The caller holds s.mu.
func (s *Service) remainingProgress(j *ownedJob) progress {
	p := s.currentProgress(j)
	p.DueIn = j.DueTime().Sub(s.Now())
	p.Finished = j.PendingResults()
	return p
}

// availablePeers returns the peers that reach the store and have a version of the routing table, or if there is none, those that reach the store.
func (s *Service) availablePeers(version int64) []fleet.Member {
	if upToDate := s.Peers.UpToDate(version); len(upToDate) > 0 {
		return upToDate
	}
	return s.Peers.Available()
}

// handOver asks a peer that reaches the store to take a job over, with the progress of its items. It reports whether the peer did.
func (s *Service) handOver(ctx context.Context, j *ownedJob) bool {
	addresses := make(map[fleet.InstanceID]string)
	var ids []string
	for _, m := range s.availablePeers(j.Version) {
		addresses[m.ID] = m.PeerAddress
		ids = append(ids, string(m.ID))
	}
	chosen := rendezvous.Rendezvous(string(j.ID), ids, 1)
	if len(chosen) == 0 {
		return false
	}
	s.mu.Lock()
	remaining := s.remainingProgress(j)
	s.mu.Unlock()
	// Results that do not fit belong to items that run again.
	remaining.Finished = remaining.Finished[:itemjob.FittingResults(remaining.Finished, maxPageBytes)]
	encoded, err := s.memory.encode(ctx, remaining.outputBytes())
	if err != nil {
		klog.ErrorS(err, "Job was not handed over", "job", j.ID, "successor", chosen[0])
		return false
	}
	defer encoded()
	if err := s.calls.adopt(ctx, addresses[fleet.InstanceID(chosen[0])], j.ID, remaining, s.Board.Departing()); err != nil {
		klog.ErrorS(err, "Job was not handed over", "job", j.ID, "successor", chosen[0])
		return false
	}
	s.drop(j, "handed over to "+chosen[0])
	return true
}

// release removes the owner from the record of a job and writes the progress of its items to the store, where another instance finds both.
func (s *Service) release(ctx context.Context, j *ownedJob) {
	s.mu.Lock()
	record, revision, remaining := j.Record, j.revision, s.remainingProgress(j)
	s.mu.Unlock()
	record.Owner, record.Process, record.KnownAge = "", 0, remaining.Age
	remaining.DueIn = 0 // nobody knows when the next owner reads it
	remaining.Finished = remaining.Finished[:itemjob.FittingResults(remaining.Finished, maxFinishedBytes)]
	encoded, err := s.memory.encode(ctx, remaining.outputBytes())
	if err != nil {
		klog.ErrorS(err, "Job could not be released, another instance takes it over when this one has stopped", "job", j.ID)
		return
	}
	defer encoded()
	ops, err := putJSON(recordKey(j.ID), record, openKey(j.ID), markOf(&record), partialKey(j.ID), remaining)
	if err == nil {
		_, err = s.replaceRecord(ctx, j.ID, revision, ops)
	}
	if err != nil {
		klog.ErrorS(err, "Job could not be released, another instance takes it over when this one has stopped", "job", j.ID)
		return
	}
	s.drop(j, "released")
}

const (
	// handOverCheckInterval is the interval at which an owner checks whether a peer can run its jobs better; see watchStoreReach.
	handOverCheckInterval = 400 * time.Millisecond
	// checksBeforeHandOver is the number of consecutive checks that must find a reason to hand jobs over before an owner does, so that a short
	// outage moves no job.
	checksBeforeHandOver = 2
	// maxBehind is how long an owner may lack the version of the routing table by which a job was accepted before it hands the job over. Reading it
	// from a peer or the store takes less unless these do not respond.
	maxBehind = 2 * time.Second
)

// handOverIfBehind hands over the jobs that wait for a version of the routing table which this instance did not get within maxBehind and a peer has.
func (s *Service) handOverIfBehind(ctx context.Context) {
	version, now := s.Routes.Version(), s.Now()
	var behind []*ownedJob
	s.mu.Lock()
	for _, j := range s.jobs {
		if j.isRunnable() && j.Version > version && now.Sub(j.ownedSince) >= maxBehind && len(s.Peers.UpToDate(j.Version)) > 0 {
			j.suspended = true
			behind = append(behind, j)
		}
	}
	s.mu.Unlock()
	for _, j := range behind {
		klog.InfoS("Job is handed over, this instance lacks its version of the configuration", "job", j.ID, "accepted_version", j.Version, "version", version)
		if !s.handOver(ctx, j) {
			s.resumeSuspended(j)
		}
	}
}

// watchStoreReach hands all open jobs over while a peer reaches the store and this instance either does not reach it, so that results could not
// be recorded, or is a standby instance, which has no targets of its own. It also hands over single jobs, see handOverIfBehind. It runs until ctx
// ends.
func (s *Service) watchStoreReach(ctx context.Context) {
	lost := 0
	for wait.For(ctx, handOverCheckInterval) {
		s.handOverIfBehind(ctx)
		if !s.StoreUnreachable() && s.Peers.Serves() || len(s.Peers.Available()) == 0 {
			lost = 0
			continue
		}
		if lost++; lost < checksBeforeHandOver {
			continue
		}
		for _, j := range s.suspendJobs() {
			if !s.handOver(ctx, j) {
				s.resumeSuspended(j)
			}
		}
	}
}

// resumeSuspended lets the items of a job start again after it could not be handed over.
func (s *Service) resumeSuspended(j *ownedJob) {
	s.mu.Lock()
	j.suspended = false
	s.mu.Unlock()
	wait.Wake(s.scheduleSignal)
}
