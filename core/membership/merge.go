package membership

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// overrides reports whether an update replaces what is known: a higher incarnation always does, an equal one if its state is
// later in the order alive, suspect, draining, dead.
func overrides(u Update, known fleet.Member) bool {
	if u.Incarnation != known.Incarnation {
		return u.Incarnation > known.Incarnation
	}
	return u.State > known.State
}

// apply takes in one update and, if it is news and spread is set, queues it for the others.
func (d *Detector) apply(now time.Time, u Update, spread bool) {
	if u.ID == d.self.ID {
		d.refute(u)
		return
	}
	r, ok := d.records[u.ID]
	if !ok {
		d.add(now, u, spread)
		return
	}
	if !overrides(u, r.member) {
		fillAddresses(&r.member, u)
		return
	}
	join := r.member.Incarnation == 0 && u.State == fleet.MemberAlive
	d.set(now, r, u)
	d.spread(r.member, spread, join)
}

func (d *Detector) spread(m fleet.Member, spread, join bool) {
	switch {
	case !spread:
	case join:
		d.queue.addJoin(updateOf(m))
	default:
		d.queue.addMember(updateOf(m))
	}
}

// maxIncarnation is above every incarnation that a clock gives. Refuting a higher claim would overflow the 63 bits that travel.
const maxIncarnation = 1 << 62

// refute raises this instance's incarnation above a claim that it is suspected, dead or of another life, and spreads that.
// Incarnations are unix milliseconds at start, so that the next life of this instance still starts higher.
func (d *Detector) refute(u Update) {
	stale := u.Incarnation < d.self.Incarnation
	agrees := u.Incarnation == d.self.Incarnation && u.State <= d.self.State && u.State != fleet.MemberSuspect
	if stale || agrees || u.Incarnation >= maxIncarnation {
		return
	}
	d.self.Incarnation = u.Incarnation + 1
	d.queue.addMember(d.selfUpdate())
}

// add creates a record. A dead member is remembered too, so that a stale update cannot bring it in as alive.
func (d *Detector) add(now time.Time, u Update, spread bool) {
	r := &record{member: fleet.Member{ID: u.ID}, incarnatedAt: now, changedAt: now}
	d.records[u.ID] = r
	fillAddresses(&r.member, u)
	r.member.Incarnation = u.Incarnation
	r.member.State = u.State
	d.countPart(u.State, 1)
	d.startSuspicion(now, r)
	d.insertInRound(u.ID)
	d.noteChange(Change{ID: u.ID, Incarnation: u.Incarnation, To: u.State})
	d.spread(r.member, spread, u.State == fleet.MemberAlive)
}

// set replaces state, incarnation and the addresses that the update carries.
func (d *Detector) set(now time.Time, r *record, u Update) {
	from := r.member.State
	if u.Incarnation > r.member.Incarnation {
		r.incarnatedAt = now
		r.told = 0
		replaceAddresses(&r.member, u)
	}
	fillAddresses(&r.member, u)
	r.member.Incarnation = u.Incarnation
	r.member.State = u.State
	d.countPart(from, -1)
	d.countPart(u.State, 1)
	r.suspectUntil = time.Time{}
	d.startSuspicion(now, r)
	if from == u.State {
		return
	}
	r.changedAt = now
	delete(d.indirect, u.ID)
	if from == fleet.MemberDead {
		d.insertInRound(u.ID)
	}
	d.noteChange(Change{ID: u.ID, Incarnation: u.Incarnation, From: from, To: u.State, Known: true})
}

func (d *Detector) startSuspicion(now time.Time, r *record) {
	if r.member.State == fleet.MemberSuspect {
		r.suspectUntil = now.Add(d.options.suspicionTimeout(d.size()))
	}
}

func (d *Detector) noteChange(c Change) {
	if len(d.events.Changes) < maxPendingChanges {
		d.events.Changes = append(d.events.Changes, c)
	}
}

// replaceAddresses takes the addresses of a new life.
func replaceAddresses(m *fleet.Member, u Update) {
	if u.PeerAddress != "" {
		m.PeerAddress = u.PeerAddress
		m.HasDisk = u.HasDisk
	}
	if u.CallerAddress != "" {
		m.CallerAddress = u.CallerAddress
	}
	if u.FailureDomain != "" {
		m.FailureDomain = u.FailureDomain
	}
}

// fillAddresses completes what is unknown. An update of an older life does not qualify.
func fillAddresses(m *fleet.Member, u Update) {
	if u.Incarnation < m.Incarnation {
		return
	}
	setIfZero(&m.PeerAddress, u.PeerAddress)
	setIfZero(&m.CallerAddress, u.CallerAddress)
	m.HasDisk = m.HasDisk || u.HasDisk
	setIfZero(&m.FailureDomain, u.FailureDomain)
}

func setIfZero[T ~string](field *T, value T) {
	if *field == "" {
		*field = value
	}
}

// TargetLeaving tells the detector that this instance learned, from a 503 or from the list, that a target is leaving, so that
// the peers hear of it.
func (d *Detector) TargetLeaving(now time.Time, id fleet.TargetID) {
	if known, ok := d.leaving[id]; ok && !known.over {
		return
	}
	d.spreadLeaving(now, id)
}

// targetLeavingFromPeer ignores what is known or was known before the target's present life.
func (d *Detector) targetLeavingFromPeer(now time.Time, id fleet.TargetID) {
	if _, known := d.leaving[id]; known {
		return
	}
	d.spreadLeaving(now, id)
}

func (d *Detector) spreadLeaving(now time.Time, id fleet.TargetID) {
	d.leaving[id] = leavingTarget{since: now}
	u := TargetUpdate{ID: id, State: fleet.TargetLeaving}
	d.queue.addTarget(u)
	d.events.Targets = append(d.events.Targets, u)
}

// TargetReturned tells the detector that a target is gone or started a new life under its ID. Updates of peers that still call
// it leaving are ignored for DeadRetention; until then only this instance's own observation marks it leaving again.
func (d *Detector) TargetReturned(now time.Time, id fleet.TargetID) {
	if _, known := d.leaving[id]; known {
		d.leaving[id] = leavingTarget{since: now, over: true}
	}
	d.queue.dropTarget(id)
}

// TargetIsLeaving reports whether the target is known to be leaving, also if the instance list does not show the target yet.
func (d *Detector) TargetIsLeaving(id fleet.TargetID) bool {
	known, ok := d.leaving[id]
	return ok && !known.over
}
