package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/rawhttp"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/core/stream"
)

// isNotRun reports whether a try that failed with err certainly did not run at its target.
func isNotRun(err error) bool {
	return errors.Is(err, httpcall.ErrNotRun) || errors.Is(err, httpcall.ErrNotSent)
}

// Progress is the progress of a response over all tries.
type Progress struct {
	Last   int64         // id of the last event that was passed on
	Events int           // events that were passed on
	First  time.Duration // from the arrival of the request to the first write to the client; 0 before
	// SilentTries is the number of tries that were ended because their target sent nothing for too long. Each doubles the patience with the next one.
	SilentTries int
}

// try makes one try, or goes on with a hedge, and records its outcome for the health of the target. It returns nil when the whole response was passed
// on.
func (x *execution) try(ctx context.Context, t *targetTry, watch *silenceWatch) error {
	before := x.progress.Events
	x.firstEvent = 0
	err := x.sendAndRelay(t, watch)
	outcome := limits.Outcome{Failed: err != nil || x.status >= http.StatusInternalServerError}
	if x.progress.Events > before {
		outcome.Latency = x.firstEvent - t.started.Sub(x.request.Arrived)
	}
	x.observe(ctx, t, err, outcome)
	return err
}

// observe records the outcome of a try, which ended with err, for the health of its target.
func (x *execution) observe(ctx context.Context, t *targetTry, err error, outcome limits.Outcome) {
	id := t.target()
	switch {
	case sentTooMuch(err):
		x.board.MarkOverlong(id)
	case err == nil && x.sink == nil:
		x.board.ClearOverlong(id)
	}
	if err != nil && (t.wasOvertaken() || x.isUnrelatedToHealth(ctx, err)) {
		x.board.EndUnobserved(id)
		return
	}
	x.board.Observe(id, outcome)
}

// sentTooMuch reports whether a try failed because its target sent more than the request asks for or than can be kept.
func sentTooMuch(err error) bool {
	for _, tooMuch := range []error{errOverlong, ErrOutputTooLong, stream.ErrEventTooLarge, rawhttp.ErrHeadTooLong} {
		if errors.Is(err, tooMuch) {
			return true
		}
	}
	return false
}

// isUnrelatedToHealth reports whether a try failed for a reason that does not reflect the health of its target. The failure response to a batch
// item and an output that cannot be kept count as such reasons, since the item itself may be the cause and fail at every target.
func (x *execution) isUnrelatedToHealth(ctx context.Context, err error) bool {
	var itemFailure *statusError
	return errors.Is(err, httpcall.ErrNotRun) || errors.Is(err, errPartBlocked) || errors.Is(err, ErrSinkFailed) || errors.Is(err, errBuffersFull) || errors.Is(err, ErrNotKept) ||
		errors.As(err, &itemFailure) || ctx.Err() != nil
}

// sendAndRelay sends the request to the target of a try, or takes over what a hedge has received, and relays the response.
func (x *execution) sendAndRelay(t *targetTry, watch *silenceWatch) (err error) {
	defer t.cancel(nil)
	if t.opened != nil {
		return x.relayHedge(t, watch)
	}
	if err := x.parts.check(x.request); err != nil {
		return httpcall.NotSent(err)
	}
	var response *rawhttp.Response
	defer func() { x.parts.tryEnded(t.ctx, x.request, t.reservation, response, err) }()
	attempt := Attempt{Target: t.reservation.Target, Remaining: time.Until(x.request.Deadline), Resume: x.progress.Events > 0, After: x.progress.Last}
	response, err = x.client.Do(t.ctx, t.reservation.Target.Address, x.newRequest(attempt, x.triesSoFar().Started))
	if err != nil {
		x.countSilence(t.ctx)
		return x.handleSendError(t.ctx, t.reservation, err)
	}
	defer response.Body.Close()
	err = x.handleResponse(t, response, watch)
	if err != nil {
		x.countSilence(t.ctx)
		// The request may be sent again with the same id, so that a repeated response on this connection could not be told from a new one.
		response.Abort()
	}
	return err
}

// relayHedge waits until a hedge that the request goes on with has made progress, and relays its response.
func (x *execution) relayHedge(t *targetTry, watch *silenceWatch) error {
	<-t.opened
	var err error
	if t.err == nil { // otherwise openHedge has told of the end
		defer func() { x.parts.tryEnded(t.ctx, x.request, t.reservation, t.response, err) }()
	}
	switch {
	case t.whole != nil:
		err = x.finishWhole(t, t.whole, t.info, watch)
	case t.err != nil:
		err = t.err
	default:
		x.status = t.response.Status
		err = x.relay(t, t, t.response, t.info, watch)
	}
	if err != nil {
		x.countSilence(t.ctx)
	}
	if t.response != nil && err != nil {
		t.response.Abort()
	} else if t.response != nil {
		_ = t.response.Body.Close() // the response is complete
	}
	return err
}

