// Package intake decides which clients give way when what they send takes up the memory or the connections that an instance has for it. It does no I/O;
// its callers close the connections that it names.
//
// A client whose request is complete never gives way: the request may be running. Among the others, those give way first that have sent nothing for the
// longest time, so that clients which stop short of the end of a request, or send a byte now and then, cannot keep the place of those that come later.
// While there is room, no client gives way before its time is up.
package intake

import (
	"container/list"
	"time"
)

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	Idle      Phase = iota // between requests, or new
	Receiving              // a request has begun and is not complete
	Serving                // a request is complete and its response is not
)

const (
	// progressBytes is how much a client has to send to count as making progress; less would let one keep its place with a byte now and then.
	progressBytes = 16 << 10
	// stalledAfter is the time without progress after which a request gives way to others that need memory for large bodies. Requests of legal clients
	// are rarely silent for so long.
	stalledAfter = 250 * time.Millisecond
	// loneFactor is how many times the memory for large requests one may take that is alone.
	loneFactor = 3
	// leavingShare is the part of a listener's connections that may be open in addition while connections that gave way are being closed.
	leavingShare = 1.0 / 8
)

// Table holds the connections of all listeners of a process. It is not safe for concurrent use.
type Table struct {
	smallLimit, largeLimit     int64
	small, large               int64 // reserved bytes
	leavingSmall, leavingLarge int64 // of these, what connections hold that gave way and are being closed
	listeners                  []*Listener
}

// NewTable returns a table without listeners.
func NewTable(p Plan) *Table { return &Table{smallLimit: p.SmallBytes, largeLimit: p.LargeBytes} }

// Reserved returns the number of reserved bytes, of the first SmallRequest ones of all requests and beyond.
func (t *Table) Reserved() (small, large int64) { return t.small, t.large }

// Listener holds the connections of a listener.
type Listener struct {
	table     *Table
	limit     int
	open      int       // including leaving
	leaving   int       // connections that gave way and are not closed yet
	idle      list.List // connections in Idle, the one that is idle for the longest time first
	receiving list.List // connections in Receiving, the one without progress for the longest time first
}

// NewListener adds a listener with at most limit open connections.
func (t *Table) NewListener(limit int) *Listener {
	l := &Listener{table: t, limit: limit}
	t.listeners = append(t.listeners, l)
	return l
}

// Open returns the number of open connections.
func (l *Listener) Open() int { return l.open }

// Client is a connection of a client.
type Client struct {
	// Conn identifies the connection to the caller.
	Conn     any
	listener *Listener
	phase    Phase
	element  *list.Element // in the list of the phase, nil in Serving and when it gives way
	leaving  bool          // gave way
	closed   bool
	since    time.Time // start of the phase, or the last progress in it
	deadline time.Time // the phase ends by then; zero for none
	received int64     // bytes since the last progress
	small    int64     // reserved bytes
	large    int64
}

// Phase returns what the connection is doing.
func (c *Client) Phase() Phase { return c.phase }

// Leaving reports whether the connection gave way to another one, or its time was up.
func (c *Client) Leaving() bool { return c.leaving }

// Accept adds a new connection, which is idle until deadline at most. At the limit, the returned victim, if there is one, gives way and must be closed.
// If ok is false, the new connection must be closed instead.
func (l *Listener) Accept(now, deadline time.Time) (c, victim *Client, ok bool) {
	if l.open >= l.limit+max(int(leavingShare*float64(l.limit)), 1) {
		return nil, nil, false
	}
	if l.open-l.leaving >= l.limit {
		if victim = l.oldest(); victim == nil {
			return nil, nil, false
		}
		victim.leave()
	}
	l.open++
	c = &Client{listener: l}
	c.enter(Idle, now, deadline)
	return c, victim, true
}

// oldest returns the connection that gives way to a new one: the one that is idle, or makes no progress with a request, for the longest time. If idle
// ones went first, a new connection would give way to the next one before its first request arrives.
func (l *Listener) oldest() *Client {
	var oldest *Client
	for _, clients := range []*list.List{&l.idle, &l.receiving} {
		if front := clients.Front(); front != nil {
			if c := front.Value.(*Client); oldest == nil || c.since.Before(oldest.since) {
				oldest = c
			}
		}
	}
	return oldest
}

// enter begins a phase.
func (c *Client) enter(p Phase, now, deadline time.Time) {
	c.remove()
	c.phase, c.since, c.deadline, c.received = p, now, deadline, 0
	if clients := c.list(); clients != nil && !c.leaving && !c.closed {
		c.element = clients.PushBack(c)
	}
}

// list returns the list of the phase.
func (c *Client) list() *list.List {
	switch c.phase {
	case Idle:
		return &c.listener.idle
	case Receiving:
		return &c.listener.receiving
	}
	return nil
}

// remove removes the connection from its list.
func (c *Client) remove() {
	if c.element != nil {
		c.list().Remove(c.element)
		c.element = nil
	}
}

