// Package serving runs the HTTP servers of an instance. All listeners are opened before the first one is served, so that a wrong address
// stops the start.
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

// Listen opens a TCP listener.
func Listen(listen ListenFunc, address string) (net.Listener, error) {
	l, err := listen("tcp", address)
	return l, eris.Wrapf(err, "listen on %s", address)
}

// Set is the servers of an instance with their listeners. The zero value is empty.
type Set struct{ parts []part }

type part struct {
	server   *http.Server
	listener net.Listener
}

// Add takes a server and the open listener that it will serve.
func (s *Set) Add(server *http.Server, l net.Listener) { s.parts = append(s.parts, part{server, l}) }

// Serve runs the servers in the group and returns the channel of those that fail.
func (s *Set) Serve(group *sync.WaitGroup) <-chan error {
	failed := make(chan error, len(s.parts))
	for _, p := range s.parts {
		group.Go(func() {
			if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- eris.Wrapf(err, "serve %s", p.listener.Addr())
			}
		})
	}
	return failed
}

// Close ends all servers at once, and listeners that were not served yet.
func (s *Set) Close() {
	for _, p := range s.parts {
		// What is still running is cut off, and a listener that its server has closed is closed already.
		_ = p.server.Close()
		_ = p.listener.Close()
	}
}
