package itemjobs

import (
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
