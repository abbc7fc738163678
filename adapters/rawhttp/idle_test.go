package rawhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/rawhttp"
	"eelgrassproxy.example/standin/memnet"
)

// sizedConn records the size of the receive buffer that was asked for.
type sizedConn struct {
	net.Conn
	size *atomic.Int64
}

func (c sizedConn) SetReadBuffer(bytes int) error {
	c.size.Store(int64(bytes))
	return nil
}

// Guards against idle connections on which targets send without end: what has arrived and is not read takes up memory of the machine, whose bound is the
// receive buffer of a connection times their number.
func TestUnreadBytesOfIdleConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const targets, each = 20, 20
		network := memnet.New()
		dial := network.DialContext("10.1.0.1")
		var size, open atomic.Int64
		client := rawhttp.New(func(ctx context.Context, n, address string) (net.Conn, error) {
			c, err := dial(ctx, n, address)
			return sizedConn{c, &size}, err
		})
		for n := range targets {
			listener, err := network.Listen(targetAddress(n))
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					open.Add(1)
					go serveSlowly(c, &open)
				}
			}()
		}
		var group sync.WaitGroup
		for n := range targets {
			for range each {
				group.Go(func() {
					response, err := client.Do(t.Context(), targetAddress(n), &rawhttp.Request{Method: http.MethodPost, URI: "/", Host: "h"})
					if err == nil {
						_, err = io.Copy(io.Discard, response.Body)
						response.Body.Close()
					}
					require.NoError(t, err)
				})
			}
		}
		group.Wait()
		time.Sleep(time.Second)
		require.Positive(t, size.Load())
		require.LessOrEqual(t, open.Load()*size.Load(), int64(8<<20))
		require.GreaterOrEqual(t, open.Load(), int64(64), "connections are still used again")
		client.Close()
		network.Close()
	})
}

func targetAddress(n int) string { return "10.0.1." + strconv.Itoa(n+1) + ":80" }

// serveSlowly answers requests after a while, so that many connections are in use at the same time.
func serveSlowly(c net.Conn, open *atomic.Int64) {
	defer open.Add(-1)
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}
