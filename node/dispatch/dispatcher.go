// Package dispatch runs requests: it makes attempts at targets, retries and hedges them, resumes broken streams, relays responses, and
// claims idempotency keys.
package dispatch

import (
	"context"
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

// Parts are the settings and dependencies of a Dispatcher.
type Parts struct {
	Instance             fleet.InstanceID
	Process              uint64 // fleet.ProcessOf the instance's incarnation
	FailureDomain        fleet.FailureDomain
	Board                *blackboard.Board
	Pools                *pools.Pools
	Router               *routing.Router
	Engines              *engine.Client
	UnpooledEngines      *engine.Client // opens a connection for each request
	Services             *service.Client
	UnpooledServices     *service.Client // opens a connection for each call
	CloseIdleConnections func()          // closes pooled connections to targets
	Claims               *claims.Claimer
	Callers              *limits.CallerLimits
	Log                  *decisionlog.Log
	Metrics              tally.Scope
	MaxAnswerBytes       int64
	Yield                batch.YieldPolicy
	Seed                 uint64 // seed for the random choice among equal targets
	// OnTargetLeaving is called when a target reports that it is leaving, to inform the peers. It may be nil.
	OnTargetLeaving func(fleet.TargetID)
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	Parts
	gates          *admission.Gates
	batches        *batchLimiter
	link           linkMeter
	metrics        metrics
	sequence       atomic.Uint64 // last number used in an upstream id
	onlineInFlight atomic.Int64  // online requests in progress

	mu      sync.Mutex // guards random and retries; no other lock is acquired while it is held
	random  *rand.Rand
	retries *limits.RetryBudget
}

// New returns a Dispatcher that uses the given parts.
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

// Do runs an online request and writes its response. If the response was started and could not be completed, Do writes an error event to the
// stream and returns problem.ErrIncomplete; the caller of Do must then break off the connection. Any other error, usually a *problem.Error, means
// that nothing was written yet.
func (d *Dispatcher) Do(ctx context.Context, r *request.Request, w http.ResponseWriter) error {
	started := time.Now()
	d.onlineInFlight.Add(1)
	defer d.onlineInFlight.Add(-1)
	d.recordArrival(r, started)
	err := d.limitCaller(r, started)
	if err == nil {
		err = d.run(ctx, r, w)
	}
	d.metrics.finished(r, err, time.Since(started))
	return err
}

// RecordLoadReport records a load report of a target, and preempts batch requests there if the target's load is too high for them.
func (d *Dispatcher) RecordLoadReport(id fleet.TargetID, report fleet.LoadReport) {
	d.Board.Loads.Report(id, report)
	d.batches.handleLoadReport(id, report)
}

// BatchInFlight returns the number of this instance's batch requests in flight at a target.
func (d *Dispatcher) BatchInFlight(id fleet.TargetID) int { return d.batches.inFlight(id) }

// InFlight returns the number of online requests in progress at this instance.
func (d *Dispatcher) InFlight() int { return int(d.onlineInFlight.Load()) }

// run claims the request's idempotency key before running it if the request has one: such a request must not run twice, or its caller may
// resend it.
func (d *Dispatcher) run(ctx context.Context, r *request.Request, w http.ResponseWriter) error {
	if r.IdempotencyKey != "" {
		return d.runClaimed(ctx, r, w)
	}
	_, err := d.execute(ctx, r, w)
	return err
}

func (d *Dispatcher) recordArrival(r *request.Request, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.RecordArrival(r.Attempt, now)
}

// tryRetry takes one retry from the retry budget and reports whether the budget allowed it.
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
	return problem.NotRun(problem.CodeRateLimited, "caller exceeds %g requests per second", group.RequestsPerSecond).WithRetryAfter(taken.RetryAfter)
}

// log fills in the request's fields of the entry and writes it to the decision log.
func (d *Dispatcher) log(r *request.Request, e decisionlog.Entry) {
	e.Request = r.ID
	e.Caller = r.Caller.ID
	e.Generation = r.Bundle.Generation()
	d.Log.Write(e)
}
