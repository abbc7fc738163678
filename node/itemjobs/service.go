// Package itemjobs accepts jobs of opaque items, stores them, runs their items, and serves their results to any client. Each job has an owner of its
// own. The jobs of batch files, whose owners are those of their shards, are run by node/batch instead.
//
// The instance that accepts a job owns it. Every write of an owner is conditional on the revision of the job's record, which changes when
// another instance takes the job over or the client ends it. An owner that was paused or partitioned therefore cannot add results.
//
// Lock order: Service.mu, then the mutexes of the gateway's Board and Peers. Service.mu is not held across I/O.
package itemjobs

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/core/poison"
	"eelgrassproxy.example/node/gateway"
	"eelgrassproxy.example/node/internal/wait"
)

// Config holds the dependencies and settings of a Service.
type Config struct {
	Self      fleet.Member
	Store     kv.Store
	Board     *gateway.Board
	Forwarder *gateway.Forwarder
	Routes    *gateway.Routes
	Peers     *gateway.Peers
	// Parts keeps items from targets that have a part of a prompt which crashes them; nil blocks nothing. DecodeParts returns the parts of an item from
	// its headers; nil means that items have none.
	Parts       *gateway.PartGuard
	DecodeParts func(http.Header) []poison.Part
	Client      *gateway.PeerClient
	// Retention is how long results stay readable after the job was submitted.
	Retention time.Duration
	// StoreUnreachable reports whether the store is unreachable from this instance.
	StoreUnreachable func() bool
	Seed             uint64 // of the random scan times and scheduling delays
	// MemoryBytes bounds the memory for the outputs of items: of runs, until they are recorded, while they are encoded, and for readers. The default is
	// DefaultMemoryBytes.
	MemoryBytes int64
	// ItemBytes bounds the memory for the items of the jobs that this instance accepts, in bytes; jobs that it takes over count, and are taken over whether
	// they fit or not. SubmissionBytes bounds the memory for jobs that are decoded and recorded. The defaults are DefaultMemoryBytes.
	ItemBytes, SubmissionBytes int64
	// Now returns the current time, with a reading of the monotonic clock. The default is time.Now. The time of day may differ from that of other
	// instances and be set at any time.
	Now func() time.Time
	// Metrics is the scope of the package's metrics.
	Metrics tally.Scope
}

// Streams of the random generators of the goroutines, all seeded with Config.Seed.
const (
	seedOwners = iota
	seedSchedule
)

// Service accepts jobs, and runs the items of those that this instance owns. It is safe for concurrent use.
type Service struct {
	Config
	calls          peerCalls
	memory         memory
	stats          stats
	revisions      revisionLog
	ctx            context.Context // cancelled by Run after its own ctx has ended
	cancel         context.CancelFunc
	scheduleSignal chan struct{} // triggers the scheduler
	scanSignal     chan struct{} // triggers a scan of the open marks
	// confirmSignal triggers the confirmation of jobs with waiting items.
	confirmSignal chan struct{}
	// outageSince is when the scheduler first saw that no known instance reaches the store; zero while one does. Only the scheduler uses it.
	outageSince time.Time
	full        map[string]*fullService // services without room for waiting items; only the scheduler uses it
	// ownersUnknown is set if the last scan saw owners of open jobs that this instance has not learned of; only watchOwners uses it.
	ownersUnknown bool
	// memoryFullReported is when it was last logged that items wait for memory; only the scheduler uses it.
	memoryFullReported time.Time

	mu        sync.Mutex // guards the fields below and the jobs in them
	jobs      map[itemjob.ID]*ownedJob
	acquiring map[itemjob.ID]*acquisition
	owners    map[itemjob.ID]fleet.InstanceID // last known owners of other instances' jobs
	seenOpen  map[itemjob.ID]time.Time        // when a scan first listed the open jobs, those of the last scan only
	// laterSince holds when a scan first saw the owners of open jobs that seem to be later processes than the known ones, or that are not known, those of
	// the last scan only.
	laterSince map[ownerProcess]time.Time
	orphaned   map[string]int64          // tokens, by itemjob.LimitKey, of open jobs whose owner is not alive, as of the last scan
	runs       map[fleet.TargetID][]*run // items in flight, oldest first
	started    int64                     // number of runs so far
	pace       itemjob.Pace
	draining   bool
	// ownershipUncertain is set, and never cleared, when a record may name this instance as the owner of a job that is not in jobs: the outcome of
	// the write is unknown, or the items could not be read after it.
	ownershipUncertain bool
	running            sync.WaitGroup
}

