package itemjobs_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a job that no instance runs: one that is now on standby wrote itself into its record and could not read its items.
func TestStandbyThatCannotLoadAJobItTookOverLoadsItLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeTestFleet(t, false)
		defer f.close()
		f.start("i13", "10.0.0.14") // the fleet still has a working set when an instance is lost
		time.Sleep(8 * time.Second)
		owner, standby := f.nodes[0], f.nodes[workingSetSize]
		for _, n := range f.nodes[1:] {
			n.store.freezeListings(t, openMarks) // only standby takes the job over
		}
		require.NoError(t, owner.service.Submit(t.Context(), submission("j", "a")))
		f.kill(owner)
		time.Sleep(10 * time.Second) // until standby knows that the owner is lost
		standby.store.onGet(func(key string) { standby.store.setUnreachable(strings.Contains(key, "/part/")) })
		standby.store.setDelay(time.Millisecond)
		require.Error(t, standby.service.Adopt(t.Context(), "j", nil))
		standby.store.onGet(nil)
		standby.store.setUnreachable(false)
		for _, n := range f.nodes[1:] {
			n.store.unfreezeListings()
		}
		time.Sleep(30 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[1], "j"), "a")
	})
}
