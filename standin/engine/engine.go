package engine

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	api "eelgrassproxy.example/api/engine"
)

// Engine is a stand-in for one model engine. All methods are safe for concurrent use.
type Engine struct {
	options Options
	server  http.Handler
	started time.Time
	random  *rand.Rand // used by the step loop only
	wake    chan struct{}
	closed  chan struct{}
	stopped chan struct{}
	once    sync.Once

	mu       sync.Mutex
	queue    []*run // accepted, in order of arrival
	running  []*run
	runs     map[string]*run // latest run of each request id
	ended    []*run          // in order of their end, for retention
	cache    *cache
	models   []*loaded
	fence    int64
	role     string
	leaving  bool
	sample   sample
	faults   faults
	counters counters
}

type counters struct {
	started   map[string]int
	cancelled int
	tokens    int
}

// New starts an engine. The caller closes it.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:  options,
		started:  time.Now(),
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		wake:     make(chan struct{}, 1),
		closed:   make(chan struct{}),
		stopped:  make(chan struct{}),
		runs:     map[string]*run{},
		cache:    newCache(options.KVBlocks, options.CacheEventGapEvery),
		role:     string(api.OrderRoleAny),
		faults:   newFaults(),
		counters: counters{started: map[string]int{}},
	}
	for _, m := range options.Models {
		e.models = append(e.models, &loaded{Model: m})
	}
	e.sample = e.present(e.started)
	server, err := api.NewServer(handler{e}, handler{e})
	if err != nil {
		panic(err) // the server is built without options that can fail
	}
	e.server = server
	go e.loop()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	w.Header().Set("X-Engine-Load", e.loadHeader(time.Now()))
	e.mu.Unlock()
	e.server.ServeHTTP(w, r)
}

// Close stops the engine like a crash: open streams break off.
func (e *Engine) Close() {
	e.once.Do(func() { close(e.closed) })
	<-e.stopped
}

// Leaving makes the engine reject new requests with 503, X-Not-Run and X-Leaving, while accepted ones go on.
func (e *Engine) Leaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Runs returns how often the request id was accepted for execution.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters.started[id]
}

// Cancelled returns the number of runs cancelled before their end.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters.cancelled
}

// Tokens returns the number of tokens generated.
func (e *Engine) Tokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters.tokens
}

// accept queues a run, or returns the known one if request ids are deduplicated.
func (e *Engine) accept(id string, chat bool, r request) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.takeSample(now)
	e.forgetEnded(now)
	if known := e.runs[id]; known != nil && e.options.DedupeRequestIDs {
		return known
	}
	accepted := newRun(id, chat, r, e.options, now)
	e.runs[id] = accepted
	e.queue = append(e.queue, accepted)
	e.counters.started[id]++
	e.nudge()
	return accepted
}

// cancel takes the run out of the queue or the batch. It does nothing for a run that is unknown or has ended.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id]
	if r == nil || r.ended {
		return
	}
	now := time.Now()
	e.takeSample(now)
	r.cancelled = true
	r.end(now)
	r.notify()
	e.counters.cancelled++
	delete(e.runs, id)
	same := func(other *run) bool { return other == r }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.running = slices.DeleteFunc(e.running, same)
}
