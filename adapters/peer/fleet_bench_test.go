//go:build !race

// The fleet tests drive hundreds of detectors in one goroutine: the race detector has nothing to find and makes them ten times slower.
// CI runs them in a step without it.

package peer

import (
	"fmt"
	"testing"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// BenchmarkFleet reports what docs/CAPACITY.md needs, over virtual time: the bytes that a node sends and receives per second in
// quiet state and after the loss of a failure domain, detection times, and false positives at 1 % loss in each direction.
// Run with -benchtime 1x; the wall-clock time of an iteration means nothing.
func BenchmarkFleet(b *testing.B) {
	calls := 0
	address, _ := serve(b, echo(&calls))
	headers := measureHeaders(b, clientWith(b, testToken), address)
	b.Logf("HTTP headers of an exchange: %d bytes request, %d bytes response", headers.request, headers.response)
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for range b.N {
				measureFleet(b, n, headers)
			}
		})
	}
}

func measureFleet(b *testing.B, n int, headers headerSizes) {
	d := newDriver(b, n, 0.01)
	d.headers = headers
	d.runFor(10 * time.Minute) // the news of the start of all instances is spread by then
	suspected, killed := map[fleet.InstanceID]int{}, 0
	d.changed = func(_ *fleetNode, c membership.Change) {
		if c.To == fleet.MemberSuspect {
			suspected[c.ID]++
		}
		if c.To == fleet.MemberDead {
			killed++
		}
	}
	const quiet = 5 * time.Minute
	mean, peak := d.bytesOver(quiet)
	b.ReportMetric(mean, "quiet_B/s/node")
	b.ReportMetric(peak, "quiet_peak_B/s")
	b.ReportMetric(float64(len(suspected)), "suspected_wrongly")
	b.ReportMetric(float64(killed), "killed_wrongly")
	d.measureChurn(b)
	d.measureCrash(b)
	d.measureBurst(b)
	d.measureGeneration(b)
}

// bytesOver returns the mean bytes per second and node, and the highest second of any node.
func (d *driver) bytesOver(span time.Duration) (mean, peak float64) {
	for _, n := range d.nodes {
		n.bytes, n.peakBytes, n.secondsBytes = 0, 0, 0
	}
	d.runFor(span)
	total, highest := 0, 0
	for _, n := range d.nodes {
		total += n.bytes
		highest = max(highest, n.peakBytes)
	}
	return float64(total) / float64(d.running("")) / span.Seconds(), float64(highest)
}

// measureChurn restarts an instance every 290 s, that is 40 failures and 250 restarts a day.
func (d *driver) measureChurn(b *testing.B) {
	const perDay = 290
	var total float64
	rounds := 2
	for i := range rounds {
		victim := d.nodes[d.ids()[i]]
		victim.down = true
		mean, _ := d.bytesOver(10 * time.Second)
		total += mean * 10
		d.startNode(victim)
		rest := 24*time.Hour/perDay - 10*time.Second
		mean, _ = d.bytesOver(rest)
		total += mean * rest.Seconds()
	}
	b.ReportMetric(total/(24*time.Hour/perDay*time.Duration(rounds)).Seconds(), "churn_B/s/node")
}

func (d *driver) measureCrash(b *testing.B) {
	victim := d.ids()[7]
	d.nodes[victim].down = true
	first := d.runUntil(time.Minute, func() bool { return d.observers(victim, fleet.MemberSuspect, fleet.MemberDead) > 0 })
	spread := first + d.runUntil(time.Minute, func() bool { return d.all(victim, fleet.MemberSuspect, fleet.MemberDead) })
	dead := spread + d.runUntil(time.Minute, func() bool { return d.all(victim, fleet.MemberDead) })
	b.ReportMetric(first.Seconds(), "crash_first_s")
	b.ReportMetric(spread.Seconds(), "crash_suspected_by_all_s")
	b.ReportMetric(dead.Seconds(), "crash_dead_at_all_s")
	d.startNode(d.nodes[victim])
	back := d.runUntil(time.Minute, func() bool { return d.all(victim, fleet.MemberAlive) })
	b.ReportMetric(back.Seconds(), "restart_alive_at_all_s")
}

// measureBurst loses one failure domain at once.
func (d *driver) measureBurst(b *testing.B) {
	d.runFor(2 * time.Minute)
	var lost []fleet.InstanceID
	for _, id := range d.ids() {
		if d.nodes[id].member.FailureDomain == "domain-4" {
			d.nodes[id].down = true
			lost = append(lost, id)
		}
	}
	everywhere := func(states ...fleet.MemberState) func() bool {
		return func() bool {
			for _, id := range lost {
				if !d.all(id, states...) {
					return false
				}
			}
			return true
		}
	}
	start := d.now
	mean, peak := d.bytesOver(10 * time.Second)
	b.ReportMetric(float64(len(lost)), "burst_instances")
	b.ReportMetric(mean, "burst_first_10s_B/s/node")
	b.ReportMetric(peak, "burst_peak_B/s")
	d.runUntil(2*time.Minute, everywhere(fleet.MemberSuspect, fleet.MemberDead))
	b.ReportMetric(d.now.Sub(start).Seconds(), "burst_suspected_by_all_s")
	d.runUntil(2*time.Minute, everywhere(fleet.MemberDead))
	b.ReportMetric(d.now.Sub(start).Seconds(), "burst_dead_at_all_s")
	mean, _ = d.bytesOver(time.Minute)
	b.ReportMetric(mean, "burst_next_minute_B/s/node")
}

// measureGeneration spreads a bundle generation from one instance: by probes alone, then with each instance announcing it once.
func (d *driver) measureGeneration(b *testing.B) {
	b.ReportMetric(d.spreadGeneration(1, false).Seconds(), "generation_by_probes_s")
	b.ReportMetric(d.spreadGeneration(2, true).Seconds(), "generation_announced_s")
}

func (d *driver) spreadGeneration(generation fleet.Generation, announce bool) time.Duration {
	has := map[fleet.InstanceID]bool{d.ids()[0]: true}
	adopt := func(id fleet.InstanceID) {
		node := d.nodes[id]
		node.detector.SetSelf(generation, 0)
		if announce {
			d.send(node, node.detector.Announce())
		}
	}
	adopt(d.ids()[0])
	took := d.runUntil(time.Minute, func() bool {
		for _, id := range d.ids() {
			node := d.nodes[id]
			if node.down || has[id] {
				continue
			}
			d.report(node)
			if node.hinted >= generation {
				has[id] = true
				adopt(id)
			}
		}
		return len(has) == d.running("")
	})
	return took
}
