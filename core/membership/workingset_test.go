package membership_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// unequalFleet returns size instances spread over the failure domains, with three large ones in each domain.
func unequalFleet(size, domains int) []fleet.Member {
	members := make([]fleet.Member, size)
	for i := range members {
		capacity := 0.192
		if i < 3*domains {
			capacity = 0.8
		}
		members[i] = fleet.Member{
			ID:            fleet.InstanceID(fmt.Sprintf("i%04d", i)),
			FailureDomain: fleet.FailureDomain(fmt.Sprintf("d%d", i%domains)),
			Capacity:      capacity,
		}
	}
	return members
}

func idsOf(members []fleet.Member) map[fleet.InstanceID]bool {
	ids := make(map[fleet.InstanceID]bool)
	for _, m := range members {
		ids[m.ID] = true
	}
	return ids
}

// Guards against a working set that grows with the fleet instead of the load, that has no instance in a failure domain, or that leaves large
// instances unused.
func TestWorkingSetFollowsTheLoad(t *testing.T) {
	policy := membership.DefaultWorkingSetPolicy()
	for _, test := range []struct{ size, domains, slots, least, most int }{
		{8, 3, 96, 8, 8},
		{12, 3, 96, 12, 12},
		{60, 6, 480, 12, 12},
		{250, 6, 976, 18, 20},
		{1000, 6, 976, 18, 20},
		{1000, 6, 9000, 600, 660},
	} {
		members := unequalFleet(test.size, test.domains)
		set := membership.WorkingSet(members, test.slots, policy)
		name := fmt.Sprintf("%d instances, %d slots", test.size, test.slots)
		require.GreaterOrEqual(t, len(set), test.least, name)
		require.LessOrEqual(t, len(set), test.most, name)
		perDomain := make(map[fleet.FailureDomain]int)
		cores := 0.0
		for _, m := range set {
			perDomain[m.FailureDomain]++
			cores += m.Capacity
		}
		require.Len(t, perDomain, test.domains, name)
		if test.size > policy.AllServeUpTo {
			require.GreaterOrEqual(t, cores, float64(test.slots)*policy.CoresPerSlot, name)
			for domain, n := range perDomain {
				require.GreaterOrEqual(t, n, policy.MinPerDomain, "%s in %s", name, domain)
			}
		}
	}
}

// Guards against a suspected or draining instance that stays in the set, and against a replacement that changes the set in other failure
// domains.
func TestWorkingSetReplacesALostInstance(t *testing.T) {
	policy := membership.DefaultWorkingSetPolicy()
	members := unequalFleet(250, 6)
	before := membership.WorkingSet(members, 976, policy)
	for _, state := range []fleet.MemberState{fleet.MemberSuspect, fleet.MemberDraining} {
		changed := append([]fleet.Member(nil), members...)
		changed[0].State = state
		after := idsOf(membership.WorkingSet(changed, 976, policy))
		require.NotContains(t, after, members[0].ID)
		for _, m := range before {
			if m.FailureDomain != members[0].FailureDomain {
				require.Contains(t, after, m.ID)
			}
		}
	}
}

// Guards against instances that choose different sets because they have the members in a different order.
func TestWorkingSetDoesNotDependOnTheOrder(t *testing.T) {
	policy := membership.DefaultWorkingSetPolicy()
	members := unequalFleet(100, 6)
	want := membership.WorkingSet(members, 700, policy)
	reversed := make([]fleet.Member, len(members))
	for i, m := range members {
		reversed[len(members)-1-i] = m
	}
	require.Equal(t, want, membership.WorkingSet(reversed, 700, policy))
}
