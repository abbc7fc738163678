// Package intake protects the servers of a process from clients that send more than it has memory or connections for, or that stop in the middle of a
// request. It counts what each connection holds, closes the connections that give way by the rules of core/intake, and bounds the times of a request that
// a client could draw out.
package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/core/intake"
	"eelgrassproxy.example/node/logging"
)

const (
	// bodyTimeout bounds the time of a body whose handler sets no deadline, and lingerTimeout that of one which the handler did not read to its end.
	bodyTimeout   = 30 * time.Second
	lingerTimeout = time.Second
	// writeTimeout bounds the time in which a client takes writeBytes of a response, in bytes.
	writeTimeout = 10 * time.Second
	writeBytes   = 64 << 10
	// roomTimeout bounds the wait of a request for the memory of others that gave way to it.
	roomTimeout = time.Second
	// retryAfter is the advice to clients whose request is refused, in seconds.
	retryAfter = "0.3"
	// sweepInterval is the interval of the checks for connections whose time is up.
	sweepInterval = 250 * time.Millisecond
)

// reason is why a connection gives way or a request is refused, as metrics and logs show it.
type reason string

// Reasons.
const (
	reasonMemory      reason = "memory"      // another request needs its memory, or there is none for this one
	reasonConnections reason = "connections" // the listener has too many connections
	reasonTimeout     reason = "timeout"     // the request was not complete in time
	reasonUnread      reason = "unread"      // the client does not read the response
)

// Guard protects the servers of a process. It is safe for concurrent use.
type Guard struct {
	scope tally.Scope
	log   *logging.Limited
	plan  intake.Plan

	mu        sync.Mutex // guards the fields below, and the clients of all connections; a leaf
	table     *intake.Table
	conns     map[*conn]struct{}
	listeners map[string]*intake.Listener
	// returned is closed when memory is returned for which requests wait; nil if none waits.
	returned chan struct{}
}

// NewGuard returns a guard that reports below the scope metrics.
func NewGuard(p intake.Plan, metrics tally.Scope) *Guard {
	return &Guard{
		scope: metrics.SubScope("intake"), log: logging.NewLimited(), plan: p, table: intake.NewTable(p), conns: make(map[*conn]struct{}),
		listeners: make(map[string]*intake.Listener),
	}
}

// Run closes connections whose time is up, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			g.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) sweep(now time.Time) {
	var unread []*conn
	g.mu.Lock()
	expired := g.table.Expired(now)
	for c := range g.conns {
		if started := c.writing.Load(); started != 0 && now.UnixNano()-started > int64(writeTimeout) {
			unread = append(unread, c)
		}
	}
	small, large := g.table.Reserved()
	open := make(map[string]int, len(g.listeners))
	for name, l := range g.listeners {
		open[name] = l.Open()
	}
	g.mu.Unlock()
	for _, client := range expired {
		client.Conn.(*conn).evict(reasonTimeout)
	}
	for _, c := range unread {
		c.abandon()
	}
	g.scope.Gauge("reserved_bytes").Update(float64(small + large))
	for name, n := range open {
		g.scope.Tagged(map[string]string{"listener": name}).Gauge("connections").Update(float64(n))
	}
}

// Protect makes the guard count the connections and requests of a server. It returns the listener that the server must serve, below TLS.
func (g *Guard) Protect(server *http.Server, l net.Listener, name string, role intake.Role) net.Listener {
	g.mu.Lock()
	clients := g.table.NewListener(g.plan.Connections[role])
	g.listeners[name] = clients
	g.mu.Unlock()
	server.Handler = g.handler(server.Handler)
	server.ConnContext = withConn
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		if c := connOf(raw); c != nil && state == http.StateIdle {
			c.rest()
		}
	}
	return &listener{Listener: l, guard: g, clients: clients}
}

// handler counts the requests that next handles.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		counted := r.WithContext(r.Context()) // net/http keeps r and its body
		defer c.end()
		if !c.begin(counted) {
			g.log.Info("Request refused, there is no memory for it", "client", r.RemoteAddr)
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", retryAfter)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, counted)
	})
}

// reserve reserves n bytes for a connection. It counts a refusal and returns false if there is no memory for them.
func (g *Guard) reserve(c *conn, n int64) bool {
	if n <= 0 || g.awaitRoom(c, n) {
		return true
	}
	g.count("refused", reasonMemory)
	return false
}

// awaitRoom reserves n bytes for a connection, after others gave way to it if need be. It returns false if there is no memory for them.
func (g *Guard) awaitRoom(c *conn, n int64) bool {
	var timeout <-chan time.Time
	for {
		g.mu.Lock()
		verdict, victim := c.client.Reserve(n, time.Now())
		var returned <-chan struct{}
		if verdict == intake.Wait {
			if g.returned == nil {
				g.returned = make(chan struct{})
			}
			returned = g.returned
		}
		g.mu.Unlock()
		switch verdict {
		case intake.Granted:
			return true
		case intake.Refused:
			return false
		}
		if victim != nil {
			victim.Conn.(*conn).evict(reasonMemory)
		}
		if timeout == nil {
			timer := time.NewTimer(roomTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-returned:
		case <-timeout:
			return false
		}
	}
}

// memoryReturned wakes the requests that wait for memory. The caller holds g.mu.
func (g *Guard) memoryReturned() {
	if g.returned != nil {
		close(g.returned)
		g.returned = nil
	}
}

// count counts a connection that gave way, or a request that was refused.
func (g *Guard) count(what string, why reason) {
	g.scope.Tagged(map[string]string{"reason": string(why)}).Counter(what).Inc(1)
}
