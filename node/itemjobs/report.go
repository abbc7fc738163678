package itemjobs

import (
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// reportSubmission counts the answer to a submission and logs it. Accepted submissions are logged at verbosity 1 only, since their owner logs
// them too.
func (s *Service) reportSubmission(sub Submission, outcome Outcome, attempts []attempt) {
	s.stats.submitted(outcome)
	level := klog.Level(0)
	if outcome == Accepted {
		level = 1
	}
	logger := klog.V(level)
	if !logger.Enabled() {
		return
	}
	logger.InfoS("Submission answered", "job", sub.ID, "route", sub.Route.Name, "outcome", outcome.String(),
		"may_be_recorded", mayBeRecorded(attempts), "attempts", describe(attempts), "took_ms", time.Since(sub.Arrived).Milliseconds())
}

const (
	// minFullReport is how long a service must have no room for waiting items to be reported. Bursts of online requests fill all slots for shorter.
	minFullReport = 3 * time.Second
	// fullReportInterval is the minimum interval between two reports of the same service.
	fullReportInterval = 10 * time.Second
)

// fullService is a service that has had no room for waiting items since a time.
type fullService struct {
	since, reported time.Time
}

// reportFull logs and measures how long services have no room for waiting items. full holds those of the round that just ended. Only the scheduler
// calls it.
func (s *Service) reportFull(full []string) {
	now := s.Now()
	for service, f := range s.full {
		if !slices.Contains(full, service) {
			s.stats.roomFound(service, now.Sub(f.since))
			delete(s.full, service)
		}
	}
	for _, service := range full {
		f, ok := s.full[service]
		if !ok {
			f = &fullService{since: now}
			s.full[service] = f
		}
		if now.Sub(f.since) < minFullReport || now.Sub(f.reported) < fullReportInterval {
			continue
		}
		f.reported = now
		pool := s.Board.Pool(service)
		klog.InfoS("Items wait because their service has no room", "service", service, "for_ms", now.Sub(f.since).Milliseconds(),
			"usable_targets", pool.Usable, "at_home_elsewhere", pool.Foreign, "slots", pool.Slots, "online", pool.Load.Online, "firm", pool.Load.Firm, "yieldable", pool.Load.Yieldable)
	}
}

// reportMemory updates the metrics of the memory for items.
func (s *Service) reportMemory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.memory.report(&s.memory)
}

// reportMemoryFull logs that items wait for memory. Only the scheduler calls it; the caller holds s.mu.
func (s *Service) reportMemoryFull(now time.Time) {
	if now.Sub(s.memoryFullReported) < fullReportInterval {
		return
	}
	s.memoryFullReported = now
	runs := 0
	for _, list := range s.runs {
		runs += len(list)
	}
	klog.InfoS("Items wait because the memory for items is used up", "used_bytes", s.memory.kept.Used(), "limit_bytes", s.memory.kept.Limit(),
		"runs", runs, "jobs", len(s.jobs))
}