// countSilence counts a try that its silence watch ended by cancelling ctx.
func (x *execution) countSilence(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errSilent) {
		x.progress.SilentTries++
	}
}

// handleResponse relays a response whose header has arrived.
func (x *execution) handleResponse(t *targetTry, response *rawhttp.Response, watch *silenceWatch) error {
	info, err := x.checkHeader(t, response, watch)
	if err != nil {
		return err
	}
	if x.isStream(response, info) {
		x.status = response.Status
		return x.relay(t, response.Body, response, info, watch)
	}
	whole, err := x.readWholeResponse(t, response, &x.buffers, watch)
	if err != nil {
		return err
	}
	return x.finishWhole(t, whole, info, watch)
}

// checkHeader returns what the header of a response says, or an error if the response is not one to the request.
func (x *execution) checkHeader(t *targetTry, response *rawhttp.Response, watch *silenceWatch) (ResponseInfo, error) {
	info := x.protocol.DecodeResponse(response.Status, response.Header)
	watch.received(t)
	if info.Unidentified && !response.First {
		return info, fmt.Errorf("%w: status %d", errUnidentified, response.Status)
	}
	if info.Leaving && !info.OtherTarget {
		x.targetLeaves(t.reservation, response.Status)
	}
	if !info.NotRun {
		x.board.ClearSuspicion(t.target())
	}
	switch {
	case info.OtherTarget:
		x.board.Avoid(t.target(), x.options.SuspectFor, "its address belongs to another target")
		return info, fmt.Errorf("%w: address belongs to another target", httpcall.ErrNotRun)
	case info.NotRun:
		return info, fmt.Errorf("%w: status %d", httpcall.ErrNotRun, response.Status)
	case info.NotRunStatus && (x.sink == nil || !x.request.Route.Repeatable()):
		return info, fmt.Errorf("%w: status %d", errUnconfirmed, response.Status)
	}
	return info, nil
}

// targetLeaves keeps new requests from a target that has just said that it is leaving, and closes its pooled connections.
func (x *execution) targetLeaves(reservation *Reservation, status int) {
	if !x.board.markLeaving(reservation, x.request, status) {
		return
	}
	x.metrics.Counter("target_departures").Inc(1)
	x.client.CloseIdle(reservation.Target.Address)
}

// newRequest builds the HTTP request of a try. failed is the number of tries that failed before.
func (x *execution) newRequest(attempt Attempt, failed int) *rawhttp.Request {
	r := x.request
	out := &rawhttp.Request{
		Method: r.Method,
		URI:    r.URI,
		Host:   r.Host,
		Header: x.protocol.Header(r, attempt),
		Body:   r.Body,
		Mine:   func(header http.Header) bool { return x.protocol.Matches(r.ID, header) },
		// The timeout is short because a lost SYN packet is sent again only after a second. It grows with the tries in case the network is slow
		// to all targets.
		ConnectWithin: x.options.ConnectTimeout << min(failed, maxConnectDoublings),
	}
	if !r.Route.Repeatable() {
		out.MaxIdle = x.options.FreshWithin
	}
	return out
}

// maxConnectDoublings is the maximum number of times that the connect timeout of a request doubles.
const maxConnectDoublings = 3

// handleSendError handles a try that got no response header and returns err: it avoids a target that could not be connected to.
func (x *execution) handleSendError(ctx context.Context, reservation *Reservation, err error) error {
	switch {
	case errors.Is(err, rawhttp.ErrInvalidRequest): // says nothing about the target
	case errors.Is(err, httpcall.ErrNotSent) && ctx.Err() == nil:
		x.board.Avoid(reservation.Target.ID, x.options.UnreachableFor, "unreachable")
		x.client.CloseIdle(reservation.Target.Address)
	default:
		x.closeIdleIfSilent(ctx, reservation)
	}
	return err
}

// closeIdleIfSilent closes the pooled connections to the target if the try was cancelled because the target sent nothing: they have probably
// failed too.
func (x *execution) closeIdleIfSilent(ctx context.Context, reservation *Reservation) {
	if errors.Is(context.Cause(ctx), errSilent) {
		x.client.CloseIdle(reservation.Target.Address)
	}
}

const (
	// maxEventBytes is the maximum size of one event. Events of a few tokens have less than a kilobyte.
	maxEventBytes = 256 << 10
	// relayBufferBytes is the size in bytes of one read of a stream.
	relayBufferBytes = 4 << 10
	// maxTokenBytes is the maximum size of a stream in bytes per token, with the framing of the events. Tokens have a few bytes each, and an event with
	// one token about a hundred.
	maxTokenBytes = 1 << 10
	// eventCopies is the number of times that the bytes of an event may be in memory while it is passed on: the buffer of the splitter grows by doubling,
	// and a client's copy is made.
	eventCopies = 3
	// streamOverheadBytes is the size in bytes that any stream may have in addition, for example for comments.
	streamOverheadBytes = 64 << 10
)

