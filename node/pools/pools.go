// Package pools selects from the target table the targets that this instance uses for each model version or service, and tracks their
// health.
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

// Pools caches the subset of targets of each pool until the target table or the bundle changes, and holds the outlier detection of each
// pool. It is safe for concurrent use.
type Pools struct {
	self       fleet.InstanceID
	domain     fleet.FailureDomain
	board      *blackboard.Board
	subsetSize int

	mu    sync.Mutex // guards pools and their contents; not taken while a table's lock is held, nor held while one is taken
	pools map[request.PoolKey]*pool
}

// pool is the subset of targets that this instance uses for one pool, and their health.
type pool struct {
	revision   uint64           // of the target table that members is derived from
	generation fleet.Generation // of the bundle that members is derived from
	members    []*blackboard.TargetEntry
	eligible   int // number of live targets of the pool, in members or not
	outlier    *limits.OutlierDetector
}

// New returns the pools of the instance self, with the targets of board. subsetSize is the maximum number of targets that the instance uses
// of each pool.
func New(self fleet.InstanceID, domain fleet.FailureDomain, board *blackboard.Board, subsetSize int) *Pools {
	return &Pools{self: self, domain: domain, board: board, subsetSize: subsetSize, pools: make(map[request.PoolKey]*pool)}
}

// Candidates returns the targets for the request with distance, health and estimated load, for choosing one. The load assumes that the
// other instances that send to the same targets have made the same choices since the latest reports; see UnbiasedCandidates for the expected load.
func (p *Pools) Candidates(r *request.Request, req *routing.Request, now time.Time) []routing.Candidate {
	topology := r.Bundle.Topology()
	candidates := p.collect(r, req, topology, now)
	p.board.Loads.Estimate(candidates, now, p.Sharers(r.Pool()))
	return candidates
}

// UnbiasedCandidates returns the same targets as Candidates with an unbiased estimate of their load, which is suited for sums over the pool.
func (p *Pools) UnbiasedCandidates(r *request.Request, req *routing.Request, now time.Time) []routing.Candidate {
	candidates := p.collect(r, req, r.Bundle.Topology(), now)
	p.board.Loads.Estimate(candidates, now, 1)
	return candidates
}

// collect returns the candidates without their load.
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

// Pressure returns the capacity of the request's pool and its online load, both summed over the targets that may be used. ownBatch returns
// the number of this instance's batch requests at a target, which do not count as load.
func (p *Pools) Pressure(r *request.Request, req *routing.Request, now time.Time, ownBatch func(fleet.TargetID) int) admission.Pressure {
	pressure := admission.Pressure{Sharers: p.Sharers(r.Pool())}
	for _, c := range p.UnbiasedCandidates(r, req, now) {
		if c.CircuitOpen || c.State != fleet.TargetLive || c.Residency == routing.ModelLoading {
			continue
		}
		pressure.Capacity += float64(c.MaxRunning)
		pressure.Load += max(c.Load-float64(ownBatch(c.Target)), 0)
	}
	return pressure
}

// ServingInstances returns the number of instances that serve requests: those that are alive or only suspected to have failed.
func (p *Pools) ServingInstances() int {
	serving := 0
	for _, m := range p.board.Members.All() {
		if m.State == fleet.MemberAlive || m.State == fleet.MemberSuspect {
			serving++
		}
	}
	return serving
}

// Sharers returns the estimated number of instances that send to the same target of the pool, at least 1: all serving instances if every
// instance uses the whole pool, and fewer if each uses a subset.
func (p *Pools) Sharers(key request.PoolKey) int {
	serving := p.ServingInstances()
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool, ok := p.pools[key]; ok && pool.eligible > 0 {
		serving = (serving*len(pool.members) + pool.eligible - 1) / pool.eligible
	}
	return max(serving, 1)
}

// Begin registers a request that is about to be sent to the target, and reports whether it may be sent. It returns false if the target's circuit
// is open, or half-open with a probe in flight; a half-open circuit takes the request as its probe. It also returns false for an unknown pool.
func (p *Pools) Begin(key request.PoolKey, id fleet.TargetID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[key]
	return ok && pool.outlier.Begin(id, now)
}

// Observe records the outcome of a request at the target and reports whether the target was ejected because of it.
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

// EndUnobserved ends a request whose outcome does not reflect the target's health, such as one that its caller cancelled.
func (p *Pools) EndUnobserved(key request.PoolKey, id fleet.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool, ok := p.pools[key]; ok {
		pool.outlier.EndProbe(id)
	}
}

// UsedTargets returns the targets of all pools that were used so far, ordered by ID and without duplicates.
func (p *Pools) UsedTargets() []fleet.TargetID {
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

// current returns the pool, after rebuilding it if the target table or the bundle changed; p.mu is held.
func (p *Pools) current(key request.PoolKey, topology fleet.Topology, generation fleet.Generation) *pool {
	revision := p.board.Targets.Revision()
	existing, ok := p.pools[key]
	if ok && existing.revision == revision && existing.generation == generation {
		return existing
	}
	if !ok {
		existing = &pool{outlier: limits.NewOutlierDetector(limits.DefaultOutlierPolicy())}
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

// subset returns the targets of the pool that this instance uses, and the number of all live ones. If there are more than subsetSize, it takes
// those of the own region first, and in each case in the rendezvous order of instance and target: instances then spread over all targets, and
// the loss of a target changes few of the subsets.
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

// weight returns the rendezvous weight of a target for this instance.
func (p *Pools) weight(id fleet.TargetID) uint64 {
	return xxhash.Sum64String(string(p.self) + "\x00" + string(id))
}

// serves reports whether the target belongs to the pool.
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
