package stream_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/stream"
)

const maxEvent = 256

type decoded struct{ id, data string }

// decode passes the text to a decoder in pieces of the given size and returns the events and the first error.
func decode(text string, piece int) (events []decoded, err error) {
	d := stream.NewDecoder(maxEvent)
	for err == nil && text != "" {
		n := copy(d.Buffer(), text[:min(piece, len(text))])
		d.Advance(n)
		text = text[n:]
		for {
			e, ok, failed := d.Next()
			err = failed
			if !ok {
				break
			}
			events = append(events, decoded{string(e.ID), string(e.Data)})
		}
	}
	if err != nil {
		return events, err
	}
	return events, d.Close()
}

func TestDecoder(t *testing.T) {
	// Guards against events that are lost, merged or cut when reads don't end at the end of an event.
	long := strings.Repeat("x", maxEvent)
	cases := []struct {
		name, text string
		events     []decoded
		err        error
	}{
		{"an event has an id and data", "id: r/0\ndata: a\n\n", []decoded{{"r/0", "a"}}, nil},
		{"lines end in CRLF or CR", "id: r/0\r\ndata: a\r\n\r\nid: r/1\rdata: b\r\r", []decoded{{"r/0", "a"}, {"r/1", "b"}}, nil},
		{"data lines around an id are joined", "data: a\nid: r/0\ndata:b\ndata\n\n", []decoded{{"r/0", "a\nb\n"}}, nil},
		{"the id of an event does not reach the next", "id: r/0\ndata: a\n\ndata: b\n\n", []decoded{{"r/0", "a"}, {"", "b"}}, nil},
		{"comments, other fields and a mark are skipped", "\xef\xbb\xbf: hi\n\nevent: e\ndata: a\n\n", []decoded{{"", "a"}}, nil},
		{"two ids are malformed", "id: r/0\nid: s/0\ndata: a\n\n", nil, stream.ErrMalformedEvent},
		{"a NUL in an id is malformed", "id: r\x00\ndata: a\n\n", nil, stream.ErrMalformedEvent},
		{"a line of another protocol is malformed", "id: r/0\ndata: a\nHTTP/1.1 500 X\r\n\r\n", nil, stream.ErrMalformedEvent},
		{"a header of another protocol is malformed", "id: r/0\ndata: aHTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\n", nil, stream.ErrMalformedEvent},
		{"an event at the bound passes", "data: " + long[:maxEvent-8] + "\n\n", []decoded{{"", long[:maxEvent-8]}}, nil},
		{"an event beyond the bound fails", "data: " + long[:maxEvent-7] + "\n\n", nil, stream.ErrEventTooLarge},
		{"an end inside an event is a truncation", "id: r/0\ndata: a\n\nid: r/1\n", []decoded{{"r/0", "a"}}, stream.ErrTruncated},
		{"an end inside a line is a truncation", "dat", nil, stream.ErrTruncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, piece := range []int{1, 2, 3, 7, len(c.text)} {
				events, err := decode(c.text, piece)
				require.ErrorIs(t, err, c.err, "pieces of %d", piece)
				require.Equal(t, c.events, events, "pieces of %d", piece)
			}
		})
	}
}

func FuzzDecoder(f *testing.F) {
	// Guards against results that depend on the size of reads, and against panics on malicious input.
	f.Add("id: r/0\r\ndata: a\r\n\r\ndata: b\n\n", 1)
	f.Add("data: a\nid: r/0\ndata: b\n\n", 3)
	f.Add("\xef\xbb\xbfdata\r\r\n", 2)
	f.Add("id: r/0\ndata: aHTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerror", 3)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if piece <= 0 {
			piece = 1
		}
		whole, wholeErr := decode(text, len(text))
		parts, partsErr := decode(text, piece)
		require.Equal(t, whole, parts)
		for _, kind := range []error{stream.ErrEventTooLarge, stream.ErrMalformedEvent, stream.ErrTruncated} {
			require.Equal(t, errors.Is(wholeErr, kind), errors.Is(partsErr, kind))
		}
	})
}

func TestEncodedEventDecodesToItself(t *testing.T) {
	// Guards against line breaks in the data that end the event early.
	text := stream.AppendEvent(nil, "r", 12, []byte("a\nb"))
	events, err := decode(string(text), 4)
	require.NoError(t, err)
	require.Equal(t, []decoded{{"r/12", "a\nb"}}, events)
}

// BenchmarkRelay measures decoding, checking and encoding one event of typical size.
func BenchmarkRelay(b *testing.B) {
	data := []byte(`{"id":"r","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":" fuse"}}]}`)
	d, t := stream.NewDecoder(64<<10), stream.NewTracker("request")
	var in, out []byte
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		in = stream.AppendEvent(in[:0], "request", int64(i), data)
		d.Advance(copy(d.Buffer(), in))
		e, ok, err := d.Next()
		if !ok || err != nil || t.Check(e) != stream.InOrder {
			b.Fatal("event was not accepted", err)
		}
		out = stream.AppendEvent(out[:0], "caller", int64(i), e.Data)
	}
}
