package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassproxy.example/core/routetable"
)

// activity is the time at which a target last sent anything to this instance, for any request.
type activity struct{ at atomic.Int64 } // nanoseconds since the board was created

const (
	// minQuietTime is the minimum silence after which a target is suspected, however short the times of its route are. Events of a full target are
	// up to 50 ms apart, and a processor quota can pause a process for most of 100 ms.
	minQuietTime = 100 * time.Millisecond
	// maxTimerDelay is the delay of a timer that shows that the process or its machine was paused. What targets sent during the pause is then still
	// unread, so that their silence proves nothing.
	maxTimerDelay = 100 * time.Millisecond
)

// maxPatienceDoublings bounds the patience with a target, far above what any sound one needs.
const maxPatienceDoublings = 10

// minSilentRequests is the number of this instance's requests that a silent target must have to be suspected before Options.SuspectAfter has
// passed.
const minSilentRequests = 2

// silenceWatch acts when the target of a request sends nothing for too long. A target that sends nothing on any connection for the quiet time is
// suspected, and a hedge begins if the request may run at another target and one has room. If the target sends something to other requests, this one is
// assumed to be queued there, and a hedge begins only after the progress timeout. Batch items have no hedge: their try is cancelled instead, which
// costs no more than the part that was not received, since an item is always run again.
//
// Silence alone does not tell a dark target from a sound one that reads a long prompt, or several prompts one after the other, also when a stream is
// resumed. Each target that the request leaves for silence therefore doubles the time for which the next one may be silent, so that a dark target is left
// early and a request that takes long ends after a few tries.
type silenceWatch struct {
	x       *execution
	ctx     context.Context // of the request
	timer   *time.Timer
	hedging sync.WaitGroup // the goroutines of hedges

	// The fields below are guarded by x.mu.
	current      *targetTry    // the try that the request goes on with unless a hedge wins
	hedge        *targetTry    // another try while current is silent, or nil
	hedgeEnds    time.Time     // when either current or hedge is given up at the latest
	hedgeFrom    time.Time     // earliest start of the next hedge
	inVain       int           // hedges that were given up
	dropped      int           // those of the current silence that showed nothing
	failed       int           // hedges of the current silence that failed
	unrecorded   int           // tries that were given up and have not ended yet; no hedge begins meanwhile
	patience     time.Duration // factor of SuspectAfter and ProgressTimeout
	due          time.Time     // when timer fires
	lastProgress time.Time     // when current was sent or last made progress
	sawEvent     bool          // an event arrived, in this try or an earlier one
	passedOn     int64         // id of the last event that was passed on
	resume       bool          // events were passed on, so that a hedge continues after passedOn
	relaying     bool          // what current sent is being passed on
	suspected    bool          // this watch made the board avoid the target of current
	stopped      bool
}

