package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/rawhttp"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
)

// Errors with which a request ends. ErrDeadline, ErrYielded and errSilent are also used as the cause of a cancelled context.
var (
	// ErrDeadline means that the request's deadline passed.
	ErrDeadline = eris.New("request deadline exceeded")
	// ErrYielded means that a batch item ended to free its slot for an online request.
	ErrYielded = eris.New("batch item yielded its slot to an online request")
	// ErrSinkFailed means that writing to the client failed.
	ErrSinkFailed = eris.New("client connection failed")

	errSilent = eris.New("target sent nothing for too long")
	// errGivenUp means that a try received something after another one had taken over the request.
	errGivenUp    = fmt.Errorf("%w: another target was faster", errSilent)
	errTruncated  = eris.New("target's response ended early")
	errEventOrder = eris.New("event ids are not consecutive")
	// errUnidentified means that a response may be a repeated one to an earlier request on its connection.
	errUnidentified = eris.New("response on a reused connection names no request")
	// errUnconfirmed means that a response has a status with ResponseInfo.NotRunStatus without ResponseInfo.NotRun.
	errUnconfirmed = eris.New("target does not confirm that it did not run the request")
	// errUnmarked means that a success response lacks the header that ResponseInfo.Complete stands for.
	errUnmarked = eris.New("success response lacks the completion mark")
	// errOverlong means that a target sent more than the request asks for.
	errOverlong = eris.New("response is longer than the request asks for")
	// errBuffersFull means that there is no memory for another part of a response.
	errBuffersFull = eris.New("responses that are being read take up all of their memory")
	// ErrNotKept means that an ItemSink did not take an event.
	ErrNotKept = eris.New("event of the item cannot be kept")
	// ErrOutputTooLong is the error of an ItemSink for an output that it could not keep even with all of its memory.
	ErrOutputTooLong = eris.New("output of the item is too long to be listed")
)

// Sink receives the response to a request. An error of its methods ends the request.
type Sink interface {
	// Start receives the status and the header. It is called once, before Write.
	Start(status int, header http.Header) error
	// Write receives the next bytes of the body: whole events of a stream, or the complete body of a response that is not a stream. p is only
	// valid during the call.
	Write(p []byte) error
}

// Options are the timeouts and size limits of a Forwarder.
type Options struct {
	// ConnectTimeout is the timeout for opening a connection in the first try of a request; it doubles with each further try. The round trip to a
	// target in another region takes 25 ms.
	ConnectTimeout time.Duration
	// ProgressTimeout is the maximum time without progress of a request that can continue at another target, even if its target sends to other
	// requests meanwhile. It is well above the pause between two events of a full target, and well below the time after which clients give
	// up a silent stream. It doubles with each try of the request that ended for silence.
	ProgressTimeout time.Duration
	// SuspectAfter is the maximum time for which a target may be silent on all of its connections. After that it gets no new requests for
	// SuspectFor. For streams of online requests, half of Route.Objective shortens it before the first event, and half of Route.MaxEventGap
	// after it; see quietTime.
	SuspectAfter time.Duration
	SuspectFor   time.Duration
	// UnreachableFor is how long a target gets no new requests after a connection to it could not be opened, however many targets are
	// unreachable. If no other target is left, it is used nevertheless; see Board.Avoid.
	UnreachableFor time.Duration
	// FreshWithin is the maximum idle time of a pooled connection that is used for a request that must not run twice. The longer a connection
	// was idle, the more likely the target closes it while the request is on its way, which leaves open whether the request ran.
	FreshWithin time.Duration
	// MaxResponseBytes is the maximum body size of a response that is not a stream, and of a stream for which the request states no length.
	MaxResponseBytes int64
	// MaxBufferedBytes bounds the memory for all responses to online requests that are read whole and for the events that are being read, beyond
	// smallResponseBytes of each request.
	MaxBufferedBytes int64
}

// DefaultOptions returns options for streams whose events are 20 to 40 ms apart and whose clients give up after 2 s without an event.
func DefaultOptions() Options {
	return Options{
		ConnectTimeout:   120 * time.Millisecond,
		ProgressTimeout:  800 * time.Millisecond,
		SuspectAfter:     700 * time.Millisecond,
		SuspectFor:       1500 * time.Millisecond,
		UnreachableFor:   time.Second,
		FreshWithin:      3 * time.Second,
		MaxResponseBytes: 8 << 20,
		MaxBufferedBytes: 24 << 20,
	}
}

