package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/gateway"
)

// resumed returns the id of the first event that a request asks for.
func resumed(r *http.Request) int {
	after, err := strconv.Atoi(r.Header.Get("After"))
	if err != nil {
		return 0
	}
	return after + 1
}

// clientPatience is the time without an event after which clients give up a stream.
const clientPatience = 2 * time.Second

// silentFor writes a stream up to event 5, or a whole response to a request that is not one. Before event `from`, the target falls silent for d, to all
// requests.
func silentFor(d time.Duration, from int, stream bool) script {
	var began sync.Once
	var until time.Time
	pause := func() {
		began.Do(func() { until = time.Now().Add(d) })
		time.Sleep(time.Until(until))
	}
	return func(w io.Writer, r *http.Request) bool {
		time.Sleep(10 * time.Millisecond)
		if !stream {
			pause()
			return whole(200, "whole")(w, r)
		}
		for i := resumed(r); i <= 5; i++ {
			if i == from {
				pause()
			}
			if i == resumed(r) {
				_, _ = io.WriteString(w, streamHead)
			}
			if _, err := io.WriteString(w, chunk(event(i))); err != nil {
				return false
			}
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err == nil
	}
}

// Guards against a request that loses its answer because it leaves a sound target that is silent for about a second, for one that does not answer.
func TestSilenceOfASoundTargetCostsNoAnswer(t *testing.T) {
	next := map[string]script{
		"refuses":                           refusing,
		"fails":                             whole(500, "no"),
		"breaks off before its first event": raw(streamHead + chunk("id: 99\nda")),
		"breaks off without a byte":         raw(""),
		"ends without an event":             raw(unframedHead),
		"cannot be connected to":            events(0, 5),
		"is silent in turn":                 neverResponds,
		"is silent after its header": func(w io.Writer, r *http.Request) bool {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(w, streamHead)
			return neverResponds(w, r)
		},
		"is full":    events(0, 5),
		"is missing": nil,
	}
	for _, start := range []struct {
		name   string
		from   int
		stream bool
	}{{"in the stream", 3, true}, {"before the first event", 0, true}, {"before a whole response", 0, false}} {
		for name, other := range next {
			if !start.stream && name == "ends without an event" {
				continue // an empty response, which is whole
			}
			for _, tight := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/next %s/objectives %t", start.name, name, tight), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						scripts := map[string]script{"t1": silentFor(1200*time.Millisecond, start.from, start.stream)}
						if other != nil {
							scripts["t2"] = other
						}
						w := newTestGateway(t, scripts)
						defer time.Sleep(2 * time.Second) // until the scripts have ended
						defer w.close()
						if tight {
							w.route.Objective, w.route.MaxEventGap = 300*time.Millisecond, 200*time.Millisecond
						}
						w.prefer("t1")
						switch name {
						case "cannot be connected to":
							w.network.Refuse("10.0.0.2:80")
						case "is full":
							w.board.SetPeerCounts("peer", map[fleet.TargetID]slots.Count{"t2": {Online: 8}})
						}
						want := allEvents(0, 5)
						if !start.stream {
							w.route.Kind, w.route.Resumable = routetable.Safe, false
							want = "whole"
						}
						var out sink
						started := time.Now()
						outcome := w.do(t.Context(), &out)
						require.Equal(t, gateway.Answered, outcome.Verdict, "%v", outcome.Cause)
						require.Equal(t, want, out.body.String())
						require.Equal(t, 200, out.status)
						if start.stream {
							require.Less(t, time.Since(started), clientPatience)
						}
						require.Empty(t, w.board.OwnCounts(), "the slots are free again")
					})
				})
			}
		}
	}
}

// slowSink blocks in each call of Write for a while, like a client that reads slowly.
type slowSink struct {
	sink
	delay time.Duration
}

func (s *slowSink) Write(p []byte) error {
	time.Sleep(s.delay)
	return s.sink.Write(p)
}

