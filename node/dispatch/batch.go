package dispatch

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/node/decisionlog"
	"eelgrassproxy.example/node/problem"
	"eelgrassproxy.example/node/request"
)

// errNotOwner means that this instance lost ownership of the item's job while the item waited for room.
var errNotOwner = errors.New("this instance no longer owns the item's job")

// BatchResponse is the complete response to a batch item.
type BatchResponse struct {
	Status int
	Body   []byte
}

// Batch makes one attempt to run a batch item. It waits until a target has room and may be preempted by online requests. The error is a
// *problem.Error; for a preempted item it says that the item was not run, since its partial output is discarded.
func (d *Dispatcher) Batch(ctx context.Context, r *request.Request) (BatchResponse, error) {
	x := &execution{dispatcher: d, request: r, route: d.routeRequest(r)}
	x.route.Batch = true
	response := &bufferedResponse{header: make(http.Header)}
	x.writer = response
	f, err := x.runBatch(ctx)
	switch {
	case err != nil:
		return BatchResponse{}, problem.NotRun(problem.CodeOverloaded, "no room for batch: %v", err)
	case f != nil:
		failed := batchProblem(f)
		d.log(x.request, decisionlog.Entry{
			Kind:    decisionlog.KindOutcome,
			Attempt: x.request.Attempt,
			Target:  f.target,
			Reason:  "batch: " + failed.Error(),
		})
		return BatchResponse{}, failed
	}
	return BatchResponse{Status: response.status, Body: response.body.Bytes()}, nil
}

// runBatch makes one attempt as soon as a target has room. The error is non-nil if no attempt was started.
func (x *execution) runBatch(ctx context.Context) (*failure, error) {
	batches := x.dispatcher.batches
	release, err := batches.acquireTurn(ctx, x.request.Pool())
	if err != nil {
		return nil, err
	}
	target, err := x.waitForTarget(ctx)
	if err != nil {
		release()
		return nil, err
	}
	if x.request.MayRun != nil && !x.request.MayRun() {
		release()
		return nil, errNotOwner
	}
	attempted := *x.request
	attempted.Deadline = time.Now().Add(x.request.AttemptTimeout)
	x.request = &attempted
	ctx, a := x.begin(ctx, target)
	if a == nil {
		release()
		return &failure{target: target.Target, cause: errors.New("circuit opened before dispatch")}, nil
	}
	run := &batchRun{
		target:      target.Target,
		maxRunning:  target.MaxRunning,
		preemptible: x.request.Kind == fleet.KindEngine,
		abort:       a.abort,
	}
	batches.begin(run)
	release()
	failed := a.run(ctx)
	batches.end(run, failed == nil)
	return failed, nil
}

// waitForTarget waits until a target has room for a batch request and returns that target.
func (x *execution) waitForTarget(ctx context.Context) (*routing.Candidate, error) {
	d := x.dispatcher
	allowOtherRegions := true // whether targets of other regions may be used
	for {
		now := time.Now()
		candidates := d.Pools.Candidates(x.request, &x.route, now)
		d.batches.setRoom(candidates, d.Pools.UnbiasedCandidates(x.request, &x.route, now), x.request.Bundle.Limits().BatchHarmPercent, x.request.AtRisk)
		if !allowOtherRegions {
			excludeOtherRegions(candidates)
		}
		d.mu.Lock()
		decision := d.Router.Decide(&x.route, candidates, d.random)
		d.mu.Unlock()
		if c := decision.Chosen; c != nil && c.Distance == fleet.OtherRegion && !d.link.tryBatch(x.request.Bundle.Link(), d.Pools.ServingInstances(), x.expectedLinkBytes(), now) {
			allowOtherRegions = false // the link has no bandwidth left for batch; choose again among the targets of this region
			continue
		}
		if decision.Chosen != nil {
			d.log(x.request, decisionlog.Entry{
				Kind:       decisionlog.KindRoute,
				Attempt:    x.request.Attempt,
				Target:     decision.Chosen.Target,
				Reason:     "batch: " + string(decision.Reason),
				Candidates: decision.Candidates,
			})
			return decision.Chosen, nil
		}
		if err := d.batches.wait(ctx); err != nil {
			return nil, err
		}
		allowOtherRegions = true
	}
}

// excludeOtherRegions sets the batch room of targets in other regions to 0.
func excludeOtherRegions(candidates []routing.Candidate) {
	for i := range candidates {
		if candidates[i].Distance == fleet.OtherRegion {
			candidates[i].BatchRoom = 0
		}
	}
}

func batchProblem(f *failure) *problem.Error {
	switch {
	case f.preempted:
		return problem.NotRun(problem.CodeOverloaded, "gave way to online requests")
	case f.rejection != nil:
		return f.rejection
	case !f.mayHaveRun:
		return problem.NotRun(problem.CodeNoTarget, "target did not take the item: %v", f.cause)
	default:
		return problem.MayHaveRun(problem.CodeOutcomeUnknown, "the item may have run: %v", f.cause)
	}
}

// bufferedResponse is an http.ResponseWriter that keeps the response in memory.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *bufferedResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *bufferedResponse) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *bufferedResponse) Write(p []byte) (int, error) { return w.body.Write(p) }
