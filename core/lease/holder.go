// Package lease decides how long the holder of a lease may act on it and when to renew it. It does no I/O.
package lease

import "time"

const (
	// renewalsPerTTL sets the interval between renewals to a third of the TTL, which leaves time to retry failed renewals.
	renewalsPerTTL = 3
	// retriesPerTTL sets the delay after a failed renewal to a ninth of the TTL.
	retriesPerTTL = 9
)

// Holder tracks the validity of a lease on the side of its holder. If a request sent at T is granted a TTL of d, the lease is valid until
// T+d-margin: the store starts the TTL after T, and the margin covers different clock rates and work that begins just before the end.
//
// Times passed in must come from time.Now, so that they carry a monotonic reading. The wall clock is checked too, because the
// monotonic clock stops while a virtual machine is suspended. A Holder isn't safe for concurrent use.
type Holder struct {
	margin      time.Duration
	held        bool
	sentAt      time.Time // send time of the request that validUntil is computed from
	validUntil  time.Time
	nextAttempt time.Time
	ttl         time.Duration
}

// NewHolder returns a Holder without a lease. margin is subtracted from every TTL.
func NewHolder(margin time.Duration) *Holder {
	return &Holder{margin: margin}
}

// Granted records a new lease whose grant was requested at sentAt.
func (h *Holder) Granted(sentAt time.Time, ttl time.Duration) {
	h.held = true
	h.extend(sentAt, ttl)
}

// Renewed records that a renewal requested at sentAt succeeded. It has no effect without a lease, or if the response to a later request
// was recorded before: responses may arrive out of order, and one for a lost lease may arrive after the next lease was granted.
func (h *Holder) Renewed(sentAt time.Time, ttl time.Duration) {
	if !h.held || sentAt.Before(h.sentAt) {
		return
	}
	h.extend(sentAt, ttl)
}

// RenewalFailed records at now that a renewal received no response. The validity of the lease doesn't change, because the store may or may
// not have renewed it.
func (h *Holder) RenewalFailed(now time.Time) {
	h.nextAttempt = now.Add(h.ttl / retriesPerTTL)
}

// Lost records that the lease has ended, because the store reported so or because it was revoked. Only Granted starts a new one.
func (h *Holder) Lost() {
	h.held = false
}

// Held reports whether a lease was granted and Lost hasn't been called since. The lease may have expired; see MayAct.
func (h *Holder) Held() bool {
	return h.held
}

// MayAct reports whether the lease is valid at now, so that its holder may act on it.
func (h *Holder) MayAct(now time.Time) bool {
	return h.Remaining(now) > 0
}

// Remaining returns how long the lease is still valid at now, 0 if it isn't. The clock that shows less time counts.
func (h *Holder) Remaining(now time.Time) time.Duration {
	if !h.held {
		return 0
	}
	monotonic := h.validUntil.Sub(now)
	wall := h.validUntil.Round(0).Sub(now.Round(0)) // Round(0) strips the monotonic reading
	return max(0, min(monotonic, wall))
}

// NextRenewal returns how long to wait at now before sending the next renewal; 0 means to send it at once. It returns 0 without a lease.
func (h *Holder) NextRenewal(now time.Time) time.Duration {
	if !h.held {
		return 0
	}
	return max(0, h.nextAttempt.Sub(now))
}

func (h *Holder) extend(sentAt time.Time, ttl time.Duration) {
	h.sentAt = sentAt
	h.ttl = ttl
	h.validUntil = sentAt.Add(ttl - h.margin)
	h.nextAttempt = sentAt.Add(ttl / renewalsPerTTL)
}
