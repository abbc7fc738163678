package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/engine"
	"eelgrassproxy.example/adapters/httpcall"
	standin "eelgrassproxy.example/standin/engine"
	"eelgrassproxy.example/standin/memnet"
)

const address = "10.0.0.1:8000"

// bench is an engine behind an in-memory network, with a client.
type bench struct {
	network *memnet.Network
	engine  *standin.Engine
	client  *engine.Client
	ctx     context.Context // ends with the test, which closes all answers
}

// run calls the test in a bubble of virtual time.
func run(t *testing.T, options standin.Options, test func(t *testing.T, b bench)) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.New(options)
		defer e.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := bench{network: memnet.New(), engine: e, ctx: ctx}
		stop := serve(t, b.network, address, e)
		defer stop()
		client := httpcall.NewClient(b.network.DialContext("10.0.1.1"))
		defer client.CloseIdleConnections()
		var err error
		b.client, err = engine.NewClient(client)
		require.NoError(t, err)
		test(t, b)
	})
}

func serve(t *testing.T, n *memnet.Network, address string, h http.Handler) (stop func()) {
	l, err := n.Listen(address)
	require.NoError(t, err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return func() { _ = server.Close() }
}

func options() standin.Options {
	o := standin.DefaultOptions()
	o.Models = []standin.Model{{Name: "bench-assist", Version: "1"}}
	return o
}

func chat(prompt string, tokens int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"bench-assist","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		stream, tokens, prompt)
}

func TestStreamArrivesEventByEvent(t *testing.T) {
	// Guards against a client that buffers the answer: the first event must arrive long before the last.
	run(t, options(), func(t *testing.T, b bench) {
		start := time.Now()
		a, err := b.client.Start(b.ctx, address, engine.Request{ID: "r1", Body: chat("which fuse", 50, true)})
		require.NoError(t, err)
		defer a.Body.Close()
		require.True(t, a.Stream)
		require.NotNil(t, a.Load)
		first := make([]byte, 8)
		_, err = io.ReadFull(a.Body, first)
		require.NoError(t, err)
		require.Equal(t, "id: r1/0", string(first))
		require.Less(t, time.Since(start), 20*time.Millisecond)
		rest, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		require.True(t, strings.HasSuffix(string(rest), "id: r1/51\ndata: [DONE]\n\n"))
		require.Greater(t, time.Since(start), 500*time.Millisecond)
	})
}
