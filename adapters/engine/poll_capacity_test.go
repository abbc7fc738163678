package engine_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"eelgrassproxy.example/adapters/engine"
	"eelgrassproxy.example/adapters/httpcall"
	standin "eelgrassproxy.example/standin/engine"
	"github.com/stretchr/testify/require"
)

func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// pollBench is a stand-in engine on loopback and a client whose bytes are counted.
func pollBench(b *testing.B, adapters int) (client *engine.Client, address string, bytes *atomic.Int64) {
	options := standin.DefaultOptions()
	model := standin.Model{Name: "bench-assist", Version: "1"}
	for i := range adapters {
		model.Adapters = append(model.Adapters, fmt.Sprintf("adapter-%02d", i))
	}
	options.Models = []standin.Model{model}
	e := standin.New(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(listener) }()
	bytes = &atomic.Int64{}
	transport := httpcall.NewClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{conn, bytes}, err
	})
	b.Cleanup(func() { transport.CloseIdleConnections(); _ = server.Close(); e.Close() })
	client, err = engine.NewClient(transport)
	require.NoError(b, err)
	return client, listener.Addr().String(), bytes
}

// BenchmarkCapacityPoll reports bytes and processor time (of both ends) of one poll of load and of what an engine holds.
func BenchmarkCapacityPoll(b *testing.B) {
	for _, adapters := range []int{0, 4, 16} {
		client, address, bytes := pollBench(b, adapters)
		calls := map[string]func(ctx context.Context) error{
			"load":  func(ctx context.Context) error { _, err := client.Load(ctx, address); return err },
			"state": func(ctx context.Context) error { _, err := client.State(ctx, address); return err },
		}
		for _, name := range []string{"load", "state"} {
			b.Run(fmt.Sprintf("%s/adapters=%d", name, adapters), func(b *testing.B) {
				require.NoError(b, calls[name](b.Context()))
				bytes.Store(0)
				started := processorTime(b)
				for b.Loop() {
					if err := calls[name](b.Context()); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(b.N), "cpu-us/op")
				b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-bytes/op")
			})
		}
	}
}
