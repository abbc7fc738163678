package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// Detector is the failure detector of one instance: it holds the states of the other members and chooses the members to probe. It isn't safe for
// concurrent use.
type Detector struct {
	options Options
	rng     *rand.Rand
	self    fleet.Member
	records map[fleet.InstanceID]*record // without self
	notDead int                          // number of records whose state isn't dead
	queue   updateQueue
	leaving map[fleet.TargetID]leavingTarget

	selfListState ListState
	started       time.Time // time of the first call that passes one; zero before
	lastTick      time.Time
	lastProbe     time.Time
	lastDeadProbe time.Time
	order         []fleet.InstanceID // members left in the current round of probes
	deadOrder     []fleet.InstanceID // members left in the current round of probes of dead members
	indirect      map[fleet.InstanceID]*pendingIndirect
	highestHinted fleet.Generation // highest generation that a GenerationHint was created for
	events        Events
}

// record is the state of one other member.
type record struct {
	member           fleet.Member
	incarnationSince time.Time // when this incarnation was first reported
	changedAt        time.Time // last change of the state
	lastContactAt    time.Time // last message from the member itself; zero if there was none
	suspectUntil     time.Time // when a suspected member becomes dead; zero if not suspected
	listState        ListState
	selfDelivered    uint64 // incarnation under which this instance's own record was last delivered to the member
}

// leavingTarget is a target that was reported as leaving. returned is set when the target is gone or has restarted: reports from peers are
// then stale, and are ignored until the entry is removed.
type leavingTarget struct {
	since    time.Time
	returned bool
}

// pendingIndirect is the state of the indirect probes of one member.
type pendingIndirect struct {
	waiting int       // relays that haven't responded
	expires time.Time // when the missing responses count as failed
}

// New returns a detector for the instance self. self.Incarnation must be from fleet.NewIncarnation, so that a restarted instance
// overrides the records of its former process. rng makes the choice of probed members, relays and receivers.
func New(self fleet.Member, options Options, rng *rand.Rand) *Detector {
	self.State = fleet.MemberAlive
	d := &Detector{
		options:  options.withDefaults(),
		rng:      rng,
		self:     self,
		records:  map[fleet.InstanceID]*record{},
		queue:    newUpdateQueue(),
		leaving:  map[fleet.TargetID]leavingTarget{},
		indirect: map[fleet.InstanceID]*pendingIndirect{},
	}
	d.queue.addJoin(d.selfUpdate())
	return d
}

// SetSelf sets the bundle generation and the number of requests in flight that the next messages report for this instance.
func (d *Detector) SetSelf(generation fleet.Generation, inFlight int) {
	d.self.Generation = generation
	d.self.InFlight = inFlight
}

// Tick expires suspicions and old records, and returns the probes to send now: at most one regular probe per ProbeInterval, one probe of
// a dead member per DeadProbeInterval, and one of a draining member that neither direct nor indirect probes reached. Call it
// about once per ProbeInterval.
func (d *Detector) Tick(now time.Time) []Outgoing {
	d.start(now)
	d.extendAfterPause(now)
	d.lastTick = now
	d.expireIndirect(now)
	d.expireSuspicions(now)
	d.removeExpired(now)
	if now.Sub(d.lastProbe) < d.options.ProbeInterval*probeDuePercent/100 {
		return nil
	}
	d.lastProbe = now
	var out []Outgoing
	if id, ok := d.nextInRound(&d.order, probeable); ok {
		out = append(out, d.outgoing(id))
	}
	if id, ok := d.unconfirmedDraining(); ok {
		out = append(out, d.outgoing(id))
	}
	if now.Sub(d.lastDeadProbe) >= d.options.DeadProbeInterval {
		d.lastDeadProbe = now
		if id, ok := d.nextInRound(&d.deadOrder, deadButNotGone); ok {
			out = append(out, d.outgoing(id))
		}
	}
	return out
}

// Announce returns probes to up to SpreadFanout random alive members. Send them to spread a change that shouldn't wait for the next regular probe,
// such as a drain or a new bundle generation.
func (d *Detector) Announce() []Outgoing {
	var out []Outgoing
	for _, id := range d.randomMembers(d.options.SpreadFanout, "") {
		out = append(out, d.outgoing(id))
	}
	return out
}

// Drain marks this instance as draining, which is never undone, and returns the probes that spread this at once.
func (d *Detector) Drain(now time.Time) []Outgoing {
	d.start(now)
	if d.self.State != fleet.MemberDraining {
		d.self.State = fleet.MemberDraining
		d.queue.addMember(d.selfUpdate())
	}
	return d.Announce()
}

// DrainingSelf reports whether this instance is draining, because Drain was called or because the instance list shows it as leaving. The
// list counts only from ListLag after the start, because until then its entry may be about a former process.
func (d *Detector) DrainingSelf(now time.Time) bool {
	return d.self.State == fleet.MemberDraining || d.listedAsLeaving(d.selfListState, d.started, now)
}

// Self returns this instance's own record, in the state that it reports to others. The instance list has no effect on it: an instance that is
// only listed as leaving is alive here, while DrainingSelf and Members show it as draining.
func (d *Detector) Self() fleet.Member { return d.self }

// Members returns self and all other members that have a record, ordered by ID. Dead members are included until their record is removed.
func (d *Detector) Members(now time.Time) []fleet.Member {
	members := make([]fleet.Member, 0, len(d.records)+1)
	self := d.self
	if d.DrainingSelf(now) {
		self.State = fleet.MemberDraining
	}
	members = append(members, self)
	for _, r := range d.records {
		members = append(members, d.withListState(r, now))
	}
	slices.SortFunc(members, func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Member returns another member, or false if it has no record.
func (d *Detector) Member(id fleet.InstanceID, now time.Time) (fleet.Member, bool) {
	r, ok := d.records[id]
	if !ok {
		return fleet.Member{}, false
	}
	return d.withListState(r, now), true
}

func (d *Detector) withListState(r *record, now time.Time) fleet.Member {
	m := r.member
	if m.State < fleet.MemberDraining && d.listedAsLeaving(r.listState, r.incarnationSince, now) {
		m.State = fleet.MemberDraining
	}
	return m
}

// TakeEvents returns the events since the last call and clears them.
func (d *Detector) TakeEvents() Events {
	events := d.events
	d.events = Events{}
	return events
}

func (d *Detector) start(now time.Time) {
	if d.started.IsZero() {
		d.started = now
		d.lastTick = now
	}
}

// extendAfterPause extends the suspicion timeouts if this instance was paused, by the time since the last tick, because refutations may be
// waiting unread in its sockets. It also drops the pending indirect probes.
func (d *Detector) extendAfterPause(now time.Time) {
	gap := now.Sub(d.lastTick)
	if gap <= pauseIntervals*d.options.ProbeInterval {
		return
	}
	for _, r := range d.records {
		if !r.suspectUntil.IsZero() {
			r.suspectUntil = r.suspectUntil.Add(gap)
		}
	}
	clear(d.indirect)
}

// size returns the number of members that aren't dead, including self.
func (d *Detector) size() int { return 1 + d.notDead }

// countState updates the number of members that aren't dead. by is 1 for a state that was entered and -1 for one that was left.
func (d *Detector) countState(state fleet.MemberState, by int) {
	if state != fleet.MemberDead {
		d.notDead += by
	}
}
