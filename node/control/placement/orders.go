package placement

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"eelgrassproxy.example/adapters/engine"
	api "eelgrassproxy.example/api/engine"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/placement"
	"eelgrassproxy.example/node/control/engines"
	"eelgrassproxy.example/node/decisionlog"
)

// Results of orders, as metrics and log lines name them.
const (
	resultAccepted   = "accepted"
	resultNotOwner   = "not_owner" // ownership ended before the order was sent
	resultStaleFence = "stale_fence"
	resultRejected   = "rejected"
	resultNotSent    = "not_sent"
	resultUnknown    = "outcome_unknown"
)

// observe polls the owned engines whose last observation is too old or was followed by an order.
func (c *Controller) observe(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrency)
	now := time.Now()
	for _, e := range c.engines {
		if e.observedAt.After(e.orderEnded) && now.Sub(e.observedAt) < c.maxAge(e) {
			continue
		}
		group.Go(func() error {
			c.observeOne(ctx, e)
			return nil
		})
	}
	_ = group.Wait()
}

// maxAge returns how old the observation may become: an engine that is loading is followed closely, since its progress makes room for
// others.
func (c *Controller) maxAge(e *owned) time.Duration {
	for _, m := range e.models {
		if m.Loading {
			return ReconcileEvery
		}
	}
	return observeEvery
}

// observeOne polls one engine. What an engine that does not answer holds is unknown: it gets no order and counts for no replica.
func (c *Controller) observeOne(ctx context.Context, e *owned) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := c.config.Client.State(ctx, e.target.Address)
	if err != nil {
		e.observedAt, e.models = time.Time{}, nil
		return
	}
	c.observed(e, state)
}

// observed takes an engine's answer and shares it with routing.
func (c *Controller) observed(e *owned, state *api.EngineState) {
	e.observedAt = time.Now()
	e.models, e.role = engines.ModelsOf(state), state.Role
	engines.Record(c.config.Board, e.target.ID, state)
}

// send sends one order, if this instance still owns the engine under the epoch of the plan, and logs it with its result. Whatever the
// result, the engine is observed again before its next order.
func (c *Controller) send(ctx context.Context, generation fleet.Generation, o placement.Order) {
	e := c.engines[o.Target]
	result := c.deliver(ctx, e, o)
	e.orderEnded = time.Now()
	c.config.Metrics.Tagged(map[string]string{"action": string(o.Action), "result": result}).Counter("orders").Inc(1)
	c.config.Log.Write(decisionlog.Entry{
		Request:    requestOf(o.Target),
		Kind:       decisionlog.KindPlacement,
		Generation: generation,
		Target:     o.Target,
		Reason:     fmt.Sprintf("%s, fence %d, %s: %s", describe(o), e.epoch, result, o.Reason),
	})
}

// requestOf returns the name under which explain finds the orders to an engine.
func requestOf(id fleet.TargetID) fleet.RequestID { return fleet.RequestID("placement-" + string(id)) }

func (c *Controller) deliver(ctx context.Context, e *owned, o placement.Order) string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, mayAct := c.config.Owners.Epoch(e.shard)
	if !mayAct || epoch != e.epoch {
		return resultNotOwner
	}
	state, err := c.config.Client.Order(ctx, e.target.Address, encode(o, epoch))
	if err == nil {
		engines.Record(c.config.Board, e.target.ID, state)
	}
	return resultOf(err)
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return resultAccepted
	case errors.Is(err, engine.ErrStaleFence):
		return resultStaleFence
	case errors.Is(err, engine.ErrRejected):
		return resultRejected
	case errors.Is(err, engine.ErrNotSent):
		return resultNotSent
	}
	return resultUnknown
}

// encode returns the order as the engines' protocol has it.
func encode(o placement.Order, fence uint64) api.Order {
	out := api.Order{Fence: int64(fence), Action: api.OrderAction(o.Action)}
	if o.Action == placement.SetRole {
		out.Role = api.NewOptOrderRole(api.OrderRole(o.Role))
		return out
	}
	out.Model, out.Version = api.NewOptString(o.Model.Base), api.NewOptString(o.Model.Version)
	if o.Adapter != "" {
		out.Adapter = api.NewOptString(o.Adapter)
	}
	return out
}

// describe names the order in log lines.
func describe(o placement.Order) string {
	switch {
	case o.Action == placement.SetRole:
		return string(o.Action) + " " + o.Role
	case o.Adapter != "":
		return string(o.Action) + " " + o.Adapter + " of " + o.Model.String()
	}
	return string(o.Action) + " " + o.Model.String()
}
