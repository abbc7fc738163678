package kv_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/standin/store"
)

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkBytes reports the bytes, headers included, of reading a key of the size of a bundle's head and of a delta of one caller, and
// of a watch event with the head.
func BenchmarkBytes(b *testing.B) {
	const headBytes, deltaBytes = 95, 441
	server := httptest.NewServer(store.New(store.Options{}))
	defer server.Close()
	var bytes atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{conn, &bytes}, err
	}}
	client, err := kv.NewClient(server.URL, &http.Client{Transport: transport}, kv.Options{})
	require.NoError(b, err)
	writer, err := kv.NewClient(server.URL, &http.Client{Transport: &http.Transport{}}, kv.Options{})
	require.NoError(b, err)
	write := func(key string, size int) {
		_, err := writer.Txn(b.Context(), kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: make([]byte, size)}}})
		require.NoError(b, err)
	}
	const headKey, deltaKey = "/eelgrass/bundle/head", "/eelgrass/bundle/deltas/00000000000000000002"
	write(headKey, headBytes)
	write(deltaKey, deltaBytes)
	get := func(key string) float64 {
		before := bytes.Load()
		_, err := client.Get(b.Context(), key)
		require.NoError(b, err)
		return float64(bytes.Load() - before)
	}
	for b.Loop() {
		b.ReportMetric(get(headKey), "get-head-bytes")
		b.ReportMetric(get(deltaKey), "get-delta-bytes")
	}
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	events, err := client.Watch(ctx, headKey, 0)
	require.NoError(b, err)
	write(headKey, headBytes) // the watch is open when its first event has come
	<-events
	before := bytes.Load()
	write(headKey, headBytes)
	<-events
	b.ReportMetric(float64(bytes.Load()-before), "watch-event-bytes")
}
