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
