package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"eelgrassproxy.example/core/clocktest"
	"eelgrassproxy.example/core/lease"
)

const (
	ttl    = 9 * time.Second
	margin = time.Second
)

// Guards against a holder whose process was paused past the expiry and that acts as soon as it runs again (fault F6).
func TestPausedHolderMayNotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := lease.NewHolder(margin)
		h.Granted(time.Now(), ttl)
		assert.True(t, h.MayAct(time.Now()))
		time.Sleep(ttl - margin - time.Nanosecond)
		assert.True(t, h.MayAct(time.Now()))
		time.Sleep(time.Nanosecond)
		assert.False(t, h.MayAct(time.Now()), "validity ends the margin before the store's expiry")
	})
}

// Guards against a lease that seems valid because the monotonic clock stopped while the machine was suspended.
func TestSuspendedHolderMayNotAct(t *testing.T) {
	h := lease.NewHolder(margin)
	start := time.Now()
	h.Granted(start, ttl)
	assert.True(t, h.MayAct(clocktest.AfterSuspension(t, start, 7)))
	assert.False(t, h.MayAct(clocktest.AfterSuspension(t, start, 8)))
}

// Guards against validity that counts from the response instead of the request, and against responses that arrive out of order.
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
	assert.False(t, h.MayAct(start.Add(4*time.Second)), "a response for the lost lease")
}
