//go:build !race

// The fleet tests drive hundreds of detectors in one goroutine: the race detector has nothing to find and makes them ten times slower.
// CI runs them in a step without it.

package peer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// driver runs detectors over virtual time in one loop. Messages take no time but the timeouts of the client apply; each direction
// of an exchange is lost with probability loss. Bytes count the real JSON and the header sizes measured over loopback.
type driver struct {
	t        testing.TB
	now      time.Time
	events   schedule
	sequence int
	rng      *rand.Rand
	nodes    map[fleet.InstanceID]*fleetNode
	loss     float64
	parted   func(a, b *fleetNode) bool
	headers  headerSizes
	changed  func(observer *fleetNode, c membership.Change)
}

type fleetNode struct {
	detector      *membership.Detector
	member        fleet.Member
	hinted        fleet.Generation
	life          int // rises with each restart; ends the ticks of the former life
	down, paused  bool
	bytes         int // sent and received
	peakBytes     int // in one second
	secondsBytes  int
	secondStarted time.Time
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

const fleetDomains = 9

func newDriver(t testing.TB, n int, loss float64) *driver {
	d := &driver{t: t, now: time.UnixMilli(1_800_000_000_000), rng: rand.New(rand.NewPCG(11, 12)), loss: loss}
	d.nodes = map[fleet.InstanceID]*fleetNode{}
	for i := range n {
		m := fleet.Member{
			ID:            fleet.InstanceID(fmt.Sprintf("entry-%03d", i)),
			PeerAddress:   fmt.Sprintf("10.20.%d.%d:7443", i/250, i%250),
			CallerAddress: fmt.Sprintf("10.20.%d.%d:8443", i/250, i%250),
			FailureDomain: fleet.FailureDomain(fmt.Sprintf("domain-%d", i%fleetDomains)),
		}
		d.nodes[m.ID] = &fleetNode{member: m}
	}
	for _, id := range d.ids() {
		d.startNode(d.nodes[id])
	}
	return d
}

// ids returns the instances in a fixed order.
func (d *driver) ids() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, len(d.nodes))
	for i := range ids {
		ids[i] = fleet.InstanceID(fmt.Sprintf("entry-%03d", i))
	}
	return ids
}

// startNode gives the node a new life that knows the instance list.
func (d *driver) startNode(n *fleetNode) {
	n.life++
	n.down = false
	n.member.Incarnation = uint64(d.now.UnixMilli())
	n.detector = membership.New(n.member, membership.Options{}, rand.New(rand.NewPCG(d.rng.Uint64(), 1)))
	var list []membership.ListEntry
	for _, id := range d.ids() {
		m := d.nodes[id].member
		list = append(list, membership.ListEntry{ID: id, State: membership.ListLive, PeerAddress: m.PeerAddress, FailureDomain: m.FailureDomain})
	}
	n.detector.ObserveList(d.now, list)
	life := n.life
	d.after(time.Duration(d.rng.Int64N(int64(time.Second))), func() { d.tick(n, life) })
}

func (d *driver) after(delay time.Duration, run func()) {
	d.sequence++
	heap.Push(&d.events, event{at: d.now.Add(delay), seq: d.sequence, run: run})
}

func (d *driver) runFor(span time.Duration) {
	end := d.now.Add(span)
	for len(d.events) > 0 && !d.events[0].at.After(end) {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.run()
	}
	d.now = end
}

// runUntil advances in steps of 100 ms until done and returns the time that took, at most limit.
func (d *driver) runUntil(limit time.Duration, done func() bool) time.Duration {
	const step = 100 * time.Millisecond
	for span := time.Duration(0); span < limit; span += step {
		if done() {
			return span
		}
		d.runFor(step)
	}
	require.True(d.t, done(), "condition did not hold within %v", limit)
	return limit
}

func (d *driver) tick(n *fleetNode, life int) {
	if n.down || n.life != life {
		return
	}
	if !n.paused {
		d.send(n, n.detector.Tick(d.now))
		d.report(n)
	}
	d.after(time.Second, func() { d.tick(n, life) })
}

