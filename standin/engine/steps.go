package engine

import (
	"slices"
	"time"
)

// loop runs the steps of the batch, one after another.
func (e *Engine) loop() {
	defer close(e.stopped)
	for {
		duration := e.begin()
		if duration == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.closed:
				return
			}
		}
		timer := time.NewTimer(duration)
		select {
		case <-timer.C:
			e.finish()
		case <-e.closed:
			timer.Stop()
			return
		}
	}
}

// nudge makes an idle loop look at the queue again.
func (e *Engine) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// begin admits requests and returns the duration of the next step; zero means that there is nothing to run.
func (e *Engine) begin() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.takeSample(now)
	prefill := time.Duration(0)
	for e.admissible() {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, r)
		r.cached = e.cache.prefix(r.hashes) * e.options.BlockTokens
		e.cache.store(r.hashes, now)
		prefill += time.Duration(r.prompt-r.cached) * e.options.PrefillPerToken
	}
	if len(e.running) == 0 {
		return 0
	}
	step := e.options.StepBase + time.Duration(len(e.running))*e.options.StepPerSequence
	if e.options.StepJitter > 0 {
		step += time.Duration(e.random.Int64N(int64(e.options.StepJitter)))
	}
	return prefill + step
}

// admissible tells whether the first request of the queue fits into the batch. A request that is larger than the KV cache runs
// alone.
func (e *Engine) admissible() bool {
	if len(e.queue) == 0 || len(e.running) >= e.options.MaxRunning || e.loading(e.queue[0].request.Model) {
		return false
	}
	return len(e.running) == 0 || e.occupied()+e.queue[0].blocks(e.options.BlockTokens) <= e.options.KVBlocks
}

func (e *Engine) occupied() int {
	total := 0
	for _, r := range e.running {
		total += r.blocks(e.options.BlockTokens)
	}
	return total
}

// finish ends a step: each running sequence gets its next token.
func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.takeSample(now)
	for _, r := range e.running {
		r.step(now)
		e.counters.tokens++
		if r.ended {
			e.ended = append(e.ended, r)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return r.ended })
	e.forgetEnded(now)
}

// forgetEnded drops the streams whose retention is over.
func (e *Engine) forgetEnded(now time.Time) {
	for len(e.ended) > 0 && now.Sub(e.ended[0].endedAt) > e.options.StreamRetention {
		r := e.ended[0]
		e.ended = e.ended[1:]
		if e.runs[r.id] == r {
			delete(e.runs, r.id)
		}
	}
}
