// Package itemjobs accepts jobs of opaque items, keeps them in the store, runs their items, and gives their results to any client.
//
// The instance that accepts a job owns it. Every write of an owner is conditional on the revision of the job's record, which changes when
// another instance takes the job over or the client ends it, so that an owner that was paused or cut off cannot add results.
//
// Lock order: Service.mu, then the mutexes of the gateway's Board and Peers. It is not held across I/O.
package itemjobs

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/node/gateway"
	"eelgrassproxy.example/node/internal/wait"
)

// Parts are what a Service works with.
type Parts struct {
	Self      fleet.Member
	Store     kv.Store
	Board     *gateway.Board
	Forwarder *gateway.Forwarder
	Routes    *gateway.Routes
	Peers     *gateway.Peers
	Client    *gateway.PeerClient
	// Kept is how long results stay readable after the job was submitted.
	Kept time.Duration
	// Lost tells whether the store is out of this instance's reach.
	Lost func() bool
	Seed uint64 // of the times at which the instance looks at the jobs of others
	// Metrics takes the counters of the package.
	Metrics tally.Scope
}

// Parts of the seed for the goroutines.
const (
	seedOwners = iota
	seedSchedule
)

// Service is the batch part of an instance. It is safe for concurrent use.
type Service struct {
	Parts
	calls peerCalls
	stats stats
	life  context.Context // ends with the service
	stop  context.CancelFunc
	wake  chan struct{} // asks the scheduler to look
	scan  chan struct{} // asks for a look at the open marks
	// unconfirmed asks the store about jobs with items that wait.
	unconfirmed chan struct{}
	outage      time.Time // since when nobody known reaches the store, as seen by the scheduler; zero while somebody does

	mu       sync.Mutex // guards the fields below and the jobs they hold
	jobs     map[itemjob.ID]*owned
	taking   map[itemjob.ID]*takeUp
	owners   map[itemjob.ID]fleet.InstanceID // last known owners of other instances' jobs
	orphaned map[string]int64                // tokens, by route, of open jobs without a living owner, as of the last look
	runs     map[fleet.TargetID][]*run       // items in flight, oldest first
	pace     itemjob.Pace
	draining bool
	// uncertain is set for good when a write that makes this instance the owner of a job had no known outcome.
	uncertain bool
	running   sync.WaitGroup
}

// owned is a job that this instance owns.
type owned struct {
	*itemjob.Job
	since    time.Time     // when this instance became the owner
	revision kv.Revision   // of the record, under which results are recorded
	changed  chan struct{} // closed and replaced when results were recorded or the job is no longer owned
	flush    chan struct{} // asks the recorder to look
	// suspended keeps items from starting while the job is handed over.
	suspended   bool
	savedEvents int       // in the progress that was last written
	gone        bool      // another instance owns it, or the client ended it
	forget      time.Time // when the results are dropped from memory
}

// isOpen tells whether this instance owns the job and has results of it to record; the service's mutex is held.
func (j *owned) isOpen() bool { return !j.gone && !j.Complete() }

// isRunnable tells whether items of the job may run here: it is open and not being handed over; the service's mutex is held.
func (j *owned) isRunnable() bool { return j.isOpen() && !j.suspended }

// New returns a service.
func New(parts Parts) *Service {
	s := &Service{
		Parts:       parts,
		wake:        make(chan struct{}, 1),
		scan:        make(chan struct{}, 1),
		unconfirmed: make(chan struct{}, 1),
		jobs:        make(map[itemjob.ID]*owned),
		taking:      make(map[itemjob.ID]*takeUp),
		owners:      make(map[itemjob.ID]fleet.InstanceID),
		orphaned:    make(map[string]int64),
		runs:        make(map[fleet.TargetID][]*run),
	}
	s.calls = peerCalls{parts.Client}
	s.stats = newStats(parts.Metrics)
	s.life, s.stop = context.WithCancel(context.Background())
	parts.Board.OnYield(s.yield)
	parts.Peers.OnWaiting(s.announced)
	parts.Peers.OnJobs(s.told)
	parts.Peers.OnMembers(func() { wait.Wake(s.scan) })
	return s
}

// Run schedules items and looks after the jobs of lost instances until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.schedule(ctx) })
	group.Go(func() { s.watchOwners(ctx) })
	group.Go(func() { s.watchReach(ctx) })
	group.Go(func() { s.collect(ctx) })
	group.Go(func() { s.checkpoint(ctx) })
	group.Go(func() { s.confirmJobs(ctx) })
	group.Wait()
	s.stop()
	s.running.Wait()
}

// waiting returns the tokens of unfinished items by route.
func (s *Service) waiting() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sums map[string]int64
	for _, j := range s.jobs {
		if !j.isOpen() {
			continue
		}
		if sums == nil {
			sums = make(map[string]int64)
		}
		sums[j.Route] += j.WaitingTokens()
	}
	return sums
}

