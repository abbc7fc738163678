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
	LoadsAtOnce    int           // most concurrent model loads in the whole fleet
	LoadsPerMinute int           // most model loads that one owner orders within a minute
	EngineInterval time.Duration // shortest time between two orders to one engine, lengthened by up to a quarter at random
}

// DefaultBudget allows only a few transfers from the weight store at a time, so that each gets enough of its rate to end soon, and at most
// three orders per engine and minute.
var DefaultBudget = Budget{LoadsAtOnce: 4, LoadsPerMinute: 12, EngineInterval: 20 * time.Second}

const (
	// rankingPeriod is the period in which the same pending loads are preferred. After it, an engine that did not follow its order no longer
	// keeps other loads waiting.
	rankingPeriod = time.Minute
	// jitterDivisor is the divisor of EngineInterval that gives the largest random addition to it.
	jitterDivisor = 4
)

// Pacer delays planned orders until they are due and the budget allows them. It is not safe for concurrent use; its owner must serialize all
// calls.
type Pacer struct {
	budget       Budget
	random       *rand.Rand
	plannedSince map[Instruction]time.Time    // time of the first plan since which every plan has contained the order
	notBefore    map[fleet.TargetID]time.Time // earliest time of the next order to the engine
	loadTimes    []time.Time                  // times of the loads sent within the last minute
}

// NewPacer returns a pacer for one owner.
func NewPacer(budget Budget, random *rand.Rand) *Pacer {
	return &Pacer{
		budget:       budget,
		random:       random,
		plannedSince: make(map[Instruction]time.Time),
		notBefore:    make(map[fleet.TargetID]time.Time),
	}
}

// Due returns the orders of the plan that may be sent at now, at most one for each engine. The plan must contain the orders for all engines;
// owns reports whether this owner may send orders to an engine. Loads are chosen from all pending ones in an order that every owner computes
// alike, so that the fleet-wide limit on concurrent loads needs no messages between owners. The first order to an engine that is new to this
// owner waits for a random part of EngineInterval, which spreads the orders after a restart or an outage.
func (p *Pacer) Due(now time.Time, plan []Order, engines []Engine, owns func(fleet.TargetID) bool) []Order {
	p.trackOrders(now, plan)
	p.dropUnlisted(engines)
	allowed := p.allowedLoads(now, plan, engines)
	loads := p.recentLoads(now)
	ordered := make(map[fleet.TargetID]bool)
	var due []Order
	for _, o := range plan {
		if ordered[o.Target] || !owns(o.Target) || now.Sub(p.plannedSince[o.Instruction]) < o.After || !p.ready(now, o.Target) {
			continue
		}
		if o.Action == LoadModel {
			if !allowed[o.Instruction] || loads == p.budget.LoadsPerMinute {
				continue
			}
			loads++
		}
		ordered[o.Target] = true
		due = append(due, o)
	}
	return due
}

// RecordSent records that an order was sent, whether or not it succeeded.
func (p *Pacer) RecordSent(now time.Time, o Order) {
	interval := p.budget.EngineInterval
	p.notBefore[o.Target] = now.Add(interval + p.jitter(interval/jitterDivisor))
	if o.Action == LoadModel {
		p.loadTimes = append(p.loadTimes, now)
	}
}

// DelayUntil delays orders to an engine until the given time and for a random part of EngineInterval after it. A new owner delays its orders until
// the former owner has certainly stopped; the random part spreads the orders after an outage, when all engines change their owners.
func (p *Pacer) DelayUntil(id fleet.TargetID, until time.Time) {
	p.notBefore[id] = until.Add(p.jitter(p.budget.EngineInterval))
}

// trackOrders records for each order of the plan since when all plans have contained it.
func (p *Pacer) trackOrders(now time.Time, plan []Order) {
	since := make(map[Instruction]time.Time, len(plan))
	for _, o := range plan {
		first, known := p.plannedSince[o.Instruction]
		if !known {
			first = now
		}
		since[o.Instruction] = first
	}
	p.plannedSince = since
}

// dropUnlisted removes the state of engines that are no longer listed.
func (p *Pacer) dropUnlisted(engines []Engine) {
	known := make(map[fleet.TargetID]bool, len(engines))
	for i := range engines {
		known[engines[i].ID] = true
	}
	for id := range p.notBefore {
		if !known[id] {
			delete(p.notBefore, id)
		}
	}
}

func (p *Pacer) ready(now time.Time, id fleet.TargetID) bool {
	at, known := p.notBefore[id]
	if !known {
		at = now.Add(p.jitter(p.budget.EngineInterval))
		p.notBefore[id] = at
	}
	return !now.Before(at)
}

// allowedLoads returns the pending loads that may start beside those in progress without exceeding LoadsAtOnce.
func (p *Pacer) allowedLoads(now time.Time, plan []Order, engines []Engine) map[Instruction]bool {
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
	key := strconv.FormatInt(now.UnixNano()/int64(rankingPeriod), 10)
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
	p.loadTimes = slices.DeleteFunc(p.loadTimes, func(at time.Time) bool { return now.Sub(at) >= time.Minute })
	return len(p.loadTimes)
}

func (p *Pacer) jitter(longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	return time.Duration(p.random.Int64N(int64(longest)))
}
