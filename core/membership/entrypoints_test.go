package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"eelgrassproxy.example/core/fleet"
)

func entry(id string, domain fleet.FailureDomain, state fleet.MemberState, inFlight int) fleet.Member {
	return fleet.Member{ID: fleet.InstanceID(id), CallerAddress: id, FailureDomain: domain, State: state, InFlight: inFlight}
}

var twoRegions = fleet.Topology{RegionOf: map[fleet.FailureDomain]fleet.Region{"a": "r1", "b": "r1", "c": "r2"}}

// Guards against callers that are sent to draining or dead instances, or to another region while nearer instances serve.
func TestEntrypointsOmitLeavingMembersAndOrderByStateAndDistance(t *testing.T) {
	unreachable := entry("no-address", "a", fleet.MemberAlive, 0)
	unreachable.CallerAddress = ""
	members := []fleet.Member{
		entry("far", "c", fleet.MemberAlive, 0), entry("near", "b", fleet.MemberAlive, 50), entry("here", "a", fleet.MemberAlive, 90),
		entry("suspect", "a", fleet.MemberSuspect, 0), entry("draining", "a", fleet.MemberDraining, 0),
		entry("dead", "a", fleet.MemberDead, 0), unreachable,
	}
	var ids []string
	for _, m := range Entrypoints(members, twoRegions, "a", epoch) {
		ids = append(ids, string(m.ID))
	}
	assert.Equal(t, []string{"here", "near", "far", "suspect"}, ids)
}

// Guards against all callers of a failure domain using the same first address, such as that of an instance that reported no load minutes ago.
func TestEntrypointsSpreadFirstAddressesByLoad(t *testing.T) {
	members := []fleet.Member{
		entry("idle", "a", fleet.MemberAlive, 0), entry("idle2", "a", fleet.MemberAlive, 0), entry("busy", "a", fleet.MemberAlive, 24),
	}
	first := map[fleet.InstanceID]int{}
	for i := range 9000 {
		first[Entrypoints(members, twoRegions, "a", epoch.Add(time.Duration(i)*orderInterval))[0].ID]++
	}
	assert.InDelta(t, 4000, first["idle"], 200)
	assert.InDelta(t, 4000, first["idle2"], 200)
	assert.InDelta(t, 1000, first["busy"], 200, "four times the load with baseLoad, so a quarter of the callers")
}

// Guards against a region without a watcher, and against watchers that differ between instances or change when another watcher fails.
func TestWatchersAreStableAndCoverEveryRegion(t *testing.T) {
	var members []fleet.Member
	for i := range 12 {
		m := instance(i)
		m.FailureDomain = []fleet.FailureDomain{"a", "b", "c"}[i%3]
		members = append(members, m)
	}
	chosen := Watchers(members, twoRegions, 2)
	assert.Len(t, chosen, 4)
	for i := range members {
		if !assert.ObjectsAreEqual(members[i].ID, chosen[0]) {
			continue
		}
		members[i].State = fleet.MemberSuspect
		again := Watchers(members, twoRegions, 2)
		assert.Len(t, again, 4)
		assert.Subset(t, again, chosen[1:], "the other watchers stay")
	}
}
