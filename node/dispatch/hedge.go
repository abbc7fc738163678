package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/node/decisionlog"
)

// errSuperseded is the cancellation cause of an attempt after another attempt of the same request has started the response.
var errSuperseded = errors.New("another attempt answered first")

const (
	// hedgeDelayFactor is the multiple of the usual time to first token after which the request is also sent to a second target. The usual
	// time is the mean plus twice the mean deviation, so few requests are that late on a healthy fleet.
	hedgeDelayFactor = 1.5
	// minHedgeDelay prevents hedges caused by the variation of short response times.
	minHedgeDelay = 100 * time.Millisecond
	// maxHedgeUtilisation is the share of the pool's capacity above which no request is hedged: under load all targets are slow, and more
	// requests make them slower.
	maxHedgeUtilisation = 0.8
)

// race makes an attempt at the target and hedges the request: if the response is late and the request is an idempotent one for a stream, it
// makes a concurrent attempt, the hedge, at another target. Only an idempotent request may run twice. The first attempt that receives a byte
// of its response writes the response; the other one is cancelled at its target. race returns nil once the complete response has been
// written.
func (x *execution) race(ctx context.Context, target *routing.Candidate) *failure {
	ended := make(chan *failure, 2)
	running := x.launch(ctx, target, ended)
	hedgeTimer := time.NewTimer(x.hedgeDelay())
	defer hedgeTimer.Stop()
	var lastFailure *failure
	for running > 0 {
		select {
		case f := <-ended:
			running--
			x.mayHaveRun = x.mayHaveRun || f != nil && f.mayHaveRun
			if lastFailure == nil || f == nil || !f.superseded {
				lastFailure = f
			}
			if f == nil {
				x.waitForAttempts(ended, running)
				return nil
			}
		case <-hedgeTimer.C:
			running += x.startHedge(ctx, ended)
		}
	}
	return lastFailure
}

// waitForAttempts waits for the cancelled attempts to end, so that none outlives its request.
func (x *execution) waitForAttempts(ended <-chan *failure, running int) {
	for range running {
		<-ended
	}
}

// launch starts an attempt and returns the number of attempts that will send their result to ended, which is always 1.
func (x *execution) launch(ctx context.Context, target *routing.Candidate, ended chan<- *failure) int {
	ctx, a := x.begin(ctx, target)
	if a == nil {
		ended <- &failure{target: target.Target, cause: errors.New("circuit opened before dispatch")}
		return 1
	}
	go func() { ended <- a.run(ctx) }()
	return 1
}

// hedgeDelay returns the time after which the request is hedged. For a request that is not to be hedged, it is long enough
// that no hedge starts: one second after the deadline, the attempt has been cancelled or has started the response.
func (x *execution) hedgeDelay() time.Duration {
	delay := time.Duration(float64(x.ticket.FirstTokenBound()) * hedgeDelayFactor)
	if delay == 0 || !x.request.Stream || !x.request.Idempotent() {
		return time.Until(x.request.Deadline) + time.Second
	}
	return max(delay, minHedgeDelay)
}

// startHedge starts a second attempt if the load and the retry budget allow it. It returns the number of attempts started.
func (x *execution) startHedge(ctx context.Context, ended chan<- *failure) int {
	if x.responseStarted() || ctx.Err() != nil {
		return 0
	}
	if p := x.pressure(); p.Load > p.Capacity*maxHedgeUtilisation {
		return 0
	}
	if !x.dispatcher.tryRetry(x.request.Attempt + x.attempts) {
		return 0
	}
	x.attempts++
	target, err := x.choose()
	if err != nil {
		return 0
	}
	x.dispatcher.log(x.request, decisionlog.Entry{
		Kind:    decisionlog.KindRetry,
		Attempt: x.attempts,
		Target:  target.Target,
		Reason:  "hedge: the first attempt is later than usual",
	})
	return x.launch(ctx, target, ended)
}

// becomeWinner reports whether the attempt may write the response. The first attempt that calls it wins, and the others are cancelled.
func (a *attempt) becomeWinner() bool {
	x := a.execution
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.winner == nil {
		x.winner = a
		for _, other := range slices.DeleteFunc(slices.Clone(x.launched), func(r *attempt) bool { return r == a }) {
			other.abort(errSuperseded)
		}
	}
	return x.winner == a
}

// responseStarted reports whether an attempt has started to write the response to the caller.
func (x *execution) responseStarted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.winner != nil
}