// ownedJob is a job that this instance owns.
type ownedJob struct {
	*itemjob.Job
	ownedSince   time.Time     // when this instance became the owner
	origin       origin        // how this instance became the owner
	revision     kv.Revision   // of the record; every write of results is conditional on it
	changed      chan struct{} // closed and replaced when results were recorded or the job is no longer owned
	recordSignal chan struct{} // triggers the recorder
	// suspended keeps items from starting while the job is handed over.
	suspended          bool
	checkpointedEvents int       // number of events in the progress that was written last; see replaceProgress
	discarded          int       // number of calls of replaceProgress
	dropped            bool      // another instance owns the job, or the client ended it
	charged            int64     // bytes of memory.kept that the job holds
	chargedItems       int64     // bytes of memory.items that the job holds
	evictAt            time.Time // when the results are evicted from memory
}

// origin is how an instance became the owner of a job.
type origin string

// Origins of owned jobs.
const (
	originSubmitted  origin = "submission"
	originForwarded  origin = "forwarded submission"
	originHandedOver origin = "hand-over"
	originTakenOver  origin = "take-over"
)

// isOpen reports whether this instance owns the job and not all of its results are recorded. The caller holds Service.mu.
func (j *ownedJob) isOpen() bool { return !j.dropped && !j.AllStored() }

// isRunnable reports whether items of the job may run here: it is open and not being handed over. The caller holds Service.mu.
func (j *ownedJob) isRunnable() bool { return j.isOpen() && !j.suspended }

// MaxCallTime is the longest time that a client's call takes while the store answers, without the time for which Read is asked to wait.
const MaxCallTime = endTimeout

// New returns a service and registers its callbacks with the board and the peers.
func New(config Config) *Service {
	if config.DecodeParts == nil {
		config.DecodeParts = func(http.Header) []poison.Part { return nil }
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	s := &Service{
		Config:         config,
		scheduleSignal: make(chan struct{}, 1),
		scanSignal:     make(chan struct{}, 1),
		confirmSignal:  make(chan struct{}, 1),
		jobs:           make(map[itemjob.ID]*ownedJob),
		acquiring:      make(map[itemjob.ID]*acquisition),
		owners:         make(map[itemjob.ID]fleet.InstanceID),
		orphaned:       make(map[string]int64),
		runs:           make(map[fleet.TargetID][]*run),
		full:           make(map[string]*fullService),
	}
	if config.MemoryBytes <= 0 {
		s.MemoryBytes = DefaultMemoryBytes
	}
	if config.ItemBytes <= 0 {
		s.ItemBytes = DefaultMemoryBytes
	}
	if config.SubmissionBytes <= 0 {
		s.SubmissionBytes = DefaultMemoryBytes
	}
	s.memory = newMemory(s.MemoryBytes, s.ItemBytes, s.SubmissionBytes)
	s.calls = peerCalls{config.Client}
	s.stats = newStats(config.Metrics)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	config.Board.OnYield(s.yieldExcess)
	config.Peers.SetWorkSource(s.unfinishedWork)
	config.Peers.OnJobs(s.cacheOwners)
	config.Peers.OnMembers(func() { wait.Wake(s.scanSignal) })
	return s
}

// Run schedules items and takes over the jobs of lost instances until ctx ends. It returns when all runs have stopped.
func (s *Service) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.schedule(ctx) })
	group.Go(func() { s.watchOwners(ctx) })
	group.Go(func() { s.watchStoreReach(ctx) })
	group.Go(func() { s.collect(ctx) })
	group.Go(func() { s.checkpoint(ctx) })
	group.Go(func() { s.confirmJobs(ctx) })
	group.Wait()
	s.cancel()
	s.running.Wait()
}

// waitingTokens returns the tokens of unfinished items by itemjob.LimitKey.
func (s *Service) waitingTokens() map[string]int64 {
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
		sums[j.LimitKey()] += j.WaitingTokens()
	}
	return sums
}

// announceDuration is how long a job is announced to peers after this instance became its owner. Several datagrams fit into this time, because
// some may be lost.
const announceDuration = 3 * time.Second

// unfinishedWork returns what this instance announces to its peers: the tokens of unfinished items by itemjob.LimitKey, and the jobs that it came to own
// within the last announceDuration.
func (s *Service) unfinishedWork() (map[string]int64, []string) {
	tokens := s.waitingTokens()
	var newJobs []string
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		if !j.dropped && now.Sub(j.ownedSince) < announceDuration {
			newJobs = append(newJobs, string(id))
		}
	}
	return tokens, newJobs
}

// acquisition is a job whose record may already name this instance as the owner, and which is not yet in Service.jobs.
type acquisition struct {
	calls int // number of calls in progress that make this instance the owner
	// endedBy is the highest revision in the drop notices that arrived in the meantime; see DropOwned.
	endedBy kv.Revision
}

