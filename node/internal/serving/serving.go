// Package serving runs the HTTP servers of an instance. All listeners are opened before the first server starts, so that a wrong
// address fails the start of the instance.
package serving

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// ListenFunc opens a listener, like net.Listen.
type ListenFunc func(network, address string) (net.Listener, error)

// Listen opens a TCP listener. Its error includes the address.
func Listen(listen ListenFunc, address string) (net.Listener, error) {
	l, err := listen("tcp", address)
	return l, eris.Wrapf(err, "listen on %s", address)
}

// ServerSet holds the servers of an instance with their listeners. The zero value is empty.
type ServerSet struct{ entries []serverEntry }

type serverEntry struct {
	server   *http.Server
	listener net.Listener
}

// Add adds a server and the open listener that it will serve. The set closes both; see Close.
func (s *ServerSet) Add(server *http.Server, l net.Listener) {
	s.entries = append(s.entries, serverEntry{server, l})
}

// Serve starts the servers, each in a goroutine of the group, and returns a channel with the errors of those that fail. A server that
// was closed is no failure.
func (s *ServerSet) Serve(group *sync.WaitGroup) <-chan error {
	failed := make(chan error, len(s.entries))
	for _, e := range s.entries {
		group.Go(func() {
			if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- eris.Wrapf(err, "serve %s", e.listener.Addr())
			}
		})
	}
	return failed
}

// Close closes all servers at once, without waiting for their requests, and all listeners, including those that were not served yet.
func (s *ServerSet) Close() {
	for _, e := range s.entries {
		// Errors do not matter: requests in progress are aborted, and the server may have closed the listener already.
		_ = e.server.Close()
		_ = e.listener.Close()
	}
}
