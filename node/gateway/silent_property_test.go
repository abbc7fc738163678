package gateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/gateway"
)

// kind is what a target does with a request.
type kind int

const (
	sound   kind = iota
	refuses      // at once: a request that waits for a refusal may have run
	resets       // before the event resetAt
	dark
)

// playedTarget is a target that is silent at times, to all requests.
type playedTarget struct {
	name     string
	kind     kind
	resetAt  int
	toFirst  time.Duration // from a request to the first event
	interval time.Duration // between events
	silences []silence
}

type silence struct{ from, to time.Time }

// awaitSound waits until the target is not silent.
func (p *playedTarget) awaitSound() {
	for _, s := range p.silences {
		if now := time.Now(); !now.Before(s.from) {
			time.Sleep(s.to.Sub(now))
		}
	}
}

// run is the time in which a target worked on a request, or had not learned that it was given up.
type run struct {
	target   string
	from, to time.Time
}

type runLog struct {
	mu   sync.Mutex
	runs map[string][]run
}

// script plays the target for streams with the events 0 to last.
func (p *playedTarget) script(log *runLog, last int) script {
	return func(w io.Writer, r *http.Request) bool {
		id := r.Header.Get("Id")
		if p.kind == refuses {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", id)
			return false
		}
		p.awaitSound()
		from, closed := time.Now(), make(chan struct{})
		go func() {
			defer close(closed)
			_, _ = w.(net.Conn).Read(make([]byte, 1))
			log.mu.Lock()
			defer log.mu.Unlock()
			log.runs[id] = append(log.runs[id], run{p.name, from, time.Now()})
		}()
		if p.kind == dark {
			<-closed
			return false
		}
		time.Sleep(p.toFirst)
		head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: yes\r\nConnection: close\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		for i := resumed(r); i <= last; i++ {
			if p.kind == resets && i >= p.resetAt {
				return false
			}
			p.awaitSound()
			if _, err := io.WriteString(w, head+chunk(event(i))); err != nil {
				return false
			}
			head = ""
			time.Sleep(p.interval)
		}
		p.awaitSound()
		_, _ = io.WriteString(w, head+"0\r\n\r\n")
		return false
	}
}

// playTargets returns three targets with silences of 0.2 to 1.5 s, in series and overlapping. At most `faulty` of them reset or are dark for ever.
func playTargets(random *rand.Rand, faulty int) []*playedTarget {
	// Times are multiples of 10 ms, so that two targets often send at the same moment.
	ms := func(from, to int) time.Duration {
		return time.Duration(from+random.IntN((to-from)/10)*10) * time.Millisecond
	}
	var list []*playedTarget
	for i := range 3 {
		p := &playedTarget{name: fmt.Sprintf("t%d", i+1), toFirst: ms(10, 400), interval: ms(10, 60), resetAt: random.IntN(20)}
		at := time.Now()
		for range random.IntN(5) {
			at = at.Add(ms(0, 1000))
			s := silence{at, at.Add(ms(200, 1500))}
			p.silences, at = append(p.silences, s), s.to
		}
		list = append(list, p)
	}
	for i, p := range list[:2] {
		switch k := kind(random.IntN(4)); {
		case k == refuses && i == 0:
			p.kind = k
		case k >= resets && faulty > 0:
			p.kind = k
			faulty--
		}
	}
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// Guards against answers that are cut though a target could complete them, events that are missing or come twice, requests that run at more targets than
// their route allows, and requests at which two targets work for longer than the overlap of a hedge.
func TestSilencesCostNoAnswer(t *testing.T) {
	const last, requests, maxOverlap = 19, 3, 250 * time.Millisecond
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			attempts := 2 + random.IntN(2)
			log := &runLog{runs: make(map[string][]run)}
			scripts := make(map[string]script)
			for _, p := range playTargets(random, attempts-1) {
				scripts[p.name] = p.script(log, last)
			}
			w := newTestGateway(t, scripts)
			route := w.route
			route.MaxAttempts, route.Timeout = attempts, 30*time.Second
			if random.IntN(2) == 0 {
				route.Objective, route.MaxEventGap = 400*time.Millisecond, 200*time.Millisecond
			}
			var all sync.WaitGroup
			for i := range requests {
				time.Sleep(time.Duration(random.IntN(50)) * 10 * time.Millisecond)
				all.Go(func() {
					now := time.Now()
					var out sink
					id := fmt.Sprintf("q%d", i)
					outcome := w.forward.Do(t.Context(), &gateway.Request{
						ID: fleet.RequestID(id), Method: http.MethodPost, URI: "/p/1", Host: "h", Route: &route, Service: "s",
						Arrived: now, Deadline: now.Add(route.Timeout),
					}, &out)
					if outcome.Verdict != gateway.Answered || out.body.String() != allEvents(0, last) {
						t.Errorf("seed %d, request %s: %s, %v, body %q", seed, id, outcome.Verdict, outcome.Cause, out.body.String())
					}
				})
			}
			all.Wait()
			require.Empty(t, w.board.OwnCounts(), "seed %d", seed)
			w.close()
			time.Sleep(10 * time.Second) // until the targets have learned of all ends
			log.mu.Lock()
			defer log.mu.Unlock()
			for id, runs := range log.runs {
				targets := make(map[string]bool)
				for i, a := range runs {
					targets[a.target] = true
					for _, b := range runs[:i] {
						if a.target == b.target {
							continue
						}
						begin, end := a.from, a.to
						if b.from.After(begin) {
							begin = b.from
						}
						if b.to.Before(end) {
							end = b.to
						}
						require.LessOrEqual(t, end.Sub(begin), maxOverlap, "seed %d, request %s: %v", seed, id, runs)
					}
				}
				require.LessOrEqual(t, len(targets), attempts, "seed %d, request %s: %v", seed, id, runs)
			}
		})
	}
}
