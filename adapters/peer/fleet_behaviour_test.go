//go:build !race

// The fleet tests drive hundreds of detectors in one goroutine: the race detector has nothing to find and makes them ten times slower.
// CI runs them in a step without it.

package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

var fleetSizes = []int{8, 50, 370}

// Guards against crashed instances that stay in the entrypoints, and against healthy ones that are taken for crashed.
func TestCrashIsNoticedWithinSecondsAndNobodyElseIsBlamed(t *testing.T) {
	for _, n := range []int{8, 370} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			d := newDriver(t, n, 0.01)
			d.runFor(30 * time.Second)
			blamed := map[fleet.InstanceID]bool{}
			d.changed = func(_ *fleetNode, c membership.Change) { blamed[c.ID] = blamed[c.ID] || c.To == fleet.MemberDead }
			victim := fleet.InstanceID("entry-003")
			d.nodes[victim].down = true
			first := d.runUntil(time.Minute, func() bool {
				return d.observers(victim, fleet.MemberSuspect, fleet.MemberDead) > 0
			})
			spread := d.runUntil(time.Minute, func() bool { return d.all(victim, fleet.MemberSuspect, fleet.MemberDead) })
			dead := d.runUntil(time.Minute, func() bool { return d.all(victim, fleet.MemberDead) })
			assert.LessOrEqual(t, first, 6*time.Second)
			assert.LessOrEqual(t, first+spread, 12*time.Second)
			assert.LessOrEqual(t, first+spread+dead, 25*time.Second)
			d.runFor(time.Minute)
			assert.True(t, blamed[victim])
			delete(blamed, victim)
			for id, dead := range blamed {
				assert.False(t, dead, "%s runs", id)
			}
		})
	}
}

// Guards against a paused instance that stays out for good, or that declares its peers dead when it wakes.
func TestPausedInstanceWakesAndComesBack(t *testing.T) {
	for _, n := range []int{8, 370} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			d := newDriver(t, n, 0)
			d.runFor(20 * time.Second)
			sleeper := d.nodes["entry-005"]
			sleeper.paused = true
			d.runFor(40 * time.Second)
			assert.True(t, d.all("entry-005", fleet.MemberDead))
			sleeper.paused = false
			wrong := 0
			d.changed = func(_ *fleetNode, c membership.Change) {
				if c.ID != "entry-005" && c.To == fleet.MemberDead {
					wrong++
				}
			}
			d.runUntil(20*time.Second, func() bool { return d.all("entry-005", fleet.MemberAlive) })
			d.runFor(30 * time.Second)
			assert.Zero(t, wrong)
			assert.True(t, d.all("entry-005", fleet.MemberAlive))
		})
	}
}

// Guards against callers that are sent to a draining instance for more than a few seconds, or again by stale news.
func TestDrainingInstanceLeavesTheEntrypointsEverywhere(t *testing.T) {
	for _, n := range []int{8, 370} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			d := newDriver(t, n, 0.01)
			d.runFor(20 * time.Second)
			leaving := d.nodes["entry-002"]
			d.send(leaving, leaving.detector.Drain(d.now))
			offered := func() bool {
				for _, node := range d.nodes {
					members := node.detector.Members(d.now)
					for _, m := range membership.Entrypoints(members, fleet.Topology{}, "domain-1", d.now) {
						if m.ID == "entry-002" {
							return true
						}
					}
				}
				return false
			}
			d.runUntil(6*time.Second, func() bool { return d.all("entry-002", fleet.MemberDraining) })
			assert.False(t, offered())
			stale := membership.ListEntry{ID: "entry-002", State: membership.ListLive, PeerAddress: leaving.member.PeerAddress}
			for range 3 {
				d.runFor(10 * time.Second)
				for _, node := range d.nodes {
					node.detector.ObserveList(d.now, []membership.ListEntry{stale})
					node.detector.ObserveStore(d.now, []fleet.Member{leaving.member})
				}
				assert.False(t, offered())
			}
			assert.True(t, d.all("entry-002", fleet.MemberDraining), "it answers and is not taken for dead")
		})
	}
}

// Guards against regions that stay parted after the link returns unless somebody restarts them.
func TestPartedRegionsFindEachOtherAgain(t *testing.T) {
	for _, n := range []int{8, 50} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			d := newDriver(t, n, 0)
			d.runFor(20 * time.Second)
			far := func(node *fleetNode) bool { return node.member.FailureDomain > "domain-5" }
			d.parted = func(a, b *fleetNode) bool { return far(a) != far(b) }
			d.runFor(15 * time.Minute) // longer than dead members are remembered when the list does not hold them
			for _, node := range d.nodes {
				for _, other := range d.nodes {
					if far(node) != far(other) {
						assert.Equal(t, fleet.MemberDead, d.state(node, other.member.ID))
					}
				}
			}
			d.parted = nil
			d.runUntil(time.Minute, func() bool {
				for id := range d.nodes {
					if !d.all(id, fleet.MemberAlive) {
						return false
					}
				}
				return true
			})
		})
	}
}
