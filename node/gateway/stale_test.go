package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/node/gateway"
)

// perRequest runs the nth script for the nth request to a target, and the last one for all further requests.
func perRequest(scripts ...script) script {
	n := 0
	return func(w io.Writer, r *http.Request) bool {
		run := scripts[min(n, len(scripts)-1)]
		n++
		return run(w, r)
	}
}

// refusal returns the response of a target that says that it did not run the request with the id; no id is stated if it is empty.
func refusal(id string) string {
	header := ""
	if id != "" {
		header = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%sRefused: 1\r\nContent-Length: 0\r\n\r\n", header)
}

// preceded writes a response of another request before that of the request.
func preceded(stale string, run script) script {
	return func(w io.Writer, r *http.Request) bool {
		_, _ = io.WriteString(w, stale)
		return run(w, r)
	}
}

// Guards against a second run, or a promise that the request was not run, because of the repeated refusal of an earlier request.
func TestRepeatedRefusalOfAnotherRequestPromisesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		stale   string
		verdict gateway.Verdict
	}{
		"without an id":          {refusal(""), gateway.Unknown},
		"with the id of another": {refusal("q0"), gateway.Answered},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t, map[string]script{"t1": perRequest(whole(200, "a"), preceded(c.stale, whole(200, "b"))), "t2": whole(200, "c")})
				defer w.close()
				w.route.Kind, w.route.Resumable = routetable.Unsafe, false
				w.prefer("t1")
				require.Equal(t, gateway.Answered, w.do(t.Context(), &sink{}).Verdict)
				var out sink
				require.Equal(t, c.verdict, w.do(t.Context(), &out).Verdict)
				require.Equal(t, []receivedRequest{{"t1", ""}, {"t1", ""}}, w.seen, "the request ran once")
				if c.verdict == gateway.Answered {
					require.Equal(t, "b", out.body.String())
					return
				}
				require.Zero(t, out.status)
				synctest.Wait()
				w.mu.Lock()
				defer w.mu.Unlock()
				require.Contains(t, w.closed, "t1", "the connection is not used again")
			})
		})
	}
}

// Guards against a refusal that is not believed although it is the first response on its connection.
func TestRefusalWithoutIDIsBelievedOnANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t, map[string]script{"t1": func(c io.Writer, _ *http.Request) bool {
			_, _ = io.WriteString(c, refusal(""))
			return false
		}, "t2": whole(200, "b")})
		defer w.close()
		w.route.Kind, w.route.Resumable = routetable.Unsafe, false
		w.prefer("t1")
		require.Equal(t, gateway.Answered, w.do(t.Context(), &sink{}).Verdict)
		require.Len(t, w.seen, 2)
	})
}

// Guards against passing on a status that promises that the request was not run, if the target does not say so besides.
func TestUnconfirmedPromiseIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t, map[string]script{"t1": whole(status, "busy"), "t2": whole(200, "b")})
				defer w.close()
				w.route.Kind, w.route.Resumable = routetable.Unsafe, false
				w.prefer("t1")
				var out sink
				require.Equal(t, gateway.Unknown, w.do(t.Context(), &out).Verdict)
				require.Zero(t, out.status)
				require.Len(t, w.seen, 1, "no second run")

				w.route.Kind, w.route.MaxAttempts = routetable.Safe, 1
				w.prefer("t1")
				require.Equal(t, gateway.Answered, w.do(t.Context(), &out).Verdict)
				require.Equal(t, status, out.status, "a request that may run again keeps its target's response")

				require.Equal(t, gateway.Unknown, w.runItem(&gateway.Progress{}, func([]byte) {}).Verdict, "it does not count as a failure of the item")
			})
		})
	}
}

// runItem runs a batch item once, at the target that is preferred.
func (w *testGateway) runItem(progress *gateway.Progress, event func([]byte)) gateway.Outcome {
	w.t.Helper()
	reservation := w.board.ReserveBatch("s", "q1", nil, false)
	require.NotNil(w.t, reservation)
	defer reservation.Release()
	route := w.route
	route.Kind, route.Resumable, route.MaxAttempts = routetable.Stream, true, 10
	request := &gateway.Request{ID: "q1", Job: "j", Method: http.MethodPost, URI: "/p/1", Host: "h", Route: &route, Service: "s", Arrived: time.Now()}
	return w.forward.RunItem(w.t.Context(), request, reservation, progress, eventFunc(event))
}

// repeating runs the scripts like perRequest. Before each response it repeats the last one on the same connection, if there is one.
func repeating(scripts ...script) script {
	run, last := perRequest(scripts...), make(map[io.Writer]string)
	return func(w io.Writer, r *http.Request) bool {
		_, _ = io.WriteString(w, last[w])
		var response strings.Builder
		kept := run(io.MultiWriter(w, &response), r)
		last[w] = response.String()
		return kept
	}
}

// Guards against counting the response to the last run of an item, which has the same id, for the next run at the same target.
func TestRepeatedResponseToAnItemIsNotTakenForTheNextRun(t *testing.T) {
	for name, c := range map[string]struct {
		first   script
		verdict gateway.Verdict
	}{
		"failure":        {whole(500, "no"), gateway.FailedAtTarget},
		"no stream":      {whole(200, "yes"), gateway.FailedAtTarget},
		"refusal":        {refusing, gateway.NotRun},
		"unmarked":       {unsigned, gateway.Unknown},
		"no event":       {events(0, -1), gateway.Unknown},
		"busy":           {whole(503, "busy"), gateway.Unknown},
		"another target": {whole(421, ""), gateway.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t, map[string]script{"t1": repeating(c.first, events(0, 1))})
				defer w.close()
				require.Equal(t, c.verdict, w.runItem(&gateway.Progress{}, func([]byte) {}).Verdict)
				time.Sleep(2 * time.Second) // until the target is used again
				var received []string
				outcome := w.runItem(&gateway.Progress{}, func(data []byte) { received = append(received, string(data)) })
				require.Equal(t, gateway.Answered, outcome.Verdict)
				require.Equal(t, []string{"e0", "e1"}, received)
			})
		})
	}
}

// unsigned writes a success response without the completion mark.
func unsigned(w io.Writer, _ *http.Request) bool {
	_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\nhi")
	return true
}

// Guards against a refusal of another request between the header and the body of a response that is passed on as the body, or believed.
func TestRefusalWithinAResponsePromisesNothing(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: q1\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, stale := range []string{refusal("q0"), refusal(""), refusal("q1")} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestGateway(t, map[string]script{"t1": raw(head + stale + chunk("mine") + "0\r\n\r\n"), "t2": whole(200, "b")})
			defer w.close()
			w.route.Kind, w.route.Resumable = routetable.Unsafe, false
			w.prefer("t1")
			var out sink
			require.Equal(t, gateway.Unknown, w.do(t.Context(), &out).Verdict)
			require.Zero(t, out.status)
			require.Len(t, w.seen, 1)
		})
	}
}
