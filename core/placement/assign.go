package placement

import (
	"cmp"
	"slices"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/rendezvous"
)

// Assignment determines which engines should hold which model versions.
type Assignment struct {
	wanted        map[ModelVersion]map[fleet.TargetID]bool // engines that should hold the version
	allowed       map[ModelVersion]map[fleet.TargetID]bool // engines that may hold the version: the wanted ones and more, up to the maximum
	assignedCount map[fleet.TargetID]int                   // number of versions wanted at each engine
}

// Wanted reports whether the engine should hold the version.
func (a *Assignment) Wanted(m ModelVersion, id fleet.TargetID) bool { return a.wanted[m][id] }

// Assign spreads the wanted number of replicas of each spec evenly over the failure domains. Within a domain it prefers the engines that are
// assigned the fewest versions, and among these it uses rendezvous hashing. The minimums of all specs are assigned first, so that owners
// that observe different demand still agree on the engines that hold them. Leaving engines get no version.
func Assign(specs []ReplicaSpec, wanted map[ModelVersion]int, engines []Engine) *Assignment {
	a := &Assignment{
		wanted:        make(map[ModelVersion]map[fleet.TargetID]bool, len(specs)),
		allowed:       make(map[ModelVersion]map[fleet.TargetID]bool, len(specs)),
		assignedCount: make(map[fleet.TargetID]int, len(engines)),
	}
	for i := range specs {
		a.wanted[specs[i].ModelVersion] = make(map[fleet.TargetID]bool)
	}
	for i := range specs {
		a.assignReplicas(&specs[i], specs[i].Min, engines)
	}
	for i := range specs {
		a.assignReplicas(&specs[i], min(wanted[specs[i].ModelVersion], specs[i].Max), engines)
	}
	for i := range specs {
		a.allowed[specs[i].ModelVersion] = a.choose(&specs[i], specs[i].Max, engines)
	}
	return a
}

// assignReplicas assigns more engines to the spec until it has the given number of replicas, if engines remain.
func (a *Assignment) assignReplicas(spec *ReplicaSpec, replicas int, engines []Engine) {
	chosen := a.wanted[spec.ModelVersion]
	for id := range a.choose(spec, replicas, engines) {
		if !chosen[id] {
			chosen[id] = true
			a.assignedCount[id]++
		}
	}
}

// candidate is an engine that may get a replica of a version.
type candidate struct {
	id            fleet.TargetID
	assignedCount int    // number of versions assigned to the engine
	score         uint64 // rendezvous score of the engine for the version
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.assignedCount, other.assignedCount), cmp.Compare(other.score, c.score), cmp.Compare(c.id, other.id))
}

// choose returns the engines assigned to the spec, and further ones until there are as many as the given number of replicas, if engines
// remain. It does not change the assignment.
func (a *Assignment) choose(spec *ReplicaSpec, replicas int, engines []Engine) map[fleet.TargetID]bool {
	chosen := make(map[fleet.TargetID]bool)
	count := make(map[fleet.FailureDomain]int)
	free := make(map[fleet.FailureDomain][]candidate)
	for i := range engines {
		e := &engines[i]
		switch {
		case e.Leaving:
		case a.wanted[spec.ModelVersion][e.ID]:
			chosen[e.ID] = true
			count[e.FailureDomain]++
		default:
			score := rendezvous.Score(spec.ModelVersion.String(), string(e.ID))
			free[e.FailureDomain] = append(free[e.FailureDomain], candidate{id: e.ID, assignedCount: a.assignedCount[e.ID], score: score})
		}
	}
	for _, candidates := range free {
		slices.SortFunc(candidates, candidate.compare)
	}
	for len(chosen) < replicas && len(free) > 0 {
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

// nextDomain returns the domain in free with the fewest replicas according to count; among equals the one with the best candidate.
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
