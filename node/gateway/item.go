package gateway

import (
	"context"
	"errors"

	"eelgrassproxy.example/core/fleet"
)

// RunItem makes one try of a batch item at the held target, from progress on. event takes the data of each event. The outcome is Answered
// after the last event, Yielded if ctx was cancelled with ErrYielded, Rejected with the status of a target that answered with a failure,
// NotRun if the target took no part of it, and otherwise Unknown.
func (f *Forwarder) RunItem(ctx context.Context, r *Request, held *Held, progress *Progress, event func([]byte)) Outcome {
	x := &execution{Forwarder: f, request: r, onEvent: event, progress: progress, excluded: make(map[fleet.TargetID]bool)}
	err := x.try(ctx, held)
	var status *statusError
	outcome := Outcome{Verdict: Unknown, Cause: err}
	switch {
	case err == nil:
		outcome = Outcome{Verdict: Answered, Status: x.status}
	case errors.Is(context.Cause(ctx), ErrYielded):
		outcome.Verdict = Yielded
	case errors.As(err, &status):
		outcome.Verdict, outcome.Status = Rejected, status.status
	case isNotRun(err):
		outcome.Verdict = NotRun
	}
	x.trail = []string{trailOf(held)}
	x.record(outcome)
	return outcome
}
