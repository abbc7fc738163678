// Package itemjobs accepts jobs of opaque items, stores them, runs their items, and serves their results to any client.
//
// The instance that accepts a job owns it. Every write of an owner is conditional on the revision of the job's record, which changes when
// another instance takes the job over or the client ends it. An owner that was paused or partitioned therefore cannot add results.
//
// Lock order: Service.mu, then the mutexes of the gateway's Board and Peers. Service.mu is not held across I/O.
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

// Parts holds the dependencies and settings of a Service.
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
	// Lost reports whether the store is unreachable from this instance.
	Lost func() bool
	Seed uint64 // of the random scan times and scheduling delays
	// Metrics is the scope of the package's metrics.
	Metrics tally.Scope
}

// Streams of the random generators of the goroutines, all seeded with Parts.Seed.
const (
	seedOwners = iota
	seedSchedule
)

// Service runs the batch jobs of an instance. It is safe for concurrent use.
type Service struct {
	Parts
	calls peerCalls
	stats stats
	life  context.Context // cancelled when Run returns
	stop  context.CancelFunc
	wake  chan struct{} // triggers the scheduler
	scan  chan struct{} // triggers a scan of the open marks
	// unconfirmed triggers the confirmation of jobs with waiting items.
	unconfirmed chan struct{}
	// outage is when the scheduler first saw that no known instance reaches the store; zero while one does. Only the scheduler uses it.
	outage time.Time

	mu       sync.Mutex // guards the fields below and the jobs in them
	jobs     map[itemjob.ID]*owned
	taking   map[itemjob.ID]*takeUp
	owners   map[itemjob.ID]fleet.InstanceID // last known owners of other instances' jobs
	orphaned map[string]int64                // tokens, by route, of open jobs whose owner is not alive, as of the last scan
	runs     map[fleet.TargetID][]*run       // items in flight, oldest first
	pace     itemjob.Pace
	draining bool
	// uncertain is set, and never cleared, when the outcome of a write that makes this instance the owner of a job is unknown.
	uncertain bool
	running   sync.WaitGroup
}

// owned is a job that this instance owns.
type owned struct {
	*itemjob.Job
	since    time.Time     // when this instance became the owner
	revision kv.Revision   // of the record; every write of results is conditional on it
	changed  chan struct{} // closed and replaced when results were recorded or the job is no longer owned
	flush    chan struct{} // triggers the recorder
	// suspended keeps items from starting while the job is handed over.
	suspended   bool
	savedEvents int       // number of events in the progress that was written last
	gone        bool      // another instance owns the job, or the client ended it
	forget      time.Time // when the results are evicted from memory
}

// isOpen reports whether this instance owns the job and not all of its results are recorded. The caller holds Service.mu.
func (j *owned) isOpen() bool { return !j.gone && !j.Complete() }

// isRunnable reports whether items of the job may run here: it is open and not being handed over. The caller holds Service.mu.
func (j *owned) isRunnable() bool { return j.isOpen() && !j.suspended }

// New returns a service and registers its callbacks with the board and the peers.
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

// Run schedules items and takes over the jobs of lost instances until ctx ends. It returns when all runs have stopped.
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

// announceFor is how long a job is announced to peers after this instance became its owner. Several datagrams fit into this time, because
// some may be lost.
const announceFor = 3 * time.Second

// announced returns what this instance announces to its peers: the tokens of unfinished items by route, and the jobs that it came to own
// within the last announceFor.
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

// takeUp is a job whose record may already name this instance as the owner, and which is not yet in Service.jobs.
type takeUp struct {
	calls   int  // number of calls in progress that make this instance the owner
	dropped bool // the job was ended or taken over in the meantime
}

// beginTakeUp starts to remember drop notices for a job that arrive before own adds it. It must be called before the write that makes this
// instance the owner, and the returned end after own.
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

// own adds a job that this instance owns and starts to run it, unless a drop notice arrived since beginTakeUp. asOf is when the store call was
// sent whose response shows the ownership. It must be called between beginTakeUp and its end.
func (s *Service) own(job *itemjob.Job, revision kv.Revision, asOf time.Time) {
	j := &owned{Job: job, since: time.Now(), revision: revision, changed: make(chan struct{}), flush: make(chan struct{}, 1)}
	j.Confirm(asOf)
	s.mu.Lock()
	if t, ok := s.taking[job.ID]; ok && t.dropped {
		s.mu.Unlock()
		klog.InfoS("Job does not run, it was ended or taken over before this instance started it", "job", job.ID, "revision", revision)
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

// setUncertain records that the store may name this instance as the owner of a job that is not in Service.jobs.
func (s *Service) setUncertain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uncertain = true
}

// drop removes a job that this instance no longer owns and cancels its runs.
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

// dropChanged drops a job whose record was changed by another instance or deleted.
func (s *Service) dropChanged(j *owned, current kv.KeyValue) {
	var record itemjob.Record
	switch err := decode(current.Value, &record); {
	case current.ModRevision == 0:
		s.drop(j, "its record was deleted")
	case err != nil:
		klog.ErrorS(err, "Changed record of a job cannot be read", "job", j.ID)
		s.drop(j, "its record changed")
	case record.Ended:
		after := time.Since(record.EndedAt)
		s.stats.endFound(after)
		s.drop(j, fmt.Sprintf("the store says that its client ended it %d ms ago", after.Milliseconds()))
	default:
		s.drop(j, fmt.Sprintf("its record names %q as the owner", record.Owner))
	}
}

// notifyLocked wakes the readers and the recorder of a job. The caller holds s.mu.
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

// told caches the owner of the jobs that a peer announced.
func (s *Service) told(owner fleet.InstanceID, jobs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range jobs {
		s.rememberOwner(itemjob.ID(id), owner)
	}
}

// maxOwners bounds the cached owners. The cache does not record their age, so that all are evicted at once.
const maxOwners = 10_000

// rememberOwner caches the owner of a job. The caller holds s.mu.
func (s *Service) rememberOwner(id itemjob.ID, owner fleet.InstanceID) {
	if len(s.owners) >= maxOwners {
		clear(s.owners)
	}
	s.owners[id] = owner
}
