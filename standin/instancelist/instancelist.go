// Package instancelist is a small fake of the platform's list of live and leaving instances; changes show after a lag.
package instancelist

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"eelgrassproxy.example/api/platform"
)

// Options of the list.
type Options struct {
	Lag time.Duration // until a change shows
}

// Server is the list. It is an http.Handler and safe for concurrent use.
type Server struct {
	lag time.Duration

	mu      sync.Mutex // guards the changes
	changes []change
}

type change struct {
	visible  time.Time
	instance platform.Instance
}

// New returns an empty list.
func New(o Options) *Server { return &Server{lag: o.Lag} }

// Set adds or changes an entry.
func (s *Server) Set(i platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{visible: time.Now().Add(s.lag), instance: i})
}

// Remove shows the entry as gone.
func (s *Server) Remove(id string) {
	s.Set(platform.Instance{ID: id, Kind: platform.InstanceKindEntry, State: platform.InstanceStateGone})
}

// ServeHTTP answers GET /instances?since=REVISION with the visible changes after the revision.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	s.mu.Lock()
	out := platform.InstanceChanges{Instances: []platform.Instance{}}
	now := time.Now()
	for n, c := range s.changes {
		if c.visible.After(now) {
			break
		}
		out.Revision = int64(n + 1)
		if n >= since {
			out.Instances = append(out.Instances, c.instance)
		}
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(&out)
}
