// Package instancelist is a small fake of the platform's lagging list of live and leaving instances.
package instancelist

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/platform"
)

// Options configure a Server.
type Options struct {
	Lag time.Duration // time until a change becomes visible
}

// entry is the latest change of one instance that became visible, or one that is still to.
type entry struct {
	instance  platform.Instance
	revision  int64
	visibleAt time.Time
}

// Server is the fake list. It is an http.Handler and safe for concurrent use.
type Server struct {
	platform.UnimplementedHandler
	api *platform.Server

	mu       sync.Mutex
	lag      time.Duration
	revision int64
	visible  int64            // revision of the latest visible change
	current  map[string]entry // by instance id; only visible changes
	pending  []entry          // ordered by revision
	down     bool
	calls    int64
}

// New returns an empty list.
func New(opts Options) *Server {
	s := &Server{lag: opts.Lag, current: map[string]entry{}}
	api, err := platform.NewServer(s, s)
	if err != nil {
		// NewServer fails only on invalid options, and none are given.
		panic(eris.Wrap(err, "create the instance list's API server"))
	}
	s.api = api
	return s
}

// ServeHTTP answers one call, or 503 while the list is down.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down := s.down
	s.mu.Unlock()
	if down {
		http.Error(w, "instance list is down", http.StatusServiceUnavailable)
		return
	}
	s.api.ServeHTTP(w, r)
}

// Set adds or changes an instance; it becomes visible after the lag.
func (s *Server) Set(instance platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(instance)
}

// Remove reports an instance as gone after the lag. An unknown id is ignored.
func (s *Server) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	instance, known := s.latest(id)
	if !known {
		return
	}
	instance.State = platform.InstanceStateGone
	s.set(instance)
}

// SetLag changes the lag of later changes. A change never overtakes an earlier one.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Down makes every call get a 503, until Down(false).
func (s *Server) Down(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Calls returns the number of calls so far.
func (s *Server) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ListInstances implements the operation listInstances.
func (s *Server) ListInstances(_ context.Context, params platform.ListInstancesParams) (platform.ListInstancesRes, error) {
	since := params.Since.Or(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(time.Now())
	var changed []entry
	for _, e := range s.current {
		if e.revision > since {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b entry) int { return cmp.Compare(a.revision, b.revision) })
	res := &platform.InstanceChanges{Revision: s.visible, Instances: []platform.Instance{}}
	for _, e := range changed {
		res.Instances = append(res.Instances, e.instance)
	}
	return res, nil
}

func (s *Server) set(instance platform.Instance) {
	s.revision++
	s.pending = append(s.pending, entry{instance: instance, revision: s.revision, visibleAt: time.Now().Add(s.lag)})
}

// publish makes the pending changes visible that are due, in order.
func (s *Server) publish(now time.Time) {
	for len(s.pending) > 0 && !now.Before(s.pending[0].visibleAt) {
		e := s.pending[0]
		s.pending = s.pending[1:]
		s.current[e.instance.ID] = e
		s.visible = e.revision
	}
}

func (s *Server) latest(id string) (platform.Instance, bool) {
	for _, e := range slices.Backward(s.pending) {
		if e.instance.ID == id {
			return e.instance, true
		}
	}
	e, known := s.current[id]
	return e.instance, known
}
