package itemjobs

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/rawhttp"
	"eelgrassproxy.example/core/accounts"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/node/gateway"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// scheduleInterval is how often the scheduler checks for items that became urgent or whose delay ended.
	scheduleInterval = 100 * time.Millisecond
	// maxStartJitter is the maximum random delay between a slot becoming free and the attempt to use it. All instances see the same free slot,
	// and without the delay several would use it at once.
	maxStartJitter = 15 * time.Millisecond
	// interruptedDelay is the delay before an item whose run was interrupted may start again, so that it does not take the next free slot.
	interruptedDelay = 50 * time.Millisecond
	// otherStatusDelay is the delay before an item is tried again to which a target responded with a status that is no failure of the item.
	otherStatusDelay = time.Second
	// notKeptDelay is the delay before an item is tried again whose output could not be kept.
	notKeptDelay = time.Second
	// unknownRouteDelay is the delay before an item is tried again whose route is not known here and may exist.
	unknownRouteDelay = time.Second
	// blockedPartDelay is the delay before an item is looked at again that has a part which crashes targets. Only an operator, or an answer that shows that
	// it is not that part, ends the block.
	blockedPartDelay = 5 * time.Second
)

// run is an item in flight.
type run struct {
	job      *ownedJob
	task     *itemjob.Task
	slot     *gateway.Reservation
	cancel   context.CancelCauseFunc
	firm     bool         // keeps its slot when online requests need it; see gateway.Board.ReserveBatch
	yielding bool         // was asked to yield its slot
	events   atomic.Int64 // number of events received so far, over all runs of the item
	service  *Service
	number   int64             // of the run, in the order in which they start
	progress *gateway.Progress // only the goroutine of the run uses it
	keptSize int               // size of the output of earlier runs as JSON, in bytes

	mu        sync.Mutex // guards the fields below; no other mutex is locked while it is held
	lastEvent int64      // id of the last event of this run
	output    itemjob.Output
	used      int64 // bytes of memory that this run uses
	charged   int64 // bytes of Service.memory.kept that this run holds, at least used
	evicted   bool  // ended because another run needs its memory; written with Service.mu held as well
}

// schedule starts items whenever slots may have become free, until ctx ends.
func (s *Service) schedule(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, seedSchedule))
	timer := time.NewTimer(scheduleInterval)
	defer timer.Stop()
	for {
		room := s.Board.RoomChanged()
		s.startItems(ctx)
		pause := scheduleInterval
		select {
		case <-room:
			pause = time.Duration(random.Int64N(int64(maxStartJitter)))
		case <-s.scheduleSignal:
			pause = 0
		case <-timer.C:
			pause = 0
		case <-ctx.Done():
			return
		}
		if pause > 0 {
			time.Sleep(pause)
		}
		timer.Reset(scheduleInterval)
	}
}

// startItems gives up expired items, and starts waiting ones until no service with a waiting item has room. It triggers the confirmation of jobs
// that need one.
func (s *Service) startItems(ctx context.Context) {
	s.expire()
	s.makeUrgentFirm()
	s.reportMemory()
	if table := s.Routes.Current(); table != nil {
		round := itemjob.NewRound(func(j *itemjob.Job) string { return serviceOf(table, j) })
		unconfirmed := s.mayStartUnconfirmed(s.Now())
		for s.startNext(ctx, table, round, unconfirmed) {
		}
		s.reportFull(round.FullServices())
	}
	if s.needsConfirmation(s.Now()) {
		wait.Wake(s.confirmSignal)
	}
}

// serviceOf returns the service for the next item of a job, by the weights of its route, or "" if the table lacks the route.
func serviceOf(table *routetable.Table, j *itemjob.Job) string {
	route := table.BatchRoute(j.Host, j.Route)
	if route == nil {
		return ""
	}
	return route.Backend(rand.Float64())
}

