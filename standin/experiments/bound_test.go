package experiments

import (
	"time"

	"math/rand/v2"

	"eelgrassproxy.example/standin/engine"
)

// pooled is the event loop of engines with the stand-in's service-time model and one queue with exact knowledge of all of them.
type pooled struct {
	options engine.Options
	random  *rand.Rand
	push    bool // place a request on the least loaded engine at once if it has room; otherwise engines pull when a step begins
	queue   []Arrival
	engines []*simulated
}

type simulated struct {
	waiting []Arrival // placed, not admitted
	running []sequence
	until   time.Duration // end of the step in progress; 0 when idle
}

type sequence struct {
	arrival Arrival
	left    int
	first   bool // the first token is still to come
}

// bound returns the times to first token that the single queue reaches, without network delay. push places each request at once on
// the engine with the fewest requests, exactly known; pull lets an engine take requests from the queue when its next step begins.
func bound(arrivals []Arrival, engines int, o engine.Options, push bool) *Latencies {
	p := &pooled{options: o, random: rand.New(rand.NewPCG(1, 1)), push: push}
	for range engines {
		p.engines = append(p.engines, &simulated{})
	}
	latencies := NewLatencies()
	next := 0
	for {
		e := p.earliest()
		switch {
		case next < len(arrivals) && (e == nil || arrivals[next].At < e.until):
			p.queue = append(p.queue, arrivals[next])
			p.place(arrivals[next].At, nil)
			next++
		case e != nil:
			p.finish(e, latencies)
		default:
			return latencies
		}
	}
}

func (p *pooled) earliest() *simulated {
	var found *simulated
	for _, e := range p.engines {
		if e.until > 0 && (found == nil || e.until < found.until) {
			found = e
		}
	}
	return found
}

// place hands queued requests to engines with room and starts idle ones. ending is an engine that begins its next step right after.
func (p *pooled) place(now time.Duration, ending *simulated) {
	for len(p.queue) > 0 {
		e := p.room()
		if e == nil {
			return
		}
		e.waiting = append(e.waiting, p.queue[0])
		p.queue = p.queue[1:]
		if e != ending && e.until == 0 {
			p.begin(e, now)
		}
	}
}

// room returns the least loaded engine that may take a request now. With pull, only an idle engine may.
func (p *pooled) room() *simulated {
	var found *simulated
	for _, e := range p.engines {
		load := len(e.running) + len(e.waiting)
		if load >= p.options.MaxRunning || !p.push && e.until > 0 {
			continue
		}
		if found == nil || load < len(found.running)+len(found.waiting) {
			found = e
		}
	}
	return found
}

func (p *pooled) begin(e *simulated, now time.Duration) {
	prefill := time.Duration(0)
	take := func(a Arrival) {
		e.running = append(e.running, sequence{arrival: a, left: a.Tokens, first: true})
		prefill += time.Duration(len(a.Prompt)+1) * p.options.PrefillPerToken
	}
	for _, a := range e.waiting {
		take(a)
	}
	e.waiting = nil
	for !p.push && len(p.queue) > 0 && len(e.running) < p.options.MaxRunning {
		take(p.queue[0])
		p.queue = p.queue[1:]
	}
	e.until = 0
	if len(e.running) > 0 {
		step := p.options.StepBase + time.Duration(len(e.running))*p.options.StepPerSequence
		step += time.Duration(p.random.Int64N(int64(p.options.StepJitter)))
		e.until = now + prefill + step
	}
}

func (p *pooled) finish(e *simulated, latencies *Latencies) {
	now := e.until
	kept := e.running[:0]
	for _, s := range e.running {
		if s.first && s.arrival.At >= warmUp {
			latencies.Record(now - s.arrival.At)
		}
		s.first = false
		s.left--
		if s.left > 0 {
			kept = append(kept, s)
		}
	}
	e.running = kept
	if p.push {
		p.place(now, e)
	}
	p.begin(e, now)
}