// watchSilence starts the watch of a try that is about to be sent, and of those that continue the request if it is silent. The caller must call stop.
func (x *execution) watchSilence(ctx context.Context, t *targetTry) *silenceWatch {
	w := &silenceWatch{
		x: x, ctx: ctx, current: t, lastProgress: time.Now(), sawEvent: x.progress.Events > 0, passedOn: x.progress.Last, resume: x.progress.Events > 0,
		patience: 1 << min(x.progress.SilentTries, maxPatienceDoublings),
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.setTimer(w.quietTime())
	return w
}

// quietTime returns the silence after which the target is suspected: half of the time that the route allows to the next event, so that the other
// half is left for another target. It is Options.SuspectAfter for routes without such a time and for responses that are not streams, whose targets
// send nothing until they are done, and that times the patience for batch items. x.mu is held.
func (w *silenceWatch) quietTime() time.Duration {
	route := w.x.request.Route
	if w.x.sink == nil {
		return w.patience * w.x.options.SuspectAfter
	}
	allowed := route.Objective
	if w.sawEvent {
		allowed = route.MaxEventGap
	}
	if route.Kind != routetable.Stream || allowed <= 0 {
		return w.x.options.SuspectAfter
	}
	return min(max(allowed/2, minQuietTime), w.x.options.SuspectAfter)
}

// progressTimeout returns the time without progress after which a request may leave its target, even if that sends to others; x.mu is held.
func (w *silenceWatch) progressTimeout() time.Duration {
	return w.patience * w.x.options.ProgressTimeout
}

// hedgeDelay returns the silence after which a hedge begins. It doubles with each hedge of the request that was given up, since its targets are then more
// likely silent for short times than dark; x.mu is held.
func (w *silenceWatch) hedgeDelay() time.Duration {
	quiet := w.quietTime()
	return max(quiet, min(quiet<<min(w.inVain, maxPatienceDoublings), w.x.options.ProgressTimeout))
}

// setTimer sets the timer to fire after d; x.mu is held.
func (w *silenceWatch) setTimer(d time.Duration) {
	w.due = time.Now().Add(d)
	w.timer.Reset(d)
}

// received records that the header of the response to a try arrived, or a part of a response that is not a stream.
func (w *silenceWatch) received(t *targetTry) {
	t.reservation.markActive()
	w.x.mu.Lock()
	defer w.x.mu.Unlock()
	t.lastSign = time.Now()
	if t == w.current {
		w.lastProgress = t.lastSign
	}
}

// claim makes t the only try because it made progress, and gives up the other one if there are two. It returns false if t has been given up; nothing of
// it may be passed on then. Until relayed, the target is not taken for silent: the client may be slow.
func (w *silenceWatch) claim(t *targetTry) bool {
	w.x.mu.Lock()
	defer w.x.mu.Unlock()
	switch {
	case w.stopped:
		return false
	case t == w.current && w.hedge != nil:
		w.dropHedge("lost", errOvertaken)
	case t == w.current:
	case t == w.hedge:
		w.keepHedge("won")
	default:
		return false
	}
	w.lastProgress, w.relaying, w.dropped, w.failed, w.hedgeFrom, w.x.hedges = time.Now(), true, 0, 0, time.Time{}, 0
	return true
}

// relayed records what was passed on after claim, and ends a suspicion that this watch raised.
func (w *silenceWatch) relayed() {
	w.x.mu.Lock()
	w.lastProgress, w.relaying = time.Now(), false
	w.passedOn, w.sawEvent, w.resume = w.x.progress.Last, true, true
	endSuspicion, id := w.suspected, w.current.reservation.Target.ID
	w.suspected = false
	w.x.mu.Unlock()
	if endSuspicion {
		w.x.board.ClearSuspicion(id)
	}
}

// stop ends the watch and its hedge, and waits until all hedges have ended. It does not cancel the current try, which must have ended.
func (w *silenceWatch) stop() {
	w.x.mu.Lock()
	w.end()
	w.x.mu.Unlock()
	w.hedging.Wait()
}

// end ends the watch and its hedge; x.mu is held.
func (w *silenceWatch) end() {
	w.stopped = true
	w.timer.Stop()
	if w.hedge != nil {
		w.dropHedge("lost", errOvertaken)
	}
}

// cancelFrom ends the watch and cancels a try that was to continue the request, and all that succeeded it. It returns these tries.
func (w *silenceWatch) cancelFrom(t *targetTry) []*targetTry {
	w.x.mu.Lock()
	defer w.x.mu.Unlock()
	w.end()
	var list []*targetTry
	for ; t != nil; t = t.successor {
		t.cancel(errOvertaken)
		list = append(list, t)
	}
	return list
}

// check runs when the timer fires. It rearms the timer, begins or ends a hedge, or cancels the try of an item.
func (w *silenceWatch) check() {
	now := time.Now()
	w.x.mu.Lock()
	defer w.x.mu.Unlock()
	if w.stopped {
		return
	}
	paused := now.Sub(w.due) > maxTimerDelay
	if w.hedge != nil {
		if left := w.hedgeEnds.Sub(now); left > 0 {
			w.setTimer(left)
			return
		}
		w.endOverlap(now, paused)
	}
	quiet := w.quietTime()
	if paused || w.relaying {
		w.lastProgress = now
	}
	silent := now.Sub(w.lastProgress)
	if silent < quiet {
		w.setTimer(quiet - silent)
		return
	}
	active, late := w.current.reservation.activeSince(w.lastProgress), silent >= w.progressTimeout()
	switch {
	case late && w.mayCancelItem():
		w.cancelItem()
		return
	case !active:
		w.suspect(silent)
		if w.mayCancelItem() && w.x.board.hasRoom(w.x.request.Service, w.current.target(), w.x.excluded) {
			w.cancelItem()
			return
		}
	}
	if !active && silent >= maxSoundSilence && !w.resume && w.x.hasClientError() {
		w.stopped = true
		w.current.cancel(errAnsweredElsewhere)
		return
	}
	if (!active || late) && w.x.sink != nil && w.startHedge(now, silent) {
		return
	}
	w.recheck(now, quiet, silent)
}

// mayCancelItem reports whether the request is a batch item that may run at another target; x.mu is held.
func (w *silenceWatch) mayCancelItem() bool {
	route := w.x.request.Route
	return w.x.sink == nil && route.Repeatable() && w.x.tries.MayHaveRun+1 < route.MaxAttempts
}

// cancelItem cancels the try of an item with errSilent; x.mu is held.
func (w *silenceWatch) cancelItem() {
	w.stopped = true
	w.current.cancel(errSilent)
}

// recheck sets the timer to the quiet time, or to the progress timeout or the earliest next hedge if that comes first; x.mu is held.
func (w *silenceWatch) recheck(now time.Time, quiet, silent time.Duration) {
	for _, left := range []time.Duration{w.progressTimeout() - silent, w.hedgeFrom.Sub(now), w.hedgeDelay() - silent} {
		if left > 0 {
			quiet = min(quiet, left)
		}
	}
	w.setTimer(quiet)
}

// suspect makes the board avoid the target. A single waiting request may be queued behind requests of other instances, so that for it the
// target is suspected only after Options.SuspectAfter; x.mu is held.
func (w *silenceWatch) suspect(silent time.Duration) {
	id := w.current.reservation.Target.ID
	if silent < w.x.options.SuspectAfter && w.x.board.ownRequests(id) < minSilentRequests {
		return
	}
	w.suspected = true
	w.x.board.Avoid(id, w.x.options.SuspectFor, "silent")
}
