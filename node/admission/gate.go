// Package admission decides whether an online request is dispatched at once, waits in a fair queue, or is refused.
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
	// maxQueueLength is the maximum number of requests that wait for one pool at an instance.
	maxQueueLength = 1024
	// recheckInterval is the interval at which waiting requests check for capacity that requests of other instances have freed.
	recheckInterval = 10 * time.Millisecond
	// headroom is the factor by which the load may exceed the capacity. Engines then have a short queue of their own, so that a freed slot is not
	// idle until this instance learns of it.
	headroom = 1.1
)

// Pressure is this instance's estimate of the capacity and load of a pool.
type Pressure struct {
	Capacity float64 // sum of MaxRunning over usable targets
	Load     float64 // estimated requests running or waiting at them
	Sharers  int     // number of instances that send to the same targets
}

// inFlight returns the load, of which the part above the capacity with headroom is reduced to this instance's share, because the gate divides
// that part by a service rate that only counts this instance's completions.
func (p Pressure) inFlight() int {
	excess := p.Load - p.Capacity*headroom
	if excess <= 0 {
		return int(p.Load)
	}
	return int(p.Capacity*headroom + excess/float64(max(p.Sharers, 1)))
}

// PressureFunc returns the present pressure on the request's pool. It may be called with the gate's mutex held and must not call the gate.
type PressureFunc func() Pressure

// Gates holds one gate for each pool. It is safe for concurrent use.
type Gates struct {
	seed  uint64
	mu    sync.Mutex // guards gates; taken before a gate's own mutex
	gates map[request.PoolKey]*gate
}

// New returns gates without waiting requests. The seed is that of the random numbers that decide which instance uses the fractional part of
// the shared free capacity.
func New(seed uint64) *Gates {
	return &Gates{seed: seed, gates: make(map[request.PoolKey]*gate)}
}

// Ticket is the permission to dispatch one request. Its holder must call Done exactly once, when the request has ended.
type Ticket struct {
	gate    *gate
	started time.Time
	Waited  time.Duration // time from the arrival at the gate to the permission
}

// Enter waits until the request may be dispatched. If the request is refused, waits for too long or ctx ends, it returns a *problem.Error that
// says that the request was not run.
func (g *Gates) Enter(ctx context.Context, r *request.Request, pressure PressureFunc) (*Ticket, error) {
	return g.gate(r).enter(ctx, r, pressure)
}

// gate returns the gate of the request's pool.
func (g *Gates) gate(r *request.Request) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := r.Pool()
	found, ok := g.gates[key]
	if !ok {
		wait := queueTimeout(r)
		found = &gate{
			queue:   limits.NewFairQueue[chan bool](maxQueueLength, wait),
			maxWait: wait,
			random:  rand.New(rand.NewPCG(g.seed, uint64(len(g.gates)))),
		}
		g.gates[key] = found
	}
	return found
}

// queueTimeout returns the maximum wait in the queue by the request's bundle.
func queueTimeout(r *request.Request) time.Duration {
	return time.Duration(r.Bundle.Limits().QueueTimeoutMs) * time.Millisecond
}

// gate admits the requests of one pool.
type gate struct {
	mu          sync.Mutex // guards all fields below; may be held while pressure runs
	queue       *limits.FairQueue[chan bool]
	maxWait     time.Duration
	rate        limits.ServiceRate
	random      *rand.Rand
	lastRecheck time.Time
	pressure    PressureFunc // of the latest request; it holds for the whole pool
}

// enter implements Gates.Enter for the gate's pool.
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

// arrive admits, queues or refuses a new request. It returns the entry in the queue if the request has to wait, and neither an entry nor an
// error if it is admitted at once.
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
	decision := limits.Admit(limits.AdmissionLimits{MaxQueue: maxQueueLength, MaxWait: g.maxWait}, load, &g.rate, r.Deadline, now)
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
		return nil, problem.NotRun(problem.CodeOverloaded, "%v", err).WithRetryAfter(decision.PredictedWait)
	}
	if displaced != nil {
		displaced.Value <- false
	}
	return entry, nil
}

// refusal returns the error for a request that is refused on arrival.
func refusal(d limits.AdmissionDecision) error {
	code := problem.CodeOverloaded
	if d.Reason == limits.NoCapacity {
		code = problem.CodeNoTarget
	}
	return problem.NotRun(code, "request was refused before it was run: %s", d.Reason).WithRetryAfter(d.RetryAfter)
}

// wait blocks until the entry is admitted or refused, or until ctx ends.
func (g *gate) wait(ctx context.Context, entry *limits.Waiting[chan bool]) error {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case admitted := <-entry.Value:
			return admissionError(admitted)
		case <-ticker.C:
			g.admitShare(time.Now())
		case <-ctx.Done():
			return g.giveUp(ctx, entry)
		}
	}
}

// admissionError returns the error for an entry that was refused in the queue, or nil if it was admitted.
func admissionError(admitted bool) error {
	if admitted {
		return nil
	}
	return problem.NotRun(problem.CodeOverloaded, "request waited in the admission queue past its bound").WithRetryAfter(time.Second)
}

// giveUp removes an entry whose ctx has ended. It returns nil if the entry was admitted at the same moment.
func (g *gate) giveUp(ctx context.Context, entry *limits.Waiting[chan bool]) error {
	g.mu.Lock()
	waiting := g.queue.Cancel(entry)
	g.mu.Unlock()
	if !waiting && <-entry.Value {
		return nil // admitted at the same moment; dispatch then finds the cancelled context
	}
	return problem.NotRun(problem.CodeDeadline, "request was given up in the admission queue: %v", context.Cause(ctx))
}

// ObserveFirstToken records the time from dispatch to the first byte of the response.
func (t *Ticket) ObserveFirstToken(d time.Duration) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.rate.ObserveFirstToken(d)
}

// Done records that the request has ended, and admits the next waiting one if the pool has capacity.
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
		g.admitNext(1, now)
	}
}

// admitShare admits requests when requests of other instances have ended. As all instances see the same free capacity, each uses only its
// share, and rounds the fractional part of the share up or down at random.
func (g *gate) admitShare(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastRecheck) < recheckInterval {
		return
	}
	g.lastRecheck = now
	current := g.pressure()
	share := (current.Capacity*headroom - current.Load) / float64(max(current.Sharers, 1))
	count := int(share)
	if g.random.Float64() < share-float64(count) {
		count++
	}
	g.admitNext(count, now)
}

// admitNext refuses the expired entries and admits up to count others; g.mu is held.
func (g *gate) admitNext(count int, now time.Time) {
	refuseAll(g.queue.Expire(now))
	for range count {
		next, expired := g.queue.Pop(now)
		refuseAll(expired)
		if next == nil {
			return
		}
		next.Value <- true
	}
}

// refuseAll signals to the waiting requests that they are refused.
func refuseAll(expired []*limits.Waiting[chan bool]) {
	for _, e := range expired {
		e.Value <- false
	}
}

// FirstTokenBound returns a time to the first token that few responses of the pool exceed, or 0 before one was observed.
func (t *Ticket) FirstTokenBound() time.Duration {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.gate.rate.FirstToken()
}
