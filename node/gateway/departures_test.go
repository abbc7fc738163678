package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/gateway"
)

// leaving makes a script say in each response that the target is leaving.
func leaving(run script) script {
	return func(w io.Writer, r *http.Request) bool {
		return run(headerAdder{w}, r)
	}
}

type headerAdder struct{ io.Writer }

// Write implements io.Writer.
func (a headerAdder) Write(p []byte) (int, error) {
	_, err := io.WriteString(a.Writer, strings.Replace(string(p), "\r\nId: q1\r\n", "\r\nId: q1\r\nLeaving: 1\r\n", 1))
	return len(p), err
}

// Guards against requests, retries and batch items at a target that has said in a response of any kind that it is leaving.
func TestLeavingTargetGetsNothingAfterAnyResponse(t *testing.T) {
	cases := map[string]script{
		"stream":             events(0, 3),
		"whole response":     whole(200, "yes"),
		"rejection":          whole(422, "no"),
		"failure":            whole(500, "sorry"),
		"not run":            refusing,
		"stream that breaks": truncated(0, 2),
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t, map[string]script{"t1": leaving(run), "t2": events(0, 3)})
				defer w.close()
				w.route.Kind = routetable.Safe
				if strings.Contains(name, "stream") {
					w.route.Kind = routetable.Stream
				}
				w.prefer("t1")
				w.do(t.Context(), &sink{})
				require.Equal(t, "t1", w.seen[0].target)
				w.seen = nil
				for range 20 {
					w.do(t.Context(), &sink{})
					time.Sleep(200 * time.Millisecond) // past each time for which a target is avoided or ejected
				}
				for _, r := range w.seen {
					require.Equal(t, "t2", r.target)
				}
				require.Nil(t, w.board.ReserveBatch("s", "q1", map[fleet.TargetID]bool{"t2": true}, true))
				require.Equal(t, 1, w.board.Pool("s").Usable)
			})
		})
	}
}

// Guards against batch items whose response says that their target is leaving, and that go on there.
func TestItemMarksLeavingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t, map[string]script{"t1": leaving(events(0, 3))})
		defer w.close()
		request := &gateway.Request{ID: "q1", Job: "j", Method: http.MethodPost, URI: "/p/1", Host: "h", Route: &w.route, Service: "s", Arrived: time.Now()}
		reservation := w.board.ReserveBatch("s", "q1", nil, false)
		outcome := w.forward.RunItem(t.Context(), request, reservation, &gateway.Progress{}, eventFunc(func([]byte) {}))
		reservation.Release()
		require.Equal(t, gateway.Answered, outcome.Verdict)
		require.Nil(t, w.board.ReserveBatch("s", "q1", nil, false))
	})
}

// Guards against a stream that resumes at a target that says meanwhile, in another response, that it is leaving.
func TestStreamDoesNotResumeAtLeavingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paused := func(c io.Writer, r *http.Request) bool {
			time.Sleep(100 * time.Millisecond)
			return truncated(0, 1)(c, r)
		}
		w := newTestGateway(t, map[string]script{"t1": paused, "t2": leaving(events(0, 3)), "t3": events(2, 3)})
		defer w.close()
		w.route.Objective, w.route.MaxEventGap = time.Second, time.Second
		w.prefer("t1")
		done := make(chan struct{})
		go func() {
			defer close(done)
			var out sink
			require.Equal(t, gateway.Answered, w.do(t.Context(), &out).Verdict)
			require.Equal(t, allEvents(0, 3), out.body.String())
		}()
		time.Sleep(50 * time.Millisecond)
		w.prefer("t2")
		w.do(t.Context(), &sink{})
		<-done
		require.Equal(t, []receivedRequest{{"t1", ""}, {"t2", ""}, {"t3", "1"}}, w.seen)
	})
}

// Guards against holding requests until their deadline when the last target that may get them leaves.
func TestWaitingRequestsAreRejectedWhenAllTargetsLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t, map[string]script{"t1": paced(0, 3, 500*time.Millisecond)})
		defer w.close()
		target := slots.Target{Slots: 1}
		target.ID, target.Service, target.Address, target.State = "t1", "s", "10.0.0.1:80", fleet.TargetLive
		w.board.SetTargets([]slots.Target{target})
		go w.do(t.Context(), &sink{})
		time.Sleep(10 * time.Millisecond)
		time.AfterFunc(100*time.Millisecond, func() { w.board.MarkDeparting([]slots.Target{target}, "peer") })
		started := time.Now()
		outcome := w.do(t.Context(), &sink{})
		require.Equal(t, gateway.NotRun, outcome.Verdict)
		require.Positive(t, outcome.RetryAfter)
		require.Equal(t, 100*time.Millisecond, time.Since(started))
		started = time.Now()
		require.Equal(t, gateway.NotRun, w.do(t.Context(), &sink{}).Verdict)
		require.Zero(t, time.Since(started))
		time.Sleep(3 * time.Second) // the first request ends
	})
}

// Guards against a target that cancels its departure and stays unused at instances that do not watch the store.
func TestCancelledDepartureReachesInstancesThatDoNotWatch(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		startLargeFleet(p)
		p.put("t/t1", "leaving")
		time.Sleep(3 * time.Second)
		target := slots.Target{Slots: 8}
		target.ID, target.Service, target.State = "t1", "s", fleet.TargetLeaving
		for _, m := range p.members {
			m.board.MarkDeparting([]slots.Target{target}, "peer")
		}
		for range 6 {
			p.put("t/t1", "leaving") // a heartbeat
			time.Sleep(time.Second)
		}
		p.put("t/t1", "live")
		time.Sleep(3 * time.Second)
		for _, m := range p.members {
			require.Equal(t, 1, m.board.Pool("s").Usable, "%s", m.id)
		}
	})
}

// Guards against a registration from before the response, read late from a peer or from the store, that brings a leaving target back, and against
// a later one that does not.
func TestRegistrationFromBeforeTheResponseDoesNotBringTargetBack(t *testing.T) {
	for name, readsFromPeer := range map[string]bool{"from a peer": true, "from the store": false} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, func(t *testing.T, p *testFleet) {
				m := p.startInstance("a", "a1", true)
				if readsFromPeer {
					p.startInstance("b", "a1", true)
				}
				time.Sleep(time.Second)
				m.store.set(true)
				time.Sleep(500 * time.Millisecond) // its watch ends, so that it reads the change only later
				p.put("t/t1", "live second")
				target := slots.Target{Slots: 8}
				target.ID, target.Service, target.State = "t1", "s", fleet.TargetLive
				m.board.MarkDeparting([]slots.Target{target}, "peer")
				for i := range 8 {
					if i == 4 {
						m.store.set(false)
					}
					time.Sleep(time.Second)
					p.put("t/t1", "live second") // a heartbeat
					require.Zero(t, m.board.Pool("s").Usable)
				}
				p.put("t/t1", "live third")
				time.Sleep(time.Second)
				require.Equal(t, 1, m.board.Pool("s").Usable)
			})
		})
	}
}
