package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func instance(i int) fleet.Member {
	return fleet.Member{
		ID:            fleet.InstanceID(fmt.Sprintf("i%d", i)),
		Incarnation:   100,
		PeerAddress:   fmt.Sprintf("127.0.0.1:%d", 7000+i),
		CallerAddress: fmt.Sprintf("127.0.0.1:%d", 8000+i),
		FailureDomain: "a",
	}
}

// detectorOf returns the detector of instance 0 after a probe from each of the instances 1 to others.
func detectorOf(t *testing.T, others int) *Detector {
	t.Helper()
	d := New(instance(0), Options{}, rand.New(rand.NewPCG(1, 2)))
	d.Tick(at(0))
	for i := 1; i <= others; i++ {
		m := instance(i)
		d.HandleProbe(at(0), Probe{From: m.ID, Incarnation: m.Incarnation, Updates: []Update{updateOf(m)}})
	}
	return d
}

func stateOf(t *testing.T, d *Detector, id fleet.InstanceID, now time.Time) fleet.MemberState {
	t.Helper()
	for _, m := range d.Members(now) {
		if m.ID == id {
			return m.State
		}
	}
	require.Failf(t, "member is unknown", "%s", id)
	return 0
}

// failDirectAndIndirect reports to the detector that the direct probe and all indirect probes of id failed.
func failDirectAndIndirect(d *Detector, now time.Time, id fleet.InstanceID) {
	for _, request := range d.HandleProbeFailed(now, id) {
		d.HandleIndirectResult(now, request.Subject, false, 0)
	}
}

func tickUntil(d *Detector, from, to float64) {
	for s := from; s <= to; s++ {
		d.Tick(at(s))
	}
}

// Guards against an instance that is declared dead although a relay reaches it, and against a failed instance that isn't detected.
func TestSuspicionNeedsEveryRelayToFailAndEndsInDeath(t *testing.T) {
	d := detectorOf(t, 5)
	requests := d.HandleProbeFailed(at(1), "i1")
	require.Len(t, requests, DefaultIndirectProbes)
	for _, r := range requests {
		assert.NotEqual(t, fleet.InstanceID("i1"), r.Relay)
	}
	d.HandleIndirectResult(at(1), "i1", false, 0)
	d.HandleIndirectResult(at(1), "i1", true, 100)
	d.HandleIndirectResult(at(1), "i1", false, 0)
	assert.Equal(t, fleet.MemberAlive, stateOf(t, d, "i1", at(1)), "a relay reached it")

	failDirectAndIndirect(d, at(2), "i1")
	assert.Equal(t, fleet.MemberSuspect, stateOf(t, d, "i1", at(2)))
	tickUntil(d, 2, 4)
	assert.Equal(t, fleet.MemberSuspect, stateOf(t, d, "i1", at(4)))
	tickUntil(d, 5, 6)
	assert.Equal(t, fleet.MemberDead, stateOf(t, d, "i1", at(6)))
}

// Guards against a suspected instance that can't refute the suspicion, which would be declared dead after every burst of packet loss.
func TestSuspectedInstanceRefutesWithAHigherIncarnation(t *testing.T) {
	d := detectorOf(t, 3)
	other := New(instance(1), Options{}, rand.New(rand.NewPCG(3, 4)))
	failDirectAndIndirect(d, at(1), "i1")
	require.Equal(t, fleet.MemberSuspect, stateOf(t, d, "i1", at(1)))

	ack := other.HandleProbe(at(2), d.outgoing("i1").Probe)
	assert.Greater(t, ack.Incarnation, uint64(100), "the probe carries the suspicion to its subject")
	require.True(t, d.HandleAck(at(2), "i1", ack))
	assert.Equal(t, fleet.MemberAlive, stateOf(t, d, "i1", at(2)))
	tickUntil(d, 3, 12)
	assert.Equal(t, fleet.MemberAlive, stateOf(t, d, "i1", at(12)), "the refuted suspicion has no effect")
}

// Guards against stale updates that make dead or draining instances alive again, so that callers are sent to them.
func TestStaleUpdatesDoNotReviveMembers(t *testing.T) {
	probeAlive := func(incarnation uint64) Probe {
		u := updateOf(instance(1))
		u.Incarnation = incarnation
		return Probe{From: "i2", Incarnation: 100, Updates: []Update{u}}
	}
	probeWithState := func(state fleet.MemberState) Probe {
		return Probe{From: "i2", Incarnation: 100, Updates: []Update{{ID: "i1", State: state, Incarnation: 100}}}
	}
	live := []ListEntry{{ID: "i1", State: ListLive, PeerAddress: "127.0.0.1:7001", FailureDomain: "a"}}
	for _, state := range []fleet.MemberState{fleet.MemberDraining, fleet.MemberDead} {
		t.Run(state.String(), func(t *testing.T) {
			d := detectorOf(t, 3)
			d.HandleProbe(at(1), probeWithState(state))
			d.HandleProbe(at(2), probeAlive(100))
			d.HandleProbe(at(2), probeAlive(99))
			d.HandleProbe(at(2), Probe{From: "i1", Incarnation: 100})
			d.HandleProbe(at(2), probeWithState(fleet.MemberSuspect))
			d.ObserveList(at(3), live)
			d.ObserveStore(at(3), []fleet.Member{instance(1)})
			tickUntil(d, 4, 60)
			d.ObserveList(at(60), live)
			assert.Equal(t, state, stateOf(t, d, "i1", at(60)))

			d.HandleProbe(at(61), probeAlive(101))
			assert.Equal(t, fleet.MemberAlive, stateOf(t, d, "i1", at(61)), "a restarted instance comes back")
		})
	}
}

