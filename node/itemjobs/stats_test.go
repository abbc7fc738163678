package itemjobs

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/core/itemjob"
)

// Guards against items that are given up and whose counters do not tell the reasons apart.
func TestGivenUpItemsAreCountedByReason(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	reasons := []itemjob.Reason{itemjob.CannotSucceed, itemjob.TooManyFailures, itemjob.GiveUpTimePassed, itemjob.RouteRemoved}
	for _, reason := range reasons {
		newStats(scope).givenUp(reason)
	}
	counted := make(map[string]int64)
	for _, c := range scope.Snapshot().Counters() {
		require.Equal(t, "item_jobs.given_up", c.Name())
		require.NotEmpty(t, c.Tags()["reason"])
		counted[c.Tags()["reason"]] += c.Value()
	}
	require.Len(t, counted, len(reasons))
}
