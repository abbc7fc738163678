package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var yieldStart = time.Unix(1000, 0)

// Guards against batch requests that take capacity which online requests need, and against idle targets that stay unused.
func TestRoomEndsAtTheCeilingAndAtWaitingRequests(t *testing.T) {
	cases := map[string]struct {
		load   TargetLoad
		atRisk bool
		want   int
	}{
		"an idle target takes the first request":                  {TargetLoad{MaxRunning: 16}, false, 1},
		"a target at the ceiling takes none":                      {TargetLoad{MaxRunning: 16, Load: 13}, false, 0},
		"a job at risk may use the reserve":                       {TargetLoad{MaxRunning: 16, Load: 13}, true, 1},
		"a full target takes none, whatever the risk":             {TargetLoad{MaxRunning: 16, Load: 16}, true, 0},
		"a target with waiting requests takes none":               {TargetLoad{MaxRunning: 16, Load: 3, Waiting: 1}, false, 0},
		"the limit of this instance also holds below the ceiling": {TargetLoad{MaxRunning: 16, Load: 1, OwnBatch: 1}, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, NewTargetLimits(DefaultYieldPolicy()).Allowance("e1", c.load, c.atRisk))
		})
	}
}

// Guards against a limit that never grows while capacity is idle, and against one that doesn't shrink and pause at a sign of online demand.
func TestLimitGrowsWithUseAndShrinksUnderPressure(t *testing.T) {
	tl := NewTargetLimits(DefaultYieldPolicy())
	for n := range 7 {
		tl.RecordEnd("e1", TargetLoad{MaxRunning: 16, OwnBatch: n}, yieldStart)
	}
	require.Equal(t, 8, tl.Allowance("e1", TargetLoad{MaxRunning: 16}, false))
	tl.RecordOnlineDemand("e1", yieldStart)
	require.Equal(t, 4, tl.Allowance("e1", TargetLoad{MaxRunning: 16}, false))
	tl.RecordEnd("e1", TargetLoad{MaxRunning: 16, OwnBatch: 4}, yieldStart.Add(time.Second/2))
	require.Equal(t, 4, tl.Allowance("e1", TargetLoad{MaxRunning: 16}, false), "no growth within the pause")
	tl.RecordEnd("e1", TargetLoad{MaxRunning: 16, OwnBatch: 4}, yieldStart.Add(2*time.Second))
	require.Equal(t, 5, tl.Allowance("e1", TargetLoad{MaxRunning: 16}, false))
}

// Guards against batch requests that keep a target above the ceiling after online requests arrived, and against many instances that each cancel
// the whole excess.
func TestExcessIsDividedAmongTheEstimatedSenders(t *testing.T) {
	tl := NewTargetLimits(DefaultYieldPolicy())
	require.Zero(t, tl.Excess(TargetLoad{MaxRunning: 16, Load: 14, OwnBatch: 13}), "within the slack")
	require.Equal(t, 4, tl.Excess(TargetLoad{MaxRunning: 16, Load: 18, OwnBatch: 16}), "the only sender cancels the whole excess")
	require.Equal(t, 1, tl.Excess(TargetLoad{MaxRunning: 16, Load: 18, OwnBatch: 2}), "one of many senders cancels its share")
	require.Zero(t, tl.Excess(TargetLoad{MaxRunning: 16, Load: 30}), "this instance has no batch requests to cancel")
}

// Guards against a limit on the increase of online latency in the bundle that has no effect.
func TestHarmLimitRaisesTheCeiling(t *testing.T) {
	require.InDelta(t, 0.85, DefaultYieldPolicy().WithMaxHarm(2).Ceiling, 1e-9)
	require.InDelta(t, 0.95, DefaultYieldPolicy().WithMaxHarm(5).Ceiling, 1e-9)
	require.InDelta(t, 0.95, DefaultYieldPolicy().WithMaxHarm(50).Ceiling, 1e-9)
}
