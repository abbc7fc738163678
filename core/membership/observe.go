package membership

import (
	"time"

	"eelgrassproxy.example/core/fleet"
)

// ObserveList applies changes of the instance list. The list lags by up to ListLag, so it never overrides newer direct
// observation:
//   - Any state except ListGone adds an unknown instance as alive with incarnation 0, which any other update overrides. An instance
//     added in the state ListLeaving then appears as draining under the rule below.
//   - ListLive doesn't make a dead or draining member alive again, but a dead member that is listed is still probed every
//     DeadProbeInterval or less often.
//   - ListLeaving makes a member appear as draining once its incarnation has been known for longer than ListLag; before that the
//     entry may be about its former process. This isn't spread to others, because every instance reads the list.
//   - ListGone doesn't remove a member that responds. It ends the probes of a dead member and allows its record to be removed.
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
	// A member's address changes only when it restarts. An incarnation first reported less than ListLag ago may be newer than the list.
	settled := now.Sub(r.incarnationSince) > d.options.ListLag
	if r.member.PeerAddress == "" || settled {
		r.member.PeerAddress = e.PeerAddress
	}
	setIfZero(&r.member.FailureDomain, e.FailureDomain)
}

// listedAsLeaving reports whether the list shows an instance as leaving and its incarnation is old enough that this is about the present
// process.
func (d *Detector) listedAsLeaving(state ListState, incarnationSince, now time.Time) bool {
	return state == ListLeaving && now.Sub(incarnationSince) > d.options.ListLag
}

// ObserveStore applies membership records from the store. They have incarnations and follow the same rule as updates. A missing record
// has no meaning: the store may be unavailable, or the record's lease may have expired during an outage.
func (d *Detector) ObserveStore(now time.Time, records []fleet.Member) {
	d.start(now)
	for _, m := range records {
		if m.State != fleet.MemberAlive && m.State != fleet.MemberDraining {
			continue
		}
		d.apply(now, updateOf(m), false)
	}
}
