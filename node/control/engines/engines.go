// Package engines keeps what the blackboard knows of model engines fresh: which models they hold, and their load when no answer has
// carried a report lately.
package engines

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	api "eelgrassproxy.example/api/engine"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
)

const (
	// callTimeout bounds one poll; engines answer in milliseconds.
	callTimeout = time.Second
	// concurrency bounds the polls at once.
	concurrency = 16
	// loadAge is the age at which the report of a used engine is polled for; answers carry fresher ones under traffic.
	loadAge = time.Second
	// batchLoadAge is that age while this instance has batch requests at the engine, which must give way soon after online demand rises.
	batchLoadAge = 200 * time.Millisecond
	// leastStateInterval is the shortest time between two polls of what an engine holds.
	leastStateInterval = 2 * time.Second
	// pollBytes is what one poll costs on the wire, both directions, headers included.
	pollBytes = 500
	// pollBytesPerSecond is this controller's part of the 3 KB/s that control may cost a node.
	pollBytesPerSecond = 1000
)

// Client is the part of the engine client that the controller needs.
type Client interface {
	State(ctx context.Context, address string) (*api.EngineState, error)
	Load(ctx context.Context, address string) (fleet.LoadReport, error)
}

// Poller is the controller. It implements workers.Controller.
type Poller struct {
	board  *blackboard.Board
	client Client
	used   func() []fleet.TargetID // targets that requests are sent to
	report func(fleet.TargetID, fleet.LoadReport)
	batch  func(fleet.TargetID) int // batch requests of this instance in flight there

	mu      sync.Mutex // guards stateAt; a leaf
	stateAt map[fleet.TargetID]time.Time
}

// New returns a poller of the board's engines. used returns the targets that requests are sent to, batch this instance's batch requests
// in flight at one; report takes the load reports.
func New(board *blackboard.Board, client Client, used func() []fleet.TargetID, batch func(fleet.TargetID) int, report func(fleet.TargetID, fleet.LoadReport)) *Poller {
	return &Poller{board: board, client: client, used: used, batch: batch, report: report, stateAt: make(map[fleet.TargetID]time.Time)}
}

// Name implements workers.Controller.
func (p *Poller) Name() string { return "engines" }

// Reconcile polls the engines whose state or load is too old.
func (p *Poller) Reconcile(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrency)
	for _, t := range p.dueForState(time.Now()) {
		group.Go(func() error {
			p.pollState(ctx, t)
			return nil
		})
	}
	for _, t := range p.dueForLoad(time.Now()) {
		group.Go(func() error {
			p.pollLoad(ctx, t)
			return nil
		})
	}
	return group.Wait()
}

// dueForState returns engines that were never polled, and the others at a rate that fits the byte budget.
func (p *Poller) dueForState(now time.Time) []*blackboard.TargetEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.board.Targets.All()
	interval := max(leastStateInterval, time.Duration(len(all)*pollBytes/pollBytesPerSecond)*time.Second)
	var due []*blackboard.TargetEntry
	known := make(map[fleet.TargetID]bool, len(all))
	for _, t := range all {
		known[t.ID] = true
		at, polled := p.stateAt[t.ID]
		if t.Kind == fleet.KindEngine && (!polled || now.Sub(at) >= interval) {
			due = append(due, t)
			p.stateAt[t.ID] = now
		}
	}
	for id := range p.stateAt {
		if !known[id] {
			delete(p.stateAt, id)
		}
	}
	p.board.Loads.Forget(func(id fleet.TargetID) bool { return known[id] })
	return due
}

func (p *Poller) dueForLoad(now time.Time) []*blackboard.TargetEntry {
	var due []*blackboard.TargetEntry
	for _, id := range p.used() {
		t, ok := p.board.Targets.Get(id)
		age := loadAge
		if p.batch(id) > 0 {
			age = batchLoadAge
		}
		if ok && t.Kind == fleet.KindEngine && now.Sub(p.board.Loads.View(id).Report.SampledAt) > age {
			due = append(due, t)
		}
	}
	return due
}

// pollState stores what an engine holds. An engine that does not answer keeps its last known state; requests to it decide its health.
func (p *Poller) pollState(ctx context.Context, t *blackboard.TargetEntry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := p.client.State(ctx, t.Address)
	if err != nil {
		return
	}
	Record(p.board, t.ID, state)
}

func (p *Poller) pollLoad(ctx context.Context, t *blackboard.TargetEntry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if report, err := p.client.Load(ctx, t.Address); err == nil {
		p.report(t.ID, report)
	}
}