// Forwarder sends requests to targets and relays their responses. It is safe for concurrent use.
type Forwarder struct {
	board    *Board
	queues   *waitQueues
	client   *rawhttp.Client
	protocol Protocol
	options  Options
	buffers  *limits.Budget
	metrics  tally.Scope
	parts    *PartGuard // nil if no parts are guarded against
}

// NewForwarder returns a Forwarder that reserves slots on board, sends with client and reports below the scope metrics.
func NewForwarder(board *Board, client *rawhttp.Client, protocol Protocol, options Options, metrics tally.Scope) *Forwarder {
	return &Forwarder{board: board, queues: newWaitQueues(board), client: client, protocol: protocol, options: options,
		buffers: limits.NewBudget(options.MaxBufferedBytes), metrics: metrics.SubScope("gateway")}
}

// ExchangeUsage makes the shares of client accounts count what other instances spend on them. Call it before the first request.
func (f *Forwarder) ExchangeUsage(q *Quotas) {
	f.queues.spend = q.Spend
	q.OnSpent(f.queues.chargeOthers)
}

// GuardParts keeps requests with parts that crash targets from all targets. Call it before the first request.
func (f *Forwarder) GuardParts(g *PartGuard) { f.parts, f.queues.parts = g, g }

// Verdict says how a request ended.
type Verdict string

// Verdicts.
const (
	Answered       Verdict = "answered"         // the whole response was written
	NotRun         Verdict = "not_run"          // no target ran any part of the request, and nothing was written
	Blocked        Verdict = "blocked"          // like NotRun, because a part of the prompt crashes targets; a repeat would end in the same way
	Unknown        Verdict = "unknown"          // a target may have run the request, and nothing was written
	TimedOut       Verdict = "timed_out"        // like Unknown, because the deadline passed
	Incomplete     Verdict = "incomplete"       // the response was written in part and could not be completed
	ClientGone     Verdict = "client_gone"      // the client cancelled the request or its connection failed
	Yielded        Verdict = "yielded"          // a batch item ended for an online request; the events received so far are kept
	FailedAtTarget Verdict = "failed_at_target" // a batch item whose target sent a failure response
	Overlong       Verdict = "overlong"         // a batch item whose target sent more than it asks for; none of the events of the try counts
	NotKept        Verdict = "not_kept"         // a batch item whose events cannot be kept; none of those of the try counts
)

// Outcome is the result of a request.
type Outcome struct {
	Verdict    Verdict
	RetryAfter time.Duration // with NotRun, when the client should retry; 0 if there is no advice
	Status     int           // of the target's response, if one was written or, for a batch item, received; otherwise 0
	Cause      error         // why the request failed; may also be set with Answered if the target's response is a failure
}

// execution is the state of one request over all of its tries.
type execution struct {
	*Forwarder
	request     *Request
	sink        Sink     // nil for a batch item
	items       ItemSink // of a batch item, otherwise nil
	progress    *Progress
	buffers     heldBuffers   // of what is being read; for a whole response until the request ends
	sinkStarted bool          // the sink was started
	firstEvent  time.Duration // from the arrival of the request to the first event of this try; 0 before
	status      int           // of the response that is passed on
	waited      time.Duration // time spent waiting for a slot, over all tries

	// mu guards the fields below, which the goroutines of hedges use too, and those of silenceWatch; taken before the board's mutex.
	mu              sync.Mutex
	tries           limits.Tries
	ran             map[fleet.TargetID]int  // number of tries that may have run, by target
	excluded        map[fleet.TargetID]bool // targets at which a try failed
	refused         map[fleet.TargetID]*refusals
	left            map[fleet.TargetID]int // number of times that the request left a target because it was silent
	hedges          int                    // hedges since the last event that was passed on
	failureResponse *wholeResponse         // the latest failure response that was retried instead of written
	hedgeBuffers    []heldBuffers          // of responses to hedges that are kept
	tryLog          []string               // one entry for each try, for the log
}

// retryAfterNoTarget is the retry advice if no target could run the request. It is about the time in which a change reaches the list of targets.
const retryAfterNoTarget = 300 * time.Millisecond

