package placement

import (
	"cmp"
	"slices"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/rendezvous"
)

// Assignment says which engines should hold which versions.
type Assignment struct {
	wanted map[ModelVersion]map[fleet.TargetID]bool
	spare  map[ModelVersion]map[fleet.TargetID]bool // may keep the version beyond the wanted number, up to the wish's maximum
	held   map[fleet.TargetID]int                   // number of versions wanted at each engine
}

// Wanted tells whether the engine should hold the version.
func (a *Assignment) Wanted(m ModelVersion, id fleet.TargetID) bool { return a.wanted[m][id] }

// Assign spreads the wanted number of replicas of each wish over the failure domains, and within a domain by rendezvous hashing over the
// engines that hold the fewest other versions. Minimums are assigned first, so that owners who see different demand still agree on
// the engines that hold them. A leaving engine is assigned nothing.
func Assign(wishes []Wish, wanted map[ModelVersion]int, engines []Engine) *Assignment {
	a := &Assignment{
		wanted: make(map[ModelVersion]map[fleet.TargetID]bool, len(wishes)),
		spare:  make(map[ModelVersion]map[fleet.TargetID]bool, len(wishes)),
		held:   make(map[fleet.TargetID]int, len(engines)),
	}
	for i := range wishes {
		a.wanted[wishes[i].ModelVersion] = make(map[fleet.TargetID]bool)
	}
	for i := range wishes {
		a.fill(&wishes[i], wishes[i].Min, engines)
	}
	for i := range wishes {
		a.fill(&wishes[i], min(wanted[wishes[i].ModelVersion], wishes[i].Max), engines)
	}
	for i := range wishes {
		a.spare[wishes[i].ModelVersion] = a.choose(&wishes[i], wishes[i].Max, engines)
	}
	return a
}

// fill raises the replicas of the wish to the number.
func (a *Assignment) fill(w *Wish, number int, engines []Engine) {
	chosen := a.wanted[w.ModelVersion]
	for id := range a.choose(w, number, engines) {
		if !chosen[id] {
			chosen[id] = true
			a.held[id]++
		}
	}
}

// candidate is an engine that may get a replica.
type candidate struct {
	id    fleet.TargetID
	held  int
	score uint64
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.held, other.held), cmp.Compare(other.score, c.score), cmp.Compare(c.id, other.id))
}

// choose returns the engines of the wish with more added until there are as many as the number, if engines remain.
func (a *Assignment) choose(w *Wish, number int, engines []Engine) map[fleet.TargetID]bool {
	chosen := make(map[fleet.TargetID]bool)
	count := make(map[fleet.FailureDomain]int)
	free := make(map[fleet.FailureDomain][]candidate)
	for i := range engines {
		e := &engines[i]
		switch {
		case e.Leaving:
		case a.wanted[w.ModelVersion][e.ID]:
			chosen[e.ID] = true
			count[e.FailureDomain]++
		default:
			score := rendezvous.Score(w.ModelVersion.String(), string(e.ID))
			free[e.FailureDomain] = append(free[e.FailureDomain], candidate{id: e.ID, held: a.held[e.ID], score: score})
		}
	}
	for _, candidates := range free {
		slices.SortFunc(candidates, candidate.compare)
	}
	for len(chosen) < number && len(free) > 0 {
		domain := nextDomain(free, count)
		chosen[free[domain][0].id] = true
		count[domain]++
		free[domain] = free[domain][1:]
		if len(free[domain]) == 0 {
			delete(free, domain)
		}
	}
	return chosen
}

// nextDomain returns the domain with the fewest replicas; among equals the one with the best candidate.
func nextDomain(free map[fleet.FailureDomain][]candidate, count map[fleet.FailureDomain]int) fleet.FailureDomain {
	var best fleet.FailureDomain
	found := false
	for domain, candidates := range free {
		order := -1
		if found {
			order = cmp.Or(cmp.Compare(count[domain], count[best]), candidates[0].compare(free[best][0]))
		}
		if order < 0 {
			best, found = domain, true
		}
	}
	return best
}
