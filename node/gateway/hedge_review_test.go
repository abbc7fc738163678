package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/gateway"
)

// seenBy returns the number of requests that arrived at a target.
func (w *testGateway) seenBy(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.seen {
		if r.target == name {
			n++
		}
	}
	return n
}

// breaksOffAfter sends the header of a stream, and closes the connection after d without an event.
func breaksOffAfter(d time.Duration) script {
	return func(c io.Writer, _ *http.Request) bool {
		_, _ = io.WriteString(c, streamHead)
		time.Sleep(d)
		return false
	}
}

// Guards against a stream that is cut, or waits until its deadline, for a slot at a full third target, while the sound target that it left for its
// silence has free slots.
func TestRequestReturnsToTheTargetThatItLeftIfOthersAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t, map[string]script{"t1": silentFor(1200*time.Millisecond, 3, true), "t2": breaksOffAfter(300 * time.Millisecond), "t3": events(0, 5)})
		defer time.Sleep(2 * time.Second)
		defer w.close()
		w.route.MaxAttempts = 3
		w.board.SetPeerCounts("peer", map[fleet.TargetID]slots.Count{"t2": {Online: 3}, "t3": {Online: 8}})
		for i := range 20 { // keeps the report of the peer fresh
			time.AfterFunc(time.Duration(i)*300*time.Millisecond, func() {
				w.board.SetPeerCounts("peer", map[fleet.TargetID]slots.Count{"t2": {Online: 3}, "t3": {Online: 8}})
			})
		}
		var out sink
		started := time.Now()
		outcome := w.do(t.Context(), &out)
		took := time.Since(started)
		time.Sleep(2 * time.Second)
		require.Equal(t, gateway.Answered, outcome.Verdict, "after %v: %v", took, outcome.Cause)
		require.Equal(t, allEvents(0, 5), out.body.String())
		require.Less(t, took, clientPatience)
	})
}

// Guards against giving up a sound silent target for a hedge whose empty stream cannot be passed on.
func TestEmptyHedgeOfAStreamResumedByTheClientDoesNotWin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		empty := raw(streamHead + "0\r\n\r\n")
		later := func(c io.Writer, _ *http.Request) bool {
			time.Sleep(1200 * time.Millisecond)
			return events(3, 5)(c, nil)
		}
		w := newTestGateway(t, map[string]script{"t1": later, "t2": empty})
		defer time.Sleep(2 * time.Second)
		defer w.close()
		w.prefer("t1")
		now := time.Now()
		var out sink
		outcome := w.forward.Do(t.Context(), &gateway.Request{
			ID: "q1", Method: http.MethodPost, URI: "/p/1", Host: "h", Route: &w.route, Service: "s", Resume: true, After: 2,
			Arrived: now, Deadline: now.Add(w.route.Timeout),
		}, &out)
		require.Equal(t, gateway.Answered, outcome.Verdict, "%v", outcome.Cause)
		require.Equal(t, allEvents(3, 5), out.body.String())
		require.Equal(t, 1, w.seenBy("t1"), "the request stayed at t1")
	})
}

// Guards against reporting a request as not run, and refunding it, though its hedge runs at a target. Which goroutine sees the deadline first is not
// fixed, so that the request is sent many times.
func TestRequestWhoseHedgeRunsIsNotReportedAsNotRun(t *testing.T) {
	for range 60 {
		synctest.Test(t, func(t *testing.T) {
			w := newTestGateway(t, map[string]script{"t1": refusing, "t2": events(0, 3), "t3": neverResponds})
			defer w.close()
			w.route.Objective, w.route.Timeout = 200*time.Millisecond, 200*time.Millisecond
			w.network.Partition([]string{"10.1.0.1"}, []string{"10.0.0.2:80"})
			w.board.SetPeerCounts("peer", map[fleet.TargetID]slots.Count{"t2": {Online: 2}, "t3": {Online: 4}})
			outcome := w.do(t.Context(), &sink{})
			require.Equal(t, 1, w.seenBy("t3"), "the hedge was sent")
			require.Equal(t, gateway.TimedOut, outcome.Verdict, "%v", outcome.Cause)
		})
	}
}

// Guards against a request that gets no answer until its deadline at a dark target, though another target has answered it with a client error.
func TestClientErrorOfAHedgeIsPassedOnIfTheFirstTargetIsDark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t, map[string]script{"t1": neverResponds, "t2": whole(422, "no")})
		defer w.close()
		w.prefer("t1")
		var out sink
		started := time.Now()
		outcome := w.do(t.Context(), &out)
		took := time.Since(started)
		require.Equal(t, gateway.Answered, outcome.Verdict, "after %v: %v", took, outcome.Cause)
		require.Equal(t, 422, out.status)
		require.Less(t, took, clientPatience)
	})
}