// leave makes the connection give way.
func (c *Client) leave() {
	c.remove()
	c.leaving = true
	c.listener.leaving++
	c.listener.table.leavingSmall += c.small
	c.listener.table.leavingLarge += c.large
}

// Begin is called when a request begins, which must be complete by deadline. It does nothing if the request has begun already.
func (c *Client) Begin(now, deadline time.Time) {
	if c.phase == Idle {
		c.enter(Receiving, now, deadline)
	}
}

// SetDeadline changes the time by which the present phase ends.
func (c *Client) SetDeadline(deadline time.Time) { c.deadline = deadline }

// Advance is called when the request reaches a point that a client cannot delay, such as the end of its header. It counts as progress.
func (c *Client) Advance(now, deadline time.Time) { c.enter(Receiving, now, deadline) }

// Received is called when n bytes of a request have arrived.
func (c *Client) Received(n int, now time.Time) {
	if c.received += int64(n); c.received < progressBytes || c.phase != Receiving {
		return
	}
	c.received, c.since = 0, now
	if c.element != nil {
		c.listener.receiving.MoveToBack(c.element)
	}
}

// Complete is called when the whole request has arrived.
func (c *Client) Complete(now time.Time) { c.enter(Serving, now, time.Time{}) }

// Rest is called when the response was sent. The connection is idle until deadline at most.
func (c *Client) Rest(now, deadline time.Time) {
	c.Release()
	c.enter(Idle, now, deadline)
}

// Close removes a connection that was closed, and releases what it holds.
func (c *Client) Close() {
	if c.closed {
		return
	}
	c.Release()
	c.remove()
	c.closed = true
	c.listener.open--
	if c.leaving {
		c.listener.leaving--
	}
}

// Release returns all that the connection holds of the memory.
func (c *Client) Release() { c.Return(c.small + c.large) }

// Return returns n bytes that were reserved.
func (c *Client) Return(n int64) {
	t := c.listener.table
	large := min(n, c.large)
	small := min(n-large, c.small)
	c.large, t.large = c.large-large, t.large-large
	c.small, t.small = c.small-small, t.small-small
	if c.leaving {
		t.leavingLarge, t.leavingSmall = t.leavingLarge-large, t.leavingSmall-small
	}
}

// Held returns the number of bytes that are reserved for the connection.
func (c *Client) Held() int64 { return c.small + c.large }

// Verdict is the answer to a reservation.
type Verdict int

// Verdicts of a reservation.
const (
	Granted Verdict = iota
	// Wait means that memory is about to be returned, by the returned victim, if there is one, or by earlier ones. The caller closes the victim and tries
	// again later.
	Wait
	Refused
)

// Reserve reserves n bytes for the request of a connection. A request that alone holds more than SmallRequest is granted loneFactor times the limit.
func (c *Client) Reserve(n int64, now time.Time) (v Verdict, victim *Client) {
	t := c.listener.table
	small := min(n, max(SmallRequest-c.small, 0))
	large := n - small
	if c.leaving {
		return Refused, nil
	}
	lacksSmall := t.small+small > t.smallLimit
	limit := t.largeLimit
	if t.large == c.large {
		limit *= loneFactor
	}
	lacksLarge := large > 0 && t.large+large > limit
	switch {
	case lacksSmall:
		v, victim = t.makeRoom(t.small-t.leavingSmall+small > t.smallLimit, func(o *Client) bool { return o != c && o.small > 0 })
	case lacksLarge && t.large == c.large:
		v = Refused
	case lacksLarge:
		v, victim = t.makeRoom(t.large-t.leavingLarge+large > t.largeLimit, func(o *Client) bool {
			return o != c && o.large > 0 && now.Sub(o.since) >= stalledAfter
		})
	}
	if lacksSmall || lacksLarge {
		return v, victim
	}
	c.small, t.small = c.small+small, t.small+small
	c.large, t.large = c.large+large, t.large+large
	return Granted, nil
}

// makeRoom makes a connection give way that holds some of the memory that is needed, unless enough is being returned.
func (t *Table) makeRoom(needed bool, holds func(*Client) bool) (Verdict, *Client) {
	if !needed {
		return Wait, nil
	}
	var victim *Client
	for _, l := range t.listeners {
		for e := l.receiving.Front(); e != nil; e = e.Next() {
			if o := e.Value.(*Client); holds(o) {
				if victim == nil || o.since.Before(victim.since) {
					victim = o
				}
				break
			}
		}
	}
	if victim == nil {
		return Refused, nil
	}
	victim.leave()
	return Wait, victim
}

// Expired makes all connections give way whose time is up, and returns them. They must be closed.
func (t *Table) Expired(now time.Time) []*Client {
	var expired []*Client
	for _, l := range t.listeners {
		for _, clients := range []*list.List{&l.idle, &l.receiving} {
			for e := clients.Front(); e != nil; {
				c := e.Value.(*Client)
				e = e.Next()
				if !c.deadline.IsZero() && now.After(c.deadline) {
					c.leave()
					expired = append(expired, c)
				}
			}
		}
	}
	return expired
}