// maxStreamBytes returns the maximum size of the stream of one try in bytes.
func (x *execution) maxStreamBytes() int64 {
	limit := x.options.MaxResponseBytes
	if tokens := x.request.MaxTokens; tokens > 0 && tokens < limit/maxTokenBytes {
		limit = min(limit, streamOverheadBytes+tokens*maxTokenBytes)
	}
	return limit
}

// relay passes on whole events as they arrive and checks that their ids are consecutive, across tries as well. Comments are passed on too, but only
// events are progress. body is what is left of the response.
func (x *execution) relay(t *targetTry, body io.Reader, response *rawhttp.Response, info ResponseInfo, watch *silenceWatch) error {
	if !info.Complete {
		return errUnmarked
	}
	left := x.maxStreamBytes()
	splitter := stream.NewSplitter(int(min(maxEventBytes, left)))
	buffer := make([]byte, relayBufferBytes)
	var out []byte
	buffers := heldBuffers{budget: x.buffers.budget, free: x.buffers.free}
	defer buffers.releaseAll()
	for {
		n, readErr := body.Read(buffer)
		if left -= int64(n); left < 0 {
			x.metrics.Counter("overlong_responses").Inc(1)
			return fmt.Errorf("%w: %d bytes for %d tokens", errOverlong, x.maxStreamBytes(), x.request.MaxTokens)
		}
		if !buffers.grow(eventCopies * (splitter.Pending() + n)) {
			return fmt.Errorf("%w: %d bytes of an event", errBuffersFull, splitter.Pending()+n)
		}
		splitter.Add(buffer[:n])
		if n > 0 {
			t.reservation.markActive()
		}
		before := x.progress.Events
		var err error
		out, err = x.takeEvents(t, splitter, out[:0], watch)
		if errors.Is(err, errSilent) {
			return err
		}
		if len(out) > 0 {
			if err := x.writeEvents(response, out); err != nil {
				return err
			}
		}
		if x.progress.Events > before {
			watch.relayed()
		}
		switch {
		case err != nil:
			return err
		case readErr == io.EOF && splitter.Pending() == 0 && x.progress.Events > 0:
			if !watch.claim(t) {
				return errGivenUp
			}
			return nil
		case readErr == io.EOF:
			return fmt.Errorf("%w after %d events", errTruncated, x.progress.Events)
		case readErr != nil && t.ctx.Err() != nil:
			x.closeIdleIfSilent(t.ctx, t.reservation)
			return fmt.Errorf("%w: %w", errTruncated, context.Cause(t.ctx))
		case readErr != nil:
			return fmt.Errorf("%w after %d events: %w", errTruncated, x.progress.Events, readErr)
		}
	}
}

// takeEvents appends the whole events in the splitter to out and records the progress. With an error, it also returns the events before the
// first invalid one. With errSilent, another try has taken over the request, and nothing more may be passed on.
func (x *execution) takeEvents(t *targetTry, splitter *stream.Splitter, out []byte, watch *silenceWatch) ([]byte, error) {
	claimed := false
	for {
		event, ok, err := splitter.Next()
		if err != nil || !ok {
			return out, err
		}
		if event.Comment {
			out = x.appendEvent(out, event)
			continue
		}
		if err := checkOrder(event, x.progress.Events > 0 || x.request.Resume, x.progress.Last); err != nil {
			return out, err
		}
		if !claimed && !watch.claim(t) {
			return nil, errGivenUp
		}
		claimed = true
		x.progress.Last = event.ID
		if x.firstEvent == 0 {
			x.firstEvent = time.Since(x.request.Arrived)
		}
		x.progress.Events++
		if x.items != nil {
			if err := x.items.Event(event.Data); err != nil {
				return out, fmt.Errorf("%w: %w", ErrNotKept, err)
			}
		}
		out = x.appendEvent(out, event)
	}
}

// appendEvent appends an event to the bytes that are to be passed on, unless there is no client to pass them on to.
func (x *execution) appendEvent(out []byte, event stream.RawEvent) []byte {
	if x.sink == nil {
		return out
	}
	return append(out, event.Raw...)
}

// writeEvents writes events to the sink. Before the first events of the request it writes the status and the header of the response.
func (x *execution) writeEvents(response *rawhttp.Response, events []byte) error {
	if x.sink == nil {
		return nil
	}
	if err := x.startSink(response.Status, response.Header); err != nil {
		return err
	}
	if err := x.sink.Write(events); err != nil {
		return fmt.Errorf("%w: %w", ErrSinkFailed, err)
	}
	return nil
}

