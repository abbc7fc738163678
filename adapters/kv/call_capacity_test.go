package kv_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/standin/store"
)

func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// tallyConn counts the bytes of a connection in both directions.
type tallyConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c tallyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c tallyConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkCapacityCall reports bytes and processor time (client and stand-in) of one store call by the size of its value. A value
// crosses the wire in base64.
func BenchmarkCapacityCall(b *testing.B) {
	fake := store.New(store.Options{})
	defer fake.Close()
	server := httptest.NewServer(fake)
	defer server.Close()
	wire := &atomic.Int64{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return tallyConn{conn, wire}, err
	}}
	defer transport.CloseIdleConnections()
	client, err := kv.NewClient(server.URL, &http.Client{Transport: transport}, kv.Options{})
	require.NoError(b, err)
	lease, err := client.Grant(b.Context(), time.Hour)
	require.NoError(b, err)
	measure := func(name string, call func() error) {
		b.Run(name, func(b *testing.B) {
			require.NoError(b, call())
			wire.Store(0)
			started := processorTime(b)
			for b.Loop() {
				if err := call(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-bytes/op")
		})
	}
	measure("keepalive", func() error { _, err := client.KeepAlive(b.Context(), lease); return err })
	measure("list-empty", func() error { _, err := client.List(b.Context(), "/eelgrass/jobs-open/007/"); return err })
	for _, size := range []int{100, 10_000, 500_000} {
		value := bytes.Repeat([]byte("v"), size)
		measure(fmt.Sprintf("put/bytes=%d", size), func() error {
			_, err := client.Txn(b.Context(), kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: "/k", Value: value}}})
			return err
		})
		measure(fmt.Sprintf("get/bytes=%d", size), func() error { _, err := client.Get(b.Context(), "/k"); return err })
	}
	for _, items := range []int{8, 64, 512} {
		prefix := fmt.Sprintf("/eelgrass/shards-%d/", items)
		for i := range items {
			_, err := client.Txn(b.Context(), kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: fmt.Sprintf("%s%03d/owner", prefix, i), Lease: lease,
				Value: []byte(`{"instance":"instance-001","epoch":12}`)}}})
			require.NoError(b, err)
		}
		measure(fmt.Sprintf("list/items=%d", items), func() error { _, err := client.List(b.Context(), prefix); return err })
	}
}
