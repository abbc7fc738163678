package serving_test

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/node/internal/serving"
	"eelgrassproxy.example/standin/memnet"
)

// Guards against a failed start that does not free the addresses on which it was already listening.
func TestCloseFreesAddressesThatWereNotServed(t *testing.T) {
	n := memnet.New()
	l, err := serving.Listen(listen(n), "10.0.0.1:80")
	require.NoError(t, err)
	var set serving.ServerSet
	set.Add(&http.Server{}, l)
	set.Close()
	again, err := serving.Listen(listen(n), "10.0.0.1:80")
	require.NoError(t, err)
	require.NoError(t, again.Close())
}

// Guards against an instance that keeps running without one of its listeners, and against a failure reported for a server that was
// closed.
func TestServeReportsTheServerThatFailed(t *testing.T) {
	n := memnet.New()
	var set serving.ServerSet
	broken := &failingListener{address: &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 81}}
	healthy, err := serving.Listen(listen(n), "10.0.0.1:80")
	require.NoError(t, err)
	set.Add(&http.Server{}, healthy)
	set.Add(&http.Server{}, broken)
	var group sync.WaitGroup
	failed := set.Serve(&group)
	require.ErrorIs(t, <-failed, errAccept)
	set.Close()
	group.Wait()
	require.Empty(t, failed)
}

// Guards against a listen error that does not include the address.
func TestListenNamesTheAddress(t *testing.T) {
	_, err := serving.Listen(func(string, string) (net.Listener, error) { return nil, errAccept }, "10.0.0.1:80")
	require.ErrorIs(t, err, errAccept)
	require.ErrorContains(t, err, "10.0.0.1:80")
}

func listen(n *memnet.Network) serving.ListenFunc {
	return func(_, address string) (net.Listener, error) { return n.Listen(address) }
}

var errAccept = errors.New("accept failed")

// failingListener is a listener whose Accept always fails.
type failingListener struct{ address net.Addr }

func (l *failingListener) Accept() (net.Conn, error) { return nil, errAccept }
func (l *failingListener) Close() error              { return nil }
func (l *failingListener) Addr() net.Addr            { return l.address }