// Do runs an online request and writes the response to the sink. It returns when the request has ended, at the latest soon after its deadline.
func (f *Forwarder) Do(ctx context.Context, r *Request, sink Sink) Outcome {
	ctx, cancel := context.WithDeadlineCause(ctx, r.Deadline, ErrDeadline)
	defer cancel()
	x := f.newExecution(r, &Progress{Last: r.After}, heldBuffers{budget: f.buffers, free: smallResponseBytes})
	x.sink = sink
	defer x.releaseBuffers()
	outcome := x.run(ctx)
	x.recordOutcome(outcome)
	return outcome
}

// newExecution returns the state of a request before its first try.
func (f *Forwarder) newExecution(r *Request, progress *Progress, buffers heldBuffers) *execution {
	return &execution{
		Forwarder: f, request: r, progress: progress, buffers: buffers,
		ran: make(map[fleet.TargetID]int), excluded: make(map[fleet.TargetID]bool), refused: make(map[fleet.TargetID]*refusals), left: make(map[fleet.TargetID]int),
	}
}

// releaseBuffers returns all memory that the request holds.
func (x *execution) releaseBuffers() {
	x.buffers.releaseAll()
	for i := range x.hedgeBuffers {
		x.hedgeBuffers[i].releaseAll()
	}
}

// run makes tries until one succeeds or no further one is allowed.
func (x *execution) run(ctx context.Context) Outcome {
	for {
		asked := time.Now()
		reservation, err := x.place(ctx)
		x.waited += time.Since(asked)
		if err != nil {
			return x.notPlaced(ctx, err)
		}
		if end, ended := x.runTries(ctx, newTry(ctx, reservation)); ended {
			return end
		}
	}
}

// runTries makes a try, and goes on with the hedges that continue it. It returns the outcome and true unless the request is to be placed again.
func (x *execution) runTries(ctx context.Context, t *targetTry) (Outcome, bool) {
	watch := x.watchSilence(ctx, t)
	defer watch.stop()
	for {
		err := x.try(ctx, t, watch)
		next := watch.next(t, err)
		if err == nil || next == nil {
			watch.stop()
		}
		x.endTry(t)
		if err == nil {
			x.logTry(t, "")
			return Outcome{Verdict: Answered, Status: x.status}, true
		}
		if next == nil {
			return x.afterFailure(ctx, t, err)
		}
		if x.mustEnd(ctx, err) {
			x.abandon(watch, next)
			return x.afterFailure(ctx, t, err)
		}
		t = next
	}
}

// mustEnd reports whether the request ends after a try that failed with err, though a hedge could continue it.
func (x *execution) mustEnd(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, ErrSinkFailed) || errors.Is(err, errOverlong) && x.sinkStarted || errors.Is(err, rawhttp.ErrInvalidRequest)
}

// abandon ends and records the hedge that would continue the request, and those after it.
func (x *execution) abandon(watch *silenceWatch, next *targetTry) {
	for _, t := range watch.cancelFrom(next) {
		<-t.opened
		err := t.err
		if err == nil {
			err = errOvertaken
			t.response.Abort()
		}
		x.mu.Lock()
		x.record(t, err)
		x.mu.Unlock()
		x.board.EndUnobserved(t.target())
		x.endTry(t)
	}
}

// endTry releases what a try holds.
func (x *execution) endTry(t *targetTry) {
	t.reservation.Release()
	x.queues.requestEnded(x.request.Service, time.Since(t.started))
	if t.opened != nil {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.endHedge(t)
	}
}

// place reserves a slot for the next try: at a target at which the request has not run if its route allows another one, and otherwise, or if those are
// full, at one that did not fail. If there is none and the request may have run, so that its client could not be told to repeat it, it waits for targets that refused it.
func (x *execution) place(ctx context.Context) (*Reservation, error) {
	for {
		x.mu.Lock()
		tried, again := keys(x.ran), keys(x.sound())
		maps.Copy(tried, x.excluded)
		mayRunElsewhere := len(x.ran) == 0 || len(x.ran) < x.request.Route.MaxAttempts
		readmit, waits := x.nextReadmission()
		x.mu.Unlock()
		var reservation *Reservation
		err := errNoTarget
		if mayRunElsewhere {
			reservation, err = x.queues.enter(ctx, x.request, tried, again)
		}
		var refused *refusedError
		if len(again) > 0 && (errors.Is(err, errNoTarget) || errors.As(err, &refused)) {
			reservation, err = x.queues.enterAgain(ctx, x.request, again)
		}
		if !errors.Is(err, errNoTarget) || !waits {
			return reservation, err
		}
		select {
		case <-time.After(time.Until(readmit)):
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for a target that refused: %w", context.Cause(ctx))
		}
		x.mu.Lock()
		x.readmit(time.Now())
		x.mu.Unlock()
	}
}

