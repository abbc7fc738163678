// Package items converts batch items to requests and runs them through the dispatcher, within the batch limit of the targets.
package items

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routing"
	nodebatch "eelgrassproxy.example/node/batch"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/dispatch"
	"eelgrassproxy.example/node/problem"
	"eelgrassproxy.example/node/request"
)

// attemptTimeout bounds one attempt of an item from its dispatch to the end of its response.
const attemptTimeout = 10 * time.Minute

// Dispatcher runs a batch request and returns its whole response.
type Dispatcher interface {
	Batch(ctx context.Context, r *request.Request) (dispatch.BatchResponse, error)
}

// Executor implements Executor of package node/batch. It is safe for concurrent use.
type Executor struct {
	board      *blackboard.Board
	dispatcher Dispatcher

	mu      sync.Mutex // guards the fields below; no other mutex is locked while it is held
	bundle  *bundle.Active
	callers map[fleet.CallerID]*bundle.ResolvedCaller // resolved in bundle; nil for callers that it does not have
}

var _ nodebatch.Executor = (*Executor)(nil)

// New returns an executor that uses the bundle on the board.
func New(board *blackboard.Board, dispatcher Dispatcher) *Executor {
	return &Executor{board: board, dispatcher: dispatcher}
}

// line is one line of an uploaded file.
type line struct {
	URL  string          `json:"url"`
	Body json.RawMessage `json:"body"`
}

// RequestID returns the request id of all attempts of an item.
func RequestID(job batch.JobID, index int) fleet.RequestID {
	return fleet.RequestID(fmt.Sprintf("%s.%d", job, index))
}

// Execute makes one attempt at an item, under the bundle in force and within the item's deadline. It implements Executor of package
// node/batch.
func (e *Executor) Execute(ctx context.Context, item nodebatch.Item) nodebatch.ItemOutcome {
	active := e.board.Bundle.Current()
	if active == nil {
		return notRun("no bundle is in force yet")
	}
	r, err := e.request(active, item)
	if err != nil {
		return nodebatch.ItemOutcome{Kind: batch.AttemptInvalid, Reason: err.Error()}
	}
	ctx, cancel := context.WithDeadline(ctx, item.Deadline)
	defer cancel()
	response, err := e.dispatcher.Batch(ctx, r)
	return outcome(response, err)
}

func notRun(reason string) nodebatch.ItemOutcome {
	return nodebatch.ItemOutcome{Kind: batch.AttemptNotRun, Reason: reason}
}

// outcome converts the result of a dispatch. An error that does not say what happened counts as an unknown outcome.
func outcome(response dispatch.BatchResponse, err error) nodebatch.ItemOutcome {
	if err == nil {
		return nodebatch.ItemOutcome{Kind: batch.AttemptCompleted, HTTP: response.Status, Body: response.Body}
	}
	out := nodebatch.ItemOutcome{Kind: batch.AttemptUnknown, Reason: err.Error()}
	var p *problem.Error
	if !errors.As(err, &p) {
		return out
	}
	out.HTTP = p.Status()
	switch {
	case p.Code == problem.CodeInvalidRequest, p.Code == problem.CodeTargetRejected:
		out.Kind = batch.AttemptInvalid
	case p.NotRun:
		out.Kind = batch.AttemptNotRun
	}
	return out
}

// request returns the request for an item. Its errors mean that the item is invalid under the bundle.
func (e *Executor) request(active *bundle.Active, item nodebatch.Item) (*request.Request, error) {
	var l line
	if err := json.Unmarshal(item.Line, &l); err != nil {
		return nil, fmt.Errorf("line is not a batch item: %w", err)
	}
	caller := e.caller(active, item.Caller)
	if caller == nil {
		return nil, fmt.Errorf("caller %q is not in the bundle in force", item.Caller)
	}
	r := &request.Request{
		ID:             RequestID(item.Job, item.Index),
		Caller:         caller,
		Bundle:         active,
		Batch:          true,
		AtRisk:         item.AtRisk,
		Attempt:        item.Try,
		AttemptTimeout: attemptTimeout,
		MayRun:         item.MayRun,
		Body:           l.Body,
	}
	if service, ok := strings.CutPrefix(l.URL, "/v1/services/"); ok {
		return r, resolveService(r, service, item)
	}
	return r, resolveModel(r, strings.TrimPrefix(l.URL, "/v1/"))
}

// resolveService sets the fields of a request to a service. The idempotency key consists of the job's id and the item's index, so that
// it is the same for all attempts.
func resolveService(r *request.Request, path string, item nodebatch.Item) error {
	name, operation, _ := strings.Cut(path, "/")
	var err error
	r.Kind = fleet.KindService
	r.Service, r.Operation, err = r.Bundle.Service(r.Caller, name, operation)
	if err != nil {
		return err
	}
	r.Path = r.Operation.Name
	r.IdempotencyKey = fmt.Sprintf("%s/%d", item.Job, item.Index)
	return nil
}

// resolveModel sets the fields of a request to a model. In the body, it replaces the name of the model with the engine's and removes
// stream.
func resolveModel(r *request.Request, path string) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return fmt.Errorf("body is not a JSON object: %w", err)
	}
	var name string
	if err := json.Unmarshal(fields["model"], &name); err != nil {
		return fmt.Errorf("body names no model: %w", err)
	}
	model, err := r.Bundle.Model(r.Caller, name)
	if err != nil {
		return err
	}
	r.Kind, r.Model, r.Path = fleet.KindEngine, model, path
	r.Prefix = routing.PrefixOf(model.Base+"@"+model.Version, append(fields["messages"], fields["prompt"]...))
	fields["model"], err = json.Marshal(request.EngineModel(model))
	if err != nil {
		return err
	}
	delete(fields, "stream")
	r.Body, err = json.Marshal(fields)
	return err
}

// caller returns the caller as the bundle has it, or nil. It caches the callers of one bundle.
func (e *Executor) caller(active *bundle.Active, id fleet.CallerID) *bundle.ResolvedCaller {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bundle != active {
		e.bundle, e.callers = active, make(map[fleet.CallerID]*bundle.ResolvedCaller)
	}
	found, ok := e.callers[id]
	if !ok {
		found, _ = active.Caller(id)
		e.callers[id] = found
	}
	return found
}
