package instancelist_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/instancelist"
	"eelgrassproxy.example/api/platform"
	standin "eelgrassproxy.example/standin/instancelist"
)

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

// BenchmarkCapacityList reports the bytes of reading the whole list, as a starting instance does, and of a poll without changes.
func BenchmarkCapacityList(b *testing.B) {
	for _, n := range []int{12, 400, 4_270} {
		fake := standin.New(standin.Options{})
		for i := range n {
			fake.Set(platform.Instance{
				ID: fmt.Sprintf("target-%04d", i), Kind: platform.InstanceKindEngine, Address: fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256),
				FailureDomain: fmt.Sprintf("domain-%d", i%9), State: platform.InstanceStateLive,
			})
		}
		server := httptest.NewServer(fake)
		wire := &atomic.Int64{}
		transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return tallyConn{conn, wire}, err
		}}
		client, err := instancelist.NewClient(server.URL, &http.Client{Transport: transport}, 0)
		require.NoError(b, err)
		whole, err := client.Changes(b.Context(), 0)
		require.NoError(b, err)
		require.Len(b, whole.Targets, n)
		for name, since := range map[string]int64{"whole": 0, "unchanged": whole.Revision} {
			b.Run(fmt.Sprintf("%s/entries=%d", name, n), func(b *testing.B) {
				wire.Store(0)
				for b.Loop() {
					if _, err := client.Changes(b.Context(), since); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-bytes/op")
			})
		}
		transport.CloseIdleConnections()
		server.Close()
	}
}
