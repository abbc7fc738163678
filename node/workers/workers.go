// Package workers runs the controllers of an instance on a bounded pool. Each controller reconciles periodically and after changes
// to the tables it depends on; passes of the same controller never overlap.
package workers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/node/blackboard"
)

// Controller compares the desired state with the observed state and acts on the difference.
type Controller interface {
	// Name identifies the controller in logs and metrics.
	Name() string
	// Reconcile does one pass. The pool logs an error; the next pass comes with the next trigger or period, not earlier.
	Reconcile(ctx context.Context) error
}

// Schedule defines when a controller runs.
type Schedule struct {
	Every time.Duration      // period between passes, jittered so that instances do not act in step; 0 means no period
	On    []blackboard.Topic // tables whose changes trigger a pass
}

// Pool runs the registered controllers.
type Pool struct {
	size  int
	seed  uint64
	board *blackboard.Board
	tasks []*task
	ready chan *task
}

// task is one controller with its trigger state.
type task struct {
	controller Controller
	schedule   Schedule
	mu         sync.Mutex // guards the fields below
	queued     bool       // waiting in Pool.ready
	running    bool
	again      bool // triggered while running; runs again after the current pass
}

// NewPool returns a pool of size workers whose controllers are triggered by the tables of the board. The seed determines the jitter
// of the periods.
func NewPool(board *blackboard.Board, size int, seed uint64) *Pool {
	return &Pool{size: size, seed: seed, board: board}
}

// Register adds a controller. It must not be called after Run.
func (p *Pool) Register(c Controller, s Schedule) {
	p.tasks = append(p.tasks, &task{controller: c, schedule: s})
}

// Run starts the workers and blocks until ctx has ended and all running passes have returned.
func (p *Pool) Run(ctx context.Context) {
	p.ready = make(chan *task, len(p.tasks))
	var group sync.WaitGroup
	for _, t := range p.tasks {
		for _, topic := range t.schedule.On {
			p.board.Subscribe(topic, func() { p.trigger(t) })
		}
		group.Go(func() { p.tick(ctx, t) })
	}
	for range p.size {
		group.Go(func() { p.work(ctx) })
	}
	group.Wait()
}

// tick triggers the task at once and then after each jittered period until ctx ends.
func (p *Pool) tick(ctx context.Context, t *task) {
	p.trigger(t)
	if t.schedule.Every <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(p.seed, xxhash.Sum64String(t.controller.Name())))
	for {
		timer := time.NewTimer(jitter(t.schedule.Every, random))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			p.trigger(t)
		}
	}
}

// jitter returns d changed at random by up to a twentieth either way.
func jitter(d time.Duration, random *rand.Rand) time.Duration {
	spread := int64(d) / 10
	if spread == 0 {
		return d
	}
	return d - time.Duration(spread/2) + time.Duration(random.Int64N(spread))
}

// trigger queues the task unless it is already queued; a running task is queued when its pass returns. The channel has a slot for every
// task, so the send never blocks.
func (p *Pool) trigger(t *task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running {
		t.again = true
		return
	}
	if t.queued {
		return
	}
	t.queued = true
	p.ready <- t
}

// work runs queued tasks until ctx ends.
func (p *Pool) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-p.ready:
			p.runOnce(ctx, t)
		}
	}
}

// runOnce does one pass of the task and queues the task again if it was triggered meanwhile.
func (p *Pool) runOnce(ctx context.Context, t *task) {
	t.mu.Lock()
	t.queued, t.running = false, true
	t.mu.Unlock()
	if err := t.controller.Reconcile(ctx); err != nil && ctx.Err() == nil {
		klog.ErrorS(err, "Controller pass failed", "controller", t.controller.Name())
	}
	t.mu.Lock()
	t.running = false
	again := t.again
	t.again = false
	t.mu.Unlock()
	if again {
		p.trigger(t)
	}
}
