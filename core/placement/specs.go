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
	for _, spec := range byVersion {
		slices.Sort(spec.Adapters)
		spec.Adapters = slices.Compact(spec.Adapters)
		specs = append(specs, *spec)
	}
	slices.SortFunc(specs, func(a, b ReplicaSpec) int {
		return cmp.Or(cmp.Compare(a.Base, b.Base), cmp.Compare(a.Version, b.Version))
	})
	return specs
}

func addModel(byVersion map[ModelVersion]*ReplicaSpec, m *bundle.Model) {
	key := ModelVersion{Base: m.Base, Version: m.Version}
	spec, known := byVersion[key]
	if !known {
		spec = &ReplicaSpec{ModelVersion: key, Role: RoleAny, Max: Unlimited}
		byVersion[key] = spec
	}
	spec.Min = min(max(spec.Min, 1), spec.Max)
	spec.MaxRunning = max(spec.MaxRunning, m.MaxRunning)
	if m.Adapter != "" {
		spec.Adapters = append(spec.Adapters, m.Adapter)
	}
}
