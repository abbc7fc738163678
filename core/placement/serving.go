package placement

import (
	"eelgrassproxy.example/core/bundle"
)

// ServingVersion returns the version that requests for the model should use now. It is the model's own version once the minimum number of its
// replicas serve, or all live engines if these are fewer. Until then it is the version that it replaces: one of the same base that no model of
// the bundle names any more and that more engines serve than the model's own version. Of several such versions it is the one that the most
// engines serve, among equals the first in string order; without one it is the model's own version. The replaced version is unloaded only some
// time after the wanted number of replicas of the new one serve, so that all instances use the new version by then.
func ServingVersion(m *bundle.Model, models []bundle.Model, specs []ReplicaSpec, engines []Engine) string {
	counts, live := servingCounts(m, engines)
	ownCount := counts[m.Version]
	if ownCount >= min(minReplicas(m, specs), live) {
		return m.Version
	}
	for i := range models {
		if models[i].Base == m.Base {
			delete(counts, models[i].Version)
		}
	}
	best, bestCount := m.Version, ownCount
	for version, n := range counts {
		if n > bestCount || n == bestCount && best != m.Version && version < best {
			best, bestCount = version, n
		}
	}
	return best
}

func minReplicas(m *bundle.Model, specs []ReplicaSpec) int {
	for i := range specs {
		if specs[i].Base == m.Base && specs[i].Version == m.Version {
			return max(1, specs[i].Min)
		}
	}
	return 1
}

// servingCounts returns the engines that serve each version of the model's base, with its adapter, and the number of live engines.
func servingCounts(m *bundle.Model, engines []Engine) (counts map[string]int, live int) {
	counts = make(map[string]int)
	for i := range engines {
		e := &engines[i]
		if e.Leaving {
			continue
		}
		live++
		for j := range e.Models {
			held := &e.Models[j]
			usable := !held.Loading && (m.Adapter == "" || contains(held.Adapters, m.Adapter))
			if held.Model == m.Base && usable {
				counts[held.Version]++
			}
		}
	}
	return counts, live
}
