// Package admission decides when an online request may be dispatched: at once, after a wait in a fair queue, or not at all.
package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/node/problem"
	"eelgrassproxy.example/node/request"
)

const (
	// queueLength bounds the requests that wait for one pool at one instance.
	queueLength = 1024
	// pumpInterval is how often waiting requests look for capacity that other instances' requests freed.
	pumpInterval = 10 * time.Millisecond
	// headroom lets engines hold a short queue of their own, so that a freed slot is not idle until this instance hears of it.
	headroom = 1.1
)

// Pressure is the state of a pool as this instance estimates it.
type Pressure struct {
	Capacity float64 // sum of MaxRunning over usable targets
	Load     float64 // estimated requests running or waiting at them
	Sharers  int     // instances that send to the pool
}

// inFlight returns the load with the excess over the capacity reduced to this instance's share, since the gate's service rate is that of
// this instance's own completions.
func (p Pressure) inFlight() int {
	excess := p.Load - p.Capacity*headroom
	if excess <= 0 {
		return int(p.Load)
	}
	return int(p.Capacity*headroom + excess/float64(max(p.Sharers, 1)))
}

// PressureFunc estimates the pressure on the request's pool now.
type PressureFunc func() Pressure

// Gates holds one gate for each pool. It is safe for concurrent use.
type Gates struct {
	seed  uint64
	mu    sync.Mutex // guards gates; taken before a gate's own mutex
	gates map[request.PoolKey]*gate
}

// New returns gates without waiting requests. The seed decides who takes the fraction of a free place.
func New(seed uint64) *Gates {
	return &Gates{seed: seed, gates: make(map[request.PoolKey]*gate)}
}

// Ticket is the right to dispatch one request. Done must be called once.
type Ticket struct {
	gate    *gate
	started time.Time
	Waited  time.Duration
}

// Enter waits until the request may be dispatched, or returns a *problem.Error that says that it was not run.
func (g *Gates) Enter(ctx context.Context, r *request.Request, pressure PressureFunc) (*Ticket, error) {
	return g.gate(r).enter(ctx, r, pressure)
}

func (g *Gates) gate(r *request.Request) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := r.Pool()
	found, ok := g.gates[key]
	if !ok {
		wait := queueTimeout(r)
		found = &gate{
			queue:   limits.NewFairQueue[chan bool](queueLength, wait),
			maxWait: wait,
			random:  rand.New(rand.NewPCG(g.seed, uint64(len(g.gates)))),
		}
		g.gates[key] = found
	}
	return found
}

// queueTimeout is the longest wait by the bundle that the request came under.
func queueTimeout(r *request.Request) time.Duration {
	return time.Duration(r.Bundle.Limits().QueueTimeoutMs) * time.Millisecond
}

// gate admits the requests of one pool.
type gate struct {
	mu       sync.Mutex // guards all fields below; a leaf
	queue    *limits.FairQueue[chan bool]
	maxWait  time.Duration
	rate     limits.ServiceRate
	random   *rand.Rand
	lastPump time.Time
	pressure PressureFunc // of the latest request; estimates are per pool
}

func (g *gate) enter(ctx context.Context, r *request.Request, pressure PressureFunc) (*Ticket, error) {
	arrived := time.Now()
	entry, err := g.arrive(r, pressure, arrived)
	if err != nil {
		return nil, err
	}
	if entry != nil {
		if err := g.wait(ctx, entry); err != nil {
			return nil, err
		}
	}
	now := time.Now()
	return &Ticket{gate: g, started: now, Waited: now.Sub(arrived)}, nil
}

