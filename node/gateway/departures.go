package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/core/slots"
)

// markLeaving keeps new requests from the target of a reservation, whose response to the request has just said that it is leaving, until
// its entry shows that it stays; see slots.View.MarkLeaving. It reports whether the target was not marked before.
func (b *Board) markLeaving(reservation *Reservation, r *Request, status int) bool {
	id, now := reservation.Target.ID, time.Now()
	b.mu.Lock()
	began := b.view.MarkLeaving(reservation.Target, reservation.placed, now)
	age, revision, listed := b.view.EntryAge(id, now)
	if began {
		b.wakeWaiters()
	}
	b.mu.Unlock()
	if began {
		klog.InfoS("Target says that it is leaving", "target", id, "request", r.ID, "job", r.Job, "status", status, "listed", listed,
			"entry_age_ms", age.Milliseconds(), "revision", revision)
	}
	return began
}

// ApplyEntries records entries that were read from the store up to a horizon. Those of targets that are marked as leaving may end the mark.
func (b *Board) ApplyEntries(entries []slots.Entry, horizon slots.Horizon) {
	b.mu.Lock()
	ended := b.view.ApplyEntries(entries, horizon, time.Now())
	if ended != nil {
		b.wakeWaiters()
	}
	b.mu.Unlock()
	for _, e := range ended {
		klog.InfoS("Target is no longer leaving", "target", e.ID, "reason", e.Reason, "revision", e.Revision, "lasted_ms", e.Lasted.Milliseconds())
	}
}

// Departing returns the listed targets that have said in a response, to this instance or to a peer that sent MarkDeparting, that they are leaving.
func (b *Board) Departing() []slots.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Departing()
}

// MarkDeparting keeps new requests from targets that are leaving as a peer knows, like a response of these targets.
func (b *Board) MarkDeparting(targets []slots.Target, peer string) {
	for _, t := range targets {
		b.mu.Lock()
		began := b.view.MarkLeavingFromPeer(t, time.Now())
		b.wakeWaiters()
		b.mu.Unlock()
		if began {
			klog.InfoS("Target is leaving, as a peer says", "target", t.ID, "peer", peer)
		}
	}
}

// horizonDelay is the time after which an instance that does not watch the store reads a peer's copy of the target list because of a target that
// said that it is leaving. The copy must be younger than the response to tell which changes are. Most often it is read before because the entry
// changes too.
const horizonDelay = 3 * time.Second

// awaitsHorizon reports whether a target was marked as leaving and the target list was not read since then, for longer than horizonDelay.
func (b *Board) awaitsHorizon() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.AwaitsHorizon(horizonDelay, time.Now())
}