// Guards against an instance list that lags behind a restart, whose state "leaving" would drain the new process.
func TestListLeavingCountsOnlyForAnIncarnationOlderThanTheLag(t *testing.T) {
	d := detectorOf(t, 2)
	d.ObserveList(at(5), []ListEntry{{ID: "i1", State: ListLeaving, PeerAddress: "127.0.0.1:7001"}, {ID: "i0", State: ListLeaving}})
	assert.Equal(t, fleet.MemberAlive, stateOf(t, d, "i1", at(6)))
	assert.False(t, d.DrainingSelf(at(6)))
	assert.Equal(t, fleet.MemberDraining, stateOf(t, d, "i1", at(31)))
	assert.True(t, d.DrainingSelf(at(31)))
	d.ObserveList(at(40), []ListEntry{{ID: "i2", State: ListGone}})
	assert.Equal(t, fleet.MemberAlive, stateOf(t, d, "i2", at(40)), "the list does not remove a member that responds")
}

// Guards against peers that are declared dead because this instance was paused.
func TestPauseOfThisInstanceExpiresNoSuspicion(t *testing.T) {
	d := detectorOf(t, 4)
	failDirectAndIndirect(d, at(1), "i1")
	d.Tick(at(2))
	assert.Empty(t, d.HandleProbeFailed(at(60), "i2"), "a probe that failed during the pause is ignored")
	d.Tick(at(60))
	assert.Equal(t, fleet.MemberSuspect, stateOf(t, d, "i1", at(60)))
	tickUntil(d, 61, 65)
	assert.Equal(t, fleet.MemberDead, stateOf(t, d, "i1", at(65)))
}

// Guards against updates that are sent forever and against messages with too many updates, which would exceed the budget of 3 KB/s.
func TestUpdatesAreBoundedPerMessageAndInRetransmissions(t *testing.T) {
	d := detectorOf(t, 20)
	for i := range 10 {
		d.TargetLeaving(at(1), fleet.TargetID(fmt.Sprintf("t%d", i)))
	}
	sent := map[string]int{}
	messages := 0
	for s := 2.0; s < 200; s++ {
		for _, out := range d.Tick(at(s)) {
			messages++
			assert.LessOrEqual(t, len(out.Probe.Updates)+len(out.Probe.Targets), DefaultUpdatesPerMessage)
			for _, u := range out.Probe.Targets {
				sent[string(u.ID)]++
			}
			d.HandleAck(at(s), out.To, Probe{From: out.To, Incarnation: 100})
		}
	}
	assert.Greater(t, messages, 190)
	require.Len(t, sent, 10)
	for id, n := range sent {
		assert.Equal(t, d.options.retransmits(21), n, id)
	}
}

// Guards against dead members that aren't probed any more: after a network partition the regions would stay separated.
func TestDeadMembersAreProbedUntilTheListDropsThem(t *testing.T) {
	d := detectorOf(t, 1)
	d.ObserveList(at(0), []ListEntry{{ID: "i1", State: ListLive, PeerAddress: "127.0.0.1:7001"}})
	failDirectAndIndirect(d, at(1), "i1")
	probes := func(from, to float64) (n int) {
		for s := from; s < to; s++ {
			n += len(d.Tick(at(s)))
		}
		return n
	}
	probes(2, 10)
	require.Equal(t, fleet.MemberDead, stateOf(t, d, "i1", at(10)))
	assert.Equal(t, 200, probes(1000, 2000), "one probe per DeadProbeInterval")
	d.ObserveList(at(2000), []ListEntry{{ID: "i1", State: ListGone}})
	assert.Zero(t, probes(2000, 2100))
	assert.Len(t, d.Members(at(2100)), 1, "its record is removed")
}

// Guards against fetching a bundle from a peer that doesn't have it, and against a repeated hint.
func TestHighestGenerationIsHintedOnceWithThePeerThatHasIt(t *testing.T) {
	d := detectorOf(t, 2)
	d.SetSelf(7, 0)
	d.HandleProbe(at(1), Probe{From: "i1", Incarnation: 100, Generation: 7})
	assert.Nil(t, d.TakeEvents().Generation)
	d.HandleProbe(at(1), Probe{From: "i2", Incarnation: 100, Generation: 9})
	d.HandleProbe(at(1), Probe{From: "i1", Incarnation: 100, Generation: 8})
	assert.Equal(t, &GenerationHint{Generation: 9, Peer: "i2", Address: "127.0.0.1:7002"}, d.TakeEvents().Generation)
	d.HandleProbe(at(2), Probe{From: "i2", Incarnation: 100, Generation: 9})
	assert.Nil(t, d.TakeEvents().Generation)
}
