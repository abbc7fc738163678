package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/rawhttp"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/core/stream"
)

const (
	// maxOverlap is the maximum time for which a request is at two targets, counted from the start of the hedge. A platform may forbid that a target works
	// on a request 400 ms after it went on at another one, and it takes up to 25 ms until the target learns that it was given up.
	maxOverlap = 250 * time.Millisecond
	// minHedgePause is the pause after a hedge that showed nothing, and doubles with each in the same silence: the target of a hedge reads the prompt in
	// vain.
	minHedgePause = 100 * time.Millisecond
	// unpausedFailures is the number of hedges that may fail in the same silence before a pause follows each, so that one request does not ask all targets
	// of a fleet that refuses it.
	unpausedFailures = 1
	// maxPauseDoublings bounds the pause at 1.6 s, so that a target that goes on gets a hedge before most clients give up.
	maxPauseDoublings = 4
	// maxHedges is the maximum number of hedges of a request without an event in between. With their pauses they last for more than half a minute.
	maxHedges = 24
	// maxWholeReturns is the maximum number of times that a request for a response that is not a stream leaves a target and may still return to one. Each
	// return begins the response anew, and a sound target sends nothing before its end, so that its silence says little.
	maxWholeReturns = 1
	// maxSoundSilence is the silence from which on batch items yield to hedges, and a client error of a hedge is passed on. A sound target may be silent
	// for about a second, and clients give up after 2 s.
	maxSoundSilence = 1300 * time.Millisecond
	// minHedgeTime is the shortest time before the deadline in which a hedge can succeed: connecting, and the first event of an idle target.
	minHedgeTime = 50 * time.Millisecond
)

var (
	errOvertaken = errors.New("target was slower than another one")
	// errAnsweredElsewhere ends a try at a silent target if a hedge has received a client error.
	errAnsweredElsewhere = errors.New("another target has answered with a client error")
	errNoSign            = errors.New("target of the hedge showed no progress in time")
)

// targetTry is one try of a request at one target. A hedge is a try that begins while another one is silent: the first of the two that makes progress
// goes on, and the other one is given up. See docs/design/silent-targets.md.
type targetTry struct {
	reservation *Reservation
	ctx         context.Context // ends when the try is to end
	cancel      context.CancelCauseFunc
	started     time.Time
	lastSign    time.Time  // when it was sent, or when the header of the response arrived; guarded by execution.mu
	successor   *targetTry // the hedge that the request goes on with; guarded by execution.mu
	promoted    bool       // it is or was the current try; guarded by execution.mu

	// The fields below are those of a hedge. Its goroutine sets them before it closes opened.
	opened    chan struct{} // nil for other tries
	resumed   bool          // the request asks for the events after a position
	mayEnd    bool          // events were passed on, so that a stream without further ones completes the response
	response  *rawhttp.Response
	info      ResponseInfo
	prefix    []byte         // what was read of a stream, with at least one event
	prefixErr error          // the error of the last read
	whole     *wholeResponse // a response that is not a stream
	err       error          // why the hedge failed
	buffers   heldBuffers    // of prefix or whole
}

// newTry returns a try at a reserved target.
func newTry(ctx context.Context, reservation *Reservation) *targetTry {
	now := time.Now()
	t := &targetTry{reservation: reservation, started: now, lastSign: now}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	return t
}

// target returns the id of the target.
func (t *targetTry) target() fleet.TargetID { return t.reservation.Target.ID }

// wasOvertaken reports whether the try was given up because another one made progress or had better prospects, though its target was not silent for long.
func (t *targetTry) wasOvertaken() bool {
	cause := context.Cause(t.ctx)
	return errors.Is(cause, errOvertaken) || errors.Is(cause, errNoSign)
}

