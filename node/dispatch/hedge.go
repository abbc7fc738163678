package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/node/decisionlog"
)

// errLost is the cause of ending an attempt because another one of the same request answered first.
var errLost = errors.New("another attempt answered first")

const (
	// hedgeFactor is the multiple of the usual time to first token after which a second target is asked. The usual time is the mean
	// plus twice the mean deviation, so that few requests are that late on a healthy fleet.
	hedgeFactor = 1.5
	// leastHedgeDelay keeps noise of short answers from causing hedges.
	leastHedgeDelay = 100 * time.Millisecond
	// hedgeUtilisation is the share of the pool's capacity above which no request is hedged: under load, all targets are late, and
	// more requests make them later.
	hedgeUtilisation = 0.8
)

// race tries the request at the target and, if the answer is late and a second run does no harm, at another one besides. The first
// attempt with a byte of the answer writes it; the other one is cancelled at its target. It returns nil when the answer was written.
func (x *execution) race(ctx context.Context, target *routing.Candidate) *failure {
	ended := make(chan *failure, 2)
	running := x.launch(ctx, target, ended)
	hedge := time.NewTimer(x.hedgeDelay())
	defer hedge.Stop()
	var last *failure
	for running > 0 {
		select {
		case f := <-ended:
			running--
			x.mayHaveRun = x.mayHaveRun || f != nil && f.mayHaveRun
			if last == nil || f == nil || !f.lost {
				last = f
			}
			if f == nil {
				x.await(ended, running)
				return nil
			}
		case <-hedge.C:
			running += x.hedge(ctx, ended)
		}
	}
	return last
}

// await lets the cancelled attempts end, so that none outlives its request.
func (x *execution) await(ended <-chan *failure, running int) {
	for range running {
		<-ended
	}
}

// launch begins an attempt and returns the number of attempts that will report to ended.
func (x *execution) launch(ctx context.Context, target *routing.Candidate, ended chan<- *failure) int {
	ctx, a := x.begin(ctx, target)
	if a == nil {
		ended <- &failure{target: target.Target, cause: errors.New("circuit opened before dispatch")}
		return 1
	}
	go func() { ended <- a.try(ctx) }()
	return 1
}

func (x *execution) hedgeDelay() time.Duration {
	usual := time.Duration(float64(x.ticket.UsualFirstToken()) * hedgeFactor)
	if usual == 0 || !x.request.Stream || !x.request.Idempotent() {
		return time.Until(x.request.Deadline) + time.Second // never before the attempt ends
	}
	return max(usual, leastHedgeDelay)
}

// hedge starts a second attempt if that is allowed, and returns the number of attempts started.
func (x *execution) hedge(ctx context.Context, ended chan<- *failure) int {
	if x.answerBegun() || ctx.Err() != nil {
		return 0
	}
	if p := x.pressure(); p.Load > p.Capacity*hedgeUtilisation {
		return 0
	}
	if !x.dispatcher.tryRetry(x.request.Attempt + x.attempt) {
		return 0
	}
	x.attempt++
	target, err := x.choose()
	if err != nil {
		return 0
	}
	x.dispatcher.log(x.request, decisionlog.Entry{
		Kind:    decisionlog.KindRetry,
		Attempt: x.attempt,
		Target:  target.Target,
		Reason:  "hedge: the first attempt is later than usual",
	})
	return x.launch(ctx, target, ended)
}

// win gives the attempt the right to write the answer, unless another one has it, and ends the others.
func (a *attempt) win() bool {
	x := a.execution
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.winner == nil {
		x.winner = a
		for _, other := range slices.DeleteFunc(slices.Clone(x.launched), func(r *attempt) bool { return r == a }) {
			other.abort(errLost)
		}
	}
	return x.winner == a
}

// answerBegun tells whether a byte of the answer was written to the caller.
func (x *execution) answerBegun() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.winner != nil
}