// startNext handles the next item of a round: it starts it, gives it up, or finds no room for it. It returns false if the round is over. With
// unconfirmed, it also starts items of jobs that the store has not confirmed recently. Jobs that were accepted by a newer routing table than the given
// one wait for that one: their routes may not be here yet, or lead to other services.
func (s *Service) startNext(ctx context.Context, table *routetable.Table, round *itemjob.Round, unconfirmed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	now := s.Now()
	jobs := make([]*itemjob.Job, 0, len(s.jobs))
	for _, j := range s.jobs {
		switch {
		case !j.isRunnable():
		case j.Version > table.Version:
			s.Routes.Require(j.Version)
		case unconfirmed || j.IsConfirmed(now):
			jobs = append(jobs, j.Job)
		}
	}
	choice, ok := round.Next(jobs, &s.pace, now)
	if !ok {
		return false
	}
	j := s.jobs[choice.Job.ID]
	route := table.BatchRoute(j.Host, j.Route)
	if route == nil {
		s.routeIsMissing(j, choice.Task, table, now)
		round.Done(choice)
		return true
	}
	if s.Parts.BlocksAny() && s.Parts.Blocks(s.DecodeParts(headerOf(choice.Task))) {
		j.RecordInterruption(choice.Task, blockedPartDelay, now)
		round.Done(choice)
		return true
	}
	charged, ok := s.reserveStart(choice.Task)
	if !ok {
		s.reportMemoryFull(now)
		return false
	}
	slot := s.Board.ReserveBatch(choice.Service, choice.Task.Item.ID, nil, choice.Urgent)
	if slot == nil {
		s.memory.kept.Release(charged)
		round.Full(choice)
		return true
	}
	s.start(ctx, j, choice, route, table, slot, charged)
	round.Done(choice)
	return true
}

// routeIsMissing handles an item whose job's route is not in the routing table, which is not older than the one by which the job was accepted: the route
// was removed, and the item is given up. The item waits if that older version is not known, since this instance may be behind, and if the table lacks
// routes that exist. The caller holds s.mu.
func (s *Service) routeIsMissing(j *ownedJob, task *itemjob.Task, table *routetable.Table, now time.Time) {
	if j.Version > 0 && !table.Incomplete {
		s.deadLetter(j, task, itemjob.RouteRemoved)
		return
	}
	j.RecordInterruption(task, unknownRouteDelay, now)
}

// start runs an item in a goroutine at the target whose slot is held, with charged bytes of the memory for items. The caller holds s.mu.
func (s *Service) start(ctx context.Context, j *ownedJob, choice itemjob.Choice, route *routetable.Route, table *routetable.Table, slot *gateway.Reservation, charged int64) {
	task := choice.Task
	task.Phase = itemjob.Running
	ctx, cancel := context.WithCancelCause(ctx)
	r := &run{
		service: s, number: s.started, job: j, task: task, slot: slot, cancel: cancel, firm: slot.IsFirm(),
		used: gateway.MinItemBuffer, charged: charged, keptSize: task.Output.EncodedSize(),
	}
	s.started++
	r.progress = &gateway.Progress{Last: task.LastEventID, Events: task.Events, SilentTries: task.SilentRuns}
	r.events.Store(int64(task.Events))
	id := slot.Target.ID
	s.runs[id] = append(s.runs[id], r)
	header := headerOf(task)
	request := &gateway.Request{
		ID:                 fleet.RequestID(task.Item.ID),
		Job:                string(j.ID),
		Method:             http.MethodPost,
		URI:                task.Item.Path,
		Host:               j.Host,
		Header:             header,
		Body:               task.Item.Body,
		Route:              itemRoute(route),
		Account:            accountOf(j, table),
		Accounts:           table.Accounts.NeedsKey(),
		Service:            choice.Service,
		Version:            table.Version,
		Arrived:            s.Now(),
		OwnershipConfirmed: j.ConfirmedAt(),
		MaxTokens:          task.Item.MaxOutputTokens(),
		Parts:              s.DecodeParts(header),
	}
	s.stats.started(request.Arrived.Sub(request.OwnershipConfirmed))
	klog.V(1).InfoS("Item starts", "job", j.ID, "item", task.Item.ID, "target", id, "urgent", choice.Urgent, "resume_after", task.LastEventID, "events", task.Events, "silent_runs", task.SilentRuns)
	s.running.Go(func() {
		defer cancel(nil)
		s.runItem(ctx, r, request)
	})
}

