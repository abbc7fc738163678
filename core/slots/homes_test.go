package slots_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
)

func domainTargets(n int, domains ...fleet.FailureDomain) []slots.Target {
	var list []slots.Target
	for i := range n {
		list = append(list, target(fmt.Sprintf("t%03d", i), domains[i%len(domains)]))
	}
	return list
}

// Guards against targets whose homes are not in proportion to the capacities, not in the nearest failure domain, or missing.
func TestHomesAreNearAndFollowTheCapacity(t *testing.T) {
	set := []fleet.Member{
		{ID: "i1", FailureDomain: "a1", Capacity: 0.8},
		{ID: "i2", FailureDomain: "a1", Capacity: 0.4},
		{ID: "i3", FailureDomain: "a2", Capacity: 0.8},
	}
	list := domainTargets(36, "a1", "a2", "b1")
	homes := slots.Homes(list, set, topology)
	require.Len(t, homes, len(list))
	counts := make(map[fleet.InstanceID]map[fleet.FailureDomain]int)
	for _, one := range list {
		home := homes[one.ID]
		if counts[home] == nil {
			counts[home] = make(map[fleet.FailureDomain]int)
		}
		counts[home][one.FailureDomain]++
	}
	require.Equal(t, 8, counts["i1"]["a1"])
	require.Equal(t, 4, counts["i2"]["a1"])
	require.Equal(t, 12, counts["i3"]["a2"])
	require.Zero(t, counts["i3"]["a1"])
	require.Equal(t, 12, counts["i1"]["b1"]+counts["i2"]["b1"]+counts["i3"]["b1"], "a failure domain without an instance")
}

// Guards against homes for a service with fewer targets than instances: most instances would have no target of their own there and would pay
// ForeignPenalty at each.
func TestFewTargetsHaveNoHome(t *testing.T) {
	set := []fleet.Member{{ID: "i1", FailureDomain: "a1"}, {ID: "i2", FailureDomain: "a1"}, {ID: "i3", FailureDomain: "a2"}}
	require.Empty(t, slots.Homes(domainTargets(2, "a1"), set, topology))
}

// Guards against homes that mostly move when one instance or target is added or removed: the new home learns late of the requests that are in
// flight at a moved target.
func TestFewHomesMove(t *testing.T) {
	set := []fleet.Member{{ID: "i1", FailureDomain: "a1"}, {ID: "i2", FailureDomain: "a1"}, {ID: "i3", FailureDomain: "a1"}, {ID: "i4", FailureDomain: "a1"}}
	list := domainTargets(40, "a1")
	before := slots.Homes(list, set, topology)
	moved := func(after map[fleet.TargetID]fleet.InstanceID) int {
		n := 0
		for id, home := range after {
			if before[id] != home {
				n++
			}
		}
		return n
	}
	require.LessOrEqual(t, moved(slots.Homes(list, set[:3], topology)), 20)
	require.LessOrEqual(t, moved(slots.Homes(list[1:], set, topology)), 10)
}

// simulateFleet simulates instances that place requests at random times and receive the counts of the others with a delay. It returns the
// share of the requests that were placed at a target without a free slot. With homes, the targets are divided among the instances.
func simulateFleet(t *testing.T, instances int, homes bool, delay time.Duration) float64 {
	const (
		perInstance = 5                      // targets per instance
		serviceTime = 700 * time.Millisecond // service time of a request
		duration    = 6 * time.Second        // simulated time
		step        = 5 * time.Millisecond   // step of the simulated clock
		load        = 0.6                    // mean share of the slots in use
		slotsEach   = 8                      // slots of each target
	)
	random := rand.New(rand.NewPCG(1, uint64(instances)))
	list := domainTargets(instances*perInstance, "a1")
	set := make([]fleet.Member, instances)
	views := make([]*slots.View, instances)
	for i := range set {
		set[i] = fleet.Member{ID: fleet.InstanceID(fmt.Sprintf("i%03d", i)), FailureDomain: "a1", Capacity: 0.8}
	}
	for i := range views {
		views[i] = slots.NewView(set[i].ID, "a1", topology, slots.DefaultPolicy())
		views[i].SetTargets(list)
		if homes {
			views[i].SetWorkingSet(set)
		}
	}
	type runningRequest struct {
		at     time.Time
		view   int
		target fleet.TargetID
	}
	type peerReport struct {
		at     time.Time
		from   int
		counts map[fleet.TargetID]slots.Count
	}
	var running []runningRequest
	var pendingReports []peerReport
	slotsInUse := make(map[fleet.TargetID]int)
	placed, rejected := 0, 0
	perStep := load * float64(len(list)*slotsEach) * step.Seconds() / serviceTime.Seconds()
	arrivals := 0.0
	for at := time.Duration(0); at < duration; at += step {
		moment := now.Add(at)
		for len(running) > 0 && !moment.Before(running[0].at) {
			views[running[0].view].Add(running[0].target, slots.Count{Online: -1})
			slotsInUse[running[0].target]--
			running = running[1:]
		}
		for len(pendingReports) > 0 && !moment.Before(pendingReports[0].at) {
			for i, v := range views {
				if i != pendingReports[0].from {
					v.UpdatePeer(set[pendingReports[0].from].ID, pendingReports[0].counts, moment)
				}
			}
			pendingReports = pendingReports[1:]
		}
		for arrivals += perStep; arrivals >= 1; arrivals-- {
			i := random.IntN(instances)
			chosen, result := views[i].Place("s", fmt.Sprint(at, arrivals, i), nil, moment)
			placed++
			if result != slots.Placed || slotsInUse[chosen.ID] >= slotsEach {
				rejected++
				continue
			}
			slotsInUse[chosen.ID]++
			views[i].Add(chosen.ID, slots.Count{Online: 1})
			running = append(running, runningRequest{moment.Add(serviceTime), i, chosen.ID})
		}
		if at%(50*time.Millisecond) == 0 {
			for i, v := range views {
				pendingReports = append(pendingReports, peerReport{moment.Add(delay), i, v.OwnCounts()})
			}
		}
	}
	require.Positive(t, placed)
	return float64(rejected) / float64(placed)
}

// Guards against instances that place requests at the same targets because the reports of their peers are delayed. Without homes, the share of
// requests that full targets reject grows with the number of instances; it must be below 1 % for any size of the working set.
func TestHomesKeepRequestsFromFullTargets(t *testing.T) {
	for _, instances := range []int{8, 20, 60} {
		require.Less(t, simulateFleet(t, instances, true, 200*time.Millisecond), 0.01, "%d instances", instances)
	}
	require.Greater(t, simulateFleet(t, 60, false, 200*time.Millisecond), 0.01, "without homes")
}
