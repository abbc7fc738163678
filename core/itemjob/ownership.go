package itemjob

import "time"

const (
	// confirmedFor is how long an answer of the store lets an owner start items of a job. No item may reach a target later than 3 s after its
	// job was ended, the notice of the end may be lost, and connecting to a target may take an eighth of a second.
	confirmedFor = 2 * time.Second
	// renewAfter is the age of that answer from which the store is asked again while items wait.
	renewAfter = time.Second
)

// Confirm notes that the store's answer to a call sent at asOf showed that the job is open and its owner's.
func (j *Job) Confirm(asOf time.Time) {
	if asOf.After(j.confirmed) {
		j.confirmed = asOf
	}
}

// ConfirmedAt returns as of when the owner knows that the job is open and its own.
func (j *Job) ConfirmedAt() time.Time { return j.confirmed }

// IsConfirmed tells whether the owner's knowledge of the job is new enough to start items.
func (j *Job) IsConfirmed(now time.Time) bool { return j.confirmedAgo(now) < confirmedFor }

// confirmedAgo returns the age of the owner's knowledge. The wall clock counts as well, since the monotonic one stands still while a machine is
// suspended; one that was set forward costs a call.
func (j *Job) confirmedAgo(now time.Time) time.Duration {
	return max(now.Sub(j.confirmed), now.Round(0).Sub(j.confirmed.Round(0)))
}

// NeedsConfirmation tells whether items wait that may not start now or soon without a further answer of the store.
func (j *Job) NeedsConfirmation(now time.Time) bool {
	if j.confirmedAgo(now) < renewAfter {
		return false
	}
	for _, t := range j.Tasks {
		if t.Phase == Waiting {
			return true
		}
	}
	return false
}