// headerOf returns the headers of an item.
func headerOf(task *itemjob.Task) http.Header {
	header := make(http.Header, len(task.Item.Headers))
	for name, value := range task.Item.Headers {
		header.Set(name, value)
	}
	return header
}

// accountOf returns the account that submitted a job, or nil if it was submitted without one. An account that was removed keeps its jobs.
func accountOf(j *ownedJob, table *routetable.Table) *accounts.Account {
	if j.Account == "" {
		return nil
	}
	if account, ok := table.Accounts.ByName(j.Account); ok {
		return account
	}
	return &accounts.Account{Name: j.Account}
}

// itemRoute returns a copy of a job's route for the run of an item: a stream that any target may resume, in practice any number of times.
func itemRoute(route *routetable.Route) *routetable.Route {
	r := *route
	r.Kind, r.Resumable, r.MaxAttempts = routetable.Stream, true, maxItemAttempts
	return &r
}

// maxItemAttempts is so large that every run of an item may leave a silent target for another one, which the last attempt of a request may not.
// The failures counted in the item's task bound its runs instead.
const maxItemAttempts = 1 << 20

// runItem runs an item until the run ends, and updates its task.
func (s *Service) runItem(ctx context.Context, r *run, request *gateway.Request) {
	progress := r.progress
	before := *progress
	outcome := s.Forwarder.RunItem(ctx, request, r.slot, progress, r)
	r.slot.Release()
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeRun(r)
	task := r.task
	if r.evicted { // also if it ended by itself meanwhile
		outcome.Verdict, progress.Last, progress.Events = gateway.NotKept, before.Last, before.Events
	}
	task.LastEventID, task.Events, task.SilentRuns = progress.Last, progress.Events, progress.SilentTries
	switch {
	case errors.Is(outcome.Cause, gateway.ErrOutputTooLong):
		// Neither this output nor a longer one can be listed, so that the item starts from the beginning.
		task.LastEventID, task.Events, task.Output = 0, 0, itemjob.Output{}
		r.job.replaceProgress()
	case outcome.Verdict == gateway.Overlong, outcome.Verdict == gateway.NotKept:
		r.job.replaceProgress() // it may have events of this run
	default:
		task.Output.AppendOutput(r.output)
	}
	s.chargeKept(r.job)
	s.memory.kept.Release(r.charged)
	if r.job.dropped {
		return
	}
	defer s.chargeKept(r.job)
	switch outcome.Verdict {
	case gateway.Answered:
		s.pace.Observe(task.Events, task.Events-before.Events, now.Sub(request.Arrived))
		r.job.Finish(task, true, now)
		wait.Wake(r.job.recordSignal)
	case gateway.Yielded:
		r.job.RecordInterruption(task, 0, now)
	case gateway.FailedAtTarget:
		s.failed(r.job, task, outcome.Status, now)
	case gateway.NotRun:
		pause := interruptedDelay
		if errors.Is(outcome.Cause, rawhttp.ErrInvalidRequest) { // from a job that an earlier build accepted
			pause = otherStatusDelay
		}
		r.job.RecordInterruption(task, pause, now)
	case gateway.Blocked:
		r.job.RecordInterruption(task, blockedPartDelay, now)
	case gateway.NotKept:
		s.stats.notKept(outcome.Cause)
		r.job.RecordInterruption(task, notKeptDelay, now)
	default:
		if progress.SilentTries > before.SilentTries {
			r.job.RecordInterruption(task, interruptedDelay, now)
			break
		}
		r.job.RecordBreak(task, progress.Events-before.Events, now)
	}
	wait.Wake(s.scheduleSignal)
}

// failed handles the response of a target that is not an event stream. Only the statuses that speak of the item itself count as its failures; others
// come from an overloaded target or one that is no target of the service, and the item tries another one. The caller holds s.mu.
func (s *Service) failed(j *ownedJob, task *itemjob.Task, status int, now time.Time) {
	switch status {
	case http.StatusInternalServerError, http.StatusUnprocessableEntity:
		if reason := j.RecordFailure(task, status == http.StatusUnprocessableEntity, now); reason != "" {
			s.deadLetter(j, task, reason)
		}
	default:
		j.RecordInterruption(task, otherStatusDelay, now)
	}
}

