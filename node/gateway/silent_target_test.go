package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
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

// silentFor writes a stream up to event 5, or a whole response to a request that is not one, and is silent for d before event `from` of the first request.
func silentFor(d time.Duration, from int, stream bool) script {
	first := true
	return func(w io.Writer, r *http.Request) bool {
		pause := time.Duration(0)
		if first {
			first, pause = false, d
		}
		if !stream {
			time.Sleep(pause)
			return whole(200, "whole")(w, r)
		}
		for i := resumed(r); i <= 5; i++ {
			if i == from {
				time.Sleep(pause)
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
						outcome := w.do(t.Context(), &out)
						require.Equal(t, gateway.Answered, outcome.Verdict, "%v", outcome.Cause)
						require.Equal(t, want, out.body.String())
						require.Equal(t, 200, out.status)
						require.Empty(t, w.board.OwnCounts(), "the slots are free again")
					})
				})
			}
		}
	}
}
