package routing

import "eelgrassproxy.example/core/fleet"

// Residency says whether an engine holds what a request needs.
type Residency int

// Residency of a model with its adapter, worst first.
const (
	ModelAbsent   Residency = iota // the engine does not hold the model version
	ModelLoading                   // weights are on their way
	AdapterAbsent                  // the model is there; the engine would load the adapter on demand
	Resident                       // everything is there
)

// Candidate is a target as routing sees it at the moment of the decision.
type Candidate struct {
	Target        fleet.TargetID
	Address       string
	Kind          fleet.TargetKind
	Service       string
	FailureDomain fleet.FailureDomain
	Distance      fleet.Distance
	State         fleet.TargetState
	Residency     Residency
	CircuitOpen   bool    // ejected as an outlier or by its circuit breaker
	Load          float64 // estimated requests running or waiting at the target
	BatchRoom     int     // batch requests that this instance may start there now
	MaxRunning    int     // requests that the target serves well at once
	hash          uint64
}

// Utilisation is the estimated load in units of what the target serves well at once; above 1 requests wait.
func (c *Candidate) Utilisation() float64 {
	if c.MaxRunning <= 0 {
		return c.Load
	}
	return c.Load / float64(c.MaxRunning)
}

func meanUtilisation(kept []*Candidate) float64 {
	if len(kept) == 0 {
		return 0
	}
	sum := 0.0
	for _, c := range kept {
		sum += c.Utilisation()
	}
	return sum / float64(len(kept))
}

// ResidencyOf tells what an engine with the given models lacks for the request.
func ResidencyOf(req *Request, models []fleet.LoadedModel) Residency {
	for i := range models {
		m := &models[i]
		if m.Model != req.Base || m.Version != req.Version {
			continue
		}
		if m.Loading {
			return ModelLoading
		}
		if req.Adapter == "" || contains(m.Adapters, req.Adapter) {
			return Resident
		}
		return AdapterAbsent
	}
	return ModelAbsent
}

func contains(values []string, wanted string) bool {
	for _, v := range values {
		if v == wanted {
			return true
		}
	}
	return false
}
