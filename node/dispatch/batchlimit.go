package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/request"
)

// errPreempted is the cause of cancelling a batch request that stood in the way of online requests.
var errPreempted = errors.New("batch request gave way to online requests")

// roomInterval is how often waiting batch items look for room that no notice announced, such as after another instance's request.
const roomInterval = 20 * time.Millisecond

// batchLimiter keeps the batch requests in flight at each target and makes them give way.
type batchLimiter struct {
	loads  *blackboard.LoadTable
	policy batch.YieldPolicy // before the bundle's bound of harm

	mu      sync.Mutex // guards the fields below; taken before the mutex of loads
	yield   *batch.Yield
	running map[fleet.TargetID][]*batchRun // oldest first
	changed chan struct{}                  // closed and replaced when room may have appeared
	turns   map[request.PoolKey]chan struct{}
}

// batchRun is one batch request in flight.
type batchRun struct {
	target      fleet.TargetID
	maxRunning  int
	preemptible bool
	abort       context.CancelCauseFunc
}

func newBatchLimiter(loads *blackboard.LoadTable, policy batch.YieldPolicy) *batchLimiter {
	return &batchLimiter{
		loads:   loads,
		policy:  policy,
		yield:   batch.NewYield(policy),
		running: make(map[fleet.TargetID][]*batchRun),
		changed: make(chan struct{}),
		turns:   make(map[request.PoolKey]chan struct{}),
	}
}

// fill sets the room of each candidate under the bundle's bound of harm. loads has the same candidates with unbiased load estimates.
func (f *batchLimiter) fill(candidates, loads []routing.Candidate, harmPercent int, atRisk bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.yield.SetPolicy(f.policy.ForHarm(harmPercent))
	for i := range candidates {
		c := &candidates[i]
		c.BatchRoom = f.yield.Room(c.Target, f.load(c.Target, c.MaxRunning, loads[i].Load), atRisk)
	}
}

// load describes a target; f.mu is held.
func (f *batchLimiter) load(id fleet.TargetID, maxRunning int, estimate float64) batch.TargetLoad {
	return batch.TargetLoad{
		MaxRunning: maxRunning,
		Load:       estimate,
		Waiting:    f.loads.View(id).Report.Waiting,
		OwnBatch:   len(f.running[id]),
	}
}

// begin registers a batch request.
func (f *batchLimiter) begin(run *batchRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[run.target] = append(f.running[run.target], run)
}

// turn waits for the right to look for room in a pool. One item looks at a time: if all did, each would take the same free place, and
// their looking would cost more than the work. release must be called.
func (f *batchLimiter) turn(ctx context.Context, pool request.PoolKey) (release func(), err error) {
	f.mu.Lock()
	gate, ok := f.turns[pool]
	if !ok {
		gate = make(chan struct{}, 1)
		f.turns[pool] = gate
	}
	f.mu.Unlock()
	select {
	case gate <- struct{}{}:
		return func() { <-gate }, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// end removes a batch request. A normal end lets the target's limit grow.
func (f *batchLimiter) end(run *batchRun, normally bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(run)
	if normally {
		f.yield.Ended(run.target, batch.TargetLoad{MaxRunning: run.maxRunning, OwnBatch: len(f.running[run.target])}, time.Now())
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *batchLimiter) remove(run *batchRun) {
	runs := f.running[run.target]
	for i, r := range runs {
		if r == run {
			f.running[run.target] = append(runs[:i:i], runs[i+1:]...)
			break
		}
	}
	if len(f.running[run.target]) == 0 {
		delete(f.running, run.target)
	}
}

// wait returns when room may have appeared or ctx ends.
func (f *batchLimiter) wait(ctx context.Context) error {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	timer := time.NewTimer(roomInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return nil
}

// own returns this instance's batch requests in flight at the target.
func (f *batchLimiter) own(id fleet.TargetID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running[id])
}

// idle tells whether no batch request of this instance is in flight.
func (f *batchLimiter) idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running) == 0
}

// pressure records online demand at the target and cancels up to count of its batch requests, the newest first, which lose least work.
func (f *batchLimiter) pressure(id fleet.TargetID, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.yield.Pressure(id, time.Now()) {
		return
	}
	runs := f.running[id]
	for i := len(runs) - 1; i >= 0 && count > 0; i-- {
		if runs[i].preemptible {
			runs[i].abort(errPreempted)
			count--
		}
	}
}

// reported reacts to a load report: batch gives way when the target is fuller than batch may make it.
func (f *batchLimiter) reported(id fleet.TargetID, report fleet.LoadReport) {
	f.mu.Lock()
	excess := 0
	if runs := f.running[id]; len(runs) > 0 {
		excess = f.yield.Excess(f.load(id, runs[0].maxRunning, float64(report.Running+report.Waiting)))
	}
	f.mu.Unlock()
	if excess > 0 {
		f.pressure(id, excess)
	}
}
