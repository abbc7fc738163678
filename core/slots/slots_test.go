package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/core/slots"
)

var now = time.Unix(1000, 0)

var topology = fleet.Topology{RegionOf: map[fleet.FailureDomain]fleet.Region{"a1": "a", "a2": "a", "b1": "b"}}

func target(id string, domain fleet.FailureDomain) slots.Target {
	t := slots.Target{Slots: 8}
	t.ID, t.Service, t.Address, t.FailureDomain, t.State = fleet.TargetID(id), "s", id+":80", domain, fleet.TargetLive
	return t
}

func newView(self fleet.InstanceID, list ...slots.Target) *slots.View {
	return newQueueingView(slots.DefaultPolicy().MaxQueue, self, list...)
}

// newQueueingView returns a view that lets up to maxQueue requests wait at each target.
func newQueueingView(maxQueue int, self fleet.InstanceID, list ...slots.Target) *slots.View {
	policy := slots.DefaultPolicy()
	policy.MaxQueue = maxQueue
	v := slots.NewView(self, "a1", topology, policy)
	v.SetTargets(list)
	return v
}

func place(t *testing.T, v *slots.View, exclude ...fleet.TargetID) fleet.TargetID {
	excluded := make(map[fleet.TargetID]bool)
	for _, id := range exclude {
		excluded[id] = true
	}
	chosen, result := v.Place("s", "r", excluded, now)
	require.Equal(t, slots.Placed, result)
	return chosen.ID
}

// Guards against online requests that wait at a full target while another target has a free slot or batch items that would yield.
func TestPlacePrefersFreeSlotsThenBatchThatGivesWay(t *testing.T) {
	v := newQueueingView(2, "i1", target("t1", "a1"), target("t2", "a1"), target("t3", "a1"))
	v.Add("t1", slots.Count{Online: 8})
	v.Add("t2", slots.Count{Online: 4, Yieldable: 4})
	v.UpdatePeer("i2", map[fleet.TargetID]slots.Count{"t3": {Online: 7}}, now)
	require.Equal(t, fleet.TargetID("t3"), place(t, v), "the only free slot, according to a peer's report")
	v.UpdatePeer("i2", map[fleet.TargetID]slots.Count{"t3": {Online: 8}}, now)
	require.Equal(t, fleet.TargetID("t2"), place(t, v), "batch items yield")
	require.Equal(t, fleet.TargetID("t3"), place(t, v, "t1", "t2"), "excluded targets are not used")
}

// Guards against requests to targets that are leaving, unknown or full, and against finding no target while an avoided one could be used.
func TestPlaceUsesAvoidedTargetsLast(t *testing.T) {
	leaving := target("t3", "a1")
	leaving.State = fleet.TargetLeaving
	v := newQueueingView(2, "i1", target("t1", "a1"), target("t2", "a1"), leaving)
	require.True(t, v.Avoid("t1", now, now.Add(time.Second)))
	require.False(t, v.Avoid("t1", now, now.Add(time.Second)), "the target is avoided already")
	v.Add("t2", slots.Count{Online: 9})
	require.Equal(t, fleet.TargetID("t2"), place(t, v))
	require.Equal(t, fleet.TargetID("t1"), place(t, v, "t2"))
	v.Add("t2", slots.Count{Online: 1})
	_, room := v.Place("s", "r", nil, now)
	require.Equal(t, slots.Full, room, "waiting for a full target is preferred to an avoided target")
	v.StopAvoiding("t1")
	require.Equal(t, fleet.TargetID("t1"), place(t, v))
	v.Add("t1", slots.Count{Online: 10})
	_, room = v.Place("s", "r", nil, now)
	require.Equal(t, slots.Full, room)
	_, room = v.Place("other", "r", nil, now)
	require.Equal(t, slots.NoTarget, room)
}