func (d *driver) report(n *fleetNode) {
	events := n.detector.TakeEvents()
	if events.Generation != nil {
		n.hinted = events.Generation.Generation
	}
	if d.changed == nil {
		return
	}
	for _, c := range events.Changes {
		d.changed(n, c)
	}
}

func (d *driver) send(from *fleetNode, out []membership.Outgoing) {
	for _, o := range out {
		ack, ok := d.exchange(from, d.nodes[o.To], o.Probe)
		if ok && from.detector.HandleAck(d.now, o.To, ack) {
			continue
		}
		d.after(ProbeTimeout, func() { d.indirect(from, o.To) })
	}
}

func (d *driver) indirect(from *fleetNode, subject fleet.InstanceID) {
	if from.down || from.paused {
		return
	}
	for _, r := range from.detector.HandleProbeFailed(d.now, subject) {
		relay := d.nodes[r.Relay]
		reached := d.passes(from, relay) && d.passes(relay, d.nodes[subject]) && d.passes(d.nodes[subject], relay) && d.passes(relay, from)
		d.count(from, relay, d.headers.request+d.headers.response+len(`{"f":"entry-000","n":"entry-000","a":"10.20.0.100:7443"}{"ok":false}`))
		d.after(ProbeTimeout, func() {
			incarnation := uint64(0)
			if reached {
				incarnation = d.nodes[subject].detector.Self().Incarnation
			}
			from.detector.HandleIndirectResult(d.now, subject, reached, incarnation)
		})
	}
}

func (d *driver) exchange(from, to *fleetNode, p membership.Probe) (membership.Probe, bool) {
	request := wireSize(d.t, p) + d.headers.request
	if !d.passes(from, to) {
		d.count(from, nil, request)
		return membership.Probe{}, false
	}
	ack := to.detector.HandleProbe(d.now, p)
	d.count(from, to, request+wireSize(d.t, ack)+d.headers.response)
	return ack, d.passes(to, from)
}

func (d *driver) passes(from, to *fleetNode) bool {
	if from.down || to.down || from.paused || to.paused {
		return false
	}
	if d.parted != nil && d.parted(from, to) {
		return false
	}
	return d.rng.Float64() >= d.loss
}

func (d *driver) count(from, to *fleetNode, bytes int) {
	for _, n := range []*fleetNode{from, to} {
		if n == nil {
			continue
		}
		if d.now.Sub(n.secondStarted) >= time.Second {
			n.secondStarted, n.secondsBytes = d.now, 0
		}
		n.bytes += bytes
		n.secondsBytes += bytes
		n.peakBytes = max(n.peakBytes, n.secondsBytes)
	}
}

func wireSize(t testing.TB, p membership.Probe) int {
	body, err := probeToWire(p).MarshalJSON()
	require.NoError(t, err)
	return len(body)
}

// state returns what observer thinks of id.
func (d *driver) state(observer *fleetNode, id fleet.InstanceID) fleet.MemberState {
	if m, ok := observer.detector.Member(id, d.now); ok {
		return m.State
	}
	return fleet.MemberDead
}

// all reports whether every running instance sees id in one of the states.
func (d *driver) all(id fleet.InstanceID, states ...fleet.MemberState) bool {
	return d.observers(id, states...) == d.running(id)
}

func (d *driver) observers(id fleet.InstanceID, states ...fleet.MemberState) (n int) {
	for _, node := range d.nodes {
		if node.down || node.member.ID == id {
			continue
		}
		state := d.state(node, id)
		for _, s := range states {
			if s == state {
				n++
			}
		}
	}
	return n
}

func (d *driver) running(except fleet.InstanceID) (n int) {
	for _, node := range d.nodes {
		if !node.down && node.member.ID != except {
			n++
		}
	}
	return n
}

// headerSizes are the bytes of an exchange beside the bodies.
type headerSizes struct{ request, response int }

// measureHeaders sends one probe over loopback through the real client and server.
func measureHeaders(t testing.TB, client *Client, address string) headerSizes {
	sentBefore, receivedBefore := client.Bytes()
	ack, err := client.Probe(t.Context(), address, sample)
	require.NoError(t, err)
	sent, received := client.Bytes()
	return headerSizes{
		request:  int(sent-sentBefore) - wireSize(t, sample),
		response: int(received-receivedBefore) - wireSize(t, ack),
	}
}
