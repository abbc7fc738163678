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
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/core/routetable"
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

// try makes one try at the reserved target and records its outcome for the health of the target. It returns nil when the whole response was
// passed on.
func (x *execution) try(ctx context.Context, reservation *Reservation) error {
	started, before := time.Now(), x.progress.Events
	x.firstEvent = 0
	err := x.sendAndRelay(ctx, reservation)
	switch {
	case sentTooMuch(err):
		x.board.MarkOverlong(reservation.Target.ID)
	case err == nil && x.sink == nil:
		x.board.ClearOverlong(reservation.Target.ID)
	}
	if err != nil && x.isUnrelatedToHealth(ctx, err) {
		x.board.EndUnobserved(reservation.Target.ID)
		return err
	}
	outcome := limits.Outcome{Failed: err != nil || x.status >= http.StatusInternalServerError}
	if x.progress.Events > before {
		outcome.Latency = x.firstEvent - started.Sub(x.request.Arrived)
	}
	x.board.Observe(reservation.Target.ID, outcome)
	return err
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

// sendAndRelay sends the request to the reserved target and relays the response.
func (x *execution) sendAndRelay(ctx context.Context, reservation *Reservation) (err error) {
	if err := x.parts.check(x.request); err != nil {
		return httpcall.NotSent(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var response *rawhttp.Response
	defer func() { x.parts.tryEnded(ctx, x.request, reservation, response, err) }()
	watch := x.watchSilence(reservation, cancel)
	defer watch.stop()

	response, err = x.client.Do(ctx, reservation.Target.Address, x.newRequest(reservation))
	if err != nil {
		x.countSilence(ctx)
		return x.handleSendError(ctx, reservation, err)
	}
	defer response.Body.Close()
	err = x.handleResponse(ctx, reservation, response, watch)
	if err != nil {
		x.countSilence(ctx)
		// The request may be sent again with the same id, so that a repeated response on this connection could not be told from a new one.
		response.Abort()
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
func (x *execution) handleResponse(ctx context.Context, reservation *Reservation, response *rawhttp.Response, watch *silenceWatch) error {
	info := x.protocol.DecodeResponse(response.Status, response.Header)
	watch.headerReceived()
	if info.Unidentified && !response.First {
		return fmt.Errorf("%w: status %d", errUnidentified, response.Status)
	}
	if info.Leaving && !info.OtherTarget {
		x.targetLeaves(reservation, response.Status)
	}
	if !info.NotRun {
		x.board.ClearSuspicion(reservation.Target.ID)
	}
	switch {
	case info.OtherTarget:
		x.board.Avoid(reservation.Target.ID, x.options.SuspectFor, "its address belongs to another target")
		return fmt.Errorf("%w: address belongs to another target", httpcall.ErrNotRun)
	case info.NotRun:
		return fmt.Errorf("%w: status %d", httpcall.ErrNotRun, response.Status)
	case info.NotRunStatus && (x.sink == nil || !x.request.Route.Repeatable()):
		return fmt.Errorf("%w: status %d", errUnconfirmed, response.Status)
	case info.Events && response.Status < http.StatusMultipleChoices && x.request.Route.Kind == routetable.Stream:
		x.status = response.Status
		return x.relay(ctx, reservation, response, info, watch)
	}
	return x.relayWhole(ctx, reservation.Target.ID, response, info)
}

// targetLeaves keeps new requests from a target that has just said that it is leaving, and closes its pooled connections.
func (x *execution) targetLeaves(reservation *Reservation, status int) {
	if !x.board.markLeaving(reservation, x.request, status) {
		return
	}
	x.metrics.Counter("target_departures").Inc(1)
	x.client.CloseIdle(reservation.Target.Address)
}

// newRequest builds the HTTP request of a try.
func (x *execution) newRequest(reservation *Reservation) *rawhttp.Request {
	r := x.request
	attempt := Attempt{
		Target:    reservation.Target,
		Remaining: time.Until(r.Deadline),
		Resume:    x.progress.Events > 0,
		After:     x.progress.Last,
	}
	out := &rawhttp.Request{
		Method: r.Method,
		URI:    r.URI,
		Host:   r.Host,
		Header: x.protocol.Header(r, attempt),
		Body:   r.Body,
		Mine:   func(header http.Header) bool { return x.protocol.Matches(r.ID, header) },
		// The timeout is short because a lost SYN packet is sent again only after a second. It grows with the tries in case the network is slow
		// to all targets.
		ConnectWithin: x.options.ConnectTimeout << min(x.tries.Started, maxConnectDoublings),
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
// events are progress.
func (x *execution) relay(ctx context.Context, reservation *Reservation, response *rawhttp.Response, info ResponseInfo, watch *silenceWatch) error {
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
		n, readErr := response.Body.Read(buffer)
		if left -= int64(n); left < 0 {
			x.metrics.Counter("overlong_responses").Inc(1)
			return fmt.Errorf("%w: %d bytes for %d tokens", errOverlong, x.maxStreamBytes(), x.request.MaxTokens)
		}
		if !buffers.grow(eventCopies * (splitter.Pending() + n)) {
			return fmt.Errorf("%w: %d bytes of an event", errBuffersFull, splitter.Pending()+n)
		}
		splitter.Add(buffer[:n])
		before := x.progress.Events
		var err error
		out, err = x.takeEvents(splitter, out[:0])
		if x.progress.Events > before {
			watch.eventsReceived()
		} else if n > 0 {
			reservation.markActive()
		}
		if len(out) > 0 {
			if err := x.writeEvents(response, out); err != nil {
				return err
			}
		}
		switch {
		case err != nil:
			return err
		case readErr == io.EOF && splitter.Pending() == 0 && x.progress.Events > 0:
			return nil
		case readErr == io.EOF:
			return fmt.Errorf("%w after %d events", errTruncated, x.progress.Events)
		case readErr != nil && ctx.Err() != nil:
			x.closeIdleIfSilent(ctx, reservation)
			return fmt.Errorf("%w: %w", errTruncated, context.Cause(ctx))
		case readErr != nil:
			return fmt.Errorf("%w after %d events: %w", errTruncated, x.progress.Events, readErr)
		}
	}
}

// takeEvents appends the whole events in the splitter to out and records the progress. With an error, it also returns the events before the
// first invalid one.
func (x *execution) takeEvents(splitter *stream.Splitter, out []byte) ([]byte, error) {
	for {
		event, ok, err := splitter.Next()
		if err != nil || !ok {
			return out, err
		}
		switch {
		case event.Comment:
			out = x.appendEvent(out, event)
			continue
		case !event.HasID:
			return out, fmt.Errorf("%w: an event without one follows %d", errEventOrder, x.progress.Last)
		case (x.progress.Events > 0 || x.request.Resume) && event.ID != x.progress.Last+1:
			return out, fmt.Errorf("%w: id %d follows %d", errEventOrder, event.ID, x.progress.Last)
		}
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

// relayWhole reads a response that is not a stream completely before passing it on. A response with a 5xx status to a request that may be repeated
// is stored in x.failureResponse instead, and passed on only if no later try succeeds.
func (x *execution) relayWhole(ctx context.Context, id fleet.TargetID, response *rawhttp.Response, info ResponseInfo) error {
	body, err := x.readWhole(response.Body)
	switch {
	case errors.Is(err, errBuffersFull) || errors.Is(err, errOverlong):
		return err
	case err != nil && ctx.Err() != nil:
		return fmt.Errorf("%w: %w", errTruncated, context.Cause(ctx))
	case err != nil:
		return fmt.Errorf("%w: %w", errTruncated, err)
	}
	wholeResp := &wholeResponse{status: response.Status, header: response.Header, body: body}
	success := response.Status < http.StatusMultipleChoices
	switch {
	case success && !info.Complete:
		return errUnmarked
	case x.sink == nil:
		return &statusError{response.Status}
	case x.sinkStarted:
		return fmt.Errorf("target returned status %d to a resumed stream", response.Status)
	case response.Status >= http.StatusInternalServerError && x.request.Route.Repeatable():
		x.failureResponse = wholeResp
		return fmt.Errorf("target returned status %d", response.Status)
	}
	x.status = response.Status
	return wholeResp.write(x)
}

// readWhole reads the body of a response to its end. For a batch item, only whose status matters, it keeps nothing of it. Errors:
// errOverlong, errBuffersFull, and those of the body.
func (x *execution) readWhole(body io.Reader) ([]byte, error) {
	limit := x.options.MaxResponseBytes
	if x.sink == nil {
		n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
		if err == nil && n > limit {
			err = fmt.Errorf("%w: over %d bytes", errOverlong, limit)
		}
		return nil, err
	}
	var whole []byte
	x.buffers.next()
	for {
		if len(whole) == cap(whole) {
			next := min(max(smallResponseBytes, 2*cap(whole)), int(limit)+1)
			if !x.buffers.grow(next + cap(whole)) {
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