// Guards against counts that block slots forever after their peer has stopped sending reports.
func TestCountsOfASilentPeerExpire(t *testing.T) {
	v := newView("i1", target("t1", "a1"))
	v.UpdatePeer("i2", map[fleet.TargetID]slots.Count{"t1": {Online: 5}}, now)
	require.Equal(t, 5, v.Load("t1", now).Total())
	require.Zero(t, v.Load("t1", now.Add(slots.DefaultPolicy().PeerExpiry)).Total())
	v.UpdatePeer("i2", map[fleet.TargetID]slots.Count{"t1": {Online: 5}}, now)
	v.RemovePeer("i2")
	require.Zero(t, v.Load("t1", now).Total())
}

// Guards against counts that are lost while a target that is no longer listed still holds requests, or kept after these have ended.
func TestCountsOutliveTheListing(t *testing.T) {
	v := newView("i1", target("t1", "a1"))
	v.Add("t1", slots.Count{Online: 1})
	v.SetTargets(nil)
	require.Equal(t, map[fleet.TargetID]slots.Count{"t1": {Online: 1}}, v.OwnCounts())
	v.Add("t1", slots.Count{Online: -1})
	v.SetTargets(nil)
	require.Empty(t, v.OwnCounts())
	_, room := v.Place("s", "r", nil, now)
	require.Equal(t, slots.NoTarget, room)
}

// Guards against urgent batch items that occupy most slots of a target, which makes every online request there late.
func TestFewItemsAreFirm(t *testing.T) {
	v := newView("i1", target("t1", "a1"))
	v.Add("t1", slots.Count{Firm: 3})
	require.True(t, v.MayBeFirm("t1", now))
	v.UpdatePeer("i2", map[fleet.TargetID]slots.Count{"t1": {Firm: 1, Online: 3}}, now)
	require.False(t, v.MayBeFirm("t1", now))
	_, ok := v.PlaceBatch("s", "i", nil, true, now)
	require.False(t, ok, "at the limit of firm items, an urgent item may not use the reserve")
}

// Guards against batch items in the slots that are reserved for the first requests of a burst, and against urgent items that wait although
// such a slot is free.
func TestBatchLeavesAReserve(t *testing.T) {
	v := newView("i1", target("t1", "a1"))
	v.Add("t1", slots.Count{Online: 7})
	_, ok := v.PlaceBatch("s", "i", nil, false, now)
	require.False(t, ok)
	_, ok = v.PlaceBatch("s", "i", nil, true, now)
	require.True(t, ok)
	v.Add("t1", slots.Count{Firm: 1})
	_, ok = v.PlaceBatch("s", "i", nil, true, now)
	require.False(t, ok)
}

// Guards against an excess request for which two instances end a batch item, or none.
func TestExcessIsDividedWithoutOverlap(t *testing.T) {
	counts := map[fleet.InstanceID]slots.Count{"i1": {Yieldable: 3}, "i2": {Online: 2, Yieldable: 2}, "i3": {Yieldable: 4}, "i4": {Online: 2}}
	for over := range 10 {
		sum := 0
		for self, own := range counts {
			v := newView(self, target("t1", "a1"))
			v.Add("t1", own)
			for peer, c := range counts {
				if peer == "i4" {
					c.Online += over - 5 // the counts above sum up to 13 requests, 5 more than the slots
				}
				if peer != self {
					v.UpdatePeer(peer, map[fleet.TargetID]slots.Count{"t1": c}, now)
				} else if peer == "i4" {
					v.Add("t1", slots.Count{Online: over - 5})
				}
			}
			mine := v.Excess(now)["t1"]
			require.LessOrEqual(t, mine, own.Yieldable)
			sum += mine
		}
		require.Equal(t, min(over, 9), sum, "excess of %d", over)
	}
}

