package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
)

// placeAll places items until none finds a place and returns how many each target got.
func placeAll(v *slots.View, now time.Time) map[fleet.TargetID]int {
	placed := make(map[fleet.TargetID]int)
	for n := 0; ; n++ {
		t, ok := v.PlaceBatch("s", fmt.Sprint("item", n), nil, true, now)
		if !ok {
			return placed
		}
		v.Add(t.ID, slots.Count{Firm: 1})
		placed[t.ID]++
	}
}

// Guards against items at targets that send too much, whatever their share of the targets is, and against targets that get no items after they are sound
// again.
func TestItemsAvoidTargetsThatSentTooMuch(t *testing.T) {
	for bad := range 10 {
		v := slots.NewView("i1", "a", fleet.Topology{}, slots.DefaultPolicy())
		var list []slots.Target
		for n := range 9 {
			t := slots.Target{Slots: 8}
			t.ID, t.Service, t.FailureDomain, t.State = fleet.TargetID(fmt.Sprint("t", n)), "s", "a", fleet.TargetLive
			list = append(list, t)
		}
		v.SetTargets(list)
		at := time.Unix(1000, 0)
		var pause time.Duration
		for round := range 5 {
			for n := range bad {
				previous := pause
				pause = v.MarkOverlong(list[n].ID, at)
				require.Equal(t, pause, v.MarkOverlong(list[n].ID, at), "requests that ran at the same time count once")
				require.True(t, n > 0 || pause >= previous)
			}
			placed := placeAll(v, at)
			require.Len(t, placed, 9-bad, "round %d", round)
			for n := range bad {
				require.Zero(t, placed[list[n].ID])
			}
			require.Equal(t, bad > 0, pause > 0)
			require.LessOrEqual(t, pause, 4*time.Second)
			_, result := v.Place("s", "q", nil, at)
			require.Equal(t, slots.Placed, result, "online requests may still use all targets")
			at = at.Add(pause)
			again := placeAll(v, at)
			for n := range bad {
				require.Equal(t, 1, again[list[n].ID], "one item tries the target")
			}
			for id, n := range placed {
				v.Add(id, slots.Count{Firm: -n})
			}
			for id, n := range again {
				v.Add(id, slots.Count{Firm: -n})
			}
		}
		for n := range bad {
			require.True(t, v.ClearOverlong(list[n].ID))
		}
		require.Len(t, placeAll(v, at), 9)
	}
}
