package placement

import (
	"cmp"
	"math"
	"slices"

	"eelgrassproxy.example/core/bundle"
)

// Unlimited is the largest number of replicas of a model that no placement entry bounds.
const Unlimited = math.MaxInt

// ReplicaSpecs returns the replicas that a bundle asks for, one spec per model version, ordered by version. A version that a model names gets the
// model's adapter and at least one replica, unless its placement entry has a maximum of 0. Without an entry its maximum is Unlimited.
func ReplicaSpecs(placements []bundle.Placement, models []bundle.Model) []ReplicaSpec {
	byVersion := make(map[ModelVersion]*ReplicaSpec)
	for _, p := range placements {
		key := ModelVersion{Base: p.Base, Version: p.Version}
		byVersion[key] = &ReplicaSpec{
			ModelVersion: key,
			Adapters:     slices.Clone(p.Adapters),
			Role:         RoleAny,
			Min:          p.MinReplicas,
			Max:          p.MaxReplicas,
		}
	}
	for i := range models {
		addModel(byVersion, &models[i])
	}
	specs := make([]ReplicaSpec, 0, len(byVersion))
	for _, w := range byVersion {
		slices.Sort(w.Adapters)
		w.Adapters = slices.Compact(w.Adapters)
		specs = append(specs, *w)
	}
	slices.SortFunc(specs, func(a, b ReplicaSpec) int {
		return cmp.Or(cmp.Compare(a.Base, b.Base), cmp.Compare(a.Version, b.Version))
	})
	return specs
}

func addModel(byVersion map[ModelVersion]*ReplicaSpec, m *bundle.Model) {
	key := ModelVersion{Base: m.Base, Version: m.Version}
	w, known := byVersion[key]
	if !known {
		w = &ReplicaSpec{ModelVersion: key, Role: RoleAny, Max: Unlimited}
		byVersion[key] = w
	}
	w.Min = min(max(w.Min, 1), w.Max)
	w.MaxRunning = max(w.MaxRunning, m.MaxRunning)
	if m.Adapter != "" {
		w.Adapters = append(w.Adapters, m.Adapter)
	}
}
