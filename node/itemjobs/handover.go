package itemjobs

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/rendezvous"
	"eelgrassproxy.example/node/internal/wait"
)

// Drain gives all jobs up to other instances: items in flight end, and their events so far are kept for the next owner.
func (s *Service) Drain(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, "job-drain")
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, j := range s.interrupt() {
		if !s.handOver(ctx, j) {
			s.release(ctx, j)
		}
	}
}

// interrupt ends the runs of all open jobs, keeps their items from starting, and returns the jobs.
func (s *Service) interrupt() []*owned {
	s.mu.Lock()
	var open []*owned
	var runs []*run
	for _, j := range s.jobs {
		if j.isOpen() {
			j.suspended = true
			open = append(open, j)
			runs = append(runs, s.runsOf(j)...)
		}
	}
	for _, r := range runs {
		r.ended = true
	}
	s.mu.Unlock()
	giveWay(runs)
	if len(runs) > 0 {
		time.Sleep(settleDelay) // the runs add their events to their tasks
	}
	return open
}

// left returns what the next owner of a job needs beside what is recorded; s.mu is held.
func (s *Service) left(j *owned) progress {
	p := s.currentProgress(j)
	p.Finished = j.Unrecorded()
	return p
}

// handOver asks an instance that reaches the store to take a job up, with the progress of its items.
func (s *Service) handOver(ctx context.Context, j *owned) bool {
	reaching := make(map[fleet.InstanceID]string)
	var ids []string
	for _, m := range s.Peers.Reaching() {
		reaching[m.ID] = m.PeerAddress
		ids = append(ids, string(m.ID))
	}
	chosen := rendezvous.Rendezvous(string(j.ID), ids, 1)
	if len(chosen) == 0 {
		return false
	}
	s.mu.Lock()
	given := s.left(j)
	s.mu.Unlock()
	if err := s.calls.adopt(ctx, reaching[fleet.InstanceID(chosen[0])], j.ID, given); err != nil {
		klog.ErrorS(err, "Job was not handed over", "job", j.ID, "successor", chosen[0])
		return false
	}
	s.drop(j, "handed over to "+chosen[0])
	return true
}

// release clears the owner of a job and leaves the progress of its items in the store; another instance finds it there.
func (s *Service) release(ctx context.Context, j *owned) {
	s.mu.Lock()
	record, revision, left := j.Record, j.revision, s.left(j)
	s.mu.Unlock()
	record.Owner, record.Process = "", 0
	ops, err := putJSON(recordKey(j.ID), record, openKey(j.ID), markOf(&record), partialKey(j.ID), left)
	if err == nil {
		_, err = s.replaceRecord(ctx, j.ID, revision, ops)
	}
	if err != nil {
		klog.ErrorS(err, "Job was not released, others take it up when this instance is gone", "job", j.ID)
		return
	}
	s.drop(j, "released")
}

const (
	// reachCheckPeriod is how often an owner checks that it reaches the store.
	reachCheckPeriod = 400 * time.Millisecond
	// lostChecks is the number of checks in a row after which it hands its jobs over, so that a short outage moves nothing.
	lostChecks = 2
)

// watchReach hands all open jobs over while others can run them better: when the store is out of this instance's reach and a peer reaches it,
// since results could not be recorded here, and when this instance stands by, since it has no targets of its own then.
func (s *Service) watchReach(ctx context.Context) {
	lost := 0
	for wait.For(ctx, reachCheckPeriod) {
		if !s.Lost() && s.Peers.Serves() || len(s.Peers.Reaching()) == 0 {
			lost = 0
			continue
		}
		if lost++; lost < lostChecks {
			continue
		}
		for _, j := range s.interrupt() {
			if !s.handOver(ctx, j) {
				s.goOn(j)
			}
		}
	}
}

// goOn lets the items of a job start again that could not be handed over.
func (s *Service) goOn(j *owned) {
	s.mu.Lock()
	j.suspended = false
	s.mu.Unlock()
	wait.Wake(s.wake)
}
