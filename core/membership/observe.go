package membership

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// ObserveList takes in changes of the instance list. The list lags by up to ListLag, so it never overrides newer direct
// observation:
//   - live adds an unknown instance as alive with incarnation 0, which everything else overrides. It brings back no dead or
//     draining member, but a dead member that it lists is still probed at a low rate.
//   - leaving shows a member as draining once its incarnation has been known for longer than ListLag; before that the list may
//     speak of its former life. It is not spread, because every instance reads the list.
//   - gone removes nobody that answers; it ends the probing of a dead member and lets it be forgotten.
func (d *Detector) ObserveList(now time.Time, entries []ListEntry) {
	d.start(now)
	for _, e := range entries {
		if e.ID == d.self.ID {
			d.selfListState = e.State
			continue
		}
		d.observeEntry(now, e)
	}
}

func (d *Detector) observeEntry(now time.Time, e ListEntry) {
	r, ok := d.records[e.ID]
	if !ok {
		if e.State == ListGone {
			return
		}
		u := Update{ID: e.ID, State: fleet.MemberAlive, PeerAddress: e.PeerAddress, FailureDomain: e.FailureDomain}
		d.add(now, u, false)
		d.records[e.ID].listState = e.State
		return
	}
	r.listState = e.State
	if e.State == ListGone || e.PeerAddress == "" {
		return
	}
	// A member changes its address only by a restart. An incarnation heard of less than ListLag ago may be newer than the list.
	settled := now.Sub(r.incarnatedAt) > d.options.ListLag
	if r.member.PeerAddress == "" || settled {
		r.member.PeerAddress = e.PeerAddress
	}
	setIfZero(&r.member.FailureDomain, e.FailureDomain)
}

// listLeaves reports whether the list's word that an instance is leaving can be meant for its present life.
func (d *Detector) listLeaves(state ListState, incarnatedAt, now time.Time) bool {
	return state == ListLeaving && now.Sub(incarnatedAt) > d.options.ListLag
}

// ObserveStore takes in membership records from the store. They carry incarnations and override by the same rule as updates. A
// missing record says nothing: the store may be down, or the record's lease may have expired during an outage.
func (d *Detector) ObserveStore(now time.Time, records []fleet.Member) {
	d.start(now)
	for _, m := range records {
		if m.State != fleet.MemberAlive && m.State != fleet.MemberDraining {
			continue
		}
		d.apply(now, updateOf(m), false)
	}
}
