// Package pools derives, from the target table, the targets that this instance uses for each model version or service, and keeps
// their health.
package pools

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/node/admission"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/request"
)

// Pools caches the subset of targets for each pool until the target table or the bundle's topology changes, and holds the outlier
// detection of each pool. It is safe for concurrent use.
type Pools struct {
	self       fleet.InstanceID
	domain     fleet.FailureDomain
	board      *blackboard.Board
	subsetSize int

	mu    sync.Mutex // guards pools and what they point to; taken after no table lock and released before any
	pools map[request.PoolKey]*pool
}

type pool struct {
	revision   uint64
	generation fleet.Generation
	members    []*blackboard.TargetEntry
	eligible   int // targets of the pool, members and others
	outlier    *limits.Outlier
}

// New returns the pools of an instance over its board. subsetSize bounds the targets used of each pool.
func New(self fleet.InstanceID, domain fleet.FailureDomain, board *blackboard.Board, subsetSize int) *Pools {
	return &Pools{self: self, domain: domain, board: board, subsetSize: subsetSize, pools: make(map[request.PoolKey]*pool)}
}

// Candidates returns the targets for the request with distance, health and estimated load.
func (p *Pools) Candidates(r *request.Request, req *routing.Request, now time.Time) []routing.Candidate {
	topology := r.Bundle.Topology()
	candidates := p.collect(r, req, topology, now)
	p.board.Loads.Estimate(candidates, now, p.Sharers(r.Pool()))
	return candidates
}

// Unbiased returns the candidates with the load estimate that is right on average, for sums over the pool.
func (p *Pools) Unbiased(r *request.Request, req *routing.Request, now time.Time) []routing.Candidate {
	candidates := p.collect(r, req, r.Bundle.Topology(), now)
	p.board.Loads.Estimate(candidates, now, 1)
	return candidates
}

func (p *Pools) collect(r *request.Request, req *routing.Request, topology fleet.Topology, now time.Time) []routing.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.current(r.Pool(), topology, r.Bundle.Generation())
	candidates := make([]routing.Candidate, len(pool.members))
	for i, m := range pool.members {
		candidates[i] = routing.Candidate{
			Target:        m.ID,
			Address:       m.Address,
			Kind:          m.Kind,
			Service:       m.Service,
			FailureDomain: m.FailureDomain,
			Distance:      topology.Distance(p.domain, m.FailureDomain),
			State:         m.State,
			Residency:     routing.ResidencyOf(req, m.Models),
			CircuitOpen:   !pool.outlier.Usable(m.ID, now),
			MaxRunning:    r.MaxRunning(),
		}
	}
	return candidates
}

// Pressure returns the capacity of the request's pool and the online load on it, both over the targets that may be used. ownBatch
// returns the batch requests of this instance at a target.
func (p *Pools) Pressure(r *request.Request, req *routing.Request, now time.Time, ownBatch func(fleet.TargetID) int) admission.Pressure {
	pressure := admission.Pressure{Sharers: p.Sharers(r.Pool())}
	for _, c := range p.Unbiased(r, req, now) {
		if c.CircuitOpen || c.State != fleet.TargetLive || c.Residency == routing.ModelLoading {
			continue
		}
		pressure.Capacity += float64(c.MaxRunning)
		pressure.Load += max(c.Load-float64(ownBatch(c.Target)), 0)
	}
	return pressure
}

// Serving is the number of instances that serve.
func (p *Pools) Serving() int {
	serving := 0
	for _, m := range p.board.Members.All() {
		if m.State == fleet.MemberAlive || m.State == fleet.MemberSuspect {
			serving++
		}
	}
	return serving
}

// Sharers is the number of instances that send to the same target of the pool: all that serve while every instance uses the whole pool,
// fewer when each uses a subset.
func (p *Pools) Sharers(key request.PoolKey) int {
	serving := p.Serving()
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool, ok := p.pools[key]; ok && pool.eligible > 0 {
		serving = (serving*len(pool.members) + pool.eligible - 1) / pool.eligible
	}
	return max(serving, 1)
}

// Begin claims the right to send to the target; false means that its circuit opened meanwhile.
func (p *Pools) Begin(key request.PoolKey, id fleet.TargetID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[key]
	return ok && pool.outlier.Begin(id, now)
}

// Observe records how a request at the target ended and returns true if that ejected it.
func (p *Pools) Observe(key request.PoolKey, id fleet.TargetID, outcome limits.Outcome, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[key]
	if !ok {
		return false
	}
	ejected := pool.outlier.Observe(id, outcome, now)
	pool.outlier.Evaluate(now)
	return ejected
}

// Unobserved ends a request that says nothing about the target's health, such as one that its caller gave up.
func (p *Pools) Unobserved(key request.PoolKey, id fleet.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool, ok := p.pools[key]; ok {
		pool.outlier.ProbeEnded(id)
	}
}

// Used returns every target of the pools used so far, ordered by ID.
func (p *Pools) Used() []fleet.TargetID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []fleet.TargetID
	for _, pool := range p.pools {
		for _, m := range pool.members {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// current returns the pool, rebuilt if the targets or the topology changed; p.mu is held.
func (p *Pools) current(key request.PoolKey, topology fleet.Topology, generation fleet.Generation) *pool {
	revision := p.board.Targets.Revision()
	existing, ok := p.pools[key]
	if ok && existing.revision == revision && existing.generation == generation {
		return existing
	}
	if !ok {
		existing = &pool{outlier: limits.NewOutlier(limits.DefaultOutlierPolicy())}
		p.pools[key] = existing
	}
	existing.revision, existing.generation = revision, generation
	existing.members, existing.eligible = p.subset(key, topology)
	ids := make([]fleet.TargetID, len(existing.members))
	for i, m := range existing.members {
		ids[i] = m.ID
	}
	existing.outlier.SetTargets(ids)
	return existing
}

// subset picks the targets of the pool that this instance uses: those of the own region first, in rendezvous order of instance and
// target, so that instances spread over all targets and the loss of one target moves few of them.
func (p *Pools) subset(key request.PoolKey, topology fleet.Topology) (members []*blackboard.TargetEntry, count int) {
	var eligible []*blackboard.TargetEntry
	for _, t := range p.board.Targets.All() {
		if t.State == fleet.TargetLive && serves(t, key) {
			eligible = append(eligible, t)
		}
	}
	count = len(eligible)
	if count > p.subsetSize {
		slices.SortFunc(eligible, func(a, b *blackboard.TargetEntry) int {
			remoteA := topology.Distance(p.domain, a.FailureDomain) == fleet.OtherRegion
			remoteB := topology.Distance(p.domain, b.FailureDomain) == fleet.OtherRegion
			if remoteA != remoteB {
				if remoteA {
					return 1
				}
				return -1
			}
			return cmp.Compare(p.weight(b.ID), p.weight(a.ID))
		})
		eligible = eligible[:p.subsetSize]
	}
	return eligible, count
}

func (p *Pools) weight(id fleet.TargetID) uint64 {
	return xxhash.Sum64String(string(p.self) + "\x00" + string(id))
}

func serves(t *blackboard.TargetEntry, key request.PoolKey) bool {
	if t.Kind != key.Kind {
		return false
	}
	if key.Kind == fleet.KindService {
		return t.Service == key.Service
	}
	for i := range t.Models {
		if t.Models[i].Model == key.Base && t.Models[i].Version == key.Version {
			return true
		}
	}
	return false
}
