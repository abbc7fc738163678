package gateway

import (
	"context"
	"errors"
)

// ItemSink receives the output of a batch item.
type ItemSink interface {
	// Event receives the data of an event, which is valid during the call. An error ends the try.
	Event(data []byte) error
	// Reserve and Release reserve and return memory in bytes for parts of events, beyond MinItemBuffer. If Reserve returns false, the try ends.
	Reserve(n int64) bool
	Release(n int64)
}

// MinItemBuffer is the memory in bytes that any try of a batch item takes up, without the events that are complete: the buffers of its connection and of
// the response, and the request.
const MinItemBuffer = 32 << 10

// RunItem makes one try of a batch item at the reserved target, continuing after progress, which it updates. The sink receives the events. The verdict
// is Answered after the last event, Yielded if ctx was cancelled with ErrYielded, FailedAtTarget with the status of the response if the target sent a
// failure or another valid response that is not an event stream, NotRun if the target ran no part of the item, Blocked if the item has a part that
// crashes targets, Overlong if it sent more than the item asks for, NotKept if the sink did not take an event or has no memory for it, or ctx was
// cancelled with ErrNotKept, and otherwise Unknown. After Overlong and NotKept, progress is as before the try, and the caller must drop the events that it
// got from it: where the sound ones end is not known. The caller releases the reservation.
func (f *Forwarder) RunItem(ctx context.Context, r *Request, reservation *Reservation, progress *Progress, sink ItemSink) Outcome {
	x := f.newExecution(r, progress, heldBuffers{budget: sink, free: relayBufferBytes * eventCopies})
	x.items = sink
	before := *progress
	t := newTry(ctx, reservation)
	watch := x.watchSilence(ctx, t)
	err := x.try(ctx, t, watch)
	watch.stop()
	var status *statusError
	outcome := Outcome{Verdict: Unknown, Cause: err}
	switch {
	case err == nil:
		outcome = Outcome{Verdict: Answered, Status: x.status}
	case errors.Is(err, errOverlong):
		outcome.Verdict = Overlong
	case errors.Is(err, ErrNotKept) || errors.Is(err, errBuffersFull) || errors.Is(context.Cause(ctx), ErrNotKept):
		outcome.Verdict = NotKept
	case errors.Is(context.Cause(ctx), ErrYielded):
		outcome.Verdict = Yielded
	case errors.As(err, &status):
		outcome.Verdict, outcome.Status = FailedAtTarget, status.status
	case errors.Is(err, errPartBlocked):
		outcome.Verdict = Blocked
	case isNotRun(err):
		outcome.Verdict = NotRun
	}
	if outcome.Verdict == Overlong || outcome.Verdict == NotKept {
		progress.Last, progress.Events = before.Last, before.Events
	}
	x.logTry(t, "")
	x.recordOutcome(outcome)
	return outcome
}
