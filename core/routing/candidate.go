package routing

import "eelgrassproxy.example/core/fleet"

// Residency describes how much of what a request needs an engine has loaded.
type Residency int

// Residency of a model version and its adapter, from worst to best.
const (
	ModelAbsent   Residency = iota // the model version is not loaded
	ModelLoading                   // the engine is loading the model version
	AdapterAbsent                  // the model version is loaded; the engine would load the adapter on demand
	Resident                       // the model version is loaded, and the adapter if the request needs one
)

// Candidate is the state of a target at the time of a routing decision.
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
	Load          float64 // estimated number of requests running or waiting at the target
	BatchRoom     int     // number of batch requests that this instance may start there now
	MaxRunning    int     // number of concurrent requests that the target serves well
	hash          uint64  // hash of Target, computed by rank when first needed; 0 before
}

// Utilisation returns the estimated load divided by MaxRunning; above 1, requests wait. Without MaxRunning it returns the load.
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

// ResidencyOf returns the residency, for the request, of an engine with the given models.
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
