package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/poison"
	"eelgrassproxy.example/node/internal/wait"
	"eelgrassproxy.example/node/logging"
)

// errPartBlocked means that a part of the request's prompt crashes targets, so that the request is sent to none.
var errPartBlocked = eris.New("a part of the prompt crashes targets")

// PartGuard keeps requests from targets that have a part which crashes them, and exchanges what it learns of such parts with the peers. core/poison
// decides which parts these are. All methods are safe for concurrent use; check, blockedChanged and tryEnded also on nil, which blocks nothing.
type PartGuard struct {
	peers        *Peers
	board        *Board
	store        kv.Store
	storeLost    func() bool
	dial         httpcall.DialFunc
	ctx          context.Context // of the probes
	cancel       context.CancelFunc
	probes       sync.WaitGroup
	changed      chan struct{} // wakes the exchange
	storeChanged chan struct{} // wakes the writer of the store
	blocked      atomic.Int64  // number of blocked parts

	mu      sync.Mutex // guards the fields below; no other lock is taken while it is held
	tracker *poison.Tracker
	states  map[poison.Part]loggedState // of the parts under suspicion, as of the last change
	raised  chan struct{}               // closed and replaced when another part is blocked
	broken  map[fleet.TargetID]*brokenTarget
	ends    []unframedEnd
	probing int // probes that run
	exchange
	saved

	stateLog, suspectLog, refusedLog     *logging.Limited
	suspectedParts, blockedParts         tally.Gauge
	refused, crashes, unconfirmed        tally.Counter
	sent, received, malformed, unhandled tally.Counter
}

// loggedState is what was last logged of a part.
type loggedState struct {
	state poison.State
	epoch uint32
}

// NewPartGuard returns a guard without knowledge. storeLost reports whether the store is unreachable, dial opens the connections by which crashes are
// confirmed. It must be called before peers.Run.
func NewPartGuard(peers *Peers, board *Board, store kv.Store, storeLost func() bool, dial httpcall.DialFunc, metrics tally.Scope) *PartGuard {
	scope := metrics.SubScope("parts")
	ctx, cancel := context.WithCancel(context.Background())
	g := &PartGuard{
		peers: peers, board: board, store: store, storeLost: storeLost, dial: dial, ctx: ctx, cancel: cancel,
		changed:      make(chan struct{}, 1),
		storeChanged: make(chan struct{}, 1),
		tracker:      poison.New(poison.DefaultPolicy()),
		states:       make(map[poison.Part]loggedState),
		raised:       make(chan struct{}),
		broken:       make(map[fleet.TargetID]*brokenTarget),
		exchange:     exchange{news: make(map[poison.Part]poison.Record), again: make(map[poison.Part]poison.Record), asked: make(map[fleet.InstanceID]*askedPeer)},
		saved:        saved{keys: make(map[poison.Part]*savedPart)},
		stateLog:     logging.NewLimited(), suspectLog: logging.NewLimited(), refusedLog: logging.NewLimited(),
		suspectedParts: scope.Gauge("suspected"), blockedParts: scope.Gauge("blocked"),
		refused: scope.Counter("requests_refused"), crashes: scope.Counter("crashes_confirmed"), unconfirmed: scope.Counter("resets_unconfirmed"),
		sent: scope.Counter("records_sent"), received: scope.Counter("records_received"), malformed: scope.Counter("datagrams_malformed"),
		unhandled: scope.Counter("broken_tries_unhandled"),
	}
	peers.handleDatagrams(g.receive)
	return g
}

// Run exchanges records with the peers and the store until ctx ends.
func (g *PartGuard) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { g.runExchange(ctx) })
	group.Go(func() { g.runStore(ctx) })
	group.Wait()
	g.mu.Lock() // startProbe starts none after it
	g.cancel()
	g.mu.Unlock()
	g.probes.Wait()
}