// Guards against traffic over paid links while a near target has room, and against requests to a near target that has no room.
func TestNearTargetsArePreferred(t *testing.T) {
	v := newView("i1", target("far", "b1"), target("near", "a1"), target("region", "a2"))
	require.Equal(t, fleet.TargetID("near"), place(t, v))
	v.Add("near", slots.Count{Online: 1})
	require.Equal(t, fleet.TargetID("region"), place(t, v))
	v.Add("region", slots.Count{Online: 1})
	v.Add("near", slots.Count{Online: 1})
	require.Equal(t, fleet.TargetID("far"), place(t, v))
}

// Guards against requests at targets whose home is another instance and whose counts arrive late: slots that batch items yield at this
// instance's own targets are used first, and batch items that must yield are placed only where it learns of online requests without delay.
func TestOwnTargetsAreFilledFirst(t *testing.T) {
	v := newView("i1", target("own", "a1"), target("other", "b1"))
	v.SetWorkingSet([]fleet.Member{{ID: "i1", FailureDomain: "a1"}, {ID: "i2", FailureDomain: "b1"}})
	v.Add("own", slots.Count{Online: 7})
	require.Equal(t, fleet.TargetID("own"), place(t, v), "the target has a free slot")
	v.Add("own", slots.Count{Yieldable: 1})
	require.Equal(t, fleet.TargetID("own"), place(t, v), "a batch item yields")
	v.Add("own", slots.Count{Online: 1, Yieldable: -1})
	require.Equal(t, fleet.TargetID("other"), place(t, v))
	_, ok := v.PlaceBatch("s", "i", nil, false, now)
	require.False(t, ok)
	urgent, ok := v.PlaceBatch("s", "i", nil, true, now)
	require.True(t, ok)
	require.Equal(t, fleet.TargetID("other"), urgent.ID)
	v.SetWorkingSet(nil)
	_, ok = v.PlaceBatch("s", "i", nil, false, now)
	require.True(t, ok, "without a working set, all instances use all targets alike")
}

// Guards against a target that fails fast and attracts requests because it holds the fewest, and against ejections that leave too few
// targets.
func TestFailingTargetIsLeftOut(t *testing.T) {
	var list []slots.Target
	for i := range 5 {
		list = append(list, target(fmt.Sprintf("t%d", i), "a1"))
	}
	v := newView("i1", list...)
	fail := func(id fleet.TargetID) limits.EjectReason {
		return v.Observe(id, limits.Outcome{Failed: true}, now)
	}
	require.Empty(t, fail("t0"), "one failure is not enough")
	require.Equal(t, limits.ConsecutiveFailures, fail("t0"))
	fail("t1")
	fail("t1")
	fail("t2")
	require.Empty(t, fail("t2"), "at most 40 % of the pool is ejected")
	for i := range 100 {
		chosen, _ := v.Place("s", fmt.Sprintf("r%d", i), nil, now)
		require.NotContains(t, []fleet.TargetID{"t0", "t1"}, chosen.ID)
	}
	later := now.Add(1100 * time.Millisecond)
	require.Equal(t, 5, v.Pool("s", later).Usable, "ejected targets may be probed")
	v.Begin("t0", later)
	require.Equal(t, 4, v.Pool("s", later).Usable, "only one probe at a time")
	v.EndWithoutOutcome("t0")
	v.Begin("t0", later)
	v.Observe("t0", limits.Outcome{Latency: time.Millisecond}, later)
	require.Equal(t, 5, v.Pool("s", later).Usable)
}

// Guards against herding: among equal targets the choice depends on the request, so that instances that decide at the same time do not all
// choose the same target.
func TestEqualTargetsAreSpread(t *testing.T) {
	var list []slots.Target
	for i := range 8 {
		list = append(list, target(fmt.Sprintf("t%d", i), "a1"))
	}
	v := newView("i1", list...)
	chosen := map[fleet.TargetID]int{}
	for i := range 800 {
		c, _ := v.Place("s", fmt.Sprintf("r%d", i), nil, now)
		chosen[c.ID]++
	}
	for id, n := range chosen {
		require.InDelta(t, 100, n, 50, "share of %s", id)
	}
	require.Len(t, chosen, len(list))
}