// Guards against a silent target that makes batch items elsewhere give up their slots for a hedge that may be dropped at once.
func TestHedgeMakesNoItemYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t, map[string]script{"t1": silentFor(1200*time.Millisecond, 3, true), "t2": neverResponds})
		defer time.Sleep(2 * time.Second)
		defer w.close()
		var yielded []map[fleet.TargetID]int
		w.board.OnYield(func(n map[fleet.TargetID]int) { yielded = append(yielded, n) })
		w.prefer("t2")
		for range 5 {
			require.Equal(t, fleet.TargetID("t2"), w.board.ReserveBatch("s", "i", map[fleet.TargetID]bool{"t1": true}, false).Target.ID)
		}
		w.board.SetPeerCounts("peer", map[fleet.TargetID]slots.Count{"t2": {Online: 3}})
		w.route.Objective, w.route.MaxEventGap = 300*time.Millisecond, 200*time.Millisecond
		var out sink
		require.Equal(t, gateway.Answered, w.do(t.Context(), &out).Verdict)
		require.Empty(t, yielded)
	})
}

// Guards against one silent request that asks all targets of a fleet in a row.
func TestRefusedHedgesOfARequestAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scripts := map[string]script{"t1": silentFor(1200*time.Millisecond, 3, true)}
		for i := 2; i <= 30; i++ {
			scripts[fmt.Sprintf("t%d", i)] = refusing
		}
		w := newTestGateway(t, scripts)
		defer time.Sleep(2 * time.Second)
		defer w.close()
		counts := make(map[fleet.TargetID]slots.Count)
		for i := 2; i <= 30; i++ {
			counts[fleet.TargetID(fmt.Sprintf("t%d", i))] = slots.Count{Online: 3}
		}
		w.board.SetPeerCounts("peer", counts)
		var out sink
		require.Equal(t, gateway.Answered, w.do(t.Context(), &out).Verdict)
		w.mu.Lock()
		defer w.mu.Unlock()
		require.LessOrEqual(t, len(w.seen), 6)
	})
}

// Guards against a long whole response that is sent again and again to the target that it left.
func TestLongResponseIsNotHedgedAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := func(c io.Writer, r *http.Request) bool {
			time.Sleep(4 * time.Second)
			return whole(200, "whole")(c, r)
		}
		w := newTestGateway(t, map[string]script{"t1": long, "t2": long})
		defer time.Sleep(5 * time.Second)
		defer w.close()
		w.route.Kind, w.route.Resumable, w.route.Timeout = routetable.Safe, false, 10*time.Second
		w.prefer("t1")
		var out sink
		require.Equal(t, gateway.Answered, w.do(t.Context(), &out).Verdict)
		w.mu.Lock()
		defer w.mu.Unlock()
		require.LessOrEqual(t, len(w.seen), 3, "%v", w.seen)
	})
}

// Guards against an unconfirmed 429 of a hedge that ends the wait for the answer of a sound silent target.
func TestHedgeDoesNotWinWithTooManyRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t, map[string]script{"t1": silentFor(1200*time.Millisecond, 0, false), "t2": whole(429, "busy")})
		defer time.Sleep(2 * time.Second)
		defer w.close()
		w.route.Kind, w.route.Resumable = routetable.Safe, false
		w.prefer("t1")
		var out sink
		require.Equal(t, gateway.Answered, w.do(t.Context(), &out).Verdict)
		require.Equal(t, 200, out.status)
	})
}

// Guards against leaving a sound target for a hedge without an event while it accepts no new requests: if the hedge breaks off, there is no way back.
func TestLeavingTargetIsNotLeftForAHedgeThatBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t, map[string]script{"t1": silentFor(1200*time.Millisecond, 3, true), "t2": breaksOffAfter(400 * time.Millisecond)})
		defer time.Sleep(2 * time.Second)
		defer w.close()
		w.prefer("t1")
		w.route.Objective, w.route.MaxEventGap = 300*time.Millisecond, 200*time.Millisecond
		time.AfterFunc(50*time.Millisecond, func() {
			var list []slots.Target
			for i, state := range []fleet.TargetState{fleet.TargetLeaving, fleet.TargetLive} {
				target := slots.Target{Slots: 8}
				target.ID, target.Service, target.Address, target.State = fleet.TargetID(fmt.Sprintf("t%d", i+1)), "s", fmt.Sprintf("10.0.0.%d:80", i+1), state
				list = append(list, target)
			}
			w.board.SetTargets(list)
		})
		var out sink
		started := time.Now()
		outcome := w.do(t.Context(), &out)
		took := time.Since(started)
		require.Equal(t, gateway.Answered, outcome.Verdict, "after %v: %v", took, outcome.Cause)
		require.Equal(t, allEvents(0, 5), out.body.String())
	})
}

// Guards against leaving a target that sends to other requests for one that has sent nothing at all.
func TestLiveTargetIsNotLeftForADarkOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 1100 * time.Millisecond
		first := true
		busy := func(c io.Writer, r *http.Request) bool {
			if first {
				first = false
				return paced(0, 100, 40*time.Millisecond)(c, r)
			}
			time.Sleep(wait)
			return events(0, 3)(c, r)
		}
		w := newTestGateway(t, map[string]script{"t1": busy, "t2": neverResponds})
		defer time.Sleep(5 * time.Second)
		defer w.close()
		w.prefer("t1")
		go w.do(t.Context(), &sink{})
		time.Sleep(50 * time.Millisecond)
		require.Less(t, w.requireAnswer(t), clientPatience)
	})
}