// startHedge begins a hedge if the current target may be left, another one has room and the pause after earlier hedges is over; x.mu is held.
func (w *silenceWatch) startHedge(now time.Time, silent time.Duration) bool {
	x := w.x
	left := x.request.Deadline.Sub(now)
	switch {
	case !x.request.Route.Repeatable() || left < minHedgeTime || w.current.ctx.Err() != nil:
		return false
	case w.unrecorded > 0 || x.hedges >= maxHedges || now.Before(w.hedgeFrom) || silent < w.hedgeDelay():
		return false
	}
	reservation := x.reserveHedge(w.current.target(), silent)
	if reservation == nil {
		return false
	}
	t := newTry(w.ctx, reservation)
	t.opened, t.buffers = make(chan struct{}), heldBuffers{budget: x.buffers.budget}
	attempt := Attempt{Target: reservation.Target, Remaining: left, Resume: w.resume, After: w.passedOn}
	t.resumed, t.mayEnd = w.resume || x.request.Resume, w.resume
	request := x.newRequest(attempt, x.tries.Started)
	w.hedge, w.hedgeEnds = t, now.Add(maxOverlap)
	x.hedges++
	x.countHedge("started")
	w.hedging.Go(func() { w.runHedge(t, request, attempt.After) })
	w.setTimer(maxOverlap)
	return true
}

// reserveHedge reserves a slot for a hedge while the request is at another target: one at which it has not run, and otherwise one at which it has and
// that did not fail, in turn. Avoided targets are used only after the progress timeout, or if the request was there before, and those without a free slot
// only after maxSoundSilence; x.mu is held.
func (x *execution) reserveHedge(current fleet.TargetID, silent time.Duration) *Reservation {
	service, salt := x.request.Service, string(x.request.ID)
	x.readmit(time.Now())
	tried := keys(x.ran)
	tried[current] = true
	ran := len(tried)
	maps.Copy(tried, x.excluded)
	again := x.sound()
	delete(again, current)
	if silent < maxSoundSilence {
		for _, id := range x.board.occupied(service) {
			tried[id] = true
			delete(again, id)
		}
	}
	if ran < x.request.Route.MaxAttempts {
		if reservation := x.board.reserveUsable(service, salt, tried); reservation != nil {
			return reservation
		}
		if silent >= x.options.ProgressTimeout {
			if reservation, _ := x.board.ReserveOnline(service, salt, tried); reservation != nil {
				return reservation
			}
		}
	}
	if x.request.Route.Kind != routetable.Stream {
		maps.DeleteFunc(again, func(id fleet.TargetID, _ int) bool { return !x.mayReturnWhole(id, silent) })
	}
	for len(again) > 0 {
		fewest := make(map[fleet.TargetID]bool)
		least := slices.Min(slices.Collect(maps.Values(again)))
		for id, sent := range again {
			if sent == least {
				fewest[id] = true
				delete(again, id)
			}
		}
		if reservation, _ := x.board.reserveAmong(service, salt, fewest); reservation != nil {
			return reservation
		}
	}
	return nil
}

// mayReturnWhole reports whether a request for a response that is not a stream may have a hedge at a target at which it may have run: the hedge could be
// kept at the end of the overlap, and the request has not returned to a target yet; x.mu is held.
func (x *execution) mayReturnWhole(id fleet.TargetID, silent time.Duration) bool {
	left, all := x.left[id], 0
	for _, n := range x.left {
		all += n
	}
	return left == 0 || all <= maxWholeReturns && silent+maxOverlap >= limits.ReturnPatience(x.options.ProgressTimeout, left)
}

// sound returns the targets at which the request may have run and that did not fail, with the number of tries there: it left them, or gave up a hedge.
// x.mu is held.
func (x *execution) sound() map[fleet.TargetID]int {
	again := make(map[fleet.TargetID]int)
	for id, sent := range x.ran {
		if !x.excluded[id] {
			again[id] = sent
		}
	}
	return again
}

// keys returns the targets of a map.
func keys[V any](m map[fleet.TargetID]V) map[fleet.TargetID]bool {
	set := make(map[fleet.TargetID]bool, len(m))
	for id := range m {
		set[id] = true
	}
	return set
}

// countHedge counts hedges by what became of them.
func (x *execution) countHedge(result string) {
	x.metrics.Tagged(map[string]string{"route": x.request.Route.Name, "result": result}).Counter("hedges").Inc(1)
}

// dropHedge gives up the hedge; x.mu is held.
func (w *silenceWatch) dropHedge(result string, cause error) {
	w.hedge.cancel(cause)
	w.hedge = nil
	w.unrecorded++
	w.inVain++
	w.x.countHedge(result)
}

