package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/rawhttp"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
)

// Errors of a request. They are causes of contexts as well.
var (
	// ErrDeadline means that the request's deadline passed.
	ErrDeadline = eris.New("deadline of the request passed")
	// ErrYielded means that a batch item gave its slot to an online request.
	ErrYielded = eris.New("batch item gave way to an online request")
	// ErrSinkGone means that the client cannot be written to any more.
	ErrSinkGone = eris.New("client's connection failed")

	errSilent     = eris.New("target sent nothing for the progress timeout")
	errBroken     = eris.New("target's answer broke off")
	errOrder      = eris.New("events are out of order")
	errIncomplete = eris.New("answer lacks the mark of a complete one")
)

// Sink takes the answer to a request.
type Sink interface {
	// Start takes the status and the header, once.
	Start(status int, header http.Header) error
	// Write takes bytes of the body: whole events of a stream, or all of an answer in one piece.
	Write(p []byte) error
}

// Options are the times of a Forwarder.
type Options struct {
	// Connect bounds the first attempt to open a connection to a target; each further try of a request has twice as long. The way to a
	// target of another region and back takes 25 ms.
	Connect time.Duration
	// Progress is the longest silence of a request that can continue at another target, also if its target serves others meanwhile. It is
	// well above the pause between two events of a full target and well below the silence after which clients give a stream up.
	Progress time.Duration
	// Suspect is the longest silence of a target, on all connections, after which it gets no new requests for SuspectFor. A route that
	// states how long its answers and their pauses may take shortens it.
	Suspect    time.Duration
	SuspectFor time.Duration
	// UnreachableFor is how long a target that refused a connection gets no new requests, however many do.
	UnreachableFor time.Duration
	// FreshWithin bounds the idle time of a pooled connection that carries a request which must not run twice. The longer a connection
	// was idle, the likelier the target closes it while the request is on its way.
	FreshWithin time.Duration
	// MaxAnswerBytes bounds an answer that is no stream.
	MaxAnswerBytes int64
}

// DefaultOptions suit streams whose events are 20 to 40 ms apart and whose clients give up after 2 s of silence.
func DefaultOptions() Options {
	return Options{
		Connect:        120 * time.Millisecond,
		Progress:       800 * time.Millisecond,
		Suspect:        700 * time.Millisecond,
		SuspectFor:     1500 * time.Millisecond,
		UnreachableFor: time.Second,
		FreshWithin:    3 * time.Second,
		MaxAnswerBytes: 8 << 20,
	}
}

// Forwarder carries requests to targets. It is safe for concurrent use.
type Forwarder struct {
	board    *Board
	queues   *waitQueues
	client   *rawhttp.Client
	protocol Protocol
	options  Options
	metrics  tally.Scope
}

// NewForwarder returns a forwarder.
func NewForwarder(board *Board, client *rawhttp.Client, protocol Protocol, options Options, metrics tally.Scope) *Forwarder {
	return &Forwarder{board: board, queues: newWaitQueues(board), client: client, protocol: protocol, options: options, metrics: metrics.SubScope("gateway")}
}

// Verdict says how a request ended.
type Verdict string

// Verdicts.
const (
	Answered   Verdict = "answered"         // the whole answer was written
	NotRun     Verdict = "not_run"          // no target ran any part of it, and nothing was written
	Unknown    Verdict = "unknown"          // a target may have run it, and nothing was written
	TimedOut   Verdict = "timed_out"        // like Unknown, at the deadline
	Incomplete Verdict = "incomplete"       // the answer was begun and could not be finished
	Gone       Verdict = "client_gone"      // the client left
	Yielded    Verdict = "yielded"          // a batch item gave way; what was written stays
	Rejected   Verdict = "failed_at_target" // a batch item whose target answered with a failure
)

// Outcome is the result of a request.
type Outcome struct {
	Verdict    Verdict
	RetryAfter time.Duration // advice for the client, with NotRun
	Status     int           // of the target's answer, if one was written or, for a batch item, received
	Cause      error
}

// execution is one request on its way over its tries.
type execution struct {
	*Forwarder
	request    *Request
	sink       Sink         // nil for a batch item
	onEvent    func([]byte) // takes the data of each event of a batch item
	progress   *Progress
	tries      limits.Tries
	excluded   map[fleet.TargetID]bool
	began      bool // the sink was started
	failure    *wholeAnswer
	firstEvent time.Duration // of this try, from the arrival of the request
	status     int
	trail      []string      // one entry a try, for the log
	waited     time.Duration // for a slot, over all tries
}

// retryAfterNoTarget is about the time in which the list of targets catches up with a change.
const retryAfterNoTarget = 300 * time.Millisecond

// Do runs an online request and writes its answer to the sink.
func (f *Forwarder) Do(ctx context.Context, r *Request, sink Sink) Outcome {
	ctx, cancel := context.WithDeadlineCause(ctx, r.Deadline, ErrDeadline)
	defer cancel()
	x := &execution{Forwarder: f, request: r, sink: sink, progress: &Progress{}, excluded: make(map[fleet.TargetID]bool)}
	outcome := x.run(ctx)
	x.record(outcome)
	return outcome
}

