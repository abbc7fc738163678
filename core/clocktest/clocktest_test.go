package clocktest_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/clocktest"
)

// Guards against tests of clocks that pass because the readings are not what they are taken for, for example in another version of Go.
func TestReadingHasItsOwnTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := clocktest.Reading(time.Now(), 0)
		require.True(t, before.Round(0).Equal(time.Now()))
		time.Sleep(3*time.Second + time.Millisecond)
		for _, ahead := range []time.Duration{7*time.Second + time.Microsecond, -7 * time.Second} {
			after := clocktest.Reading(time.Now(), ahead)
			require.Equal(t, 3*time.Second+time.Millisecond, after.Sub(before))
			require.Equal(t, 3*time.Second+time.Millisecond+ahead, after.Round(0).Sub(before.Round(0)))
			require.Equal(t, 2*time.Second, after.Add(2*time.Second).Sub(after))
		}
	})
}