// Guards against taking a target for silent because the client does not read what it has sent.
func TestSlowClientDoesNotMakeItsTargetSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t, map[string]script{"t1": paced(0, 3, 50*time.Millisecond), "t2": neverResponds})
		defer w.close()
		w.prefer("t1")
		out := slowSink{delay: time.Second}
		require.Equal(t, gateway.Answered, w.doTo(t.Context(), &out).Verdict)
		require.Equal(t, allEvents(0, 3), out.body.String())
		require.Equal(t, []receivedRequest{{"t1", ""}}, w.seen)
		require.Equal(t, 2, w.board.Pool("s").Usable, "no target is avoided")
	})
}

// Guards against a stream that is cut because the only target that could continue it refuses it once, for example since it is full for a moment.
func TestStreamGoesOnAtATargetThatRefusedItOnce(t *testing.T) {
	for name, first := range map[string]script{"broken off": truncated(0, 2), "silent": func(w io.Writer, r *http.Request) bool {
		_, _ = io.WriteString(w, streamHead+chunk(event(0))+chunk(event(1))+chunk(event(2)))
		return neverResponds(w, r)
	}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t, map[string]script{"t1": first, "t2": perRequest(refusing, refusing, events(3, 5))})
				defer w.close()
				w.prefer("t1")
				var out sink
				started := time.Now()
				require.Equal(t, gateway.Answered, w.do(t.Context(), &out).Verdict)
				require.Equal(t, allEvents(0, 5), out.body.String())
				require.Less(t, time.Since(started), clientPatience)
			})
		})
	}
}

// stallsThen writes the events 0 to 2, is silent for d and ends with the script rest.
func stallsThen(d time.Duration, rest script) script {
	return func(w io.Writer, r *http.Request) bool {
		_, _ = io.WriteString(w, streamHead+chunk(event(0))+chunk(event(1))+chunk(event(2)))
		time.Sleep(d)
		return rest(w, r)
	}
}

// Guards against giving up a hedge, whose target is at work, when the silent target breaks off.
func TestHedgeGoesOnWhenTheSilentTargetBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(w io.Writer, r *http.Request) bool {
			time.Sleep(200 * time.Millisecond)
			return events(3, 5)(w, r)
		}
		w := newTestGateway(t, map[string]script{"t1": stallsThen(800*time.Millisecond, raw("")), "t2": slow})
		defer w.close()
		w.prefer("t1")
		var out sink
		started := time.Now()
		require.Equal(t, gateway.Answered, w.do(t.Context(), &out).Verdict)
		require.Equal(t, allEvents(0, 5), out.body.String())
		require.Equal(t, 900*time.Millisecond, time.Since(started))
		require.Equal(t, []receivedRequest{{"t1", ""}, {"t2", "2"}}, w.seen)
	})
}

// commentSink fails at a comment.
type commentSink struct{ sink }

func (s *commentSink) Write(p []byte) error {
	if p[0] == ':' {
		return errors.New("broken pipe")
	}
	return s.sink.Write(p)
}

// Guards against tries that go on, or slots that stay taken, when the caller leaves during a hedge or its connection fails there.
func TestCallerThatLeavesEndsTheHedgeToo(t *testing.T) {
	comment := func(w io.Writer, r *http.Request) bool {
		_, _ = io.WriteString(w, chunk(": still there\n\n"))
		return neverResponds(w, r)
	}
	for name, fails := range map[string]bool{"leaves": false, "fails": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t, map[string]script{"t1": stallsThen(800*time.Millisecond, comment), "t2": neverResponds})
				defer w.close()
				w.prefer("t1")
				ctx, cancel := context.WithCancel(t.Context())
				if !fails {
					time.AfterFunc(750*time.Millisecond, cancel)
				}
				defer cancel()
				require.Equal(t, gateway.ClientGone, w.doTo(ctx, &commentSink{}).Verdict)
				require.Empty(t, w.board.OwnCounts())
				time.Sleep(time.Second)
				w.mu.Lock()
				defer w.mu.Unlock()
				require.Len(t, w.closed, 2, "both targets have learned of it")
				require.Len(t, w.seen, 2)
			})
		})
	}
}
