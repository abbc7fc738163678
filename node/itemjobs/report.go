package itemjobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"
)

// submissionReport collects what is logged and counted when a submission is answered.
type submissionReport struct {
	// attempts has one entry for each attempt to record the job: the instance that made it, its duration and its result.
	attempts []string
	// mayBeRecorded is set when the outcome of an attempt is unknown.
	mayBeRecorded bool
}

// thisInstance stands for this instance in submissionReport.attempts; peers are shown by their addresses.
const thisInstance = "this instance"

// add adds an attempt that an instance began at started and that ended with err.
func (r *submissionReport) add(instance string, started time.Time, err error) {
	result := "recorded"
	if err != nil {
		result = err.Error()
	}
	r.attempts = append(r.attempts, fmt.Sprintf("%s in %d ms: %s", instance, time.Since(started).Milliseconds(), result))
	r.mayBeRecorded = r.mayBeRecorded || errors.Is(err, ErrOutcomeUnknown)
}

// Outcomes of submissions in logs and metrics.
const (
	outcomeAccepted    = "accepted"
	outcomeTokenLimit  = "token_limit"
	outcomeUnavailable = "unavailable"
	outcomeInvalid     = "invalid"
	outcomeUnknown     = "unknown"
)

// outcomeOf returns the outcome that an error of Submit stands for.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return outcomeAccepted
	case errors.Is(err, ErrTokenLimit):
		return outcomeTokenLimit
	case errors.Is(err, ErrUnavailable):
		return outcomeUnavailable
	case errors.Is(err, ErrInvalid):
		return outcomeInvalid
	}
	return outcomeUnknown
}

// reportSubmission counts the answer to a submission and logs it. Accepted submissions are logged at verbosity 1 only, since their owner logs
// them too.
func (s *Service) reportSubmission(sub Submission, report submissionReport, err error) {
	outcome := outcomeOf(err)
	s.stats.submitted(outcome)
	level := klog.Level(0)
	if err == nil {
		level = 1
	}
	klog.V(level).InfoS("Submission answered", "job", sub.ID, "route", sub.Route.Name, "outcome", outcome, "may_be_recorded", report.mayBeRecorded,
		"attempts", report.attempts, "took_ms", time.Since(sub.Arrived).Milliseconds(), "cause", causeOf(err))
}

func causeOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Submit records the job. It is idempotent: repeated submissions of a job at any instance are accepted once. nil means that the job is accepted.
// After ErrTokenLimit, ErrUnavailable and ErrInvalid, no part of it runs unless another submission of it is accepted; after ErrOutcomeUnknown it
// may run. An instance that cannot record the job, or should not own it, forwards it to a peer.
func (s *Service) Submit(ctx context.Context, sub Submission) error {
	var report submissionReport
	err := s.submit(ctx, sub, &report)
	s.reportSubmission(sub, report, err)
	return err
}
