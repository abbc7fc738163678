package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassproxy.example/core/routetable"
)

// sign is when a target last sent anything to this instance, over all requests that it holds for it.
type sign struct{ at atomic.Int64 } // nanoseconds since the board was made

const (
	// leastQuiet is the shortest silence that makes a target suspect, whatever its route asks for. Events of a full target are up to 50 ms
	// apart, and a processor that is limited by a quota pauses for most of a tenth of a second.
	leastQuiet = 100 * time.Millisecond
	// lateTimer is how late a timer fires after the process, or its machine, was paused. What targets sent meanwhile is still to be read then.
	lateTimer = 100 * time.Millisecond
)

// leastSilent is the number of requests of this instance that a target must leave without a sign to be suspected after the quiet time.
const leastSilent = 2

// silenceWatch looks after the silence of one try. A target that sends nothing on any connection for the quiet time is suspected at once;
// a request that may go on elsewhere leaves it if another target has room. If the target serves other requests meanwhile, this one only
// waits for its turn, until the progress timeout.
type silenceWatch struct {
	x       *execution
	held    *Held
	cancel  context.CancelCauseFunc
	movable bool // the request may go on at another target

	mu        sync.Mutex // guards the fields below; taken before the board's mutex
	timer     *time.Timer
	due       time.Time // when timer fires
	last      time.Time // when this try was sent or last made progress
	begun     bool      // the stream made progress, in this try or before
	suspected bool
	stopped   bool
}

// watchSilence starts the watch of a try that is about to be sent.
func (x *execution) watchSilence(held *Held, cancel context.CancelCauseFunc) *silenceWatch {
	movable := x.request.Route.Repeatable() && x.tries.Ran+1 < x.request.Route.MaxAttempts
	w := &silenceWatch{x: x, held: held, cancel: cancel, movable: movable, last: time.Now(), begun: x.progress.Events > 0}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.arm(w.quiet())
	return w
}

// quiet returns the silence after which the target is suspected: half of what the route allows, so that the other half is left for another
// target. Without a stated time, and for answers in one piece, which say nothing while their target works, it is the suspect time. w.mu is
// held.
func (w *silenceWatch) quiet() time.Duration {
	route := w.x.request.Route
	allowed := route.Objective
	if w.begun {
		allowed = route.Pause
	}
	if route.Kind != routetable.Stream || w.x.request.Job != "" || allowed <= 0 {
		return w.x.options.Suspect
	}
	return min(max(allowed/2, leastQuiet), w.x.options.Suspect)
}

// arm sets the timer; w.mu is held.
func (w *silenceWatch) arm(d time.Duration) {
	w.due = time.Now().Add(d)
	w.timer.Reset(d)
}

// header notes that the header of the answer is there.
func (w *silenceWatch) header() {
	w.held.heard()
	w.mu.Lock()
	w.last = time.Now()
	w.mu.Unlock()
}

// progressed notes that whole events came.
func (w *silenceWatch) progressed() {
	w.held.heard()
	w.mu.Lock()
	w.last, w.begun = time.Now(), true
	trust := w.suspected
	w.suspected = false
	w.mu.Unlock()
	if trust {
		w.x.board.Trust(w.held.Target.ID)
	}
}

// Stop ends the watch.
func (w *silenceWatch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check runs when the timer fires.
func (w *silenceWatch) check() {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	quiet := w.quiet()
	if now.Sub(w.due) > lateTimer {
		w.last = now
	}
	silent := now.Sub(w.last)
	switch {
	case silent < quiet:
		w.arm(quiet - silent)
	case w.movable && silent >= w.x.options.Progress:
		w.leave()
	case w.held.heardSince(w.last):
		w.again(quiet, silent)
	default:
		w.suspect(silent)
		if w.movable && w.x.board.hasRoom(w.x.request.Service, w.held.Target.ID, w.x.excluded) {
			w.leave()
			return
		}
		w.again(quiet, silent)
	}
}

// again looks once more after the quiet time, and at the progress timeout; w.mu is held.
func (w *silenceWatch) again(quiet, silent time.Duration) {
	if left := w.x.options.Progress - silent; left > 0 {
		quiet = min(quiet, left)
	}
	w.arm(quiet)
}

// leave ends the try; w.mu is held.
func (w *silenceWatch) leave() {
	w.stopped = true
	w.cancel(errSilent)
}

// suspect keeps new requests from the target. One request that waits alone may only be queued behind those of other instances, so that a
// target is not suspected at once for it; w.mu is held.
func (w *silenceWatch) suspect(silent time.Duration) {
	if silent < w.x.options.Suspect && w.x.board.ownAt(w.held.Target.ID) < leastSilent {
		return
	}
	w.suspected = true
	w.x.board.Avoid(w.held.Target.ID, w.x.options.SuspectFor, "silent")
}
