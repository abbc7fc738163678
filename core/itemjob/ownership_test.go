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
	j := NewJob(Record{ID: "j"}, []Item{{ID: "a"}}, nil, sent)
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

// Guards against items that are given up by a time of day, which differs from that of the instance that recorded the job or was set since, and
// against a due time that follows it.
func TestAgeOfAJobIsIndependentOfTheTimeOfDay(t *testing.T) {
	start := time.Unix(5_000_000, 0)
	there := Record{ID: "j", Submitted: start, Due: start.Add(18 * time.Second), GiveUp: start.Add(time.Minute)}
	for _, ahead := range []time.Duration{0, 7 * time.Second, -time.Hour} {
		at := func(age time.Duration) time.Time { return clocktest.Reading(start.Add(age), ahead) }
		record := there
		record.SetSubmitted(at(0))
		require.Equal(t, 18*time.Second, record.Objective())
		require.Equal(t, time.Minute, record.Retention())
		for _, r := range []Record{there, record} {
			j := NewJob(r, []Item{{ID: "a"}}, nil, at(0))
			require.Empty(t, j.Expired(at(time.Minute-time.Millisecond)))
			require.Len(t, j.Expired(at(time.Minute)), 1)
			require.Empty(t, j.Expired(clocktest.Reading(start.Add(10*time.Second), ahead+time.Hour)), "the clock was set")
			require.Equal(t, 8*time.Second, j.DueTime().Sub(at(10*time.Second)))
		}
	}
}
