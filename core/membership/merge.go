package membership

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// overrides reports whether an update replaces the recorded state: one of a higher incarnation does, and one of an equal incarnation
// if its state is later in the order alive, suspect, draining, dead.
func overrides(u Update, known fleet.Member) bool {
	if u.Incarnation != known.Incarnation {
		return u.Incarnation > known.Incarnation
	}
	return u.State > known.State
}

// apply merges an update into the records. If the update changes a record and spread is set, it is queued for the other members.
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
	d.updateRecord(now, r, u)
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

// maxIncarnation is above every incarnation that is derived from a clock. Refuting a higher one could overflow the 63 bits that messages
// hold.
const maxIncarnation = 1 << 62

// refute handles an update about this instance. If the update suspects the instance, overrides its state or has a higher incarnation,
// refute sets the instance's incarnation above that of the update and spreads it. Incarnations start at a time in milliseconds, so that the next
// process of this instance still starts with a higher one.
func (d *Detector) refute(u Update) {
	stale := u.Incarnation < d.self.Incarnation
	agrees := u.Incarnation == d.self.Incarnation && u.State <= d.self.State && u.State != fleet.MemberSuspect
	if stale || agrees || u.Incarnation >= maxIncarnation {
		return
	}
	d.self.Incarnation = u.Incarnation + 1
	d.queue.addMember(d.selfUpdate())
}

// add creates a record from an update. A dead member gets a record too, so that a stale update can't add it as alive.
func (d *Detector) add(now time.Time, u Update, spread bool) {
	r := &record{member: fleet.Member{ID: u.ID}, incarnationSince: now, changedAt: now}
	d.records[u.ID] = r
	fillAddresses(&r.member, u)
	r.member.Incarnation = u.Incarnation
	r.member.State = u.State
	d.countState(u.State, 1)
	d.startSuspicion(now, r)
	d.insertInRound(u.ID)
	d.recordChange(Change{ID: u.ID, Incarnation: u.Incarnation, To: u.State})
	d.spread(r.member, spread, u.State == fleet.MemberAlive)
}

// updateRecord replaces the state and incarnation of a record by those of an update. Addresses in the update replace the recorded ones only if its
// incarnation is higher; otherwise they fill empty ones.
func (d *Detector) updateRecord(now time.Time, r *record, u Update) {
	from := r.member.State
	if u.Incarnation > r.member.Incarnation {
		r.incarnationSince = now
		r.selfDelivered = 0
		replaceAddresses(&r.member, u)
	}
	fillAddresses(&r.member, u)
	r.member.Incarnation = u.Incarnation
	r.member.State = u.State
	d.countState(from, -1)
	d.countState(u.State, 1)
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
	d.recordChange(Change{ID: u.ID, Incarnation: u.Incarnation, From: from, To: u.State, Known: true})
}

func (d *Detector) startSuspicion(now time.Time, r *record) {
	if r.member.State == fleet.MemberSuspect {
		r.suspectUntil = now.Add(d.options.suspicionTimeout(d.size()))
	}
}

func (d *Detector) recordChange(c Change) {
	if len(d.events.Changes) < maxPendingChanges {
		d.events.Changes = append(d.events.Changes, c)
	}
}

// replaceAddresses replaces the addresses by those of a new process, where the update has them.
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

// fillAddresses sets the fields that are empty from an update. It ignores an update of a lower incarnation.
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

// TargetLeaving records that this instance found out, from a 503 response or from the instance list, that a target is leaving, and
// spreads this to the peers.
func (d *Detector) TargetLeaving(now time.Time, id fleet.TargetID) {
	if known, ok := d.leaving[id]; ok && !known.returned {
		return
	}
	d.spreadLeaving(now, id)
}

// targetLeavingFromPeer records a peer's report that a target is leaving. It ignores repeated reports, and reports about a target that
// has returned since.
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
	d.events.LeavingTargets = append(d.events.LeavingTargets, u)
}

// TargetReturned records that a target is gone or has restarted under the same ID. For DeadRetention, peers' reports that it is leaving
// are ignored as stale, and only TargetLeaving marks it as leaving again.
func (d *Detector) TargetReturned(now time.Time, id fleet.TargetID) {
	if _, known := d.leaving[id]; known {
		d.leaving[id] = leavingTarget{since: now, returned: true}
	}
	d.queue.dropTarget(id)
}

// TargetIsLeaving reports whether the target was reported as leaving. The instance list need not contain the target yet.
func (d *Detector) TargetIsLeaving(id fleet.TargetID) bool {
	known, ok := d.leaving[id]
	return ok && !known.returned
}