// beginAcquisition starts to remember drop notices for a job that arrive before addOwned adds it. It must be called before the write that makes
// this instance the owner, and the returned end after addOwned.
func (s *Service) beginAcquisition(id itemjob.ID) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.acquiring[id]
	if !ok {
		t = &acquisition{}
		s.acquiring[id] = t
	}
	t.calls++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if t.calls--; t.calls == 0 {
			delete(s.acquiring, id)
		}
	}
}

// addOwned adds a job that this instance owns and starts to run it, unless a drop notice for it arrived since beginAcquisition. asOf is when the store
// call was sent whose response shows the ownership. It must be called between beginAcquisition and its end.
func (s *Service) addOwned(job *itemjob.Job, by origin, revision kv.Revision, asOf time.Time) {
	j := &ownedJob{
		Job: job, ownedSince: s.Now(), origin: by, revision: revision, changed: make(chan struct{}), recordSignal: make(chan struct{}, 1),
	}
	j.Confirm(asOf)
	s.mu.Lock()
	if t, ok := s.acquiring[job.ID]; ok && revision < t.endedBy {
		s.mu.Unlock()
		klog.InfoS("Job does not run, it was ended or taken over before this instance started it", "job", job.ID, "revision", revision)
		return
	}
	if existing, ok := s.jobs[job.ID]; ok && !existing.dropped && existing.revision >= revision {
		s.mu.Unlock()
		return
	}
	fits := s.chargeNew(j)
	if existing, ok := s.jobs[job.ID]; ok {
		s.releaseItems(existing)
	}
	s.jobs[job.ID] = j
	s.chargeItems(j)
	delete(s.owners, job.ID)
	s.memory.recorded.add(j, len(j.Results), outputBytes(j.Results))
	s.mu.Unlock()
	if !fits {
		klog.InfoS("Outputs of a job do not fit into the memory for items, its unfinished items run again", "job", job.ID)
	}
	s.running.Go(func() { s.recordResults(s.ctx, j) })
	wait.Wake(s.scheduleSignal)
	s.Peers.SendToAll()
}

// setOwnershipUncertain records that the store may name this instance as the owner of a job that is not in Service.jobs.
func (s *Service) setOwnershipUncertain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownershipUncertain = true
}

// drop removes a job that this instance no longer owns and cancels its runs.
func (s *Service) drop(j *ownedJob, reason string) {
	s.mu.Lock()
	if j.dropped {
		s.mu.Unlock()
		return
	}
	j.dropped = true
	s.chargeKept(j)
	s.releaseItems(j)
	s.memory.recorded.remove(j)
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
		"confirmed_ms", s.Now().Sub(confirmed).Milliseconds())
}

// dropChanged drops a job whose record was changed since this instance became the owner, by a take-over or by the end of the job, or was deleted.
// current is the record as the store has it now.
func (s *Service) dropChanged(j *ownedJob, current kv.KeyValue) {
	var record itemjob.Record
	switch err := decode(current.Value, &record); {
	case current.ModRevision == 0:
		s.drop(j, "its record was deleted")
	case err != nil:
		klog.ErrorS(err, "Changed record of a job cannot be read", "job", j.ID)
		s.drop(j, "its record changed")
	case record.Ended:
		after := s.Now().Sub(record.EndedAt)
		s.stats.endFound(after)
		s.drop(j, fmt.Sprintf("the store says that its client ended it %d ms ago", after.Milliseconds()))
	default:
		s.drop(j, fmt.Sprintf("its record names %q as the owner", record.Owner))
	}
}

// notifyLocked wakes the readers and the recorder of a job. The caller holds s.mu.
func (s *Service) notifyLocked(j *ownedJob) {
	close(j.changed)
	j.changed = make(chan struct{})
	wait.Wake(j.recordSignal)
}

// ownedJob returns a job that this instance owns.
func (s *Service) ownedJob(id itemjob.ID) (*ownedJob, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	return j, ok
}

// cacheOwners caches the owner of the jobs that a peer announced.
func (s *Service) cacheOwners(owner fleet.InstanceID, jobs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range jobs {
		s.cacheOwner(itemjob.ID(id), owner)
	}
}

// maxCachedOwners bounds the cached owners. The cache does not record their age, so that all are evicted at once.
const maxCachedOwners = 10_000

// cacheOwner caches the owner of a job. The caller holds s.mu.
func (s *Service) cacheOwner(id itemjob.ID, owner fleet.InstanceID) {
	if len(s.owners) >= maxCachedOwners {
		clear(s.owners)
	}
	s.owners[id] = owner
}