const (
	// refusalPause is the time after which a target that did not run a request may get it again, and doubles with each refusal. A target that is full is
	// known to be so a few milliseconds later, and a slot becomes free in a few hundred.
	refusalPause = 100 * time.Millisecond
	// maxReadmissions is the maximum number of times that a target may get a request again that it refused.
	maxReadmissions = 3
)

// refusals is what is known of a target that did not run a request.
type refusals struct {
	count int
	until time.Time // when the target may get the request again
}

// countRefusal records that a target did not run the request; x.mu is held.
func (x *execution) countRefusal(id fleet.TargetID) {
	r := x.refused[id]
	if r == nil {
		r = &refusals{}
		x.refused[id] = r
	}
	r.until = time.Now().Add(refusalPause << r.count)
	r.count++
}

// nextReadmission returns when a target that refused the request may get it again, and false if there is none or the client may be told that the request
// did not run; x.mu is held.
func (x *execution) nextReadmission() (time.Time, bool) {
	var next time.Time
	if len(x.ran) == 0 {
		return next, false
	}
	for id, r := range x.refused {
		if x.excluded[id] && r.count <= maxReadmissions && (next.IsZero() || r.until.Before(next)) {
			next = r.until
		}
	}
	return next, !next.IsZero()
}

// readmit lets targets get the request again whose refusal is some time ago; x.mu is held.
func (x *execution) readmit(now time.Time) {
	for id, r := range x.refused {
		if x.excluded[id] && r.count <= maxReadmissions && !now.Before(r.until) {
			delete(x.excluded, id)
		}
	}
}

// describeTry returns a log entry with a target and its state when it was chosen: the numbers of its online, firm and yieldable requests, its
// slots, and the age of the oldest peer report in these numbers.
func describeTry(reservation *Reservation) string {
	l := reservation.Load
	return fmt.Sprintf("%s at %d+%d+%d of %d, peer counts %d ms old", reservation.Target.ID, l.Online, l.Firm, l.Yieldable, reservation.Target.Slots, reservation.PeerAge.Milliseconds())
}

// maxLoggedTries is the maximum number of tries of a request that are described in its log line.
const maxLoggedTries = 12

// logTry adds a try to the log line of the request.
func (x *execution) logTry(t *targetTry, end string) {
	if len(x.tryLog) == maxLoggedTries {
		return
	}
	entry := describeTry(t.reservation)
	if t.opened != nil {
		entry = "hedge: " + entry
	}
	x.tryLog = append(x.tryLog, entry+end)
}

// record counts a try that ended with err. The target of one that was given up may be used again; x.mu is held.
func (x *execution) record(t *targetTry, err error) {
	id := t.target()
	if !isNotRun(err) {
		x.ran[id]++
		x.tries.MayHaveRun = len(x.ran)
	}
	if !t.wasOvertaken() && !errors.Is(context.Cause(t.ctx), errSilent) {
		x.tries.Started++
		x.excluded[id] = true
		if isNotRun(err) {
			x.countRefusal(id)
		} else {
			delete(x.refused, id)
		}
	}
	x.logTry(t, ": "+err.Error())
}