// announceFor is how long a job is announced to peers after this instance became its owner: long enough for some datagrams to be lost.
const announceFor = 3 * time.Second

// announced returns what peers are told: the tokens of unfinished items by route, and the jobs owned since a short time.
func (s *Service) announced() (map[string]int64, []string) {
	tokens := s.waiting()
	var fresh []string
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		if !j.gone && now.Sub(j.since) < announceFor {
			fresh = append(fresh, string(id))
		}
	}
	return tokens, fresh
}

// takeUp is a job of which the store may say that this instance owns it, and which it has not begun to run.
type takeUp struct {
	calls   int  // of this instance that take the job up
	dropped bool // it was ended or taken over meanwhile
}

// beginTakeUp lets drop notices of a job count that come before own. It must be called before the write that makes this instance the owner,
// and its result after own.
func (s *Service) beginTakeUp(id itemjob.ID) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.taking[id]
	if !ok {
		t = &takeUp{}
		s.taking[id] = t
	}
	t.calls++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if t.calls--; t.calls == 0 {
			delete(s.taking, id)
		}
	}
}

// own takes a job up. It is called after the store says, in the answer to a call sent at asOf, that this instance owns it, between beginTakeUp
// and its end.
func (s *Service) own(job *itemjob.Job, revision kv.Revision, asOf time.Time) {
	j := &owned{Job: job, since: time.Now(), revision: revision, changed: make(chan struct{}), flush: make(chan struct{}, 1)}
	j.Confirm(asOf)
	s.mu.Lock()
	if t, ok := s.taking[job.ID]; ok && t.dropped {
		s.mu.Unlock()
		klog.InfoS("Job is not run, it was ended or taken over while it was taken up", "job", job.ID, "revision", revision)
		return
	}
	if known, ok := s.jobs[job.ID]; ok && !known.gone && known.revision >= revision {
		s.mu.Unlock()
		return
	}
	s.jobs[job.ID] = j
	delete(s.owners, job.ID)
	s.mu.Unlock()
	s.running.Go(func() { s.recordResults(s.life, j) })
	wait.Wake(s.wake)
	s.Peers.Announce()
}

// setUncertain notes that the store may name this instance as the owner of a job that it does not know.
func (s *Service) setUncertain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uncertain = true
}

// drop ends the ownership of a job and its runs.
func (s *Service) drop(j *owned, reason string) {
	s.mu.Lock()
	if j.gone {
		s.mu.Unlock()
		return
	}
	j.gone = true
	if s.jobs[j.ID] == j {
		delete(s.jobs, j.ID)
	}
	runs := s.runsOf(j)
	s.notifyLocked(j)
	confirmed, results := j.ConfirmedAt(), len(j.Results)
	s.mu.Unlock()
	for _, r := range runs {
		r.cancel(errDropped)
	}
	klog.InfoS("Job is no longer owned", "job", j.ID, "reason", reason, "results", results, "runs", len(runs),
		"confirmed_ms", time.Since(confirmed).Milliseconds())
}

// dropChanged drops a job whose record in the store is not as this owner left it, or is gone.
func (s *Service) dropChanged(j *owned, current kv.KeyValue) {
	var record itemjob.Record
	switch err := decode(current.Value, &record); {
	case current.ModRevision == 0:
		s.drop(j, "its record is gone")
	case err != nil:
		klog.ErrorS(err, "Changed record of a job cannot be read", "job", j.ID)
		s.drop(j, "its record changed")
	case record.Ended:
		after := time.Since(record.EndedAt)
		s.stats.endFound(after)
		s.drop(j, fmt.Sprintf("the store says that its client ended it %d ms ago", after.Milliseconds()))
	default:
		s.drop(j, fmt.Sprintf("the store says that %q owns it", record.Owner))
	}
}

// notifyLocked wakes readers and the recorder of a job; s.mu is held.
func (s *Service) notifyLocked(j *owned) {
	close(j.changed)
	j.changed = make(chan struct{})
	wait.Wake(j.flush)
}

// owned returns a job that this instance owns.
func (s *Service) owned(id itemjob.ID) (*owned, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	return j, ok
}

// told remembers the owners of jobs that peers announce.
func (s *Service) told(owner fleet.InstanceID, jobs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range jobs {
		s.rememberOwner(itemjob.ID(id), owner)
	}
}

// maxOwners bounds the remembered owners; the oldest are not told apart, so that all are forgotten at once.
const maxOwners = 10_000

// rememberOwner notes who owns a job; s.mu is held.
func (s *Service) rememberOwner(id itemjob.ID, owner fleet.InstanceID) {
	if len(s.owners) >= maxOwners {
		clear(s.owners)
	}
	s.owners[id] = owner
}
