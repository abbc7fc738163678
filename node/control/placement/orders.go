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

// Results of orders in metrics and in the decision log.
const (
	resultAccepted   = "accepted"
	resultNotOwner   = "not_owner" // ownership ended before the order was sent
	resultStaleFence = "stale_fence"
	resultRejected   = "rejected"
	resultNotSent    = "not_sent"
	resultUnknown    = "outcome_unknown"
)

// observe polls the owned engines whose last observation is too old or is from before the last order.
func (c *Controller) observe(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
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

// maxAge returns the maximum age of an observation of the engine. Engines that are loading are observed more often, since further loads can
// start once they are done.
func (c *Controller) maxAge(e *ownedEngine) time.Duration {
	for _, m := range e.models {
		if m.Loading {
			return ReconcileInterval
		}
	}
	return maxObservationAge
}

// observeOne polls an engine. If the poll fails, the models of the engine are unknown; until the next successful poll it gets no orders and
// does not count as a replica.
func (c *Controller) observeOne(ctx context.Context, e *ownedEngine) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := c.config.Client.State(ctx, e.target.Address)
	if err != nil {
		e.observedAt, e.models = time.Time{}, nil
		return
	}
	c.recordState(e, state)
}

// recordState stores the state that an engine returned and records it on the board, where routing reads it.
func (c *Controller) recordState(e *ownedEngine, state *api.EngineState) {
	e.observedAt = time.Now()
	e.models, e.role = engines.ModelsOf(state), state.Role
	engines.RecordState(c.config.Board, e.target.ID, state)
}

// send sends an order if this instance still owns the engine with the epoch of the plan, and writes the order and its result to the decision
// log. The engine is observed again before its next order, whatever the result.
func (c *Controller) send(ctx context.Context, generation fleet.Generation, o placement.Order) {
	e := c.engines[o.Target]
	result := c.sendOwned(ctx, e, o)
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

// requestOf returns the request ID under which the decision log lists the orders to an engine; the explain command looks it up.
func requestOf(id fleet.TargetID) fleet.RequestID { return fleet.RequestID("placement-" + string(id)) }

// sendOwned sends the order, with the epoch as fencing number, and returns its result.
func (c *Controller) sendOwned(ctx context.Context, e *ownedEngine, o placement.Order) string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, mayAct := c.config.Owners.Epoch(e.shard)
	if !mayAct || epoch != e.epoch {
		return resultNotOwner
	}
	state, err := c.config.Client.Order(ctx, e.target.Address, encode(o, epoch))
	if err == nil {
		engines.RecordState(c.config.Board, e.target.ID, state)
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

// encode converts the order to the type of the engine API.
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

// describe returns the text of the order in the decision log.
func describe(o placement.Order) string {
	switch {
	case o.Action == placement.SetRole:
		return string(o.Action) + " " + o.Role
	case o.Adapter != "":
		return string(o.Action) + " " + o.Adapter + " of " + o.Model.String()
	}
	return string(o.Action) + " " + o.Model.String()
}