// keepHedge gives up the current try and goes on with the hedge; x.mu is held.
func (w *silenceWatch) keepHedge(result string) {
	w.current.cancel(errSilent)
	w.x.left[w.current.target()]++
	w.unrecorded++
	if w.patience < 1<<maxPatienceDoublings {
		w.patience *= 2
	}
	w.promoteHedge(result)
}

// promoteHedge makes the hedge the current try; x.mu is held.
func (w *silenceWatch) promoteHedge(result string) {
	w.current.successor, w.hedge.promoted = w.hedge, true
	w.current, w.hedge = w.hedge, nil
	w.lastProgress, w.suspected, w.relaying = w.current.lastSign, false, false
	w.x.countHedge(result)
}

// endOverlap gives up the current try or the hedge; x.mu is held.
func (w *silenceWatch) endOverlap(now time.Time, paused bool) {
	silent := now.Sub(w.lastProgress)
	state := limits.HedgeState{
		Silent: silent, Paused: paused, HedgeLeft: w.x.left[w.hedge.target()], Left: len(w.x.left),
		FirstSeen: w.current.reservation.activeSince(w.current.started), FirstAlive: w.current.reservation.activeSince(w.hedge.started),
		HedgeAlive: w.hedge.reservation.activeSince(w.hedge.started), NoReturn: w.x.board.isLeaving(w.current.target()),
	}
	if state.KeepHedge(w.x.options.ProgressTimeout) {
		w.keepHedge("kept")
		return
	}
	// The next hedge may have the same target: it begins so late that the target can be kept at its end.
	pause := max(minHedgePause<<min(w.dropped, maxPauseDoublings), w.x.options.ProgressTimeout-maxOverlap-silent)
	w.hedgeFrom = now.Add(pause)
	w.dropped++
	w.dropHedge("dropped", errNoSign)
}

// next records that t ended with err, and returns the try that continues the request, or nil.
func (w *silenceWatch) next(t *targetTry, err error) *targetTry {
	w.x.mu.Lock()
	defer w.x.mu.Unlock()
	if err == nil {
		return nil
	}
	w.x.record(t, err)
	switch {
	case t.successor != nil:
		w.unrecorded--
	case w.hedge != nil:
		w.promoteHedge("continued")
	}
	return t.successor
}

// runHedge sends a hedge and reads its response up to the first event, or as a whole if it is not a stream. The outcome of a hedge that does not
// continue the request is recorded here, and that of another one by the request's goroutine.
func (w *silenceWatch) runHedge(t *targetTry, request *rawhttp.Request, after int64) {
	defer close(t.opened)
	t.err = w.openHedge(t, request, after)
	if t.err == nil && !w.claim(t) {
		t.err = fmt.Errorf("%w: %w", errTruncated, context.Cause(t.ctx))
	}
	if t.err != nil && t.response != nil {
		t.response.Abort()
	}
	w.x.mu.Lock()
	defer w.x.mu.Unlock()
	switch {
	case t.promoted:
		return
	case t == w.hedge:
		w.hedge = nil
		w.x.countHedge("failed")
		if w.failed++; w.failed > unpausedFailures {
			w.hedgeFrom = time.Now().Add(minHedgePause << min(w.failed-unpausedFailures-1, maxPauseDoublings))
		}
		if !w.stopped {
			w.setTimer(0)
		}
	default:
		w.unrecorded--
	}
	w.x.observe(w.ctx, t, t.err, limits.Outcome{Failed: true})
	w.x.record(t, t.err)
	w.x.endHedge(t)
}

// hasClientError reports whether a hedge received a client error that may be passed on; x.mu is held.
func (x *execution) hasClientError() bool {
	return x.failureResponse != nil && isClientError(x.failureResponse.status)
}

