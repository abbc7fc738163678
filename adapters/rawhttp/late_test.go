package rawhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/adapters/rawhttp"
)

// writtenConn calls written after the first write, when the operating system holds the bytes.
type writtenConn struct {
	*net.TCPConn
	written func()
}

func (c writtenConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.written()
	return n, err
}

// Guards against a cancelled request that the operating system delivers later, as it did behind a path that was cut for seconds. A target that
// does not read yet stands for the cut path; only real sockets keep bytes back.
func TestCancelledRequestIsNotDeliveredLater(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := rawhttp.New(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return writtenConn{c.(*net.TCPConn), cancel}, c.(*net.TCPConn).SetWriteBuffer(4 * size)
	})
	defer client.Close()
	_, err = client.Do(ctx, listener.Addr().String(), &rawhttp.Request{Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, size)})
	require.ErrorIs(t, err, httpcall.ErrOutcomeUnknown)
	c, err := listener.Accept()
	require.NoError(t, err)
	defer c.Close()
	received, err := io.Copy(io.Discard, c)
	require.Error(t, err, "the connection is reset")
	require.Less(t, received, int64(size))
}

// size is in bytes: more than a connection that is not read takes at first, and less than the sender's buffer.
const size = 256 << 10
