// Package routetable selects the route of an opaque HTTP request by its host and the longest matching path prefix. Opaque means that the body
// has no influence on the routing.
package routetable

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"eelgrassproxy.example/core/accounts"
)

// Kind determines how the requests of a route are handled, in particular whether they may run more than once.
type Kind int

// Kinds of routes.
const (
	Safe   Kind = iota // may run more than once
	Unsafe             // may run at most once for each request
	Stream             // the response is an event stream; may run at most once unless the route is resumable
	Batch              // a request submits a job of many items, each of which runs as a stream
)

// Backend is one service that a route sends requests to.
type Backend struct {
	Service string
	Weight  int // relative to the other backends of the route; at least 0
}

// Route is one entry of a table. It is immutable.
//
// On a batch route, MaxAttempts is the number of failures after which an item is given up; the number of targets at which an item may run is
// in practice not limited. MaxWaitingTokens counts the items that wait and those that run; the tokens of an item are those of its prompt plus its
// maximum output.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Backends         []Backend // at least one
	Timeout          time.Duration
	Objective        time.Duration // objective (SLO) for the time to the response, or to the first event of a stream
	MaxEventGap      time.Duration // objective (SLO) for the longest time between two events of a stream; 0 means none
	MaxAttempts      int           // number of targets at which one request may run; batch routes: see Route
	Resumable        bool          // whether a stream may continue at another target
	JobObjective     time.Duration // batch routes: objective (SLO) for the time from the first submission of a job to its last result
	JobRetention     time.Duration // batch routes: time from the first submission after which unfinished items may be given up
	MaxWaitingTokens int64         // batch routes: tokens of unfinished items allowed over all instances, see Route; 0 means no limit
	Anonymous        bool          // requests need no key, whatever accounts the configuration has
	Priority         int           // rank under shortage, after that of the account; 0 is the highest
}

// Repeatable reports whether a request that may have run already may run again. Resumable is meant for streams, but it is not checked
// against the kind: it makes a route of any kind repeatable, an Unsafe one too. Items of a Batch route do not use this result of their route;
// they run as requests of a resumable stream.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Resumable }

// Backend returns the service for a request, chosen by the weights of the backends. draw must be a uniform random number in [0, 1).
// If all weights are 0, it returns the first backend's service.
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

// Limits bounds the size of requests.
type Limits struct {
	MaxBodyBytes int64 // 0 means no limit
}

// Table is one version of the set of routes. It is immutable.
type Table struct {
	Version int64
	Limits  Limits
	// Incomplete means that the configuration has routes which the table lacks because they cannot be used. It is set before the table is shared.
	Incomplete bool
	// Accounts are those of the configuration, or nil if it has none. It is set before the table is shared.
	Accounts *accounts.Directory
	byHost   map[string][]*Route // longest prefix first
}

// New returns a table with the given routes, which must not be changed afterwards.
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

// Match returns the route with the longest prefix that matches a request, or nil if there is none. host may have a port, and its case
// does not matter if the routes have their hosts in lower case. path is the raw path without the query.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// BatchRoute returns the batch route of a host with a name, or nil if there is none. host is as for Match.
func (t *Table) BatchRoute(host, name string) *Route {
	for _, r := range t.routesOf(host) {
		if r.Kind == Batch && r.Name == name {
			return r
		}
	}
	return nil
}

// routesOf returns the routes of a host, longest prefix first. host is as for Match.
func (t *Table) routesOf(host string) []*Route {
	if list, ok := t.byHost[host]; ok {
		return list
	}
	name, _, _ := strings.Cut(host, ":")
	return t.byHost[strings.ToLower(name)]
}
