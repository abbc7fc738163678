package engine_test

import (
	"fmt"
	"testing"

	"eelgrassproxy.example/adapters/engine"
	"eelgrassproxy.example/core/stream"
)

// endless is a body that delivers events without end, several with each read and cut anywhere.
type endless struct {
	next    int64
	pending []byte
	from    int
}

func (e *endless) Read(p []byte) (int, error) {
	if e.from == len(e.pending) {
		e.from, e.pending = 0, e.pending[:0]
		for range 8 {
			e.pending = stream.AppendEvent(e.pending, "r1", e.next, token)
			e.next++
		}
	}
	n := copy(p, e.pending[e.from:])
	e.from += n
	return n, nil
}

func (e *endless) Close() error { return nil }

var token = fmt.Appendf(nil, `{"id":"r1","object":"chat.completion.chunk","model":"m","choices":[{"delta":{"content":%q}}]}`, " fuse")

// BenchmarkRelayEvents measures reading, checking and encoding one event of an engine's stream, without the network.
func BenchmarkRelayEvents(b *testing.B) {
	events := engine.NewEvents(&endless{}, stream.NewDecoder(maxEvent), stream.NewTracker("r1"))
	var out []byte
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e, verdict, err := events.Next()
		if err != nil || verdict != stream.InOrder {
			b.Fatal("event was not accepted", verdict, err)
		}
		out = stream.AppendEvent(out[:0], "caller", int64(i), e.Data)
	}
}