// run makes tries until one answers or no further one is allowed.
func (x *execution) run(ctx context.Context) Outcome {
	for {
		asked := time.Now()
		held, err := x.queues.enter(ctx, x.request, x.excluded)
		started := time.Now()
		x.waited += started.Sub(asked)
		if err != nil {
			return x.notPlaced(ctx, err)
		}
		err = x.try(ctx, held)
		held.Release()
		x.queues.ended(x.request.Service, time.Since(started))
		if err == nil {
			x.trail = append(x.trail, trailOf(held))
			return Outcome{Verdict: Answered, Status: x.status}
		}
		if end, ended := x.afterFailure(ctx, held, err); ended {
			return end
		}
	}
}

// trailOf names a target with what was known of it when it was chosen: its online, firm and yieldable requests, its slots, and the age of
// the oldest report of a peer in these counts.
func trailOf(held *Held) string {
	l := held.Load
	return fmt.Sprintf("%s at %d+%d+%d of %d, peer counts %d ms old", held.Target.ID, l.Online, l.Firm, l.Yieldable, held.Target.Slots, held.PeerAge.Milliseconds())
}

// afterFailure decides what follows a failed try.
func (x *execution) afterFailure(ctx context.Context, held *Held, err error) (Outcome, bool) {
	mayHaveRun := !isNotRun(err)
	x.tries.Started++
	if mayHaveRun {
		x.tries.Ran++
	}
	x.excluded[held.Target.ID] = true
	x.trail = append(x.trail, trailOf(held)+": "+err.Error())
	switch {
	case errors.Is(err, ErrSinkGone):
		return Outcome{Verdict: Gone, Cause: err}, true
	case ctx.Err() != nil:
		return x.interrupted(ctx), true
	}
	left := time.Until(x.request.Deadline)
	reason := x.tries.Next(mayHaveRun, x.request.Route.Repeatable(), x.request.Route.MaxAttempts, left)
	if reason == limits.TryAgain {
		klog.V(1).InfoS("Request is tried again", "request", x.request.ID, "target", held.Target.ID, "cause", err.Error(), "resume_after", x.progress.Last, "left_ms", left.Milliseconds())
		return Outcome{}, false
	}
	return x.giveUp(fmt.Errorf("%s: %w", reason, err)), true
}

// interrupted is the outcome when the deadline passed, the client left, or a batch item gave way.
func (x *execution) interrupted(ctx context.Context) Outcome {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrYielded):
		return Outcome{Verdict: Yielded, Cause: cause}
	case !errors.Is(cause, ErrDeadline) && !errors.Is(cause, context.DeadlineExceeded):
		return Outcome{Verdict: Gone, Cause: cause}
	case x.began:
		return Outcome{Verdict: Incomplete, Cause: cause}
	case x.tries.Ran == 0:
		return Outcome{Verdict: NotRun, Cause: cause}
	}
	return Outcome{Verdict: TimedOut, Cause: cause}
}

// notPlaced is the outcome of a request that got no place at a target.
func (x *execution) notPlaced(ctx context.Context, err error) Outcome {
	if ctx.Err() != nil {
		return x.interrupted(ctx)
	}
	outcome := x.giveUp(fmt.Errorf("service %q: %w", x.request.Service, err))
	var refused *refusedError
	if outcome.Verdict == NotRun && errors.As(err, &refused) {
		outcome.RetryAfter = refused.retryAfter
	}
	return outcome
}

// giveUp ends the request after its last try. A failure that a target answered with is passed on rather than replaced by one of ours.
func (x *execution) giveUp(cause error) Outcome {
	switch {
	case x.began:
		return Outcome{Verdict: Incomplete, Cause: cause}
	case x.failure != nil:
		if err := x.failure.write(x); err != nil {
			return Outcome{Verdict: Gone, Cause: err}
		}
		return Outcome{Verdict: Answered, Status: x.failure.status, Cause: cause}
	case x.tries.Ran == 0:
		return Outcome{Verdict: NotRun, Cause: cause, RetryAfter: retryAfterNoTarget}
	}
	return Outcome{Verdict: Unknown, Cause: cause}
}

// record counts and logs how the request ended.
func (x *execution) record(o Outcome) {
	r := x.request
	took := time.Since(r.Arrived)
	x.metrics.Tagged(map[string]string{"route": r.Route.Name, "verdict": string(o.Verdict)}).Counter("requests").Inc(1)
	x.metrics.Tagged(map[string]string{"route": r.Route.Name}).Histogram("duration", latencyBuckets).RecordDuration(took)
	keys := []any{"request", r.ID, "route", r.Route.Name, "service", r.Service, "version", r.Version, "verdict", o.Verdict,
		"status", o.Status, "took_ms", took.Milliseconds(), "waited_ms", x.waited.Milliseconds(),
		"first_ms", x.progress.First.Milliseconds(), "events", x.progress.Events, "tries", x.trail}
	if r.Job != "" {
		keys = append(keys, "job", r.Job, "owned_as_of_ms", r.Arrived.Sub(r.OwnedAsOf).Milliseconds())
	}
	if o.Cause != nil {
		keys = append(keys, "cause", o.Cause.Error())
	}
	klog.InfoS("Request ended", keys...)
}

// latencyBuckets cover 1 ms to about 65 s, doubling.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)
