package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/engine"
	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/core/stream"
)

func TestStartTellsWhatIsKnownOfTheOutcome(t *testing.T) {
	// Guards against "not run" errors for requests that ran, and against retrying requests that may have run.
	kinds := map[string]error{
		"invalid": engine.ErrInvalidRequest, "not sent": engine.ErrNotSent, "not run": engine.ErrNotRun,
		"leaving": engine.ErrLeaving, "rejected": engine.ErrRejected, "failed": engine.ErrFailed,
		"unknown": engine.ErrOutcomeUnknown,
	}
	cases := []struct {
		name  string
		fault func(bench, *engine.Request)
		kinds []string
		runs  int
	}{
		{"a refused connection", func(b bench, _ *engine.Request) { b.network.Refuse(address) }, []string{"not sent"}, 0},
		{"a connection that does not open", func(b bench, _ *engine.Request) {
			b.network.Partition([]string{address}, []string{"10.0.1.1"})
		}, []string{"not sent"}, 0},
		{"a reset before the answer", func(b bench, _ *engine.Request) {
			time.AfterFunc(50*time.Millisecond, func() { b.network.Cut(address) })
		}, []string{"unknown"}, 1},
		{"silence until the caller gives up", func(b bench, _ *engine.Request) {
			time.AfterFunc(50*time.Millisecond, func() { b.network.Silence(address) })
		}, []string{"unknown"}, 1},
		{"a leaving engine", func(b bench, _ *engine.Request) { b.engine.Leaving(true) },
			[]string{"not run", "leaving", "status 503"}, 0},
		{"a model that is not loaded", func(_ bench, r *engine.Request) { r.Body = []byte(`{"model":"other"}`) },
			[]string{"not run", "rejected", "status 404"}, 0},
		{"a malformed body", func(_ bench, r *engine.Request) { r.Body = []byte(`{`) }, []string{"rejected", "status 400"}, 0},
		{"an id that is no header value", func(_ bench, r *engine.Request) { r.ID = "a\nb" }, []string{"invalid", "not sent"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, options(), func(t *testing.T, b bench) {
				r := engine.Request{ID: "r1", Body: chat("x", 500, false)}
				c.fault(b, &r)
				ctx, cancel := context.WithTimeout(b.ctx, time.Second)
				defer cancel()
				_, err := b.client.Start(ctx, address, r)
				require.Error(t, err)
				for name, kind := range kinds {
					require.Equal(t, slices.Contains(c.kinds, name), errors.Is(err, kind), "%s: %v", name, err)
				}
				var status *engine.StatusError
				if errors.As(err, &status) {
					require.Contains(t, c.kinds, fmt.Sprintf("status %d", status.Status))
				}
				require.Equal(t, c.runs, b.engine.Runs("r1"))
			})
		})
	}
}

func TestConnectIsBounded(t *testing.T) {
	// Guards against a request that waits for its own deadline on a target that does not answer connects.
	run(t, options(), func(t *testing.T, b bench) {
		b.network.Partition([]string{address}, []string{"10.0.1.1"})
		start := time.Now()
		_, err := b.client.Start(b.ctx, address, engine.Request{ID: "r1", Body: chat("x", 1, false)})
		require.ErrorIs(t, err, engine.ErrNotSent)
		require.Equal(t, httpcall.ConnectTimeout, time.Since(start))
	})
}

func TestWholeAnswerIsChecked(t *testing.T) {
	// Guards against losing the headers by which an answer in one piece is checked.
	run(t, options(), func(t *testing.T, b bench) {
		a, err := b.client.Start(b.ctx, address,
			engine.Request{ID: "r1", Path: engine.PathCompletions, Body: []byte(`{"model":"bench-assist","prompt":"x y"}`)})
		require.NoError(t, err)
		require.False(t, a.Stream)
		body, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		require.NoError(t, stream.CheckResponse("r1", a.Header, body))
		require.Contains(t, string(body), `"usage":{"prompt_tokens":2,"completion_tokens":16,`)
	})
}