// isClientError reports whether a status says that the request itself is at fault, so that other targets would answer with the same.
func isClientError(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// endHedge releases what a hedge holds. A response that may still be passed on if nothing better follows is kept; x.mu is held.
func (x *execution) endHedge(t *targetTry) {
	if t.whole != nil && t.err != nil && (x.failureResponse == nil || isClientError(t.whole.status) && !x.hasClientError()) {
		x.failureResponse = t.whole
	}
	if t.whole != nil && x.failureResponse == t.whole {
		x.hedgeBuffers = append(x.hedgeBuffers, t.buffers)
	} else {
		t.buffers.releaseAll()
	}
	t.cancel(nil)
	t.reservation.Release()
}

// openHedge sends a hedge and reads its response up to the first event or, if it is not a stream, to its end.
func (w *silenceWatch) openHedge(t *targetTry, request *rawhttp.Request, after int64) (err error) {
	x := w.x
	if err := x.parts.check(x.request); err != nil {
		return httpcall.NotSent(err)
	}
	defer func() {
		if err != nil {
			x.parts.tryEnded(t.ctx, x.request, t.reservation, t.response, err)
		}
	}()
	response, err := x.client.Do(t.ctx, t.reservation.Target.Address, request)
	if err != nil {
		return x.handleSendError(t.ctx, t.reservation, err)
	}
	t.response = response
	if t.info, err = x.checkHeader(t, response, w); err != nil {
		return err
	}
	if x.isStream(response, t.info) {
		return t.readFirstEvent(after)
	}
	whole, err := x.readWholeResponse(t, response, &t.buffers, w)
	switch {
	case err != nil:
		return err
	case whole.status < http.StatusMultipleChoices && !t.info.Complete:
		return errUnmarked
	}
	t.whole = whole
	if x.request.Route.Kind == routetable.Stream || whole.status >= http.StatusBadRequest && !isClientError(whole.status) {
		return fmt.Errorf("target returned status %d", whole.status) // the silent target may have something better
	}
	return nil
}

// readFirstEvent reads the response to a hedge up to the end of its first event. A stream that is complete without further events is valid if it
// continues one of which events were passed on and its end is marked.
func (t *targetTry) readFirstEvent(after int64) error {
	if !t.info.Complete {
		return errUnmarked
	}
	splitter := stream.NewSplitter(maxEventBytes)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, readErr := t.response.Body.Read(buffer)
		if len(t.prefix)+n > streamOverheadBytes+maxEventBytes {
			return fmt.Errorf("%w: %d bytes before the first event", errOverlong, len(t.prefix)+n)
		}
		if !t.buffers.grow(eventCopies * (len(t.prefix) + n)) {
			return fmt.Errorf("%w: %d bytes of an event", errBuffersFull, len(t.prefix)+n)
		}
		if n > 0 {
			t.reservation.markActive()
		}
		t.prefix, t.prefixErr = append(t.prefix, buffer[:n]...), readErr
		splitter.Add(buffer[:n])
		if found, err := hasNextEvent(splitter, t.resumed, after); found || err != nil {
			return err
		}
		switch {
		case readErr == io.EOF && t.mayEnd && t.response.Framed && splitter.Pending() == 0:
			return nil
		case readErr != nil && t.ctx.Err() != nil:
			return fmt.Errorf("%w: %w", errTruncated, context.Cause(t.ctx))
		case readErr != nil:
			return fmt.Errorf("%w before its first event: %w", errTruncated, readErr)
		}
	}
}

// hasNextEvent reports whether the splitter has a whole event, and checks that it is the one to begin or continue with.
func hasNextEvent(splitter *stream.Splitter, resumed bool, after int64) (bool, error) {
	for {
		event, ok, err := splitter.Next()
		if err != nil || !ok {
			return false, err
		}
		if !event.Comment {
			return true, checkOrder(event, resumed, after)
		}
	}
}

// checkOrder returns an error if an event is not the next one after a position, or has no id.
func checkOrder(event stream.RawEvent, resumed bool, after int64) error {
	switch {
	case !event.HasID:
		return fmt.Errorf("%w: an event without one follows %d", errEventOrder, after)
	case resumed && event.ID != after+1:
		return fmt.Errorf("%w: id %d follows %d", errEventOrder, event.ID, after)
	}
	return nil
}

// isStream reports whether a response is relayed as a stream of events.
func (x *execution) isStream(response *rawhttp.Response, info ResponseInfo) bool {
	return info.Events && response.Status < http.StatusMultipleChoices && x.request.Route.Kind == routetable.Stream
}

// Read implements io.Reader: it returns what the hedge has read of its stream.
func (t *targetTry) Read(p []byte) (int, error) {
	n := copy(p, t.prefix)
	t.prefix = t.prefix[n:]
	switch {
	case n > 0:
		return n, nil
	case t.prefixErr != nil:
		return 0, t.prefixErr
	}
	return t.response.Body.Read(p)
}
