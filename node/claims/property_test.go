package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"eelgrassproxy.example/core/claims"
	"eelgrassproxy.example/core/fleet"
)

// detectionTime is the time after which a process that is lost or paused is considered dead; after half of it, its
// liveness is uncertain.
const detectionTime = 2 * time.Second

// process is one incarnation of an instance.
type process struct {
	simulation *simulation
	self       claims.Owner
	claimer    *Claimer
	ctx        context.Context
	kill       context.CancelFunc
	stoppedAt  time.Time     // when the process was lost or paused; zero while it runs
	resumed    chan struct{} // closed unless the process is paused
}

// simulation runs a schedule in virtual time and collects violations.
type simulation struct {
	schedule        schedule
	withoutClaims   bool // run requests without claims, to show that the checks detect violations
	store           *memStore
	mu              sync.Mutex // guards the fields below
	processes       []*process
	incarnation     uint64
	executions      map[int]int    // by key
	responses       map[int]string // first response sent to a caller, by key
	reportedUnknown map[int]bool   // whether a caller was told that the outcome is unknown, by key
	violations      []string
}

// gate blocks while the process is paused, and returns an error if it is lost. Store and target calls pass through it
// before and after the call.
func (p *process) gate() error {
	p.simulation.mu.Lock()
	resumed := p.resumed
	p.simulation.mu.Unlock()
	select {
	case <-resumed:
	case <-p.ctx.Done():
	}
	return p.ctx.Err()
}

// gatedStore is the store as used by one process: its calls block or fail while the process is paused or lost.
type gatedStore struct {
	*memStore
	process *process
}

func (w *simulation) start(instance int) {
	w.incarnation++
	p := &process{simulation: w, resumed: make(chan struct{})}
	close(p.resumed)
	p.self = claims.Owner{Instance: fleet.InstanceID(fmt.Sprint("i", instance)), Incarnation: w.incarnation}
	p.ctx, p.kill = context.WithCancel(context.Background())
	p.claimer = New(&gatedStore{memStore: w.store, process: p}, Config{Self: p.self, Liveness: w.liveness})
	w.processes[instance] = p
	go func() {
		for p.ctx.Err() == nil {
			_ = p.claimer.Controller().Reconcile(p.ctx)
			sleep(p.ctx, ReconcileEvery)
		}
	}()
}

func (w *simulation) liveness(instance fleet.InstanceID, incarnation uint64) claims.Liveness {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if p.self != (claims.Owner{Instance: instance, Incarnation: incarnation}) {
			continue
		}
		switch {
		case p.stoppedAt.IsZero():
			return claims.Alive
		case time.Since(p.stoppedAt) < detectionTime/2:
			return claims.Alive
		case time.Since(p.stoppedAt) < detectionTime:
			return claims.Uncertain
		}
	}
	return claims.Dead
}

func (w *simulation) inject(e event) {
	time.Sleep(e.At)
	w.mu.Lock()
	p := w.processes[e.Instance]
	if !p.stoppedAt.IsZero() {
		w.mu.Unlock()
		return
	}
	p.stoppedAt = time.Now()
	if e.Kind == 1 {
		resumed := make(chan struct{})
		p.resumed = resumed
		w.mu.Unlock()
		time.Sleep(e.For)
		w.mu.Lock()
		p.stoppedAt = time.Time{}
		close(resumed)
		w.mu.Unlock()
		return
	}
	p.kill()
	if e.Kind == 2 {
		w.start(e.Instance)
	}
	w.mu.Unlock()
}

// serve runs one request from its arrival to its response, as node/dispatch does.
func (w *simulation) serve(s send) {
	time.Sleep(s.At)
	w.mu.Lock()
	p := w.processes[s.Instance]
	w.mu.Unlock()
	if p.gate() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, s.Timeout)
	defer cancel()
	request := Request{Caller: "caller", IdempotencyKey: fmt.Sprint(s.Key), Digest: fmt.Sprint("body", s.Body)}
	w.mu.Lock()
	reportedUnknown := w.reportedUnknown[s.Key]
	w.mu.Unlock()
	result, err := Result{Kind: Run}, error(nil)
	if !w.withoutClaims {
		result, err = p.claimer.Acquire(ctx, request)
	}
	if p.gate() != nil {
		return
	}
	if err != nil {
		w.mu.Lock()
		w.check(errors.Is(err, ErrNotRun), "request was refused with an error other than ErrNotRun: %v", err)
		w.mu.Unlock()
		return
	}
	switch result.Kind {
	case Replay:
		w.checkResponse(s.Key, string(result.Answer.Body))
	case Unknown:
		w.mu.Lock()
		w.reportedUnknown[s.Key] = true
		w.mu.Unlock()
	case Run:
		w.mu.Lock()
		w.check(!reportedUnknown, "key %d was run after its outcome had been reported as unknown", s.Key)
		w.mu.Unlock()
		w.run(p, s, result.Claim)
	}
}

func (w *simulation) run(p *process, s send, claim *Claim) {
	if s.End == 1 {
		if !w.withoutClaims {
			_ = p.claimer.Release(p.ctx, claim)
		}
		return
	}
	w.mu.Lock()
	w.executions[s.Key]++
	answer := fmt.Sprintf("answer %d of key %d, body %d", w.executions[s.Key], s.Key, s.Body)
	w.check(w.executions[s.Key] == 1, "key %d ran %d times", s.Key, w.executions[s.Key])
	w.mu.Unlock()
	time.Sleep(s.Run)
	if p.gate() != nil || w.withoutClaims {
		return
	}
	if s.End == 2 {
		_ = p.claimer.Abandon(p.ctx, claim)
		return
	}
	err := p.claimer.Complete(p.ctx, claim, claims.Response{Status: 200, Body: []byte(answer)})
	if p.gate() == nil && err == nil {
		w.checkResponse(s.Key, answer)
	}
}

func (w *simulation) checkResponse(key int, answer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.responses[key] == "" {
		w.responses[key] = answer
	}
	w.check(w.responses[key] == answer, "key %d got %q after %q", key, answer, w.responses[key])
}

// check records a violation unless ok. The caller must hold w.mu.
func (w *simulation) check(ok bool, format string, args ...any) {
	if !ok {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}
