package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routing"
)

// Guards against batch items that use bandwidth of the region link that online requests need, and against batch items that are held back
// on a link without a limit.
func TestBatchUsesTheLinkOnlyWhereOnlineLeavesRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	link := bundle.Link{BytesPerSecond: 8000, OnlineReservePercent: 50}
	var l linkMeter
	require.True(t, l.tryBatch(link, 8, 400, now), "the share of one of eight instances is 1,000 bytes/s, half of it for batch")
	l.chargeOnline(link, 8, 5000, now)
	require.False(t, l.tryBatch(link, 8, 1, now), "online requests have used the link")
	require.False(t, l.tryBatch(link, 8, 1, now.Add(2*time.Second)), "the excess of the online requests has not been made up for yet")
	require.True(t, l.tryBatch(link, 8, 1, now.Add(10*time.Second)))

	l.settleBatch(link, 8, 5000, now.Add(10*time.Second))
	require.False(t, l.tryBatch(link, 8, 1, now.Add(10*time.Second)), "the excess of a response larger than expected is charged")
	require.True(t, l.tryBatch(bundle.Link{}, 8, 1<<30, now.Add(10*time.Second)), "no limit in the bundle")
}

// Guards against batch items that choose targets of other regions again and again while the link has no bandwidth left.
func TestTargetsOfOtherRegionsLoseTheirRoom(t *testing.T) {
	candidates := []routing.Candidate{
		{Target: "near", Distance: fleet.SameRegion, BatchRoom: 2},
		{Target: "far", Distance: fleet.OtherRegion, BatchRoom: 2},
	}
	excludeOtherRegions(candidates)
	require.Equal(t, 2, candidates[0].BatchRoom)
	require.Zero(t, candidates[1].BatchRoom)
}
