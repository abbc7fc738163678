package itemjob

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/clocktest"
)

// Guards against items that start although their job ended after the store's last confirmation, and against calls to the store for jobs without
// waiting items.
func TestItemsStartOnlyOnRecentConfirmations(t *testing.T) {
	sent := time.Now()
	j := NewJob(Record{ID: "j"}, []Item{{ID: "a"}}, nil)
	require.False(t, j.IsConfirmed(sent), "no confirmation yet")
	j.Confirm(sent)
	j.Confirm(sent.Add(-time.Second)) // a response that arrives out of order
	require.Equal(t, sent, j.ConfirmedAt())
	for _, c := range []struct {
		age              time.Duration
		confirmed, needs bool
	}{
		{0, true, false},
		{900 * time.Millisecond, true, false},
		{1500 * time.Millisecond, true, true},
		{2500 * time.Millisecond, false, true},
	} {
		now := sent.Add(c.age)
		require.Equal(t, c.confirmed, j.IsConfirmed(now), c.age)
		require.Equal(t, c.needs, j.NeedsConfirmation(now), c.age)
	}
	require.False(t, j.IsConfirmed(clocktest.AfterSuspension(t, sent, 5)))
	j.Tasks[0].Phase = Running
	require.False(t, j.NeedsConfirmation(sent.Add(time.Minute)))
}
