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
	limits  *batch.TargetLimits
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
		limits:  batch.NewTargetLimits(policy),
		running: make(map[fleet.TargetID][]*batchRun),
		changed: make(chan struct{}),
		turns:   make(map[request.PoolKey]chan struct{}),
	}
}

// setRoom sets BatchRoom of each candidate. harmPercent is the bundle's limit on how much batch may slow down online requests. loads holds
// the same candidates in the same order with unbiased load estimates.
func (l *batchLimiter) setRoom(candidates, loads []routing.Candidate, harmPercent int, atRisk bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.SetPolicy(l.policy.WithMaxHarm(harmPercent))
	for i := range candidates {
		c := &candidates[i]
		c.BatchRoom = l.limits.Allowance(c.Target, l.load(c.Target, c.MaxRunning, loads[i].Load), atRisk)
	}
}

// load returns the load of a target. The caller must hold l.mu.
func (l *batchLimiter) load(id fleet.TargetID, maxRunning int, estimate float64) batch.TargetLoad {
	return batch.TargetLoad{
		MaxRunning: maxRunning,
		Load:       estimate,
		Waiting:    l.loads.Get(id).Report.Waiting,
		OwnBatch:   len(l.running[id]),
	}
}

// begin registers a batch request that is about to be sent.
func (l *batchLimiter) begin(run *batchRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[run.target] = append(l.running[run.target], run)
}

// acquireTurn waits until no other item is looking for room in the pool. Only one item looks at a time: otherwise all waiting items would
// choose the same free slot, and their checks would cost more than the requests themselves. The caller must call release.
func (l *batchLimiter) acquireTurn(ctx context.Context, pool request.PoolKey) (release func(), err error) {
	l.mu.Lock()
	gate, ok := l.turns[pool]
	if !ok {
		gate = make(chan struct{}, 1)
		l.turns[pool] = gate
	}
	l.mu.Unlock()
	select {
	case gate <- struct{}{}:
		return func() { <-gate }, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// end removes a batch request that has ended. If it ended normally, the target's limit for batch may grow.
func (l *batchLimiter) end(run *batchRun, normally bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(run)
	if normally {
		l.limits.RecordEnd(run.target, batch.TargetLoad{MaxRunning: run.maxRunning, OwnBatch: len(l.running[run.target])}, time.Now())
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *batchLimiter) remove(run *batchRun) {
	runs := l.running[run.target]
	for i, r := range runs {
		if r == run {
			l.running[run.target] = append(runs[:i:i], runs[i+1:]...)
			break
		}
	}
	if len(l.running[run.target]) == 0 {
		delete(l.running, run.target)
	}
}

// wait returns nil when room may have appeared, and the cause of ctx if ctx ends first.
func (l *batchLimiter) wait(ctx context.Context) error {
	l.mu.Lock()
	changed := l.changed
	l.mu.Unlock()
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
func (l *batchLimiter) inFlight(id fleet.TargetID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running[id])
}

// idle reports whether this instance has no batch request in flight.
func (l *batchLimiter) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running) == 0
}

// preempt records online demand at the target and cancels up to count of its preemptible batch requests. It cancels the newest first,
// since they lose the least work.
func (l *batchLimiter) preempt(id fleet.TargetID, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limits.RecordOnlineDemand(id, time.Now()) {
		return
	}
	runs := l.running[id]
	for i := len(runs) - 1; i >= 0 && count > 0; i-- {
		if runs[i].preemptible {
			runs[i].abort(errPreempted)
			count--
		}
	}
}

// handleLoadReport preempts batch requests if the reported load of the target exceeds the limit up to which batch may fill it.
func (l *batchLimiter) handleLoadReport(id fleet.TargetID, report fleet.LoadReport) {
	l.mu.Lock()
	excess := 0
	if runs := l.running[id]; len(runs) > 0 {
		excess = l.limits.Excess(l.load(id, runs[0].maxRunning, float64(report.Running+report.Waiting)))
	}
	l.mu.Unlock()
	if excess > 0 {
		l.preempt(id, excess)
	}
}
