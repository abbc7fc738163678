package memnet_test

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/standin/memnet"
)

const (
	client = "10.0.1.1"
	server = "10.0.0.1:80"
)

// connect returns the two ends of a new connection.
func connect(t *testing.T, n *memnet.Network, l net.Listener) (dialled, accepted net.Conn) {
	dialled, err := n.DialContext(client)(context.Background(), "tcp", server)
	require.NoError(t, err)
	accepted, err = l.Accept()
	require.NoError(t, err)
	return dialled, accepted
}

func read(c net.Conn) (string, error) {
	b := make([]byte, 64)
	n, err := c.Read(b)
	return string(b[:n]), err
}

func TestFaults(t *testing.T) {
	// Guards against faults that differ from those of real networks: an error where there is silence, or the reverse.
	cases := []struct {
		name  string
		check func(t *testing.T, n *memnet.Network, l net.Listener, a, b net.Conn)
	}{
		{"bytes arrive after the delay, in order, and then the end", func(t *testing.T, n *memnet.Network, _ net.Listener, a, b net.Conn) {
			n.Delay(client, server, 20*time.Millisecond)
			start := time.Now()
			_, _ = io.WriteString(a, "one")
			n.Delay(client, server, 0)
			_, _ = io.WriteString(a, "two")
			require.NoError(t, a.Close())
			all, err := io.ReadAll(b)
			require.NoError(t, err)
			require.Equal(t, "onetwo", string(all))
			require.Equal(t, 20*time.Millisecond, time.Since(start))
		}},
		{"a silent connection gives no error, not even for a close, and new ones work",
			func(t *testing.T, n *memnet.Network, l net.Listener, a, b net.Conn) {
				n.Silence(server)
				_, err := io.WriteString(a, "lost")
				require.NoError(t, err)
				require.NoError(t, a.Close())
				require.NoError(t, b.SetReadDeadline(time.Now().Add(time.Hour)))
				_, err = read(b)
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				a, b = connect(t, n, l)
				_, _ = io.WriteString(a, "new")
				got, err := read(b)
				require.NoError(t, err)
				require.Equal(t, "new", got)
			}},
		{"a cut connection is reset at both ends", func(t *testing.T, n *memnet.Network, _ net.Listener, a, b net.Conn) {
			time.AfterFunc(time.Second, func() { n.Cut(server) })
			_, err := read(a)
			require.ErrorIs(t, err, syscall.ECONNRESET)
			_, err = io.WriteString(b, "x")
			require.ErrorIs(t, err, syscall.ECONNRESET)
		}},
		{"a partition holds bytes and dials back until it heals", func(t *testing.T, n *memnet.Network, l net.Listener, a, b net.Conn) {
			start := time.Now()
			n.Partition([]string{client}, []string{server})
			_, _ = io.WriteString(a, "late")
			require.NoError(t, b.SetReadDeadline(time.Now().Add(time.Second)))
			_, err := read(b)
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			require.NoError(t, b.SetReadDeadline(time.Time{}))
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err = n.DialContext(client)(ctx, "tcp", server)
			require.ErrorIs(t, err, context.DeadlineExceeded)
			time.AfterFunc(time.Second, n.Heal)
			connect(t, n, l)
			got, err := read(b)
			require.NoError(t, err)
			require.Equal(t, "late", got)
			require.Equal(t, 3*time.Second, time.Since(start))
		}},
		{"a refused address refuses until it is restored", func(t *testing.T, n *memnet.Network, l net.Listener, _, _ net.Conn) {
			n.Refuse(server)
			_, err := n.DialContext(client)(context.Background(), "tcp", server)
			require.ErrorIs(t, err, syscall.ECONNREFUSED)
			n.Restore(server)
			connect(t, n, l)
		}},
		{"a writer waits for a reader that is behind", func(t *testing.T, _ *memnet.Network, _ net.Listener, a, b net.Conn) {
			require.NoError(t, a.SetWriteDeadline(time.Now().Add(time.Second)))
			written, err := a.Write(make([]byte, 1<<20))
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			require.Equal(t, 64<<10, written)
			require.NoError(t, a.SetWriteDeadline(time.Time{}))
			go func() { _, _ = io.Copy(io.Discard, b) }()
			_, err = a.Write(make([]byte, 1<<20))
			require.NoError(t, err)
			require.NoError(t, a.Close())
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				l, err := n.Listen(server)
				require.NoError(t, err)
				defer l.Close()
				a, b := connect(t, n, l)
				c.check(t, n, l, a, b)
			})
		})
	}
}
