package itemjobs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against items at a target that has told the owner that it is leaving, sent by the peer that the owner gave the job to.
func TestPeerLearnsOfLeavingTargetWithTheJob(t *testing.T) {
	for name, beforeDrain := range map[string]bool{"handed over": true, "forwarded": false} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 2, func(t *testing.T, f *testFleet) {
				f.mu.Lock()
				f.leaving = true
				f.mu.Unlock()
				require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a")))
				time.Sleep(6 * time.Second)
				requireCompleted(t, f.readAll(f.nodes[1], "j"), "a")
				if beforeDrain {
					require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("k", "b")))
					time.Sleep(time.Second)
				}
				f.nodes[0].service.Drain(t.Context())
				if !beforeDrain {
					require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("k", "b")))
				}
				time.Sleep(6 * time.Second)
				require.Empty(t, f.runsOf("b"))
				require.Len(t, f.nodes[1].board.Departing(), 1)
			})
		})
	}
}
