// Package placement makes the engines hold what the bundle in force asks for. Each engine belongs to a shard, and the owner of the shard
// is the only instance that sends it orders; the plan is computed alike by all owners, see core/placement.
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
	// ReconcileEvery is the period for registering the Controller.
	ReconcileEvery = 2 * time.Second
	// callTimeout bounds one order or poll. It is below the margin by which an owner stops before its lease ends, so that no order of
	// a former owner is still on its way when the next one acquires.
	callTimeout = 2 * time.Second
	// takeoverWait is how long a new owner waits before its first order to an engine. It is the lease of the former owner, for engines
	// that accept a late order with an old fencing number.
	takeoverWait = shards.LeaseTTL
	// observeEvery is how old the observation of an owned engine may become. About 11 engines for each instance at 500 bytes a poll
	// are 550 bytes a second of the control traffic.
	observeEvery = 10 * time.Second
	// concurrency bounds the calls at once.
	concurrency = 8
)

// Owners tells which shards this instance owns. shards.Keeper implements it.
type Owners interface {
	Owned() []shards.Ownership
	Epoch(batch.Shard) (uint64, bool)
}

// Client is the part of the engine client that the controller needs.
type Client interface {
	State(ctx context.Context, address string) (*api.EngineState, error)
	Order(ctx context.Context, address string, order api.Order) (*api.EngineState, error)
}

// Config holds the parts of a Controller.
type Config struct {
	Board   *blackboard.Board
	Owners  Owners
	Client  Client
	Log     *decisionlog.Log
	Metrics tally.Scope
	Budget  placement.Budget // zero means placement.DefaultBudget
	Seed    uint64           // seed of the jitter
}

// Controller implements workers.Controller. It has no exported state.
type Controller struct {
	config  Config
	scaler  *placement.Scaler
	assign  placement.Assigner
	pacer   *placement.Pacer
	engines map[fleet.TargetID]*owned
}

// owned is an engine in a shard of this instance.
type owned struct {
	target     *blackboard.TargetEntry
	shard      batch.Shard
	epoch      uint64
	observedAt time.Time // of the last answer; zero if an order went out since
	orderEnded time.Time
	models     []fleet.LoadedModel // as observed; nil before the first answer
	role       string
}

// New returns a controller that knows nothing yet.
func New(config Config) *Controller {
	if config.Budget == (placement.Budget{}) {
		config.Budget = placement.DefaultBudget
	}
	config.Metrics = config.Metrics.SubScope("placement")
	return &Controller{
		config:  config,
		scaler:  placement.NewScaler(),
		pacer:   placement.NewPacer(config.Budget, rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String("placement")))),
		engines: make(map[fleet.TargetID]*owned),
	}
}

// Name implements workers.Controller.
func (*Controller) Name() string { return "placement" }

// ShardOf returns the shard whose owner places the target.
func ShardOf(id fleet.TargetID) batch.Shard {
	return batch.Shard(xxhash.Sum64String(string(id)) % batch.Shards)
}

// Reconcile implements workers.Controller: it observes the owned engines, plans for the whole fleet and sends the orders that are due to
// owned engines. Without ownership, such as after a long outage of the store, it sends nothing and the engines go on with what they hold.
func (c *Controller) Reconcile(ctx context.Context) error {
	active := c.config.Board.Bundle.Current()
	if active == nil {
		return nil
	}
	targets := c.targets()
	c.updateOwned(time.Now(), targets)
	c.observe(ctx)
	now := time.Now()
	engines := c.view(targets)
	c.report(engines)
	wishes := placement.Wishes(active.Placement(), active.AllModels())
	wanted := c.scaler.Update(now, wishes, c.demand(now, wishes, engines))
	assignment := c.assign.Assign(wishes, wanted, engines)
	plan := placement.Plan(placement.Input{Wishes: wishes, Engines: engines, Assignment: assignment})
	due := c.pacer.Due(now, plan, engines, c.mayOrder)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrency)
	for _, o := range due {
		c.pacer.Sent(now, o)
		group.Go(func() error {
			c.send(ctx, active.Generation(), o)
			return nil
		})
	}
	return group.Wait()
}

// targets returns all engines of the fleet.
func (c *Controller) targets() []*blackboard.TargetEntry {
	var engines []*blackboard.TargetEntry
	for _, t := range c.config.Board.Targets.All() {
		if t.Kind == fleet.KindEngine {
			engines = append(engines, t)
		}
	}
	return engines
}

// updateOwned follows which engines this instance owns. An engine under a new epoch is held and must be observed again.
func (c *Controller) updateOwned(now time.Time, targets []*blackboard.TargetEntry) {
	epochs := make(map[batch.Shard]uint64)
	for _, o := range c.config.Owners.Owned() {
		epochs[o.Shard] = o.Epoch
	}
	engines := make(map[fleet.TargetID]*owned)
	for _, t := range targets {
		shard := ShardOf(t.ID)
		epoch, owns := epochs[shard]
		if !owns {
			continue
		}
		e := c.engines[t.ID]
		if e == nil || e.epoch != epoch || e.target.Address != t.Address {
			e = &owned{shard: shard, epoch: epoch}
			c.pacer.Hold(t.ID, now.Add(takeoverWait))
		}
		e.target = t
		engines[t.ID] = e
	}
	c.engines = engines
}

// mayOrder tells whether the engine is owned and was observed after the last order to it.
func (c *Controller) mayOrder(id fleet.TargetID) bool {
	e := c.engines[id]
	return e != nil && e.models != nil && e.observedAt.After(e.orderEnded)
}

// view returns all engines as the plan needs them: owned ones as observed, the others as the board shows them.
func (c *Controller) view(targets []*blackboard.TargetEntry) []placement.Engine {
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
