package gateway

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// traffic counts the datagrams of Peers.
type traffic struct {
	scope atomic.Pointer[trafficCounters]
}

// trafficCounters are the metrics of datagrams.
type trafficCounters struct {
	sentCounts, sentHeartbeats, sentAnnouncements, received datagramCounters
	nearPeers, farPeers                                     tally.Gauge
}

// datagramCounters count datagrams, and their bytes without headers.
type datagramCounters struct{ datagrams, bytes tally.Counter }

func (c datagramCounters) add(bytes int) {
	c.datagrams.Inc(1)
	c.bytes.Inc(int64(bytes))
}

// SetMetrics makes Peers report its datagrams and the numbers of its near and far peers below a scope. Call it before Run.
func (p *Peers) SetMetrics(scope tally.Scope) {
	scope = scope.SubScope("peers")
	of := func(direction, class string) datagramCounters {
		tagged := scope.Tagged(map[string]string{"direction": direction, "class": class})
		return datagramCounters{tagged.Counter("datagrams"), tagged.Counter("datagram_bytes")}
	}
	p.traffic.scope.Store(&trafficCounters{
		sentCounts: of("sent", "counts"), sentHeartbeats: of("sent", "heartbeats"), sentAnnouncements: of("sent", "announcements"),
		received:  of("received", "all"),
		nearPeers: scope.Gauge("near"), farPeers: scope.Gauge("far"),
	})
}

// sent counts a datagram with some parts.
func (t *traffic) sent(bytes int, announcement bool, parts int) {
	c := t.scope.Load()
	switch {
	case c == nil:
	case announcement:
		c.sentAnnouncements.add(bytes)
	case parts&partCounts != 0:
		c.sentCounts.add(bytes)
	default:
		c.sentHeartbeats.add(bytes)
	}
}

// received counts a datagram.
func (t *traffic) received(bytes int) {
	if c := t.scope.Load(); c != nil {
		c.received.add(bytes)
	}
}

// setPeers reports the numbers of near and far peers.
func (t *traffic) setPeers(near, far int) {
	if c := t.scope.Load(); c != nil {
		c.nearPeers.Update(float64(near))
		c.farPeers.Update(float64(far))
	}
}
