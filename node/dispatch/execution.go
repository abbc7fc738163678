package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/node/admission"
	"eelgrassproxy.example/node/decisionlog"
	"eelgrassproxy.example/node/problem"
	"eelgrassproxy.example/node/request"
)

// result is what is certain about a request after its execution.
type result int

const (
	resultNotRun    result = iota // no target ran any part of it
	resultCompleted               // the complete response was written
	resultUnknown                 // a target may have run it
)

// execution is the state of one request over its attempts.
type execution struct {
	dispatcher       *Dispatcher
	request          *request.Request
	writer           http.ResponseWriter
	route            routing.Request
	ticket           *admission.Ticket
	attempts         int  // attempts started by this instance
	attemptsWithLoad int  // attempts that may have caused load on a target
	mayHaveRun       bool // whether an attempt may have run at a target

	// mu guards the fields below, which concurrent attempts share. No other lock is acquired while it is held.
	mu       sync.Mutex
	winner   *attempt // the attempt that writes the response; nil until an attempt has a first byte to write
	launched []*attempt
}

// execute runs the request with as many attempts as allowed. The error is nil if the complete response was written, and *incompleteError if
// the response was started and ended with an error event.
func (d *Dispatcher) execute(ctx context.Context, r *request.Request, w http.ResponseWriter) (result, error) {
	x := &execution{dispatcher: d, request: r, writer: w, route: d.routeRequest(r)}
	x.preemptBatch()
	ticket, err := d.gates.Enter(ctx, r, x.pressure)
	if err != nil {
		d.log(r, decisionlog.Entry{Kind: decisionlog.KindAdmission, Reason: err.Error()})
		return resultNotRun, err
	}
	defer ticket.Done()
	x.ticket = ticket
	err = x.run(ctx)
	return x.result(err), err
}

func (d *Dispatcher) routeRequest(r *request.Request) routing.Request {
	route := routing.Request{ID: r.ID, Kind: r.Kind, FailureDomain: d.FailureDomain, Prefix: r.Prefix}
	if r.Kind == fleet.KindService {
		route.Service = r.Service.Name
		return route
	}
	route.Base, route.Version, route.Adapter = r.Model.Base, r.Model.Version, r.Model.Adapter
	return route
}

// pressure estimates the load of the request's pool for admission. Batch requests of this instance do not count, since online requests
// preempt them. Batch requests of other instances cannot be told apart here; they stay below the limit for batch.
func (x *execution) pressure() admission.Pressure {
	d := x.dispatcher
	return d.Pools.Pressure(x.request, &x.route, time.Now(), d.batches.inFlight)
}

// preemptBatch preempts one of this instance's batch requests if the pool is full, so that the online request does not wait behind it.
func (x *execution) preemptBatch() {
	d := x.dispatcher
	if d.batches.idle() {
		return // nothing to preempt; saves most requests from examining every target
	}
	fullest, load := fleet.TargetID(""), 0.0
	for _, c := range d.Pools.Candidates(x.request, &x.route, time.Now()) {
		if c.Load+1 <= float64(c.MaxRunning) {
			return
		}
		if c.Load > load && d.batches.inFlight(c.Target) > 0 {
			fullest, load = c.Target, c.Load
		}
	}
	if fullest != "" {
		d.batches.preempt(fullest, 1)
	}
}

func (x *execution) result(err error) result {
	var p *problem.Error
	switch {
	case err == nil:
		return resultCompleted
	case errors.As(err, &p) && p.NotRun:
		return resultNotRun
	default:
		return resultUnknown
	}
}

// run makes attempts until one writes a response or no further attempt is allowed.
func (x *execution) run(ctx context.Context) error {
	for {
		target, err := x.choose()
		if err != nil {
			return err
		}
		failure := x.race(ctx, target)
		if failure == nil {
			return nil
		}
		if x.responseStarted() {
			return x.endIncomplete(failure)
		}
		if err := x.retryOrFail(ctx, failure); err != nil {
			return err
		}
	}
}

// choose returns the target of the next attempt, and excludes it from later attempts of the request.
func (x *execution) choose() (*routing.Candidate, error) {
	d := x.dispatcher
	now := time.Now()
	candidates := d.Pools.Candidates(x.request, &x.route, now)
	d.mu.Lock()
	decision := d.Router.Decide(&x.route, candidates, d.random)
	d.mu.Unlock()
	entry := decisionlog.Entry{
		Kind:       decisionlog.KindRoute,
		Attempt:    x.attempts,
		Reason:     string(decision.Reason),
		Candidates: decision.Candidates,
	}
	if decision.Chosen != nil {
		entry.Target = decision.Chosen.Target
	}
	d.log(x.request, entry)
	if decision.Chosen == nil {
		return nil, x.noTarget()
	}
	x.route.Excluded = append(x.route.Excluded, decision.Chosen.Target)
	if decision.Chosen.Load+1 > float64(decision.Chosen.MaxRunning) {
		d.batches.preempt(decision.Chosen.Target, 1)
	}
	return decision.Chosen, nil
}

func (x *execution) noTarget() error {
	message := fmt.Sprintf("no usable target is left for %s after %d attempts", x.request.Pool(), x.attempts)
	if x.mayHaveRun {
		return problem.MayHaveRun(problem.CodeOutcomeUnknown, "%s; an earlier attempt may have run", message)
	}
	return problem.NotRun(problem.CodeNoTarget, "%s", message).WithRetryAfter(time.Second)
}

// retryOrFail returns nil if another attempt may be made, and else the error for the caller.
func (x *execution) retryOrFail(ctx context.Context, f *failure) error {
	x.attempts++
	if f.mayHaveAddedLoad() {
		x.attemptsWithLoad++
	}
	reason := x.noRetryReason(ctx, f)
	entry := decisionlog.Entry{Kind: decisionlog.KindRetry, Attempt: x.attempts, Target: f.target, Reason: "retry after: " + f.Error()}
	if reason != "" {
		entry.Reason = "no retry, " + reason + ", after: " + f.Error()
	}
	x.dispatcher.log(x.request, entry)
	if reason == "" {
		return nil
	}
	return x.fail(f)
}

// noRetryReason returns the reason why the request may not be retried at another target, or "" if it may. A retry counts against the retry
// budget only if the failed attempt may have caused load on its target: repeating other attempts cannot multiply load.
func (x *execution) noRetryReason(ctx context.Context, f *failure) string {
	switch {
	case f.rejection != nil:
		return "the target's answer is final"
	case ctx.Err() != nil:
		return "the caller has gone"
	}
	tries := limits.Tries{Started: x.attempts, MayHaveRun: x.attemptsWithLoad}
	left := time.Until(x.request.Deadline)
	reason := tries.CheckRetry(f.mayHaveRun, x.request.Idempotent(), limits.DefaultRetryPolicy().MaxAttempts, left)
	if reason == limits.TryAgain && f.mayHaveAddedLoad() && !x.dispatcher.tryRetry(x.request.Attempt+x.attempts-1) {
		return "the retry budget is used up"
	}
	return string(reason)
}

// fail converts the last failure to the error for the caller.
func (x *execution) fail(f *failure) error {
	switch {
	case f.rejection != nil:
		return f.rejection
	case !x.mayHaveRun:
		return problem.NotRun(problem.CodeNoTarget, "no target took the request").WithRetryAfter(time.Second)
	case f.timedOut:
		return problem.MayHaveRun(problem.CodeDeadline, "no answer came before the deadline")
	default:
		return problem.MayHaveRun(problem.CodeOutcomeUnknown, "the request may have run, its answer was lost")
	}
}
