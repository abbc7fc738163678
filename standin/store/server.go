// Package store is a small in-memory fake of the platform's key-value service: the JSON mapping of the etcd v3 API that
// api/platform describes, with faults that tests switch on. Leases use package time, so that they run on virtual time inside a
// testing/synctest bubble if the Server is created there.
package store

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/platform"
)

// MaxValueBytes is the largest value that a put may carry unless Options say otherwise.
const MaxValueBytes = 1 << 20

// maxOps is the number of operations that one branch of a transaction may hold, as in etcd.
const maxOps = 128

// maxBodyBytes bounds a request: base64 makes a value a third larger, and a transaction holds several.
const maxBodyBytes = 16 * MaxValueBytes

// Options configure a Server.
type Options struct {
	MaxValueBytes int // largest value that a put may carry; 0 means MaxValueBytes
}

// Server is the fake store. It is an http.Handler and safe for concurrent use.
type Server struct {
	handler   *handler
	faults    *faults
	api       *platform.Server
	closed    chan struct{}
	closeOnce sync.Once

	callsMu sync.Mutex
	calls   map[string]int64
}

// handler implements the store's operations.
type handler struct {
	platform.UnimplementedHandler
	faults   *faults
	maxValue int // bytes

	mu    sync.Mutex // guards the fields below
	state *state
	wake  chan struct{} // closed and replaced at each change
	cut   chan struct{} // closed and replaced to end the open watches
}

// New returns an empty store.
func New(opts Options) *Server {
	if opts.MaxValueBytes == 0 {
		opts.MaxValueBytes = MaxValueBytes
	}
	f := newFaults()
	h := &handler{
		faults:   f,
		maxValue: opts.MaxValueBytes,
		state:    newState(),
		wake:     make(chan struct{}),
		cut:      make(chan struct{}),
	}
	api, err := platform.NewServer(h, h)
	if err != nil {
		// NewServer fails only on invalid options, and none are given.
		panic(eris.Wrap(err, "create the store's API server"))
	}
	return &Server{handler: h, faults: f, api: api, closed: make(chan struct{}), calls: map[string]int64{}}
}

// ServeHTTP answers one call, subject to the faults switched on.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.count(r.URL.Path)
	// The body is read first: net/http notices that the client has left only once the body is consumed.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, codeInvalidArgument, messageTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if !s.faults.admit(r.Context(), s.closed) {
		writeRefusal(w, http.StatusServiceUnavailable, codeUnavailable, messageNoLeader)
		return
	}
	s.api.ServeHTTP(w, r)
}

// Close ends all watches and hanging calls and stops the lease timers. Calls that arrive later are refused.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.Down(true)
		s.handler.mu.Lock()
		defer s.handler.mu.Unlock()
		for _, l := range s.handler.state.leases {
			l.timer.Stop()
		}
	})
}

// Calls returns the number of calls so far by operation: range, txn, grant, keepalive, revoke and watch. Refused calls count too,
// and a watch counts once.
func (s *Server) Calls() map[string]int64 {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	return maps.Clone(s.calls)
}

// Revision returns the current revision.
func (s *Server) Revision() int64 {
	return s.handler.currentRevision()
}

func (s *Server) count(path string) {
	operation := path[strings.LastIndexByte(path, '/')+1:]
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	s.calls[operation]++
}

func writeRefusal(w http.ResponseWriter, status, code int, message string) {
	answer := platform.Status{Code: platform.NewOptInt(code), Message: platform.NewOptString(message)}
	body, err := answer.MarshalJSON()
	if err != nil {
		http.Error(w, message, status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // the client may be gone
}
