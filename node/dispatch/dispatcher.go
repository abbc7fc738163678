// Package dispatch carries one request from its routing decision to its whole answer: attempts, retries, resumed streams and claims.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/adapters/engine"
	"eelgrassproxy.example/adapters/service"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/node/admission"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/claims"
	"eelgrassproxy.example/node/decisionlog"
	"eelgrassproxy.example/node/pools"
	"eelgrassproxy.example/node/problem"
	"eelgrassproxy.example/node/request"
)

// Parts are what a Dispatcher works with.
type Parts struct {
	Instance       fleet.InstanceID
	Process        uint64 // fleet.ProcessOf the instance's incarnation
	FailureDomain  fleet.FailureDomain
	Board          *blackboard.Board
	Pools          *pools.Pools
	Router         *routing.Router
	Engines        *engine.Client
	FreshEngines   *engine.Client // opens a connection for each request
	Services       *service.Client
	FreshServices  *service.Client // opens a connection for each call
	DropIdle       func()          // closes pooled connections to targets
	Claims         *claims.Claimer
	Callers        *limits.CallerLimits
	Log            *decisionlog.Log
	Metrics        tally.Scope
	MaxAnswerBytes int64
	Yield          batch.YieldPolicy
	Seed           uint64 // seed of the choice among equal targets
	// TargetLeft is called when a target says that it is leaving, so that peers hear of it.
	TargetLeft func(fleet.TargetID)
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	Parts
	gates    *admission.Gates
	batches  *batchLimiter
	link     linkMeter
	metrics  metrics
	sequence atomic.Uint64 // of upstream ids
	held     atomic.Int64  // online requests

	mu      sync.Mutex // guards random and retries; a leaf
	random  *rand.Rand
	retries *limits.RetryBudget
}

// New returns a dispatcher of the parts.
func New(parts Parts) *Dispatcher {
	return &Dispatcher{
		Parts:   parts,
		gates:   admission.New(parts.Seed),
		batches: newBatchLimiter(parts.Board.Loads, parts.Yield),
		metrics: newMetrics(parts.Metrics),
		random:  rand.New(rand.NewPCG(parts.Seed, 0)),
		retries: limits.NewRetryBudget(limits.DefaultRetryPolicy()),
	}
}

// Do runs the request and writes its whole answer. It returns a *problem.Error only if nothing was written yet.
func (d *Dispatcher) Do(ctx context.Context, r *request.Request, w http.ResponseWriter) error {
	started := time.Now()
	d.held.Add(1)
	defer d.held.Add(-1)
	d.arrived(r, started)
	err := d.limitCaller(r, started)
	if err == nil {
		err = d.run(ctx, r, w)
	}
	d.metrics.finished(r, err, time.Since(started))
	var told *incomplete
	if errors.As(err, &told) {
		return nil
	}
	return err
}

// LoadReported takes a load report of a target; batch requests in the way of waiting ones are cancelled.
func (d *Dispatcher) LoadReported(id fleet.TargetID, report fleet.LoadReport) {
	d.Board.Loads.Report(id, report)
	d.batches.reported(id, report)
}

// BatchInFlight returns the batch requests of this instance at a target.
func (d *Dispatcher) BatchInFlight(id fleet.TargetID) int { return d.batches.own(id) }

// InFlight returns the online requests that this instance holds.
func (d *Dispatcher) InFlight() int { return int(d.held.Load()) }

// run claims the request first if it must not run twice, or if its caller may resend it.
func (d *Dispatcher) run(ctx context.Context, r *request.Request, w http.ResponseWriter) error {
	if r.IdempotencyKey != "" {
		return d.runClaimed(ctx, r, w)
	}
	_, err := d.execute(ctx, r, w)
	return err
}

func (d *Dispatcher) arrived(r *request.Request, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.Arrived(r.Attempt, now)
}

// tryRetry takes one retry from the budget.
func (d *Dispatcher) tryRetry(attempt int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retries.TryRetry(attempt, time.Now())
}

func (d *Dispatcher) limitCaller(r *request.Request, now time.Time) error {
	group := r.Caller.Group
	if group.RequestsPerSecond <= 0 {
		return nil
	}
	limit := limits.CallerLimit{Rate: group.RequestsPerSecond, Burst: float64(group.Burst)}
	taken := d.Callers.Take(r.Caller.ID, limit, 1, now)
	if taken.Allowed {
		return nil
	}
	d.log(r, decisionlog.Entry{Kind: decisionlog.KindAdmission, Reason: "caller's rate limit"})
	return problem.NotRun(problem.CodeRateLimited, "caller exceeds %g requests per second", group.RequestsPerSecond).After(taken.RetryAfter)
}

// log completes the entry with what is known of the request and writes it.
func (d *Dispatcher) log(r *request.Request, e decisionlog.Entry) {
	e.Request = r.ID
	e.Caller = r.Caller.ID
	e.Generation = r.Bundle.Generation()
	d.Log.Write(e)
}
