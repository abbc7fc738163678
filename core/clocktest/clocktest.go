// Package clocktest makes readings of the clock that tests cannot get from package time.
package clocktest

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

// AfterSuspension returns the time that a machine reads after it was suspended for whole seconds: the wall clock has moved on, the
// monotonic clock has not. Package time has no way to construct this, so the seconds are added to the first word of its
// representation, where they start at bit 30.
func AfterSuspension(t *testing.T, before time.Time, seconds uint64) time.Time {
	t.Helper()
	after := before
	*(*uint64)(unsafe.Pointer(&after)) += seconds << 30
	require.Zero(t, after.Sub(before), "the monotonic clock stood still")
	require.Equal(t, time.Duration(seconds)*time.Second, after.Round(0).Sub(before.Round(0)), "the wall clock moved on")
	return after
}

// Reading returns the reading at an instant of a clock whose time of day is ahead by some time, which may be negative, and whose monotonic time is
// right. The readings of time.Now in a bubble of package synctest have no monotonic time. Package time has no way to construct one, so its
// representation is written: a flag, the seconds since 1885 and the nanoseconds in the first word, the monotonic time in the second.
func Reading(instant time.Time, ahead time.Duration) time.Time {
	day := instant.Round(0).Add(ahead)
	reading := day
	words := (*[2]uint64)(unsafe.Pointer(&reading))
	words[0] = 1<<63 | uint64(day.Unix()-wallStart.Unix())<<30 | uint64(day.Nanosecond())
	words[1] = uint64(instant.Sub(monotonicStart))
	return reading
}

var (
	wallStart      = time.Date(1885, 1, 1, 0, 0, 0, 0, time.UTC)
	monotonicStart = time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC) // before the start of the clock in a bubble
)
