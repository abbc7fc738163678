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
