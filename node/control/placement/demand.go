package placement

import (
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/placement"
)

// maxReportAge is the maximum age of a load report; older reports do not show the current demand.
const maxReportAge = 10 * time.Second

// demand estimates the number of requests that run or wait at the replicas of each specified version in the whole fleet. The estimate is the
// mean over the replicas with a recent load report, multiplied by the number of replicas that serve the version. Requests that wait at the
// instances are not counted: they wait only while replicas are full, and full replicas already raise the wanted number of replicas.
// Requests at a version that is being replaced count for the specified versions of the same base, which will serve such requests next.
func (c *Controller) demand(now time.Time, specs []placement.ReplicaSpec, engines []placement.Engine) map[placement.ModelVersion]float64 {
	type sum struct{ load, reports, serving float64 }
	sums := make(map[placement.ModelVersion]*sum)
	for i := range engines {
		load, reported := c.load(now, engines[i].ID)
		share := load / float64(max(1, len(engines[i].Models)))
		for _, m := range engines[i].Models {
			if m.Loading {
				continue
			}
			version := placement.ModelVersion{Base: m.Model, Version: m.Version}
			s := sums[version]
			if s == nil {
				s = &sum{}
				sums[version] = s
			}
			s.serving++
			if reported {
				s.load += share
				s.reports++
			}
		}
	}
	specified := make(map[placement.ModelVersion]bool, len(specs))
	for i := range specs {
		specified[specs[i].ModelVersion] = true
	}
	demand := make(map[placement.ModelVersion]float64, len(specs))
	for version, s := range sums {
		estimate := s.load / max(1, s.reports) * s.serving
		for i := range specs {
			specVersion := specs[i].ModelVersion
			if specVersion == version || !specified[version] && specVersion.Base == version.Base {
				demand[specVersion] += estimate
			}
		}
	}
	return demand
}

// load returns the number of requests that run or wait at the engine according to its last load report, and false if there is no recent
// report.
func (c *Controller) load(now time.Time, id fleet.TargetID) (float64, bool) {
	report := c.config.Board.Loads.Get(id).Report
	if report.SampledAt.IsZero() || now.Sub(report.SampledAt) > maxReportAge {
		return 0, false
	}
	return float64(report.Running + report.Waiting), true
}

// Values of the state tag in metrics.
const (
	stateServing = "serving"
	stateLoading = "loading"
	stateEmpty   = "empty"
	stateLeaving = "leaving"
	stateUnknown = "unknown"
)

// reportStates publishes the number of owned engines by state. The sum over all instances covers all engines of the fleet.
func (c *Controller) reportStates(engines []placement.Engine) {
	counts := map[string]int{stateServing: 0, stateLoading: 0, stateEmpty: 0, stateLeaving: 0, stateUnknown: 0}
	for i := range engines {
		if c.engines[engines[i].ID] != nil {
			counts[stateOf(&engines[i])]++
		}
	}
	for state, n := range counts {
		c.config.Metrics.Tagged(map[string]string{"state": state}).Gauge("engines").Update(float64(n))
	}
}

func stateOf(e *placement.Engine) string {
	switch {
	case e.Leaving:
		return stateLeaving
	case e.Models == nil:
		return stateUnknown
	case len(e.Models) == 0:
		return stateEmpty
	}
	for _, m := range e.Models {
		if m.Loading {
			return stateLoading
		}
	}
	return stateServing
}
