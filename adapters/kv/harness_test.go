package kv_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/standin/store"
)

// pipeListener hands out in-memory connections, which testing/synctest can see as durably blocked.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve runs the handler on in-memory connections and returns a client of it. It works inside and outside a synctest bubble.
func serve(t *testing.T, handler http.Handler, opts kv.Options) *kv.Client {
	t.Helper()
	listener := newPipeListener()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{DialContext: listener.dial}
	client, err := kv.NewClient("http://store", &http.Client{Transport: transport}, opts)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = server.Close()
		transport.CloseIdleConnections()
	})
	return client
}

func newStore(t *testing.T, opts kv.Options) (*store.Server, *kv.Client) {
	t.Helper()
	fake := store.New(store.Options{})
	client := serve(t, fake, opts)
	t.Cleanup(fake.Close)
	return fake, client
}

func put(key, value string, lease kv.LeaseID) kv.Txn {
	return kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: []byte(value), Lease: lease}}}
}

func mustTxn(t *testing.T, s kv.Store, txn kv.Txn) kv.TxnResult {
	t.Helper()
	result, err := s.Txn(t.Context(), txn)
	require.NoError(t, err)
	return result
}
