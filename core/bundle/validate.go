package bundle

import (
	"fmt"
	"math"
	"strings"

	"eelgrassproxy.example/core/fleet"
)

// Upper bounds of values in a document. They are far above any sensible value and catch mistakes such as a wrong unit.
const (
	maxGeneration        = 1 << 53        // integers up to this are exact in every JSON implementation
	maxTimeoutMs         = 24 * 3600_000  // ms, one day
	maxPercent           = 100            // percent
	maxBatchHarmPercent  = 1_000          // percent
	maxLinkBytesPerSec   = 1 << 40        // bytes/s, 1 TiB/s
	maxRunningPerReplica = 100_000        // requests on one replica
	maxReplicas          = 1_000_000      // replicas
	maxRequestsPerSecond = 1_000_000_000. // requests/s
	maxBurst             = 1_000_000_000  // requests
	maxWeight            = 1_000_000      // share
	maxNameBytes         = 128            // bytes
	maxListedProblems    = 20             // problems listed in the error text; ValidationError.Problems has all of them
)

// Problem is one violation of a validation rule. It is an error that wraps its sentinel.
type Problem struct {
	Path    string // path of the field, for example groups[2].models[0]
	Err     error  // one of the sentinel errors of this package
	Message string
}

// Error returns "path: message".
func (p Problem) Error() string { return p.Path + ": " + p.Message }

// Unwrap returns the sentinel error.
func (p Problem) Unwrap() error { return p.Err }

// ValidationError holds all problems of a document. errors.Is finds ErrInvalidDocument and the sentinel of each problem.
type ValidationError struct {
	Problems []Problem
}

// Error returns the number of problems and the first maxListedProblems of them, one per line, then how many more there are.
func (e *ValidationError) Error() string {
	lines := []string{fmt.Sprintf("bundle document has %d problems", len(e.Problems))}
	for i, p := range e.Problems {
		if i == maxListedProblems {
			lines = append(lines, fmt.Sprintf("... and %d more", len(e.Problems)-i))
			break
		}
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalidDocument and every problem.
func (e *ValidationError) Unwrap() []error {
	errs := []error{ErrInvalidDocument}
	for _, p := range e.Problems {
		errs = append(errs, p)
	}
	return errs
}

// Validate checks the whole document and returns a *ValidationError with every problem, or nil.
func (d *Document) Validate() error {
	v := &validator{}
	v.checkRange("generation", float64(d.Generation), 1, maxGeneration)
	v.checkTopology(&d.Topology)
	v.checkLimits(&d.Limits)
	models := v.checkModels(d.Models)
	services := v.checkServices(d.Services)
	v.checkPlacements(d.Placement)
	groups := v.checkGroups(d.Groups, models, services)
	v.checkCallers(d.Callers, groups)
	return v.err()
}

// validator collects the problems of a document. Its methods check a part of the document and add a problem for each rule that is
// violated.
type validator struct {
	problems []Problem
}

func (v *validator) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: v.problems}
}

func (v *validator) add(path string, sentinel error, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Err: sentinel, Message: fmt.Sprintf(format, args...)})
}

// checkRange checks that low <= value <= high.
func (v *validator) checkRange(path string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		v.add(path, ErrOutOfRange, "%v is not between %v and %v", value, low, high)
	}
}

// checkName checks that a name is not empty, has at most maxNameBytes bytes, and contains no space, control character or invalid UTF-8.
func (v *validator) checkName(path, name string) {
	if name == "" {
		v.add(path, ErrMissingValue, "is empty")
		return
	}
	if len(name) > maxNameBytes {
		v.add(path, ErrOutOfRange, "is longer than %d bytes", maxNameBytes)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f || r == 0xfffd }) {
		v.add(path, ErrOutOfRange, "%q contains a space, a control character or invalid UTF-8", name)
	}
}

// checkUnique adds a problem if the name is already in seen, and records it there.
func (v *validator) checkUnique(path, name string, seen map[string]bool) {
	if seen[name] {
		v.add(path, ErrDuplicate, "%q occurs more than once", name)
	}
	seen[name] = true
}

func (v *validator) checkTopology(t *Topology) {
	regions := map[string]bool{}
	regionOf := map[fleet.FailureDomain]fleet.Region{}
	for i, r := range t.Regions {
		path := fmt.Sprintf("topology.regions[%d]", i)
		v.checkName(path+".name", string(r.Name))
		v.checkUnique(path+".name", string(r.Name), regions)
		for j, fd := range r.FailureDomains {
			v.checkFailureDomain(fmt.Sprintf("%s.failure_domains[%d]", path, j), fd, r.Name, regionOf)
		}
	}
	v.checkRange("topology.link.bytes_per_second", float64(t.Link.BytesPerSecond), 0, maxLinkBytesPerSec)
	v.checkRange("topology.link.online_reserve_percent", float64(t.Link.OnlineReservePercent), 0, maxPercent)
}

// checkFailureDomain checks the name of a failure domain and that it occurs only once in the topology, and records its region in
// regionOf.
func (v *validator) checkFailureDomain(path string, fd fleet.FailureDomain, region fleet.Region, regionOf map[fleet.FailureDomain]fleet.Region) {
	v.checkName(path, string(fd))
	if other, known := regionOf[fd]; known {
		v.add(path, ErrDuplicate, "failure domain %q is already in region %q", fd, other)
		return
	}
	regionOf[fd] = region
}

func (v *validator) checkLimits(l *Limits) {
	v.checkRange("limits.first_token_timeout_ms", float64(l.FirstTokenTimeoutMs), 0, maxTimeoutMs)
	v.checkRange("limits.progress_timeout_ms", float64(l.ProgressTimeoutMs), 0, maxTimeoutMs)
	v.checkRange("limits.queue_timeout_ms", float64(l.QueueTimeoutMs), 0, maxTimeoutMs)
	v.checkRange("limits.retry_budget_percent", float64(l.RetryBudgetPercent), 0, maxPercent)
	v.checkRange("limits.batch_harm_percent", float64(l.BatchHarmPercent), 0, maxBatchHarmPercent)
}
