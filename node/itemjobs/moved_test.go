package itemjobs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a job that no instance runs: its owner handed it over to a former owner that had not noticed that it was replaced, and that took
// the job for its own.
func TestJobHandedOverToAFormerOwnerRuns(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		former, owner := f.nodes[0], f.nodes[1]
		require.NoError(t, former.service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(300 * time.Millisecond)
		former.store.freezeListings(t, openMarks)
		f.partition(former, owner)
		time.Sleep(1500 * time.Millisecond) // until owner suspects former
		require.NoError(t, owner.service.Adopt(t.Context(), "j", nil))
		time.Sleep(500 * time.Millisecond) // until the notice to former is given up
		f.network.Heal()
		time.Sleep(300 * time.Millisecond) // until owner hears former again
		owner.service.Drain(t.Context())
		former.store.unfreezeListings()
		time.Sleep(10 * time.Second)
		requireCompleted(t, f.readAll(owner, "j"), "a")
	})
}

// Guards against an owner that drops its job on a late notice: the job had been taken over from it, and it had taken it over again since.
func TestLateNoticeDoesNotDropAJobThatWasTakenOverAgain(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		owner, other := f.nodes[0], f.nodes[1]
		require.NoError(t, owner.service.Submit(t.Context(), submission("j", "a")))
		f.partition(owner, other)
		time.Sleep(1500 * time.Millisecond) // each instance suspects the other
		f.network.Heal()
		f.network.Delay(other.address, owner.address, 150*time.Millisecond)
		require.NoError(t, other.service.Adopt(t.Context(), "j", nil))
		require.NoError(t, owner.service.Adopt(t.Context(), "j", nil))
		time.Sleep(100 * time.Millisecond) // until the item runs; the notice of the first call arrives later
		runs := len(f.runsOf("a"))
		time.Sleep(5 * time.Second)
		require.Len(t, f.runsOf("a"), runs, "the item does not start again")
		requireCompleted(t, f.readAll(owner, "j"), "a")
	})
}

// Guards against a complete job that stays open for ever, and is taken over again and again, because it was taken over by an open mark that was stale.
func TestCompleteJobThatWasTakenOverIsClosed(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		f.nodes[1].store.freezeListings(t, openMarks)
		time.Sleep(8 * time.Second)
		results := f.readAll(f.nodes[1], "j")
		requireCompleted(t, results, "a")
		f.kill(f.nodes[0])
		time.Sleep(6 * time.Second)
		f.nodes[1].store.unfreezeListings()
		require.Equal(t, results, f.readAll(f.nodes[1], "j"))
		time.Sleep(3 * time.Minute)
		open, err := f.store.List(t.Context(), openMarks)
		require.NoError(t, err)
		require.Empty(t, open.Items)
		require.Len(t, f.runsOf("a"), 1)
	})
}
