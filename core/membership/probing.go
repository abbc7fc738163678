package membership

import (
	"cmp"
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// HandleProbeFailed records that a probe to id was not acknowledged in time, and returns the indirect probes to request. Without relays id
// becomes suspected at once. It has no effect while this instance counts as paused, for a dead member, or while indirect probes are
// pending.
func (d *Detector) HandleProbeFailed(now time.Time, id fleet.InstanceID) []IndirectRequest {
	r, ok := d.records[id]
	if !ok || r.member.State == fleet.MemberDead || d.paused(now) {
		return nil
	}
	if _, pending := d.indirect[id]; pending {
		return nil
	}
	relays := d.randomMembers(d.options.IndirectProbes, id)
	if len(relays) == 0 {
		d.suspect(now, r)
		return nil
	}
	d.indirect[id] = &pendingIndirect{waiting: len(relays), expires: now.Add(d.options.IndirectTimeout)}
	requests := make([]IndirectRequest, 0, len(relays))
	for _, relay := range relays {
		requests = append(requests, IndirectRequest{
			Relay:          relay,
			RelayAddress:   d.records[relay].member.PeerAddress,
			Subject:        id,
			SubjectAddress: r.member.PeerAddress,
		})
	}
	return requests
}

// HandleIndirectResult records whether one relay reached subject. If all relays failed, subject becomes suspected. incarnation is the one
// that subject reported to the relay, 0 if the relay doesn't have it.
func (d *Detector) HandleIndirectResult(now time.Time, subject fleet.InstanceID, reached bool, incarnation uint64) {
	r, ok := d.records[subject]
	pending, waiting := d.indirect[subject]
	if !ok || !waiting {
		return
	}
	if reached {
		delete(d.indirect, subject)
		d.reachedIndirectly(now, r, incarnation)
		return
	}
	pending.waiting--
	if pending.waiting > 0 {
		return
	}
	delete(d.indirect, subject)
	if !d.paused(now) {
		d.suspect(now, r)
	}
}

func (d *Detector) reachedIndirectly(now time.Time, r *record, incarnation uint64) {
	if incarnation >= r.member.Incarnation && r.member.State == fleet.MemberDraining {
		r.suspectUntil = time.Time{}
	}
	if incarnation > r.member.Incarnation && r.member.State != fleet.MemberDraining {
		d.apply(now, Update{ID: r.member.ID, State: fleet.MemberAlive, Incarnation: incarnation}, true)
	}
}

// suspect makes a member suspected. A draining member keeps its state, which overrides a suspicion; only the suspicion
// timeout starts, and contact with the member ends it.
func (d *Detector) suspect(now time.Time, r *record) {
	switch r.member.State {
	case fleet.MemberAlive:
		d.apply(now, Update{ID: r.member.ID, State: fleet.MemberSuspect, Incarnation: r.member.Incarnation}, true)
	case fleet.MemberDraining:
		if r.suspectUntil.IsZero() {
			r.suspectUntil = now.Add(d.options.suspicionTimeout(d.size()))
		}
	}
}

// paused reports whether the last tick is so long ago that a failed probe may be due to a pause of this instance instead of its peer.
func (d *Detector) paused(now time.Time) bool {
	return now.Sub(d.lastTick) > pauseIntervals*d.options.ProbeInterval
}

func (d *Detector) expireIndirect(now time.Time) {
	for _, id := range sortedKeys(d.indirect) {
		if now.Before(d.indirect[id].expires) {
			continue
		}
		delete(d.indirect, id)
		if r, ok := d.records[id]; ok {
			d.suspect(now, r)
		}
	}
}

func (d *Detector) expireSuspicions(now time.Time) {
	for _, id := range d.matching(func(r *record) bool { return !r.suspectUntil.IsZero() && !now.Before(r.suspectUntil) }) {
		d.apply(now, Update{ID: id, State: fleet.MemberDead, Incarnation: d.records[id].member.Incarnation}, true)
	}
}

// removeExpired removes the records of dead members after DeadRetention, except those that the instance list still contains: they are probed until
// the list drops them, because the members of a partitioned region look dead. Leaving targets are removed after the same time.
func (d *Detector) removeExpired(now time.Time) {
	for id, r := range d.records {
		expired := r.member.State == fleet.MemberDead && now.Sub(r.changedAt) > d.options.DeadRetention
		if expired && r.listState != ListLive && r.listState != ListLeaving {
			delete(d.records, id)
		}
	}
	for id, known := range d.leaving {
		if now.Sub(known.since) > d.options.DeadRetention {
			delete(d.leaving, id)
		}
	}
}

// probeable reports whether a member is probed in the regular rounds.
func probeable(r *record) bool {
	return r.member.State != fleet.MemberDead && r.member.PeerAddress != ""
}

// deadButNotGone reports whether a dead member is still probed because the instance list doesn't show it as gone.
func deadButNotGone(r *record) bool {
	return r.member.State == fleet.MemberDead && r.member.PeerAddress != "" && r.listState != ListGone
}

// nextInRound returns the next eligible member of a round in random order. After the last one it starts a new round. It returns false if no
// member is eligible.
func (d *Detector) nextInRound(order *[]fleet.InstanceID, eligible func(*record) bool) (fleet.InstanceID, bool) {
	for range 2 {
		for len(*order) > 0 {
			id := (*order)[0]
			*order = (*order)[1:]
			if r, ok := d.records[id]; ok && eligible(r) {
				return id, true
			}
		}
		*order = d.shuffled(eligible)
	}
	return "", false
}

// insertInRound places a new member at a random position of the current round, as in the SWIM paper.
func (d *Detector) insertInRound(id fleet.InstanceID) {
	if len(d.order) == 0 || slices.Contains(d.order, id) {
		return
	}
	d.order = slices.Insert(d.order, d.rng.IntN(len(d.order)+1), id)
}

// unconfirmedDraining returns a draining member whose suspicion timeout runs, or false if there is none.
func (d *Detector) unconfirmedDraining() (fleet.InstanceID, bool) {
	ids := d.matching(func(r *record) bool {
		return r.member.State == fleet.MemberDraining && !r.suspectUntil.IsZero() && probeable(r)
	})
	if len(ids) == 0 {
		return "", false
	}
	return ids[0], true
}

// randomMembers returns up to k random alive members with a peer address, without except.
func (d *Detector) randomMembers(k int, except fleet.InstanceID) []fleet.InstanceID {
	ids := d.shuffled(func(r *record) bool {
		return r.member.State == fleet.MemberAlive && r.member.PeerAddress != "" && r.member.ID != except
	})
	return ids[:min(k, len(ids))]
}

func (d *Detector) shuffled(eligible func(*record) bool) []fleet.InstanceID {
	ids := d.matching(eligible)
	d.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// matching returns the IDs of the members that match, in ascending order, so that runs with the same seed are identical.
func (d *Detector) matching(match func(*record) bool) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for id, r := range d.records {
		if match(r) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
