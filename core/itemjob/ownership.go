package itemjob

import "time"

const (
	// confirmationTTL is how long after a confirmation by the store an owner may start items of a job. No item may reach a target more than
	// 3 s after the client ended the job, also if the message that reports the end to the owner is lost. The age counts from sending the call,
	// which was before the end. So the last item starts at most 2 s after the end, and connecting to a target may take 125 ms: 2.125 s in
	// total, which leaves 875 ms.
	confirmationTTL = 2 * time.Second
	// renewalAge is the age of a confirmation from which it is renewed while items are waiting.
	renewalAge = time.Second
)

// Confirm records that the store's response to a call sent at asOf showed that the job is open and that this instance owns it. Responses may
// arrive out of order; an older one has no effect.
func (j *Job) Confirm(asOf time.Time) {
	if asOf.After(j.confirmed) {
		j.confirmed = asOf
	}
}

// ConfirmedAt returns when the call was sent that last confirmed the job; zero if none did.
func (j *Job) ConfirmedAt() time.Time { return j.confirmed }

// IsConfirmed reports whether the last confirmation is recent enough to start items.
func (j *Job) IsConfirmed(now time.Time) bool { return j.confirmationAge(now) < confirmationTTL }

// confirmationAge returns the age of the last confirmation, by the monotonic or the wall clock, whichever shows more: the monotonic clock stops
// while the machine is suspended. If the wall clock is set forward, this only costs one more call to the store.
func (j *Job) confirmationAge(now time.Time) time.Duration {
	return max(now.Sub(j.confirmed), now.Round(0).Sub(j.confirmed.Round(0)))
}

// NeedsConfirmation reports whether items are waiting that may start soon, and the last confirmation has expired or will expire soon.
func (j *Job) NeedsConfirmation(now time.Time) bool {
	if j.confirmationAge(now) < renewalAge {
		return false
	}
	for _, t := range j.Tasks {
		if t.Phase == Waiting && t.NotBefore.Sub(now) < confirmationTTL {
			return true
		}
	}
	return false
}
