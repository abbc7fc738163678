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

// errPreempted is the cancellation cause of a batch request that is preempted by online requests.
var errPreempted = errors.New("batch request gave way to online requests")

// roomCheckInterval is how often a waiting batch item checks for room. It covers room that appears without a signal in this process, for
// example when a request of another instance ends.
const roomCheckInterval = 20 * time.Millisecond

// batchLimiter tracks this instance's batch requests in flight at each target, limits them, and preempts them for online requests. It is
// safe for concurrent use.
type batchLimiter struct {
	loads  *blackboard.LoadTable
	policy batch.YieldPolicy // without the bundle's limit on batch harm

	mu      sync.Mutex // guards the fields below; acquired before the mutex of loads
	yield   *batch.Yield
	running map[fleet.TargetID][]*batchRun    // oldest first
	changed chan struct{}                     // closed and replaced when room may have appeared
	turns   map[request.PoolKey]chan struct{} // one slot each: the item that is looking for room in the pool
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

// setRoom sets BatchRoom of each candidate. harmPercent is the bundle's limit on how much batch may slow down online requests. loads holds
// the same candidates in the same order with unbiased load estimates.
func (f *batchLimiter) setRoom(candidates, loads []routing.Candidate, harmPercent int, atRisk bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.yield.SetPolicy(f.policy.ForHarm(harmPercent))
	for i := range candidates {
		c := &candidates[i]
		c.BatchRoom = f.yield.Room(c.Target, f.load(c.Target, c.MaxRunning, loads[i].Load), atRisk)
	}
}

// load returns the load of a target. The caller must hold f.mu.
func (f *batchLimiter) load(id fleet.TargetID, maxRunning int, estimate float64) batch.TargetLoad {
	return batch.TargetLoad{
		MaxRunning: maxRunning,
		Load:       estimate,
		Waiting:    f.loads.View(id).Report.Waiting,
		OwnBatch:   len(f.running[id]),
	}
}

// begin registers a batch request that is about to be sent.
func (f *batchLimiter) begin(run *batchRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[run.target] = append(f.running[run.target], run)
}

// acquireTurn waits until no other item is looking for room in the pool. Only one item looks at a time: otherwise all waiting items would
// choose the same free slot, and their checks would cost more than the requests themselves. The caller must call release.
func (f *batchLimiter) acquireTurn(ctx context.Context, pool request.PoolKey) (release func(), err error) {
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

// end removes a batch request that has ended. If it ended normally, the target's limit for batch may grow.
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

// wait returns nil when room may have appeared, and the cause of ctx if ctx ends first.
func (f *batchLimiter) wait(ctx context.Context) error {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	timer := time.NewTimer(roomCheckInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return nil
}

// inFlight returns the number of this instance's batch requests in flight at the target.
func (f *batchLimiter) inFlight(id fleet.TargetID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running[id])
}

// idle reports whether this instance has no batch request in flight.
func (f *batchLimiter) idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running) == 0
}

// preempt records online demand at the target and cancels up to count of its preemptible batch requests. It cancels the newest first,
// since they lose the least work.
func (f *batchLimiter) preempt(id fleet.TargetID, count int) {
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

// handleLoadReport preempts batch requests if the reported load of the target exceeds the limit up to which batch may fill it.
func (f *batchLimiter) handleLoadReport(id fleet.TargetID, report fleet.LoadReport) {
	f.mu.Lock()
	excess := 0
	if runs := f.running[id]; len(runs) > 0 {
		excess = f.yield.Excess(f.load(id, runs[0].maxRunning, float64(report.Running+report.Waiting)))
	}
	f.mu.Unlock()
	if excess > 0 {
		f.preempt(id, excess)
	}
}
