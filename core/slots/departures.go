package slots

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// Horizon says how far the list of targets was read from the store: every change that the store made before At has a revision of at most
// Revision. The zero value says nothing.
type Horizon struct {
	At       time.Time
	Revision int64
}

// Entry is a target as its entry in the store describes it.
type Entry struct {
	Target
	Revision int64 // of the entry's last change
}

const (
	// clockMargin is the assumed maximum difference between the clocks of this instance and of a target, plus the time from the placement of
	// a request to its sending.
	clockMargin = 2 * time.Second
	// maxUnlistedDepartures is the maximum number of marks of targets that are not in the view.
	maxUnlistedDepartures = 1024
)

// Reasons for which a departure ends.
const (
	registeredAnew     = "it registered anew"
	departureCancelled = "its entry is live again after it said that the target is leaving"
)

// EndedDeparture is the end of a mark that MarkLeaving made.
type EndedDeparture struct {
	ID       fleet.TargetID
	Reason   string
	Revision int64         // of the entry that ended it
	Lasted   time.Duration // since the last response that said that the target is leaving
}

// departure is the mark of a target that said in a response that it is leaving.
type departure struct {
	target  Target    // newest registration that may have sent the response
	sent    time.Time // when the request was placed that the response belongs to; zero if a peer reported it
	said    time.Time // when the response arrived
	read    bool      // the list was read since then; floor holds
	floor   int64     // changes with a higher revision were made after the response
	byEntry bool      // the entry, too, says or said that the target is leaving
}

// departures holds the marks, by target. A mark keeps all new requests from its target, whether or not the target is listed, and whatever its
// entry says. The entry may be older than the response, whose target says so before it changes the entry or cannot change it because it does not
// reach the store; some targets never do.
//
// A mark ends only by a change of the entry that was made after the response:
//   - the target was started again, or registered with another address or other properties; see isSameRegistration
//   - the entry is live again after it has said that the target is leaving: the departure was cancelled
//
// Rewrites of an entry that change nothing of this are no sign of a cancelled departure, since a target goes on with them until its entry
// says that it is leaving. Neither is the return of an entry whose lease expired, nor time that passes. A target that cancels a departure of
// which its entry never told therefore gets requests again when it registers anew.
//
// A change was made after the response if its revision is above the first Horizon that was read since then. Changes that arrive with that
// horizon may be older. Of these, only a start of the target counts that it states itself, by more than clockMargin after the request was sent:
// a process that started later cannot have received the request. Otherwise, times are compared on this instance's monotonic clock only.
type departures map[fleet.TargetID]*departure

// isSameRegistration reports whether two entries describe the same start of a target with the same properties. Its state may differ.
func isSameRegistration(a, b Target) bool {
	a.State, b.State = "", ""
	return a == b
}

// startedAfter reports whether t states a start that is later than the one of other and by more than clockMargin later than sent.
func (t Target) startedAfter(other Target, sent time.Time) bool {
	return t.Started > other.Started && time.UnixMilli(t.Started).After(sent.Add(clockMargin))
}

// MarkLeaving records that a target said that it is leaving, in a response that arrived at now. sentTo is the target as it was listed when the
// request was placed, at sent. The target gets no new requests until ApplyEntries reports the end of the departure. It returns false if the
// target had been marked before, or was started again since the request was sent.
func (v *View) MarkLeaving(sentTo Target, sent, now time.Time) bool {
	registration, byEntry := sentTo, false
	known, marked := v.departures[sentTo.ID]
	if marked {
		registration, byEntry = known.target, known.byEntry
	}
	if t, ok := v.targets[sentTo.ID]; ok {
		registration = t.Target
	}
	if registration.startedAfter(sentTo, sent) {
		return false
	}
	byEntry = byEntry || registration.State == fleet.TargetLeaving
	v.departures[sentTo.ID] = &departure{target: registration, sent: sent, said: now, byEntry: byEntry}
	v.boundDepartures()
	return !marked
}

// MarkLeavingFromPeer records that a target is leaving as a peer knows. It does nothing, and returns false, if the target is marked already or this
// instance knows another registration of it.
func (v *View) MarkLeavingFromPeer(t Target, now time.Time) bool {
	known, listed := v.targets[t.ID]
	if v.isLeavingMarked(t.ID) || listed && !isSameRegistration(known.Target, t) {
		return false
	}
	// The peer names the registration that is leaving: any later start of the target ends the mark, whenever that was.
	return v.MarkLeaving(t, time.Time{}, now)
}

// boundDepartures drops the oldest marks of targets that are not in the view, if there are too many.
func (v *View) boundDepartures() {
	if len(v.departures) <= len(v.targets)+maxUnlistedDepartures {
		return
	}
	var oldest fleet.TargetID
	for id, d := range v.departures {
		if _, listed := v.targets[id]; !listed && (oldest == "" || d.said.Before(v.departures[oldest].said)) {
			oldest = id
		}
	}
	delete(v.departures, oldest)
}

func (v *View) isLeavingMarked(id fleet.TargetID) bool {
	_, marked := v.departures[id]
	return marked
}

// Departing returns the marked targets that are listed, in no particular order.
func (v *View) Departing() []Target {
	var list []Target
	for id := range v.departures {
		if t, ok := v.targets[id]; ok {
			list = append(list, t.Target)
		}
	}
	return list
}

// ApplyEntries records entries read from the store up to a horizon, and returns the departures that they end. Entries of a target must come in
// the order of their revisions.
func (v *View) ApplyEntries(entries []Entry, horizon Horizon, now time.Time) []EndedDeparture {
	for _, d := range v.departures {
		if !d.read && horizon.At.After(d.said) {
			d.read, d.floor = true, horizon.Revision
		}
	}
	var ended []EndedDeparture
	for _, e := range entries {
		if t, ok := v.targets[e.ID]; ok {
			t.entryRevision, t.entryReadAt = e.Revision, now
		}
		d, marked := v.departures[e.ID]
		if !marked {
			continue
		}
		if reason := d.apply(e); reason != "" {
			delete(v.departures, e.ID)
			ended = append(ended, EndedDeparture{ID: e.ID, Reason: reason, Revision: e.Revision, Lasted: now.Sub(d.said)})
		}
	}
	return ended
}

// apply returns the reason for which an entry ends the departure, or "".
func (d *departure) apply(e Entry) string {
	later := d.read && e.Revision > d.floor
	same := isSameRegistration(e.Target, d.target)
	switch {
	case !same && (later || e.startedAfter(d.target, d.sent)):
		return registeredAnew
	case later && d.byEntry && e.State == fleet.TargetLive:
		return departureCancelled
	}
	d.target = e.Target
	d.byEntry = d.byEntry || e.State == fleet.TargetLeaving
	return ""
}

// AwaitsHorizon reports whether a listed target was marked longer than d ago and the list was not read since then.
func (v *View) AwaitsHorizon(d time.Duration, now time.Time) bool {
	for id, mark := range v.departures {
		if _, listed := v.targets[id]; listed && !mark.read && now.Sub(mark.said) > d {
			return true
		}
	}
	return false
}

// EntryAge returns the time since the entry of a target was read, and the revision of the entry; false if it was not read yet or the target is
// not in the view.
func (v *View) EntryAge(id fleet.TargetID, now time.Time) (age time.Duration, revision int64, ok bool) {
	t, listed := v.targets[id]
	if !listed || t.entryRevision == 0 {
		return 0, 0, false
	}
	return now.Sub(t.entryReadAt), t.entryRevision, true
}