// deadLetter gives up on an item and finishes it without output. The caller holds s.mu.
func (s *Service) deadLetter(j *ownedJob, task *itemjob.Task, reason itemjob.Reason) {
	now := s.Now()
	// past_give_up_ms compares this instance's time of day with that of the instance that recorded the job.
	klog.InfoS("Item is given up", "job", j.ID, "item", task.Item.ID, "reason", reason, "failures", task.Failures, "max_failures", j.MaxAttempts,
		"age_ms", j.Age(now).Milliseconds(), "past_give_up_ms", now.Round(0).Sub(j.GiveUp).Milliseconds(), "owned_ms", now.Sub(j.ownedSince).Milliseconds(),
		"version", s.Routes.Version(), "accepted_version", j.Version, "accepted_by", j.AcceptedBy, "owner", s.Self.ID, "owned_by", j.origin)
	s.stats.givenUp(reason)
	j.Finish(task, false, now)
	s.chargeKept(j)
	wait.Wake(j.recordSignal)
}

// expire gives up the waiting items of jobs whose retention has passed.
func (s *Service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for _, j := range s.jobs {
		if !j.isOpen() {
			continue
		}
		for _, task := range j.Expired(now) {
			s.deadLetter(j, task, itemjob.GiveUpTimePassed)
		}
	}
}

// makeUrgentFirm makes running items firm that became urgent, so that they do not yield their slots.
func (s *Service) makeUrgentFirm() {
	var urgent []*run
	now := s.Now()
	s.mu.Lock()
	for _, list := range s.runs {
		for _, r := range list {
			if !r.firm && !r.yielding && s.pace.Urgent(r.job.DueTime(), int(r.events.Load()), now) {
				urgent = append(urgent, r)
			}
		}
	}
	s.mu.Unlock()
	for _, r := range urgent {
		if r.slot.MakeFirm() {
			s.mu.Lock()
			r.firm = true
			s.mu.Unlock()
		}
	}
}

// yieldExcess ends runs at targets that hold more requests than they have slots. excess is the number of runs to end at each target. Those whose
// items rank last in the order in which items start end first.
func (s *Service) yieldExcess(excess map[fleet.TargetID]int) {
	var yielding []*run
	now := s.Now()
	s.mu.Lock()
	for id, count := range excess {
		for range count {
			r := s.lastRanked(id, now)
			if r == nil {
				break
			}
			r.yielding = true
			yielding = append(yielding, r)
		}
	}
	s.mu.Unlock()
	yieldRuns(yielding)
}

// yieldRuns cancels runs and frees their slots without waiting for the targets. The caller has set yielding on them.
func yieldRuns(runs []*run) {
	for _, r := range runs {
		r.cancel(gateway.ErrYielded)
		r.slot.Release()
	}
}

// lastRanked returns the yieldable run at a target whose item ranks last in the order in which items start, or nil. The caller holds s.mu.
func (s *Service) lastRanked(id fleet.TargetID, now time.Time) *run {
	var last *run
	var lastRank itemjob.Rank
	for _, r := range s.runs[id] {
		if r.firm || r.yielding {
			continue
		}
		if rank := s.pace.Rank(r.job.DueTime(), int(r.events.Load()), now); last == nil || lastRank.Before(rank) {
			last, lastRank = r, rank
		}
	}
	return last
}

// removeRun removes a run that ended. The caller holds s.mu.
func (s *Service) removeRun(r *run) {
	id := r.slot.Target.ID
	s.runs[id] = slices.DeleteFunc(s.runs[id], func(other *run) bool { return other == r })
	if len(s.runs[id]) == 0 {
		delete(s.runs, id)
	}
}

// runsOf returns the runs of a job's items. The caller holds s.mu.
func (s *Service) runsOf(j *ownedJob) []*run {
	var runs []*run
	for _, list := range s.runs {
		for _, r := range list {
			if r.job == j {
				runs = append(runs, r)
			}
		}
	}
	return runs
}
