package limits_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/limits"
)

// Guards against leaving a sound target for one that gives no reason to expect more, and against staying at a dark one.
func TestKeepHedge(t *testing.T) {
	const early, late, patience = 400 * time.Millisecond, 900 * time.Millisecond, 800 * time.Millisecond
	for name, c := range map[string]struct {
		state limits.HedgeState
		keep  bool
	}{
		"both have been silent for a short time":            {limits.HedgeState{Silent: early}, false},
		"the first has been silent for long":                {limits.HedgeState{Silent: late}, true},
		"only the hedge's target is alive":                  {limits.HedgeState{Silent: early, HedgeAlive: true}, true},
		"both targets are alive":                            {limits.HedgeState{Silent: early, HedgeAlive: true, FirstAlive: true}, false},
		"only this request is stuck at the first":           {limits.HedgeState{Silent: late, FirstAlive: true}, true},
		"the first is busy and others were left before":     {limits.HedgeState{Silent: late, FirstSeen: true, Left: 1}, false},
		"the first may be dark and others were left before": {limits.HedgeState{Silent: late, Left: 1}, true},
		"the target that was left shows nothing":            {limits.HedgeState{Silent: 2 * patience, HedgeLeft: 1, Left: 1}, false},
		"the target that was left is as alive as the first": {limits.HedgeState{Silent: late, HedgeLeft: 1, Left: 1, HedgeAlive: true, FirstSeen: true}, false},
		"only the target that was left was ever alive":      {limits.HedgeState{Silent: early, HedgeLeft: 1, Left: 1, HedgeAlive: true}, true},
		"all targets that may be used are silent":           {limits.HedgeState{Silent: 4 * patience, HedgeLeft: 1, Left: 1}, true},
		"there is no way back to the first target":          {limits.HedgeState{Silent: late, HedgeAlive: true, NoReturn: true}, false},
		"the first target without a way back is dark":       {limits.HedgeState{Silent: 4 * patience, NoReturn: true}, true},
		"what arrived during a pause is not read yet":       {limits.HedgeState{Silent: late, HedgeAlive: true, Paused: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.keep, c.state.KeepHedge(patience))
		})
	}
}