// afterFailure decides whether another try follows a failed one that no hedge continues. If none does, it returns the outcome and true. All tries must have
// been recorded.
func (x *execution) afterFailure(ctx context.Context, t *targetTry, err error) (Outcome, bool) {
	x.mu.Lock()
	tries, maxAttempts := x.tries, x.request.Route.MaxAttempts
	if len(x.sound()) > 0 {
		maxAttempts = math.MaxInt // the next try needs no other target
	}
	x.mu.Unlock()
	switch {
	case errors.Is(err, ErrSinkFailed):
		return Outcome{Verdict: ClientGone, Cause: err}, true
	case ctx.Err() != nil:
		return x.interrupted(ctx), true
	case errors.Is(err, errOverlong) && x.sinkStarted:
		return x.giveUp(err), true // some of the events that were passed on may not belong to the response
	case errors.Is(context.Cause(t.ctx), errAnsweredElsewhere):
		return x.giveUp(err), true
	case errors.Is(err, rawhttp.ErrInvalidRequest):
		return x.giveUp(err), true
	}
	left := time.Until(x.request.Deadline)
	reason := tries.CheckRetry(!isNotRun(err), x.request.Route.Repeatable(), maxAttempts, left)
	if reason == limits.TryAgain {
		klog.V(1).InfoS("Retrying request", "request", x.request.ID, "target", t.target(), "cause", err.Error(), "resume_after", x.progress.Last, "left_ms", left.Milliseconds())
		return Outcome{}, false
	}
	return x.giveUp(fmt.Errorf("%s: %w", reason, err)), true
}

// triesSoFar returns the counts of the tries that were recorded.
func (x *execution) triesSoFar() limits.Tries {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.tries
}

// interrupted returns the outcome of a request whose ctx has ended, by the cause of ctx.
func (x *execution) interrupted(ctx context.Context) Outcome {
	cause := context.Cause(ctx)
	tries := x.triesSoFar()
	switch {
	case errors.Is(cause, ErrYielded):
		return Outcome{Verdict: Yielded, Cause: cause}
	case !errors.Is(cause, ErrDeadline) && !errors.Is(cause, context.DeadlineExceeded):
		return Outcome{Verdict: ClientGone, Cause: cause}
	case x.sinkStarted:
		return Outcome{Verdict: Incomplete, Cause: cause}
	case tries.MayHaveRun == 0:
		return Outcome{Verdict: NotRun, Cause: cause}
	}
	return Outcome{Verdict: TimedOut, Cause: cause}
}

// notPlaced returns the outcome of a request that got no slot at a target.
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

// giveUp returns the outcome of a request after its last try. A failure response of a target is written to the client rather than replaced by
// an error of the gateway.
func (x *execution) giveUp(cause error) Outcome {
	x.mu.Lock()
	failure, tries := x.failureResponse, x.tries
	x.mu.Unlock()
	switch {
	case x.sinkStarted:
		return Outcome{Verdict: Incomplete, Cause: cause}
	case failure != nil:
		if err := failure.write(x); err != nil {
			return Outcome{Verdict: ClientGone, Cause: err}
		}
		return Outcome{Verdict: Answered, Status: failure.status, Cause: cause}
	case tries.MayHaveRun == 0 && errors.Is(cause, errPartBlocked):
		return Outcome{Verdict: Blocked, Cause: cause}
	case tries.MayHaveRun == 0:
		return Outcome{Verdict: NotRun, Cause: cause, RetryAfter: retryAfterNoTarget}
	}
	return Outcome{Verdict: Unknown, Cause: cause}
}

// recordOutcome counts and logs the outcome.
func (x *execution) recordOutcome(o Outcome) {
	r := x.request
	took := time.Since(r.Arrived)
	x.metrics.Tagged(map[string]string{"route": r.Route.Name, "verdict": string(o.Verdict)}).Counter("requests").Inc(1)
	x.metrics.Tagged(map[string]string{"route": r.Route.Name}).Histogram("duration", latencyBuckets).RecordDuration(took)
	keys := []any{"request", r.ID, "route", r.Route.Name, "service", r.Service, "version", r.Version, "verdict", o.Verdict,
		"status", o.Status, "took_ms", took.Milliseconds(), "waited_ms", x.waited.Milliseconds(),
		"first_ms", x.progress.First.Milliseconds(), "events", x.progress.Events, "tries", x.tryLog}
	if r.Account != nil {
		keys = append(keys, "account", r.Account.Name)
	}
	if r.Job != "" {
		keys = append(keys, "job", r.Job, "owned_as_of_ms", r.Arrived.Sub(r.OwnershipConfirmed).Milliseconds())
	}
	if o.Cause != nil {
		keys = append(keys, "cause", o.Cause.Error())
	}
	klog.InfoS("Request ended", keys...)
}

// latencyBuckets range from 1 ms to about 65 s, each twice the one before.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)
