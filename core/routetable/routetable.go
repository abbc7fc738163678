// Package routetable selects the route of an opaque HTTP request by its host and the longest matching path prefix.
package routetable

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of the requests of a route.
type Kind int

// Kinds of routes.
const (
	Safe   Kind = iota // may run more than once
	Unsafe             // may run at most once for each request
	Stream             // answered by an event stream; at most once unless the route is resumable
	Batch              // takes jobs of many items, each run as a stream
)

// Backend is one service that a route sends requests to.
type Backend struct {
	Service string
	Weight  int // relative to the other backends of the route; at least 0
}

// Route is one entry of a table. It is immutable.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Backends    []Backend // at least one
	Timeout     time.Duration
	Objective   time.Duration // time to the answer, or to the first event of a stream, that earns full credit
	Pause       time.Duration // longest pause between two events of a stream that is in time; 0 if none is stated
	MaxAttempts int           // targets on which one request may run
	Resumable   bool          // a stream may continue at another target
	JobDue      time.Duration // of a batch route: from the first submission to the last result
	JobRetain   time.Duration // of a batch route: after it, unfinished items may be given up
	TokenLimit  int64         // of a batch route: tokens that may wait over all instances; 0 means no limit
}

// Repeatable tells whether a request may run again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Resumable }

// Backend returns the service for a request. draw is uniform in [0, 1).
func (r *Route) Backend(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	left := draw * float64(total)
	for _, b := range r.Backends {
		left -= float64(b.Weight)
		if left < 0 {
			return b.Service
		}
	}
	return r.Backends[0].Service
}

// Limits bound what a client may send.
type Limits struct {
	MaxBodyBytes int64 // 0 means no limit
}

// Table is one version of the routes. It is immutable.
type Table struct {
	Version int64
	Limits  Limits
	byHost  map[string][]*Route // longest prefix first
}

// New returns a table of the routes.
func New(version int64, limits Limits, routes []*Route) *Table {
	t := &Table{Version: version, Limits: limits, byHost: make(map[string][]*Route)}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of a request, or nil. The host may carry a port. The path is the raw path, without a query.
func (t *Table) Match(host, path string) *Route {
	list, ok := t.byHost[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		list = t.byHost[strings.ToLower(name)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
