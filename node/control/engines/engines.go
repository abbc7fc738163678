// Package engines polls the model engines and updates the blackboard: which models they hold, and their load if no recent response carried
// a load report.
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
	// callTimeout is the timeout of one poll. Engines usually respond within milliseconds.
	callTimeout = time.Second
	// maxConcurrentPolls is the maximum number of concurrent polls.
	maxConcurrentPolls = 16
	// maxLoadAge is the age of the last load report at which a used engine is polled. Under traffic, responses carry more recent reports.
	maxLoadAge = time.Second
	// maxBatchLoadAge replaces maxLoadAge while this instance has batch requests in flight at the engine. Batch requests must give way soon
	// after online demand rises.
	maxBatchLoadAge = 200 * time.Millisecond
	// minStateInterval is the minimum interval between two polls of an engine's state.
	minStateInterval = 2 * time.Second
	// pollBytes is the network traffic of one poll in bytes: both directions, headers included.
	pollBytes = 500
	// pollBytesPerSecond is the part of a node's limit of 3 KB/s for control traffic that this controller may use.
	pollBytesPerSecond = 1000
)

// Client is the part of the engine client that the Poller uses.
type Client interface {
	State(ctx context.Context, address string) (*api.EngineState, error)
	Load(ctx context.Context, address string) (fleet.LoadReport, error)
}

// Poller polls the state and load of engines. It implements workers.Controller.
type Poller struct {
	board         *blackboard.Board
	client        Client
	usedTargets   func() []fleet.TargetID // targets that this instance sends requests to
	reportLoad    func(fleet.TargetID, fleet.LoadReport)
	batchInFlight func(fleet.TargetID) int // batch requests of this instance in flight at the target

	mu      sync.Mutex // guards stateAt; acquired before the mutex of board.Loads, and not held during calls to engines
	stateAt map[fleet.TargetID]time.Time
}

// New returns a Poller of the board's engines. used returns the targets that this instance sends requests to. batch returns the number of
// its batch requests in flight at a target. report is called with each polled load report, possibly concurrently.
func New(board *blackboard.Board, client Client, used func() []fleet.TargetID, batch func(fleet.TargetID) int, report func(fleet.TargetID, fleet.LoadReport)) *Poller {
	return &Poller{board: board, client: client, usedTargets: used, batchInFlight: batch, reportLoad: report, stateAt: make(map[fleet.TargetID]time.Time)}
}

// Name implements workers.Controller.
func (p *Poller) Name() string { return "engines" }

// Reconcile implements workers.Controller: it polls the engines whose state or load is due, and waits for the polls. Failed polls are
// ignored; the next pass that finds them due repeats them.
func (p *Poller) Reconcile(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentPolls)
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

// dueForState returns the engines whose state must be polled now: those that were never polled, and the others at an interval that keeps
// the traffic within pollBytesPerSecond. It also removes the poll times and loads of targets that are no longer on the board.
func (p *Poller) dueForState(now time.Time) []*blackboard.TargetEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.board.Targets.All()
	interval := max(minStateInterval, time.Duration(len(all)*pollBytes/pollBytesPerSecond)*time.Second)
	var due []*blackboard.TargetEntry
	onBoard := make(map[fleet.TargetID]bool, len(all))
	for _, t := range all {
		onBoard[t.ID] = true
		at, polled := p.stateAt[t.ID]
		if t.Kind == fleet.KindEngine && (!polled || now.Sub(at) >= interval) {
			due = append(due, t)
			p.stateAt[t.ID] = now
		}
	}
	for id := range p.stateAt {
		if !onBoard[id] {
			delete(p.stateAt, id)
		}
	}
	p.board.Loads.Prune(func(id fleet.TargetID) bool { return onBoard[id] })
	return due
}

// dueForLoad returns the used engines whose last load report is older than maxLoadAge, or maxBatchLoadAge if it has batch requests.
func (p *Poller) dueForLoad(now time.Time) []*blackboard.TargetEntry {
	var due []*blackboard.TargetEntry
	for _, id := range p.usedTargets() {
		t, ok := p.board.Targets.Get(id)
		age := maxLoadAge
		if p.batchInFlight(id) > 0 {
			age = maxBatchLoadAge
		}
		if ok && t.Kind == fleet.KindEngine && now.Sub(p.board.Loads.Get(id).Report.SampledAt) > age {
			due = append(due, t)
		}
	}
	return due
}

// pollState polls an engine's role and models and stores them on the board. If the poll fails, the last state stays: an engine's health is
// judged by the requests to it.
func (p *Poller) pollState(ctx context.Context, t *blackboard.TargetEntry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := p.client.State(ctx, t.Address)
	if err != nil {
		return
	}
	RecordState(p.board, t.ID, state)
}

func (p *Poller) pollLoad(ctx context.Context, t *blackboard.TargetEntry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if report, err := p.client.Load(ctx, t.Address); err == nil {
		p.reportLoad(t.ID, report)
	}
}
