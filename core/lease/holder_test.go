package lease_test

import (
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/lease"
)

const (
	ttl    = 9 * time.Second
	margin = time.Second
)

// Guards against a holder that was paused past expiry and acts on its first check after waking (fault F6).
func TestPausedHolderMayNotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := lease.NewHolder(margin)
		h.Granted(time.Now(), ttl)
		assert.True(t, h.MayAct(time.Now()))
		time.Sleep(ttl - margin - time.Nanosecond)
		assert.True(t, h.MayAct(time.Now()))
		time.Sleep(time.Nanosecond)
		assert.False(t, h.MayAct(time.Now()), "the margin is reached before the store's expiry")
	})
}

// afterSuspension returns the time that a machine reads after it was suspended for whole seconds: the wall clock has moved on, the
// monotonic clock has not. Package time has no way to construct this, so the seconds are added to the first word of its
// representation, where they start at bit 30.
func afterSuspension(t *testing.T, before time.Time, seconds uint64) time.Time {
	t.Helper()
	after := before
	*(*uint64)(unsafe.Pointer(&after)) += seconds << 30
	require.Zero(t, after.Sub(before), "the monotonic clock stood still")
	require.Equal(t, time.Duration(seconds)*time.Second, after.Round(0).Sub(before.Round(0)), "the wall clock moved on")
	return after
}

// Guards against trust in a monotonic clock that stood still during a suspension.
func TestSuspendedHolderMayNotAct(t *testing.T) {
	h := lease.NewHolder(margin)
	start := time.Now()
	h.Granted(start, ttl)
	assert.True(t, h.MayAct(afterSuspension(t, start, 7)))
	assert.False(t, h.MayAct(afterSuspension(t, start, 8)))
}

// Guards against validity counted from the answer instead of the request, and against answers out of order.
func TestValidityCountsFromTheRequest(t *testing.T) {
	h := lease.NewHolder(margin)
	start := time.Now()
	h.Renewed(start, ttl)
	assert.False(t, h.MayAct(start), "a renewal without a lease")
	h.Granted(start, ttl)
	assert.Equal(t, ttl/3, h.NextRenewal(start))
	h.Renewed(start.Add(3*time.Second), ttl)
	h.Renewed(start.Add(2*time.Second), ttl)
	assert.Equal(t, 3*time.Second+ttl-margin, h.Remaining(start))
	h.RenewalFailed(start.Add(6 * time.Second))
	assert.Equal(t, 7*time.Second, h.NextRenewal(start))
	h.Lost()
	h.Renewed(start.Add(4*time.Second), ttl)
	assert.False(t, h.MayAct(start.Add(4*time.Second)), "an answer to the lost lease")
}