// startSink starts the sink if that has not been done in an earlier try.
func (x *execution) startSink(status int, header http.Header) error {
	if x.sinkStarted {
		return nil
	}
	x.sinkStarted = true
	x.progress.First = time.Since(x.request.Arrived)
	x.metrics.Tagged(map[string]string{"route": x.request.Route.Name}).Histogram("first_byte", latencyBuckets).RecordDuration(x.progress.First)
	if err := x.sink.Start(status, header); err != nil {
		return fmt.Errorf("%w: %w", ErrSinkFailed, err)
	}
	return nil
}

// wholeResponse is a response that is not a stream, read completely.
type wholeResponse struct {
	status int
	header http.Header
	body   []byte
}

// write passes the response on to the sink.
func (w *wholeResponse) write(x *execution) error {
	if err := x.startSink(w.status, w.header); err != nil {
		return err
	}
	if err := x.sink.Write(w.body); err != nil {
		return fmt.Errorf("%w: %w", ErrSinkFailed, err)
	}
	return nil
}

// progressBytes is the number of bytes of a whole response that count as progress. Fewer at a time may come from a target that is of no use.
const progressBytes = 16 << 10

// watchedBody reports what arrives of a whole response to a silenceWatch.
type watchedBody struct {
	io.Reader
	t     *targetTry
	watch *silenceWatch
	bytes int // since the last progress
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		b.t.reservation.markActive()
	}
	if b.bytes += n; b.bytes >= progressBytes {
		b.bytes = 0
		b.watch.received(b.t)
	}
	return n, err
}

// readWholeResponse reads a response that is not a stream to its end.
func (x *execution) readWholeResponse(t *targetTry, response *rawhttp.Response, buffers *heldBuffers, watch *silenceWatch) (*wholeResponse, error) {
	body, err := x.readWhole(&watchedBody{Reader: response.Body, t: t, watch: watch}, buffers)
	switch {
	case errors.Is(err, errBuffersFull) || errors.Is(err, errOverlong):
		return nil, err
	case err != nil && t.ctx.Err() != nil:
		return nil, fmt.Errorf("%w: %w", errTruncated, context.Cause(t.ctx))
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	return &wholeResponse{status: response.Status, header: response.Header, body: body}, nil
}

// finishWhole passes on a response that is not a stream. A response with a 5xx status to a request that may be repeated is stored in
// x.failureResponse instead, and passed on only if no later try succeeds.
func (x *execution) finishWhole(t *targetTry, whole *wholeResponse, info ResponseInfo, watch *silenceWatch) error {
	success := whole.status < http.StatusMultipleChoices
	switch {
	case success && !info.Complete:
		return errUnmarked
	case x.sink == nil:
		return &statusError{whole.status}
	case x.sinkStarted:
		return fmt.Errorf("target returned status %d to a resumed stream", whole.status)
	case whole.status >= http.StatusInternalServerError && x.request.Route.Repeatable():
		x.mu.Lock()
		defer x.mu.Unlock()
		x.failureResponse = whole
		return fmt.Errorf("target returned status %d", whole.status)
	case !watch.claim(t):
		return errGivenUp
	}
	x.status = whole.status
	return whole.write(x)
}

// readWhole reads the body of a response to its end. For a batch item, only whose status matters, it keeps nothing of it. Errors:
// errOverlong, errBuffersFull, and those of the body.
func (x *execution) readWhole(body io.Reader, buffers *heldBuffers) ([]byte, error) {
	limit := x.options.MaxResponseBytes
	if x.sink == nil {
		n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
		if err == nil && n > limit {
			err = fmt.Errorf("%w: over %d bytes", errOverlong, limit)
		}
		return nil, err
	}
	var whole []byte
	buffers.next()
	for {
		if len(whole) == cap(whole) {
			next := min(max(smallResponseBytes, 2*cap(whole)), int(limit)+1)
			if !buffers.grow(next + cap(whole)) {
				return nil, fmt.Errorf("%w: %d bytes", errBuffersFull, x.options.MaxBufferedBytes)
			}
			whole = append(make([]byte, 0, next), whole...)
		}
		n, err := body.Read(whole[len(whole):cap(whole)])
		whole = whole[:len(whole)+n]
		switch {
		case int64(len(whole)) > limit:
			return nil, fmt.Errorf("%w: over %d bytes", errOverlong, limit)
		case err == io.EOF:
			return whole, nil
		case err != nil:
			return nil, err
		}
	}
}

// statusError is a target's response to a batch item that is not an event stream.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("target returned status %d", e.status) }