// check returns an error that wraps errPartBlocked if a part of the request is blocked.
func (g *PartGuard) check(r *Request) error {
	if !g.BlocksAny() || len(r.Parts) == 0 {
		return nil
	}
	g.mu.Lock()
	part, blocked := g.tracker.Blocked(r.Parts)
	g.mu.Unlock()
	if !blocked {
		return nil
	}
	g.refused.Inc(1)
	g.refusedLog.Info("Request is not sent because of a part that crashes targets", "request", r.ID, "job", r.Job, "part", part, "caller", callerOf(r), "route", r.Route.Name)
	return fmt.Errorf("%w: %q", errPartBlocked, part)
}

// BlocksAny reports whether any part is blocked. It is false for nil.
func (g *PartGuard) BlocksAny() bool { return g != nil && g.blocked.Load() > 0 }

// Blocks reports whether one of the parts is blocked, without counting a refused request.
func (g *PartGuard) Blocks(parts []poison.Part) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(parts, func(p poison.Part) bool { return g.states[p].state == poison.Blocked })
}

// blockedChanged returns a channel that is closed when another part is blocked. Callers get the channel before they call check.
func (g *PartGuard) blockedChanged() <-chan struct{} {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.raised
}

// callerOf names the caller of a request to operators: its account, or none.
func callerOf(r *Request) string {
	if r.Account == nil {
		return ""
	}
	return r.Account.Name
}

// Entries returns the parts that are under suspicion or blocked, blocked ones first.
func (g *PartGuard) Entries() []poison.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Entries(time.Now())
}

// Lift ends the block of a part at all instances. It returns false if the part is neither blocked nor under suspicion.
func (g *PartGuard) Lift(part poison.Part) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	records, known := g.tracker.Lift(part, now)
	if !known {
		return false
	}
	klog.InfoS("Block of a part is lifted by an operator", "part", part)
	g.announce(records, now)
	g.rewrite(part)
	return true
}

// completed records a complete answer to a request.
func (g *PartGuard) completed(parts []poison.Part, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	records := g.tracker.Completed(parts, now)
	for _, r := range records {
		g.rewrite(r.Part)
	}
	g.announce(records, now)
}

// announce makes records known to the peers and applies the changes that they are the result of; g.mu is held.
func (g *PartGuard) announce(records []poison.Record, now time.Time) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		g.news[r.Part] = r
		delete(g.again, r.Part)
	}
	g.noteStates(now)
	wait.Wake(g.changed)
}

// noteStates logs the parts whose state has changed, and wakes requests that wait if a part is now blocked; g.mu is held.
func (g *PartGuard) noteStates(now time.Time) {
	entries := g.tracker.Entries(now)
	next := make(map[poison.Part]loggedState, len(entries))
	blocked, raised := 0, false
	for _, e := range entries {
		s := loggedState{e.State, e.Epoch}
		next[e.Part] = s
		if s.state == poison.Blocked {
			blocked++
		}
		if g.states[e.Part] == s {
			continue
		}
		log := g.suspectLog
		if s.state != poison.Suspected {
			log = g.stateLog
		}
		if s.state == poison.Blocked {
			raised = true
			g.save(e.Part, now)
		}
		log.Info("Part of prompts changed its state", "part", e.Part, "state", s.state, "epoch", e.Epoch, "callers", e.Callers, "crashes", len(e.Crashes),
			"unexplained", e.Unexplained, "targets", crashedTargets(e))
	}
	for part, s := range g.states {
		if _, left := next[part]; !left {
			log := g.suspectLog
			if s.state == poison.Blocked {
				log = g.stateLog
			}
			log.Info("Part of prompts is no longer under suspicion", "part", part, "state_before", s.state)
		}
	}
	g.states = next
	g.blocked.Store(int64(blocked))
	g.blockedParts.Update(float64(blocked))
	g.suspectedParts.Update(float64(len(next) - blocked))
	if raised {
		close(g.raised)
		g.raised = make(chan struct{})
	}
}

// maxLoggedTargets bounds the targets in a log line.
const maxLoggedTargets = 8

// crashedTargets returns some of the targets that crashed on a part, for logs.
func crashedTargets(e poison.Entry) []fleet.TargetID {
	var targets []fleet.TargetID
	for _, c := range e.Crashes[:min(len(e.Crashes), maxLoggedTargets)] {
		targets = append(targets, c.Target)
	}
	return targets
}
