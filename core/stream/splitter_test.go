package stream_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/stream"
)

type rawEvent struct {
	raw, data string
	id        int64
	hasID     bool
	comment   bool
}

// split passes the text to a splitter in pieces of the given size. It returns the complete events, the number of bytes left and the first error.
func split(text string, piece int) (events []rawEvent, pending int, err error) {
	s := stream.NewSplitter(maxEvent)
	for err == nil && text != "" {
		n := min(piece, len(text))
		s.Add([]byte(text[:n]))
		text = text[n:]
		for {
			e, ok, failed := s.Next()
			err = failed
			if !ok {
				break
			}
			events = append(events, rawEvent{string(e.Raw), string(e.Data), e.ID, e.HasID, e.Comment})
		}
	}
	return events, s.Pending(), err
}

// Guards against events that are changed, merged, or returned before they are complete.
func TestSplitterKeepsWholeEvents(t *testing.T) {
	cases := []struct {
		name, text string
		events     []rawEvent
		pending    int
		err        error
	}{
		{"an event has an id and data", "id: 7\ndata: a\n\n", []rawEvent{{"id: 7\ndata: a\n\n", "a", 7, true, false}}, 0, nil},
		{"two events", "id: 7\ndata: a\n\nid: 8\ndata: b\n\n", []rawEvent{{"id: 7\ndata: a\n\n", "a", 7, true, false}, {"id: 8\ndata: b\n\n", "b", 8, true, false}}, 0, nil},
		{"lines end in CRLF", "id: 7\r\ndata: a\r\n\r\n", []rawEvent{{"id: 7\r\ndata: a\r\n\r\n", "a", 7, true, false}}, 0, nil},
		{"an unknown first line stays", "weight-versions: 3\nid: 7\ndata: a\n\n", []rawEvent{{"weight-versions: 3\nid: 7\ndata: a\n\n", "a", 7, true, false}}, 0, nil},
		{"data lines are joined", "data: a\ndata: b\ndata:\n\n", []rawEvent{{"data: a\ndata: b\ndata:\n\n", "a\nb\n", 0, false, false}}, 0, nil},
		{"comments are no event", ": wait\n\nid: 7\ndata: a\n\n", []rawEvent{{": wait\n\n", "", 0, false, true}, {"id: 7\ndata: a\n\n", "a", 7, true, false}}, 0, nil},
		{"a part of an event stays back", "id: 7\ndata: a\n\nid: 8\nda", []rawEvent{{"id: 7\ndata: a\n\n", "a", 7, true, false}}, 8, nil},
		{"an id that is no number is malformed", "id: x\ndata: a\n\n", nil, 0, stream.ErrMalformedEvent},
		{"a line of another protocol is malformed", "id: 7\ndata: a\nHTTP/1.1 500 X\r\n\r\n", nil, 0, stream.ErrMalformedEvent},
		{"a header of another protocol is malformed", "id: 7\ndata: aHTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\n", nil, 0, stream.ErrMalformedEvent},
		{"a text is malformed", "internal error\n\n", nil, 0, stream.ErrMalformedEvent},
		{"a field without a value", "id: 7\ndata\n\n", []rawEvent{{"id: 7\ndata\n\n", "", 7, true, false}}, 0, nil},
		{"two ids are malformed", "id: 7\nid: 8\n\n", nil, 0, stream.ErrMalformedEvent},
		{"an endless event is too large", "data: " + strings.Repeat("x", 2*maxEvent), nil, 0, stream.ErrEventTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, piece := range []int{1, 2, 3, 7, len(c.text)} {
				events, pending, err := split(c.text, piece)
				require.ErrorIs(t, err, c.err, "pieces of %d", piece)
				require.Equal(t, c.events, events, "pieces of %d", piece)
				if c.err == nil {
					require.Equal(t, c.pending, pending, "pieces of %d", piece)
				}
			}
		})
	}
}

func FuzzSplitter(f *testing.F) {
	// Guards against bytes that are lost or changed, and against results that depend on the size of reads.
	f.Add("id: 7\r\ndata: a\r\n\r\ndata: b\n\n", 1)
	f.Add("\n\n\nid: 1\n\n", 2)
	f.Add("id: 7\ndata: aHTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerror", 3)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if piece <= 0 {
			piece = 1
		}
		whole, _, wholeErr := split(text, len(text))
		parts, pending, partsErr := split(text, piece)
		if wholeErr != nil || partsErr != nil {
			tooLarge := errors.Is(wholeErr, stream.ErrEventTooLarge) || errors.Is(partsErr, stream.ErrEventTooLarge)
			require.True(t, tooLarge || (wholeErr != nil) == (partsErr != nil))
			return
		}
		require.Equal(t, whole, parts)
		joined := ""
		for _, e := range parts {
			joined += e.raw
		}
		require.Equal(t, text, joined+text[len(text)-pending:])
	})
}
