package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// Detector is one instance's view of the others. It is not safe for concurrent use.
type Detector struct {
	options Options
	rng     *rand.Rand
	self    fleet.Member
	records map[fleet.InstanceID]*record // without self
	taking  int                          // records that are not dead
	queue   updateQueue
	leaving map[fleet.TargetID]leavingTarget

	selfListState ListState
	started       time.Time // first call with a time; zero before
	lastTick      time.Time
	lastProbe     time.Time
	lastDeadProbe time.Time
	order         []fleet.InstanceID // rest of the current round of probes
	deadOrder     []fleet.InstanceID // rest of the current round of probes of dead members
	indirect      map[fleet.InstanceID]*pendingIndirect
	highest       fleet.Generation // highest generation for which a hint was given
	events        Events
}

// record is what is known of one other member.
type record struct {
	member       fleet.Member
	incarnatedAt time.Time // when this incarnation was first heard of
	changedAt    time.Time // last change of the state
	heardAt      time.Time // last direct contact; zero if never
	suspectUntil time.Time // when suspicion turns into death; zero if not suspected
	listState    ListState
	told         uint64 // own incarnation that this member is known to have received with addresses
}

// leavingTarget is a target known to be leaving. over is set when a new life of the target was seen: updates from peers are then
// stale and ignored until the entry is forgotten.
type leavingTarget struct {
	since time.Time
	over  bool
}

// pendingIndirect counts the relays whose answer is missing.
type pendingIndirect struct {
	waiting int
	expires time.Time
}

// New returns a detector for self. self.Incarnation must be the start time in unix milliseconds, so that a restarted instance
// overrides what is known of its former life.
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

// SetSelf sets what the next probes say of this instance.
func (d *Detector) SetSelf(generation fleet.Generation, inFlight int) {
	d.self.Generation = generation
	d.self.InFlight = inFlight
}

// Tick advances suspicion and returns the probes to send now: at most one regular probe per ProbeInterval, one probe of a dead
// member per DeadProbeInterval, and one that checks a draining member which seems lost.
func (d *Detector) Tick(now time.Time) []Outgoing {
	d.start(now)
	d.forgivePause(now)
	d.lastTick = now
	d.expireIndirect(now)
	d.expireSuspicions(now)
	d.forget(now)
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
		if id, ok := d.nextInRound(&d.deadOrder, worthReviving); ok {
			out = append(out, d.outgoing(id))
		}
	}
	return out
}

// Announce returns probes to several random members for news that should not wait for the next probe, such as a drain or a new
// bundle generation.
func (d *Detector) Announce() []Outgoing {
	var out []Outgoing
	for _, id := range d.randomMembers(d.options.SpreadFanout, "") {
		out = append(out, d.outgoing(id))
	}
	return out
}

// Drain marks this instance draining, for the rest of its life, and returns the probes that spread this at once.
func (d *Detector) Drain(now time.Time) []Outgoing {
	d.start(now)
	if d.self.State != fleet.MemberDraining {
		d.self.State = fleet.MemberDraining
		d.queue.addMember(d.selfUpdate())
	}
	return d.Announce()
}

// DrainingSelf reports whether this instance is leaving, by its own decision or because the instance list says so. now decides
// whether the list may still speak of a former life.
func (d *Detector) DrainingSelf(now time.Time) bool {
	return d.self.State == fleet.MemberDraining || d.listLeaves(d.selfListState, d.started, now)
}

// Self returns this instance's own record.
func (d *Detector) Self() fleet.Member { return d.self }

// Members returns every remembered member with self, ordered by ID. Dead members are included while they are remembered.
func (d *Detector) Members(now time.Time) []fleet.Member {
	members := make([]fleet.Member, 0, len(d.records)+1)
	self := d.self
	if d.DrainingSelf(now) {
		self.State = fleet.MemberDraining
	}
	members = append(members, self)
	for _, r := range d.records {
		members = append(members, d.shown(r, now))
	}
	slices.SortFunc(members, func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Member returns one other remembered member.
func (d *Detector) Member(id fleet.InstanceID, now time.Time) (fleet.Member, bool) {
	r, ok := d.records[id]
	if !ok {
		return fleet.Member{}, false
	}
	return d.shown(r, now), true
}

func (d *Detector) shown(r *record, now time.Time) fleet.Member {
	m := r.member
	if m.State < fleet.MemberDraining && d.listLeaves(r.listState, r.incarnatedAt, now) {
		m.State = fleet.MemberDraining
	}
	return m
}

// TakeEvents returns and clears what happened since the last call.
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

// forgivePause moves the deadlines by the time for which this instance did not run: refutations may wait in its sockets.
func (d *Detector) forgivePause(now time.Time) {
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

// size counts the members that take part, self included.
func (d *Detector) size() int { return 1 + d.taking }

// countPart keeps taking up to date when a member's state changes.
func (d *Detector) countPart(state fleet.MemberState, by int) {
	if state != fleet.MemberDead {
		d.taking += by
	}
}
