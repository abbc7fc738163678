package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/rendezvous"
)

// Budget bounds the rate of orders.
type Budget struct {
	LoadsAtOnce    int           // loads of models under way in the whole fleet
	LoadsPerMinute int           // loads of models that one owner orders
	EngineInterval time.Duration // shortest time between two orders to one engine, lengthened by up to a quarter at random
}

// DefaultBudget keeps the weight store's rate for a few transfers at a time, so that each ends soon, and makes at most three orders per
// engine and minute.
var DefaultBudget = Budget{LoadsAtOnce: 4, LoadsPerMinute: 12, EngineInterval: 20 * time.Second}

const (
	// turn is how long the same pending loads are preferred. An engine that does not take its order then makes room for others.
	turn = time.Minute
	// jitterPart is the part of the interval between two orders that is added at random at most.
	jitterPart = 4
)

// Pacer holds planned orders back until they are due and the budget allows them. Its owner guards it.
type Pacer struct {
	budget Budget
	random *rand.Rand
	since  map[Instruction]time.Time    // first of the uninterrupted plans that contain the order
	nextAt map[fleet.TargetID]time.Time // no order to the engine before
	loads  []time.Time                  // loads sent within the last minute
}

// NewPacer returns a pacer for one owner.
func NewPacer(budget Budget, random *rand.Rand) *Pacer {
	return &Pacer{
		budget: budget,
		random: random,
		since:  make(map[Instruction]time.Time),
		nextAt: make(map[fleet.TargetID]time.Time),
	}
}

// Due returns the orders of the plan that may be sent at now, at most one for each engine. The plan has the orders of all engines; mine
// tells to which of them this owner may send. Loads are chosen from all pending ones in an order that every owner computes alike, so
// that the fleet's bound on loads at once needs no messages between owners. An engine that is new to this owner waits for a random part
// of the interval, which spreads the orders after a restart or an outage.
func (p *Pacer) Due(now time.Time, plan []Order, engines []Engine, mine func(fleet.TargetID) bool) []Order {
	p.note(now, plan)
	p.forget(engines)
	allowed := p.window(now, plan, engines)
	loads := p.recentLoads(now)
	taken := make(map[fleet.TargetID]bool)
	var due []Order
	for _, o := range plan {
		if taken[o.Target] || !mine(o.Target) || now.Sub(p.since[o.Instruction]) < o.After || !p.ready(now, o.Target) {
			continue
		}
		if o.Action == LoadModel {
			if !allowed[o.Instruction] || loads == p.budget.LoadsPerMinute {
				continue
			}
			loads++
		}
		taken[o.Target] = true
		due = append(due, o)
	}
	return due
}

// Sent records that an order went out, whatever its outcome.
func (p *Pacer) Sent(now time.Time, o Order) {
	interval := p.budget.EngineInterval
	p.nextAt[o.Target] = now.Add(interval + p.jitter(interval/jitterPart))
	if o.Action == LoadModel {
		p.loads = append(p.loads, now)
	}
}

// Hold puts off orders to an engine until the time, and then for a random part of the interval. A new owner holds the engine until its
// predecessor has certainly stopped; the random part spreads the orders after an outage, in which all owners change.
func (p *Pacer) Hold(id fleet.TargetID, until time.Time) {
	p.nextAt[id] = until.Add(p.jitter(p.budget.EngineInterval))
}

// note keeps since when plans have contained each order.
func (p *Pacer) note(now time.Time, plan []Order) {
	since := make(map[Instruction]time.Time, len(plan))
	for _, o := range plan {
		at, known := p.since[o.Instruction]
		if !known {
			at = now
		}
		since[o.Instruction] = at
	}
	p.since = since
}

// forget drops engines that are gone.
func (p *Pacer) forget(engines []Engine) {
	known := make(map[fleet.TargetID]bool, len(engines))
	for i := range engines {
		known[engines[i].ID] = true
	}
	for id := range p.nextAt {
		if !known[id] {
			delete(p.nextAt, id)
		}
	}
}

func (p *Pacer) ready(now time.Time, id fleet.TargetID) bool {
	at, known := p.nextAt[id]
	if !known {
		at = now.Add(p.jitter(p.budget.EngineInterval))
		p.nextAt[id] = at
	}
	return !now.Before(at)
}

// window returns the pending loads that fit beside those under way.
func (p *Pacer) window(now time.Time, plan []Order, engines []Engine) map[Instruction]bool {
	room := p.budget.LoadsAtOnce
	busy := make(map[fleet.TargetID]bool)
	for i := range engines {
		if engines[i].loading() {
			busy[engines[i].ID] = true
			room--
		}
	}
	type ranked struct {
		instruction Instruction
		score       uint64
	}
	key := strconv.FormatInt(now.UnixNano()/int64(turn), 10)
	var pending []ranked
	for _, o := range plan {
		if o.Action == LoadModel && !busy[o.Target] {
			score := rendezvous.Score(key, string(o.Target)+" "+o.Model.String())
			pending = append(pending, ranked{instruction: o.Instruction, score: score})
		}
	}
	slices.SortFunc(pending, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	allowed := make(map[Instruction]bool)
	for _, r := range pending[:max(0, min(room, len(pending)))] {
		allowed[r.instruction] = true
	}
	return allowed
}

func (p *Pacer) recentLoads(now time.Time) int {
	p.loads = slices.DeleteFunc(p.loads, func(at time.Time) bool { return now.Sub(at) >= time.Minute })
	return len(p.loads)
}

func (p *Pacer) jitter(longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	return time.Duration(p.random.Int64N(int64(longest)))
}
