package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/node/gateway"
)

// streamOf writes a complete stream with the given bytes.
func streamOf(text string) script {
	return func(w io.Writer, _ *http.Request) bool {
		_, _ = io.WriteString(w, streamHead+chunk(text)+"0\r\n\r\n")
		return true
	}
}

// raw writes bytes and closes the connection.
func raw(text string) script {
	return func(w io.Writer, _ *http.Request) bool {
		_, _ = io.WriteString(w, text)
		return false
	}
}

const (
	errorText = `{"error":"internal"}`
	errorHead = "HTTP/1.1 500 Internal Server Error\r\nId: q1\r\nContent-Length: 20\r\n\r\n"
	// unframedHead begins a stream whose end is that of its connection.
	unframedHead = "HTTP/1.1 200 OK\r\nId: q1\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\n"
)

// notContinued are responses to a stream that is to go on after event 2 and that do not continue it.
var notContinued = map[string]script{
	"failure":                          whole(500, errorText),
	"rejection":                        whole(404, errorText),
	"refusal":                          refusing,
	"another content type":             whole(200, errorText),
	"unmarked stream":                  raw("HTTP/1.1 200 OK\r\nId: q1\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\n" + event(3)),
	"failure of a stream's type":       raw("HTTP/1.1 500 X\r\nId: q1\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\n" + event(3)),
	"cut in its head":                  raw("HTTP/1.1 200 OK\r\nId: q1\r\nSigned: y"),
	"lower event":                      events(1, 5),
	"first event again":                events(0, 5),
	"higher event":                     events(4, 5),
	"error as an event without id":     streamOf("event: error\ndata: " + errorText + "\n\n"),
	"error text":                       streamOf(errorText + "\n\n"),
	"head of an error in the stream":   streamOf(errorHead + errorText),
	"event that ends in an error":      streamOf("id: 3\ndata: e" + errorHead),
	"event and head of an error":       streamOf("id: 3\ndata: e3\n" + errorHead),
	"head of an error in its framing":  raw(streamHead + errorHead + errorText),
	"head of an error without framing": raw(unframedHead + errorHead + errorText + "\n\n"),
}

// Guards against a stream that broke off and is ended as if it were complete, or with something else than its own events.
func TestStreamEndsVisiblyIfNoTargetContinuesIt(t *testing.T) {
	for name, next := range notContinued {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t, map[string]script{"t1": truncated(0, 2), "t2": next})
				defer w.close()
				w.prefer("t1")
				var out sink
				require.Equal(t, gateway.Incomplete, w.do(t.Context(), &out).Verdict)
				require.Equal(t, allEvents(0, 2), out.body.String())
				require.Equal(t, receivedRequest{"t2", "2"}, w.seen[1])
			})
		})
	}
}

// Guards against an item whose output has the text of an error, or that counts as completed before its last event.
func TestItemTakesOnlyItsOwnEvents(t *testing.T) {
	for name, next := range notContinued {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t, map[string]script{"t1": perRequest(truncated(0, 2), next, events(3, 4))})
				defer w.close()
				var received []string
				progress := &gateway.Progress{}
				run := func() gateway.Verdict {
					time.Sleep(10 * time.Second) // until the target is used again
					return w.runItem(progress, func(data []byte) { received = append(received, string(data)) }).Verdict
				}
				require.Equal(t, gateway.Unknown, run())
				require.NotEqual(t, gateway.Answered, run())
				require.Equal(t, gateway.Answered, run())
				require.Equal(t, []string{"e0", "e1", "e2", "e3", "e4"}, received)
			})
		})
	}
}

// Guards against an error that is taken for the first event of a stream.
func TestStreamDoesNotBeginWithAnEventWithoutID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t, map[string]script{"t1": streamOf("event: error\ndata: " + errorText + "\n\n"), "t2": events(0, 2)})
		defer w.close()
		w.prefer("t1")
		var out sink
		require.Equal(t, gateway.Answered, w.do(t.Context(), &out).Verdict)
		require.Equal(t, allEvents(0, 2), out.body.String())
		require.Equal(t, []receivedRequest{{"t1", ""}, {"t2", ""}}, w.seen)
	})
}

// Guards against joining the runs of a request whose route has no streams, and so no positions to resume from.
func TestEventsOfARouteWithoutStreamsAreNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const text = "data: a\n\ndata: b\n\n"
		w := newTestGateway(t, map[string]script{"t1": raw(streamHead + chunk(text)), "t2": streamOf(text)})
		defer w.close()
		w.route.Kind, w.route.Resumable = routetable.Safe, false
		w.prefer("t1")
		var out sink
		require.Equal(t, gateway.Answered, w.do(t.Context(), &out).Verdict)
		require.Equal(t, text, out.body.String())
		require.Equal(t, []receivedRequest{{"t1", ""}, {"t2", ""}}, w.seen)
	})
}

// Guards against events that a client has already, or a gap before those that it asked for, in a stream that the client resumes.
func TestStreamThatItsClientResumesGoesOnAtTheNextEvent(t *testing.T) {
	for name, c := range map[string]struct {
		first   int
		verdict gateway.Verdict
	}{"from the start": {0, gateway.Unknown}, "one too early": {2, gateway.Unknown}, "too late": {4, gateway.Unknown}, "next": {3, gateway.Answered}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t, map[string]script{"t1": events(c.first, 5)})
				defer w.close()
				var out sink
				now := time.Now()
				outcome := w.forward.Do(t.Context(), &gateway.Request{
					ID: "q1", Method: http.MethodPost, URI: "/p/1", Host: "h", Route: &w.route, Service: "s",
					Resume: true, After: 2, Arrived: now, Deadline: now.Add(w.route.Timeout),
				}, &out)
				require.Equal(t, c.verdict, outcome.Verdict)
				if c.verdict == gateway.Answered {
					require.Equal(t, allEvents(3, 5), out.body.String())
					return
				}
				require.Zero(t, out.status)
			})
		})
	}
}
