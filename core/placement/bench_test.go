package placement_test

import (
	"fmt"
	"testing"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/placement"
)

// BenchmarkPlan measures one plan at the design size: 3,900 engines in 9 failure domains, and 5 models.
func BenchmarkPlan(b *testing.B) {
	const engines, domains, models = 3900, 9, 5
	in := placement.Input{}
	for m := range models {
		version := placement.ModelVersion{Base: fmt.Sprintf("model-%d", m), Version: "1"}
		in.Specs = append(in.Specs, placement.ReplicaSpec{ModelVersion: version, Role: placement.RoleAny, Min: 600, Max: 900})
	}
	for i := range engines {
		in.Engines = append(in.Engines, placement.Engine{
			ID:            fleet.TargetID(fmt.Sprintf("engine-%d", i)),
			FailureDomain: fleet.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
			Role:          placement.RoleAny,
			Models:        []fleet.LoadedModel{{Model: fmt.Sprintf("model-%d", i%models), Version: "1"}},
		})
	}
	b.Run("with a new assignment", func(b *testing.B) {
		for b.Loop() {
			placement.Plan(in)
		}
	})
	b.Run("with the last assignment", func(b *testing.B) {
		var assigner placement.Assigner
		for b.Loop() {
			in.Assignment = assigner.Assign(in.Specs, in.Wanted, in.Engines)
			placement.Plan(in)
		}
	})
}
