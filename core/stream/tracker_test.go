package stream_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/stream"
)

func TestTracker(t *testing.T) {
	// Guards against missing, repeated and foreign events in the stream that a caller receives.
	type step struct {
		id, data string
		verdict  stream.Verdict
	}
	cases := []struct {
		name  string
		steps []step
		next  int64
		ended bool
	}{
		{"events in order up to the end", []step{{"a/r/0", "x", stream.InOrder}, {"a/r/1", "[DONE]", stream.End}}, 2, true},
		{"an event seen before is a duplicate", []step{{"a/r/0", "x", stream.InOrder}, {"a/r/0", "x", stream.Duplicate}}, 1, false},
		{"a missing event is a gap, even before the end", []step{{"a/r/1", "[DONE]", stream.Gap}}, 0, false},
		{"an event of another request is foreign", []step{
			{"a/r2/0", "x", stream.Foreign}, {"a/s/0", "x", stream.Foreign}, {"a/r/0", "x", stream.InOrder},
		}, 1, false},
		{"an end of another request is no end", []step{{"b/0", "[DONE]", stream.Foreign}}, 0, false},
		{"an end without an id is no end", []step{{"", "[DONE]", stream.Foreign}}, 0, false},
		{"a sequence has one form only", []step{
			{"a/r/00", "x", stream.Foreign}, {"a/r/+0", "x", stream.Foreign}, {"a/r/", "x", stream.Foreign},
			{"a/r/9999999999999999999", "x", stream.Foreign},
		}, 0, false},
		{"nothing new follows the end", []step{
			{"a/r/0", "[DONE]", stream.End}, {"a/r/1", "x", stream.Foreign}, {"a/r/0", "[DONE]", stream.Duplicate},
		}, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := stream.NewTracker("a/r")
			for _, s := range c.steps {
				require.Equal(t, s.verdict, tracker.Check(stream.Event{ID: []byte(s.id), Data: []byte(s.data)}), s.id)
			}
			require.Equal(t, c.next, tracker.Next())
			require.Equal(t, c.ended, tracker.Ended())
			if !c.ended {
				require.ErrorIs(t, tracker.Finish(), stream.ErrTruncated)
			}
		})
	}
}

func TestCheckResponse(t *testing.T) {
	// Guards against sending a caller the response to another request or a truncated response.
	cases := []struct {
		name, id, length string
		err              error
	}{
		{"the complete response to the request", "r", "4", nil},
		{"the response to another request", "s", "4", stream.ErrForeignResponse},
		{"a truncated response", "r", "9", stream.ErrTruncated},
		{"a response without a length", "r", "", stream.ErrTruncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := http.Header{"X-Request-Id": {c.id}, "Content-Length": {c.length}}
			require.ErrorIs(t, stream.CheckResponse("r", h, []byte("body")), c.err)
		})
	}
}
