package itemjobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
)

// Guards against an owner whose memory fills up with the events of a target that never ends its response, and against a result that has any of these
// events: where the sound ones end is not known, so that the item is run again as a whole.
func TestItemWhoseTargetSendsEventsWithoutEndRunsAgain(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *testFleet) {
		f.mu.Lock()
		f.endless["a"], f.endless["b"] = 2, 1
		f.mu.Unlock()
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b", "c")))
		time.Sleep(30 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[0], "j"), "a", "b", "c")
		require.Len(t, f.runsOf("a"), 3)
		require.Less(t, f.endlessBytes/3, 400<<10, "bytes in each response to an item of 100 tokens")
	})
}

// Guards against a result with events of a response without end that were written to the store while it was read, and which the next owner continues.
func TestEventsWithoutEndAreNotContinuedByTheNextOwner(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		f.mu.Lock()
		f.endless["a"] = 1
		f.mu.Unlock()
		f.setPauses(func(string, int, bool) time.Duration { return 300 * time.Millisecond })
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		time.Sleep(9 * time.Second) // until the run has ended and its progress was replaced
		f.kill(f.nodes[0])
		time.Sleep(20 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[1], "j"), "a", "b")
	})
}

// Guards against a result with events of a response without end that were being written to the store when the run was ended: the write succeeded after
// that, and no later one replaced it before the owner was lost.
func TestEventsWithoutEndThatAreBeingWrittenAreReplaced(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		f.mu.Lock()
		f.endless["a"] = 1
		f.endlessPause = 100 * time.Millisecond // a second until there are too many
		f.mu.Unlock()
		f.setPauses(func(_ string, _ int, first bool) time.Duration {
			if first {
				return 50 * time.Millisecond
			}
			return 280 * time.Millisecond
		})
		time.Sleep(1700 * time.Millisecond)
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(5500 * time.Millisecond) // until just after the first events that are not the target's, and before a checkpoint
		f.nodes[0].store.setDelay(900 * time.Millisecond)
		time.Sleep(1700 * time.Millisecond)
		f.nodes[0].store.setDelay(0)
		time.Sleep(2500 * time.Millisecond)
		f.kill(f.nodes[0])
		time.Sleep(20 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[1], "j"), "a")
	})
}

// Guards against items that go on to targets which send without end in each response, because no more than a share of the targets is ever ejected: sound
// targets do the items in time.
func TestItemsLeaveTargetsThatSendWithoutEnd(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *testFleet) {
		var targets []slots.Target
		for i := range 9 {
			targets = append(targets, f.addTarget(fleet.TargetID(fmt.Sprint("x", i)), fmt.Sprintf("10.9.1.%d", i+1), i%2 == 0))
		}
		f.nodes[0].board.SetTargets(targets)
		var items []string
		for i := range 40 {
			items = append(items, fmt.Sprint("a", i))
		}
		sub := submission("j", items...)
		route := *sub.Route
		route.MaxWaitingTokens = 0
		sub.Route = &route
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), sub))
		time.Sleep(sub.Route.JobObjective)
		requireCompleted(t, f.readAll(f.nodes[0], "j"), items...)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Less(t, len(f.runs), 2*len(items))
	})
}
