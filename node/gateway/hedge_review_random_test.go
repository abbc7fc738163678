package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"net/http"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/gateway"
)

// workLog records when targets worked on a request.
type workLog struct {
	mu   sync.Mutex
	runs []work
}

type work struct {
	target   string
	from, to time.Time
	refused  bool
}

// moody behaves differently for each request, by random: it refuses, fails, breaks off, or is silent for up to 1.5 s at some event. It stops when the
// connection is closed.
func moody(name string, seed uint64, log *workLog, stream bool) script {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, uint64(name[1])))
	return func(c io.Writer, r *http.Request) bool {
		mu.Lock()
		kind, at, length, head := random.IntN(10), random.IntN(7), time.Duration(random.IntN(1500))*time.Millisecond, random.IntN(2) == 0
		mu.Unlock()
		log.mu.Lock()
		i := len(log.runs)
		log.runs = append(log.runs, work{target: name, from: time.Now()})
		log.mu.Unlock()
		defer func() {
			log.mu.Lock()
			defer log.mu.Unlock()
			log.runs[i].to = time.Now()
		}()
		gone := make(chan struct{})
		go func() {
			_, _ = c.(net.Conn).Read(make([]byte, 1))
			close(gone)
		}()
		pause := func(d time.Duration) bool {
			select {
			case <-gone:
				return false
			case <-time.After(d):
				return true
			}
		}
		if !pause(10 * time.Millisecond) {
			return false
		}
		switch kind {
		case 0:
			log.mu.Lock()
			log.runs[i].refused = true
			log.mu.Unlock()
			refusing(c, r)
			return false
		case 1:
			if pause(length / 4) {
				whole(500, "no")(c, r)
			}
			return false
		}
		if !stream {
			if pause(length) && kind != 2 {
				whole(200, "whole")(c, r)
			}
			return false
		}
		if head {
			_, _ = io.WriteString(c, streamHead)
		}
		for n := resumed(r); n <= 6; n++ {
			if n == at && !pause(length) || n == at && kind == 2 {
				return false
			}
			if n == resumed(r) && !head {
				_, _ = io.WriteString(c, streamHead)
			}
			if _, err := io.WriteString(c, chunk(event(n))); err != nil || !pause(20*time.Millisecond) {
				return false
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return false
	}
}

// Guards against a request that is at two targets for longer than the bound, at more targets than its route allows, that repeats or omits events, goes on
// after its client left, or keeps a slot.
func TestRandomSilencesKeepTheBoundsOfARequest(t *testing.T) {
	var longest time.Duration
	most, answered, cut := 0, 0, 0
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			log, stream := &workLog{}, seed%4 != 0
			scripts := make(map[string]script)
			for i := 1; i <= 5; i++ {
				name := fmt.Sprintf("t%d", i)
				scripts[name] = moody(name, seed, log, stream)
			}
			w := newTestGateway(t, scripts)
			defer time.Sleep(3 * time.Second)
			defer w.close()
			w.route.MaxAttempts = 2 + int(seed%2)
			if seed%3 == 0 {
				w.route.Objective, w.route.MaxEventGap = 300*time.Millisecond, 200*time.Millisecond
			}
			if !stream {
				w.route.Kind, w.route.Resumable = routetable.Safe, false
			}
			w.board.SetPeerCounts("peer", map[fleet.TargetID]slots.Count{"t2": {Online: int(seed % 9)}})
			ctx := t.Context()
			if seed%5 == 0 {
				left, cancel := context.WithCancel(ctx)
				defer cancel()
				ctx = left
				time.AfterFunc(time.Duration(seed)*3*time.Millisecond, cancel)
			}
			var out sink
			outcome := w.do(ctx, &out)
			ended := time.Now()
			require.Empty(t, w.board.OwnCounts(), "seed %d", seed)
			synctest.Wait()
			w.mu.Lock()
			sent := len(w.seen)
			w.mu.Unlock()
			time.Sleep(2 * time.Second)
			w.mu.Lock()
			require.Len(t, w.seen, sent, "seed %d: nothing is sent after the end", seed)
			w.mu.Unlock()
			if outcome.Verdict == gateway.Answered {
				answered++
				switch {
				case out.status == 500:
				case stream:
					require.Equal(t, allEvents(0, 6), out.body.String(), "seed %d", seed)
				default:
					require.Equal(t, "whole", out.body.String(), "seed %d", seed)
				}
			} else {
				cut++
				require.True(t, strings.HasPrefix(allEvents(0, 6), out.body.String()), "seed %d: %q", seed, out.body.String())
			}
			ran := make(map[string]bool)
			log.mu.Lock()
			defer log.mu.Unlock()
			for i, a := range log.runs {
				require.False(t, a.to.IsZero(), "seed %d: %s still works on it", seed, a.target)
				if !a.refused {
					ran[a.target] = true
				}
				require.LessOrEqual(t, a.to.Sub(ended), 50*time.Millisecond, "seed %d: %s goes on after the end", seed, a.target)
				for _, b := range log.runs[:i] {
					first, last := a.from, b.to
					if a.to.Before(last) {
						last = a.to
					}
					longest = max(longest, last.Sub(first))
				}
			}
			most = max(most, len(log.runs))
			require.LessOrEqual(t, len(ran), w.route.MaxAttempts, "seed %d: %v", seed, log.runs)
		})
	}
	t.Logf("longest time at two targets %v, most runs of a request %d, answered %d, not answered %d", longest, most, answered, cut)
	require.LessOrEqual(t, longest, 300*time.Millisecond)
}
