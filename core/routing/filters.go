package routing

import (
	"slices"

	"eelgrassproxy.example/core/fleet"
)

// DefaultFilters returns the filters of the request path in the order in which they run, cheapest first.
func DefaultFilters() []Filter {
	return []Filter{KindFilter{}, LeavingFilter{}, ExcludedFilter{}, ResidencyFilter{}, CircuitFilter{}, BatchFilter{}}
}

// KindFilter keeps engines for model requests and replicas of the named service for service requests.
type KindFilter struct{}

// Name implements Filter.
func (KindFilter) Name() string { return "kind" }

// Keep implements Filter.
func (KindFilter) Keep(req *Request, c *Candidate) (bool, Reason) {
	if c.Kind != req.Kind {
		return false, "other kind"
	}
	if req.Kind == fleet.KindService && c.Service != req.Service {
		return false, "other service"
	}
	return true, ""
}

// LeavingFilter drops targets that are leaving.
type LeavingFilter struct{}

// Name implements Filter.
func (LeavingFilter) Name() string { return "leaving" }

// Keep implements Filter.
func (LeavingFilter) Keep(_ *Request, c *Candidate) (bool, Reason) {
	if c.State != fleet.TargetLive {
		return false, "leaving"
	}
	return true, ""
}

// ExcludedFilter drops targets that the request was sent to already.
type ExcludedFilter struct{}

// Name implements Filter.
func (ExcludedFilter) Name() string { return "excluded" }

// Keep implements Filter.
func (ExcludedFilter) Keep(req *Request, c *Candidate) (bool, Reason) {
	if slices.Contains(req.Excluded, c.Target) {
		return false, "tried already"
	}
	return true, ""
}

// ResidencyFilter drops engines that do not hold the model version, or are still loading it.
type ResidencyFilter struct{}

// Name implements Filter.
func (ResidencyFilter) Name() string { return "residency" }

// Keep implements Filter.
func (ResidencyFilter) Keep(req *Request, c *Candidate) (bool, Reason) {
	if req.Kind != fleet.KindEngine {
		return true, ""
	}
	switch c.Residency {
	case ModelAbsent:
		return false, "model version not loaded"
	case ModelLoading:
		return false, "model version loading"
	default:
		return true, ""
	}
}

// CircuitFilter drops targets whose circuit breaker is open.
type CircuitFilter struct{}

// Name implements Filter.
func (CircuitFilter) Name() string { return "circuit" }

// Keep implements Filter.
func (CircuitFilter) Keep(_ *Request, c *Candidate) (bool, Reason) {
	if c.CircuitOpen {
		return false, "circuit open"
	}
	return true, ""
}

// BatchFilter drops targets without room for a batch request. It keeps all targets for online requests.
type BatchFilter struct{}

// Name implements Filter.
func (BatchFilter) Name() string { return "batch" }

// Keep implements Filter.
func (BatchFilter) Keep(req *Request, c *Candidate) (bool, Reason) {
	if req.Batch && c.BatchRoom <= 0 {
		return false, "no room for batch"
	}
	return true, ""
}
