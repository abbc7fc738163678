// Package lease decides what the holder of a lease may assume about it.
package lease

import "time"

const (
	// renewalsPerTTL places the next renewal at a third of the time to live, which leaves room for failed attempts.
	renewalsPerTTL = 3
	// retriesPerTTL places the attempt after a failed renewal.
	retriesPerTTL = 9
)

// Holder tells whether its owner may still act under a lease. A request sent at T that the store answered with the time to live d
// makes the lease valid until T+d-margin: the store started counting after T, and the margin covers the difference in clock rates
// and the work begun just before the end.
//
// Times must come from time.Now, so that they carry the monotonic clock; the wall clock is checked as well, because the monotonic
// clock stands still while a virtual machine is suspended. The owner guards a Holder.
type Holder struct {
	margin     time.Duration
	held       bool
	sentAt     time.Time // of the request that validUntil rests on
	validUntil time.Time
	nextTry    time.Time
	ttl        time.Duration
}

// NewHolder returns a Holder without a lease. The margin is subtracted from each time to live.
func NewHolder(margin time.Duration) *Holder {
	return &Holder{margin: margin}
}

// Granted starts a new lease, whose grant was requested at sentAt.
func (h *Holder) Granted(sentAt time.Time, ttl time.Duration) {
	h.held = true
	h.extend(sentAt, ttl)
}

// Renewed extends the lease by a renewal requested at sentAt. It has no effect without a lease, or if a later request has already
// been answered: answers may arrive out of order, and that of a lost lease after the grant of the next.
func (h *Holder) Renewed(sentAt time.Time, ttl time.Duration) {
	if !h.held || sentAt.Before(h.sentAt) {
		return
	}
	h.extend(sentAt, ttl)
}

// RenewalFailed records a renewal that got no answer at now. The lease keeps its validity: the store may or may not have renewed it.
func (h *Holder) RenewalFailed(now time.Time) {
	h.nextTry = now.Add(h.ttl / retriesPerTTL)
}

// Lost records that the lease has ended, by the store's word or by revocation. Only Granted ends this state.
func (h *Holder) Lost() {
	h.held = false
}

// Held tells whether there is a lease that is not known to have ended; its validity may have passed.
func (h *Holder) Held() bool {
	return h.held
}

// MayAct tells whether the owner may act as the holder at now.
func (h *Holder) MayAct(now time.Time) bool {
	return h.Remaining(now) > 0
}

// Remaining returns for how long the owner may still act at now, or 0.
func (h *Holder) Remaining(now time.Time) time.Duration {
	if !h.held {
		return 0
	}
	monotonic := h.validUntil.Sub(now)
	wall := h.validUntil.Round(0).Sub(now.Round(0)) // Round(0) strips the monotonic reading
	return max(0, min(monotonic, wall))
}

// NextRenewal returns how long to wait at now before the next renewal is sent; 0 means at once. Without a lease it returns 0.
func (h *Holder) NextRenewal(now time.Time) time.Duration {
	if !h.held {
		return 0
	}
	return max(0, h.nextTry.Sub(now))
}

func (h *Holder) extend(sentAt time.Time, ttl time.Duration) {
	h.sentAt = sentAt
	h.ttl = ttl
	h.validUntil = sentAt.Add(ttl - h.margin)
	h.nextTry = sentAt.Add(ttl / renewalsPerTTL)
}
