// Package placement sends orders to the engines until they serve the models that the bundle in force specifies. Each engine belongs to a
// shard, and only the owner of the shard sends orders to the engine. All owners compute the plan in the same way, see core/placement.
package placement

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	api "eelgrassproxy.example/api/engine"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/placement"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/control/shards"
	"eelgrassproxy.example/node/decisionlog"
)

const (
	// ReconcileInterval is the interval at which Controller.Reconcile is to be called.
	ReconcileInterval = 2 * time.Second
	// callTimeout is the timeout of one order or poll. It is below the margin by which an owner stops acting before its lease ends, so
	// that no order of a former owner is still in flight when the next owner acquires the shard.
	callTimeout = 2 * time.Second
	// takeoverWait is how long a new owner waits before its first order to an engine. It is as long as the lease of the former owner,
	// because some engines accept a late order with an old fencing number.
	takeoverWait = shards.LeaseTTL
	// maxObservationAge is the maximum age of the observation of an owned engine. With about 11 engines per instance and 500 bytes per poll
	// it results in 550 bytes of control traffic per second.
	maxObservationAge = 10 * time.Second
	// maxConcurrentCalls is the maximum number of concurrent calls to engines.
	maxConcurrentCalls = 8
)

// Owners returns the shards that this instance owns, and their epochs. shards.Keeper implements it.
type Owners interface {
	Owned() []shards.Ownership
	Epoch(batch.Shard) (uint64, bool)
}

// Client is the part of the engine client that the controller needs.
type Client interface {
	State(ctx context.Context, address string) (*api.EngineState, error)
	Order(ctx context.Context, address string, order api.Order) (*api.EngineState, error)
}

// Config holds the dependencies and settings of a Controller.
type Config struct {
	Board   *blackboard.Board
	Owners  Owners
	Client  Client
	Log     *decisionlog.Log
	Metrics tally.Scope
	Budget  placement.Budget // zero means placement.DefaultBudget
	Seed    uint64           // seed of the jitter
}

// Controller places models on the engines that this instance owns. It implements workers.Controller.
type Controller struct {
	config  Config
	scaler  *placement.Scaler
	assign  placement.Assigner
	pacer   *placement.Pacer
	engines map[fleet.TargetID]*ownedEngine
}

// ownedEngine is an engine in a shard of this instance.
type ownedEngine struct {
	target     *blackboard.TargetEntry
	shard      batch.Shard
	epoch      uint64
	observedAt time.Time           // of the last response to a poll; zero before the first and after a failed poll
	orderEnded time.Time           // when the call of the last order returned
	models     []fleet.LoadedModel // as observed; nil before the first response and after a failed poll
	role       string
}

// New returns a controller that owns no engines until the first call of Reconcile.
func New(config Config) *Controller {
	if config.Budget == (placement.Budget{}) {
		config.Budget = placement.DefaultBudget
	}
	config.Metrics = config.Metrics.SubScope("placement")
	return &Controller{
		config:  config,
		scaler:  placement.NewScaler(),
		pacer:   placement.NewPacer(config.Budget, rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String("placement")))),
		engines: make(map[fleet.TargetID]*ownedEngine),
	}
}

// Name implements workers.Controller.
func (*Controller) Name() string { return "placement" }

// ShardOf returns the shard whose owner places the target.
func ShardOf(id fleet.TargetID) batch.Shard {
	return batch.Shard(xxhash.Sum64String(string(id)) % batch.Shards)
}

// Reconcile implements workers.Controller. It observes the owned engines, computes the plan for the whole fleet and sends the orders that
// are due to owned engines. If this instance owns no shards, such as after a long outage of the store, it sends no orders, and the engines
// keep the models that they have.
func (c *Controller) Reconcile(ctx context.Context) error {
	active := c.config.Board.Bundle.Current()
	if active == nil {
		return nil
	}
	targets := c.engineTargets()
	c.updateOwned(time.Now(), targets)
	c.observe(ctx)
	now := time.Now()
	engines := c.planEngines(targets)
	c.reportStates(engines)
	specs := placement.ReplicaSpecs(active.Placement(), active.AllModels())
	wanted := c.scaler.Update(now, specs, c.demand(now, specs, engines))
	assignment := c.assign.Assign(specs, wanted, engines)
	plan := placement.Plan(placement.Input{Specs: specs, Engines: engines, Assignment: assignment})
	due := c.pacer.Due(now, plan, engines, c.mayOrder)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	for _, o := range due {
		c.pacer.RecordSent(now, o)
		group.Go(func() error {
			c.send(ctx, active.Generation(), o)
			return nil
		})
	}
	return group.Wait()
}

// engineTargets returns all engines of the fleet.
func (c *Controller) engineTargets() []*blackboard.TargetEntry {
	var engines []*blackboard.TargetEntry
	for _, t := range c.config.Board.Targets.All() {
		if t.Kind == fleet.KindEngine {
			engines = append(engines, t)
		}
	}
	return engines
}

// updateOwned updates the engines that this instance owns. An engine with a new epoch or address gets no order for takeoverWait and must be
// observed again.
func (c *Controller) updateOwned(now time.Time, targets []*blackboard.TargetEntry) {
	epochs := make(map[batch.Shard]uint64)
	for _, o := range c.config.Owners.Owned() {
		epochs[o.Shard] = o.Epoch
	}
	engines := make(map[fleet.TargetID]*ownedEngine)
	for _, t := range targets {
		shard := ShardOf(t.ID)
		epoch, owns := epochs[shard]
		if !owns {
			continue
		}
		e := c.engines[t.ID]
		if e == nil || e.epoch != epoch || e.target.Address != t.Address {
			e = &ownedEngine{shard: shard, epoch: epoch}
			c.pacer.DelayUntil(t.ID, now.Add(takeoverWait))
		}
		e.target = t
		engines[t.ID] = e
	}
	c.engines = engines
}

// mayOrder reports whether the engine is owned and was observed after the last order to it.
func (c *Controller) mayOrder(id fleet.TargetID) bool {
	e := c.engines[id]
	return e != nil && e.models != nil && e.observedAt.After(e.orderEnded)
}

// planEngines returns all engines as input of the plan: owned engines as observed, the others as recorded on the board.
func (c *Controller) planEngines(targets []*blackboard.TargetEntry) []placement.Engine {
	engines := make([]placement.Engine, len(targets))
	for i, t := range targets {
		engines[i] = placement.Engine{
			ID:            t.ID,
			FailureDomain: t.FailureDomain,
			Leaving:       t.State != fleet.TargetLive,
			Models:        t.Models,
			Role:          t.Role,
		}
		if e := c.engines[t.ID]; e != nil {
			engines[i].Models, engines[i].Role = e.models, e.role
		}
	}
	return engines
}
