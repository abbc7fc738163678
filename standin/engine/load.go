package engine

import (
	"fmt"
	"time"

	api "eelgrassproxy.example/api/engine"
)

// sample is the engine's load at one moment.
type sample struct {
	running, waiting, free int
	at                     time.Time
}

func (e *Engine) present(at time.Time) sample {
	free := max(0, e.options.KVBlocks-e.occupied())
	return sample{running: len(e.running), waiting: len(e.queue), free: free, at: at}
}

// takeSample replaces the published sample if a sampling time has passed since. It is called before each change, so that the
// present state is the state at the sampling time, and no timer is needed.
func (e *Engine) takeSample(now time.Time) {
	lag := e.options.LoadLag
	if lag <= 0 {
		e.sample = e.present(now)
		return
	}
	due := e.started.Add(now.Sub(e.started).Truncate(lag))
	if due.After(e.sample.at) {
		e.sample = e.present(due)
	}
}

func (e *Engine) load(now time.Time) *api.Load {
	e.takeSample(now)
	return &api.Load{
		Running:       int32(e.sample.running),
		Waiting:       int32(e.sample.waiting),
		KvBlocksFree:  int32(e.sample.free),
		KvBlocksTotal: int32(e.options.KVBlocks),
		AgeMs:         now.Sub(e.sample.at).Milliseconds(),
	}
}

func (e *Engine) loadHeader(now time.Time) string {
	l := e.load(now)
	return fmt.Sprintf("running=%d;waiting=%d;free=%d;total=%d;age_ms=%d",
		l.Running, l.Waiting, l.KvBlocksFree, l.KvBlocksTotal, l.AgeMs)
}