// arrive decides on a new request. It returns the queue's entry if the request has to wait.
func (g *gate) arrive(r *request.Request, pressure PressureFunc, now time.Time) (*limits.Waiting[chan bool], error) {
	current := pressure()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pressure = pressure
	if wait := queueTimeout(r); wait != g.maxWait {
		g.maxWait = wait
		g.queue.SetMaxWait(wait)
	}
	load := limits.Load{
		Capacity: int(current.Capacity * headroom),
		InFlight: current.inFlight(),
		Queued:   g.queue.Len(),
		Ahead:    g.queue.Ahead(r.Caller.ID),
	}
	decision := limits.Admit(limits.AdmissionLimits{MaxQueue: queueLength, MaxWait: g.maxWait}, load, &g.rate, r.Deadline, now)
	switch decision.Verdict {
	case limits.AdmitNow:
		return nil, nil
	case limits.Refuse:
		return nil, refusal(decision)
	}
	entry := &limits.Waiting[chan bool]{
		Caller:   r.Caller.ID,
		Weight:   float64(r.Caller.Group.Weight),
		Deadline: r.Deadline,
		Value:    make(chan bool, 1),
	}
	displaced, err := g.queue.Push(entry, decision.PredictedWait, now)
	if err != nil {
		return nil, problem.NotRun(problem.CodeOverloaded, "%v", err).After(decision.PredictedWait)
	}
	if displaced != nil {
		displaced.Value <- false
	}
	return entry, nil
}

func refusal(d limits.AdmissionDecision) error {
	code := problem.CodeOverloaded
	if d.Reason == limits.NoCapacity {
		code = problem.CodeNoTarget
	}
	return problem.NotRun(code, "request was refused before it was run: %s", d.Reason).After(d.RetryAfter)
}

// wait blocks until the entry is let through, refused or given up.
func (g *gate) wait(ctx context.Context, entry *limits.Waiting[chan bool]) error {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for {
		select {
		case admitted := <-entry.Value:
			return verdict(admitted)
		case <-ticker.C:
			g.pumpForOthers(time.Now())
		case <-ctx.Done():
			return g.giveUp(ctx, entry)
		}
	}
}

func verdict(admitted bool) error {
	if admitted {
		return nil
	}
	return problem.NotRun(problem.CodeOverloaded, "request waited in the admission queue past its bound").After(time.Second)
}

func (g *gate) giveUp(ctx context.Context, entry *limits.Waiting[chan bool]) error {
	g.mu.Lock()
	waiting := g.queue.Cancel(entry)
	g.mu.Unlock()
	if !waiting && <-entry.Value {
		return nil // let through at the same moment; dispatch finds the cancelled context
	}
	return problem.NotRun(problem.CodeDeadline, "request was given up in the admission queue: %v", context.Cause(ctx))
}

// FirstToken records the time from dispatch to the first byte of the answer.
func (t *Ticket) FirstToken(d time.Duration) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.rate.ObserveFirstToken(d)
}

// Done gives the request's place to the next one that waits.
func (t *Ticket) Done() {
	now := time.Now()
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	saturated := g.queue.Len() > 0
	g.rate.ObserveCompletion(now.Sub(t.started), saturated, now)
	if !saturated {
		return
	}
	if current := g.pressure(); current.Load < current.Capacity*headroom {
		g.letThrough(1, now)
	}
}

// pumpForOthers lets requests through when other instances' requests have ended. All instances see the same free capacity, so that
// each takes its share of it, the fraction by chance.
func (g *gate) pumpForOthers(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastPump) < pumpInterval {
		return
	}
	g.lastPump = now
	current := g.pressure()
	share := (current.Capacity*headroom - current.Load) / float64(max(current.Sharers, 1))
	count := int(share)
	if g.random.Float64() < share-float64(count) {
		count++
	}
	g.letThrough(count, now)
}

// letThrough refuses expired entries and pops up to count others; g.mu is held.
func (g *gate) letThrough(count int, now time.Time) {
	refuse(g.queue.Expire(now))
	for range count {
		next, expired := g.queue.Pop(now)
		refuse(expired)
		if next == nil {
			return
		}
		next.Value <- true
	}
}

func refuse(expired []*limits.Waiting[chan bool]) {
	for _, e := range expired {
		e.Value <- false
	}
}

// UsualFirstToken returns the time to first token that few answers of the pool exceed; 0 while it is not known.
func (t *Ticket) UsualFirstToken() time.Duration {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.gate.rate.FirstToken()
}
