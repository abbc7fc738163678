package membership

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// outgoing returns a probe to a member, which must have a record.
func (d *Detector) outgoing(id fleet.InstanceID) Outgoing {
	r := d.records[id]
	return Outgoing{To: id, Address: r.member.PeerAddress, Probe: d.message(r, false)}
}

// ProbeOf returns a probe to a member that another instance asked for. It returns false if the member or its address is unknown.
func (d *Detector) ProbeOf(id fleet.InstanceID) (Outgoing, bool) {
	r, ok := d.records[id]
	if !ok || r.member.PeerAddress == "" {
		return Outgoing{}, false
	}
	return d.outgoing(id), true
}

// message returns a probe or acknowledgement for the member of r, which may be nil. In addition to queued updates it contains
//   - this instance's own record, if the receiver may not have it or if this instance is draining, so that no receiver treats a
//     draining sender as alive;
//   - the receiver's record if it is suspected or dead here, so that the receiver can refute that;
//   - with introduce, the records of random members for a receiver that has just started.
func (d *Detector) message(r *record, introduce bool) Probe {
	p := Probe{
		From:        d.self.ID,
		Incarnation: d.self.Incarnation,
		Generation:  d.self.Generation,
		InFlight:    d.self.InFlight,
	}
	var added []fleet.InstanceID
	if r == nil || r.selfDelivered != d.self.Incarnation || d.self.State == fleet.MemberDraining {
		p.Updates = append(p.Updates, d.selfUpdate())
		added = append(added, d.self.ID)
	}
	if r != nil && (r.member.State == fleet.MemberSuspect || r.member.State == fleet.MemberDead) {
		p.Updates = append(p.Updates, updateOf(r.member))
		added = append(added, r.member.ID)
	}
	limit := d.options.UpdatesPerMessage - len(p.Updates)
	members, targets := d.queue.nextUpdates(limit, d.options.retransmits(d.size()), added...)
	p.Updates = append(p.Updates, members...)
	p.Targets = targets
	if introduce {
		p.Updates = append(p.Updates, d.introduction(p.Updates)...)
	}
	return p
}

// introduction returns updates about random alive members, for an instance that has just started and may have no records of others.
// Members that are in already are left out.
func (d *Detector) introduction(already []Update) []Update {
	var updates []Update
	known := map[fleet.InstanceID]bool{}
	for _, u := range already {
		known[u.ID] = true
	}
	for _, id := range d.randomMembers(d.options.IntroductionUpdates, "") {
		if !known[id] {
			updates = append(updates, updateOf(d.records[id].member))
		}
	}
	return updates
}

func (d *Detector) selfUpdate() Update { return updateOf(d.self) }

// updateOf returns the update that describes a member. Addresses of suspected and dead members are omitted, since no instance opens a
// first connection to them.
func updateOf(m fleet.Member) Update {
	u := Update{ID: m.ID, State: m.State, Incarnation: m.Incarnation}
	if m.State == fleet.MemberAlive || m.State == fleet.MemberDraining {
		u.PeerAddress = m.PeerAddress
		u.CallerAddress = m.CallerAddress
		u.FailureDomain = m.FailureDomain
		u.HasDisk = m.HasDisk
	}
	return u
}

// HandleProbe applies a peer's probe and returns the acknowledgement to send. A probe whose sender is this instance itself is
// acknowledged but not applied. A sender that has no record here, because it was removed during a long absence, is reported to itself as suspected:
// its refutation contains its own record.
func (d *Detector) HandleProbe(now time.Time, p Probe) Probe {
	d.start(now)
	if p.From == d.self.ID {
		return Probe{From: d.self.ID, Incarnation: d.self.Incarnation, Generation: d.self.Generation}
	}
	before, known := d.records[p.From]
	isNew := !known || before.member.Incarnation < p.Incarnation
	d.merge(now, p)
	r := d.records[p.From]
	ack := d.message(r, isNew)
	if r != nil {
		r.selfDelivered = d.self.Incarnation
	} else {
		ack.Updates = append(ack.Updates, Update{ID: p.From, State: fleet.MemberSuspect, Incarnation: p.Incarnation})
	}
	return ack
}

// HandleAck applies the acknowledgement of a probe that was sent to from. It returns false and changes nothing if another instance
// responded at that address; treat the probe as failed then.
func (d *Detector) HandleAck(now time.Time, from fleet.InstanceID, ack Probe) bool {
	if ack.From != from || from == d.self.ID {
		return false
	}
	incarnation := d.self.Incarnation
	d.merge(now, ack)
	delete(d.indirect, from)
	if r, ok := d.records[from]; ok && incarnation == d.self.Incarnation {
		r.selfDelivered = incarnation
	}
	return true
}

// merge applies a message. The updates are applied before the sender's contact is recorded, because they hold its state if it is draining.
func (d *Detector) merge(now time.Time, p Probe) {
	for _, u := range p.Updates {
		d.apply(now, u, true)
	}
	for _, t := range p.Targets {
		if t.State == fleet.TargetLeaving {
			d.targetLeavingFromPeer(now, t.ID)
		}
	}
	d.recordContact(now, p)
}

// recordContact records a message received directly from a member. A higher incarnation proves that the sender is alive. At the same incarnation
// a suspected or dead sender must refute first, so that all instances agree on its state.
func (d *Detector) recordContact(now time.Time, p Probe) {
	r, ok := d.records[p.From]
	if !ok {
		return
	}
	if p.Incarnation > r.member.Incarnation {
		d.apply(now, Update{ID: p.From, State: fleet.MemberAlive, Incarnation: p.Incarnation}, true)
	}
	if p.Incarnation < r.member.Incarnation {
		return
	}
	r.lastContactAt = now
	r.member.Generation = p.Generation
	r.member.InFlight = p.InFlight
	if r.member.State == fleet.MemberDraining {
		r.suspectUntil = time.Time{}
	}
	d.recordGeneration(r.member)
}

func (d *Detector) recordGeneration(m fleet.Member) {
	if m.Generation <= d.self.Generation || m.Generation <= d.highestHinted {
		return
	}
	d.highestHinted = m.Generation
	d.events.Generation = &GenerationHint{Generation: m.Generation, Peer: m.ID, Address: m.PeerAddress}
}
