// Package slots selects the target for a request from the number of requests that each target holds. Each instance counts its own
// requests per target and sends the counts to its peers, so that the views of all instances agree within a few milliseconds.
//
// A slot is the capacity of a target to run one request; Target.Slots is the number of requests that the target runs at the same time. A
// burst is a group of online requests that arrive almost at once. The first event is the first event of a streamed response, and an
// objective is the time by which the route's service level objective wants it.
//
// The package is designed for targets that admit requests in order of arrival. Online requests come in bursts that need nearly all slots. Batch
// items, which hold a slot for seconds, use the remaining slots and are ended when an online burst needs them.
package slots

import (
	"cmp"
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/core/membership"
)

// Count is the number of requests of an instance at a target, by whether they yield their slot to online requests.
type Count struct {
	Online    int // requests with a caller waiting
	Firm      int // batch items that do not yield because their due time is too close
	Yieldable int // batch items that are ended when an online request needs their slot
}

// Total returns the number of requests of all kinds.
func (c Count) Total() int { return c.Online + c.Firm + c.Yieldable }

func (c Count) plus(other Count) Count {
	return Count{Online: c.Online + other.Online, Firm: c.Firm + other.Firm, Yieldable: c.Yieldable + other.Yieldable}
}

func (c Count) minus(other Count) Count {
	return Count{Online: c.Online - other.Online, Firm: c.Firm - other.Firm, Yieldable: c.Yieldable - other.Yieldable}
}

// Target is a fleet target with its number of slots.
type Target struct {
	fleet.Target
	Slots int
	// Started is when the target's process started, by its own clock, in milliseconds since 1970; 0 if it does not say so. Version is the version
	// of its software. They tell its registrations apart and have no influence on placement.
	Started int64
	Version string
}

type target struct {
	Target
	own        Count
	others     Count     // of all peers whose counts have not expired
	foreign    bool      // its home is another instance, see Homes
	outside    bool      // it belongs to another group, see GroupHomes
	avoidUntil time.Time // no new requests before this time, unless no other target is left

	overlong  int       // times that it sent more than was asked for, since ClearOverlong
	batchFrom time.Time // no batch items before this time; see MarkOverlong

	entryRevision int64     // of its entry in the store; 0 before the first ApplyEntries
	entryReadAt   time.Time // when that revision was read
}

type peer struct {
	reportedAt time.Time
	counts     map[fleet.TargetID]Count
}

// View holds an instance's targets with the requests of all instances at them. It is not safe for concurrent use; its owner must
// serialize all calls.
type View struct {
	self         fleet.InstanceID
	domain       fleet.FailureDomain
	topology     fleet.Topology
	policy       Policy
	health       map[string]*limits.OutlierDetector // outlier detection, by service
	workingSet   []fleet.Member                     // instances among which the targets are divided; nil if every instance uses all targets alike
	targets      map[fleet.TargetID]*target         // listed targets, and unlisted ones that still hold own requests
	inUse        map[fleet.TargetID]*target         // targets with own requests
	byService    map[string][]*target               // listed targets by service, sorted by ID
	peers        map[fleet.InstanceID]*peer         // peers whose last report has requests
	oldestReport time.Time                          // lower bound of the report times of all peers
	departures   departures                         // targets that said that they are leaving
	batchWaits   map[string]*batchWait              // batch items that wait, by service
}

// NewView returns a view without targets.
func NewView(self fleet.InstanceID, domain fleet.FailureDomain, topology fleet.Topology, policy Policy) *View {
	return &View{
		self:       self,
		domain:     domain,
		topology:   topology,
		policy:     policy,
		health:     make(map[string]*limits.OutlierDetector),
		targets:    make(map[fleet.TargetID]*target),
		inUse:      make(map[fleet.TargetID]*target),
		byService:  make(map[string][]*target),
		peers:      make(map[fleet.InstanceID]*peer),
		departures: make(departures),
		batchWaits: make(map[string]*batchWait),
	}
}

// SetWorkingSet divides the targets among the instances of a working set, see Homes. Nil means that all instances use all targets alike,
// which suits a fleet whose instances receive each other's reports without delay. An instance outside of the set is the home of no target.
// Every divided target is then foreign to it: PlaceBatch places yieldable items there only after a while, and Place adds ForeignPenalty to it.
//
// A set that membership.Divide divides into groups uses the targets by group: requests of a member, or of an instance outside of the set that
// belongs to the group, go to targets of other groups only if no target of the service in the own group may get requests. Instances do not learn of the
// requests of other groups.
func (v *View) SetWorkingSet(set []fleet.Member) {
	v.workingSet = set
	v.updateHomes()
}

// updateHomes marks the targets whose home is another instance. Without a working set there are none.
func (v *View) updateHomes() {
	list := make([]Target, 0, len(v.targets))
	for _, pool := range v.byService {
		for _, t := range pool {
			list = append(list, t.Target)
		}
	}
	if groups := membership.Divide(v.workingSet, v.topology); groups != nil {
		own, homes := groups.Of(v.self, v.domain), GroupHomes(list, groups, v.topology)
		for id, t := range v.targets {
			home, divided := homes[id]
			t.outside = divided && home.Group != own
			t.foreign = t.outside || divided && home.Instance != "" && home.Instance != v.self
		}
		return
	}
	homes := Homes(list, v.workingSet, v.topology)
	for id, t := range v.targets {
		home, divided := homes[id]
		t.foreign, t.outside = divided && home != v.self, false
	}
}

// SetTargets replaces the list of targets. A target that is no longer listed keeps its counts until this instance's requests there have
// ended and SetTargets is called again.
func (v *View) SetTargets(list []Target) {
	seen := make(map[fleet.TargetID]bool, len(list))
	for _, t := range list {
		seen[t.ID] = true
		if known, ok := v.targets[t.ID]; ok {
			known.Target = t
			continue
		}
		v.targets[t.ID] = &target{Target: t}
	}
	v.byService = make(map[string][]*target)
	for id, t := range v.targets {
		switch {
		case seen[id]:
			v.byService[t.Service] = append(v.byService[t.Service], t)
		case t.own.Total() == 0:
			delete(v.targets, id)
			delete(v.inUse, id) // its parts may add up to zero without being zero
		}
	}
	for service, pool := range v.byService {
		slices.SortFunc(pool, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
		v.healthOf(service).SetTargets(ids(pool))
	}
	v.sumPeers()
	v.updateHomes()
}

// Slots returns the number of slots of all listed targets.
func (v *View) Slots() int {
	sum := 0
	for _, pool := range v.byService {
		for _, t := range pool {
			sum += t.Slots
		}
	}
	return sum
}

func ids(pool []*target) []fleet.TargetID {
	list := make([]fleet.TargetID, len(pool))
	for i, t := range pool {
		list[i] = t.ID
	}
	return list
}

// Add adds change, whose parts may be negative, to this instance's own count at a target. It ignores unknown targets.
func (v *View) Add(id fleet.TargetID, change Count) {
	t, ok := v.targets[id]
	if !ok {
		return
	}
	t.own = t.own.plus(change)
	if t.own == (Count{}) {
		delete(v.inUse, id)
	} else {
		v.inUse[id] = t
	}
}

// OwnCounts returns this instance's own counts by target, without those that are zero.
func (v *View) OwnCounts() map[fleet.TargetID]Count {
	own := make(map[fleet.TargetID]Count, len(v.inUse))
	for id, t := range v.inUse {
		own[id] = t.own
	}
	return own
}

// OwnCount returns this instance's own count at a target, zero for an unknown target.
func (v *View) OwnCount(id fleet.TargetID) Count {
	if t, ok := v.targets[id]; ok {
		return t.own
	}
	return Count{}
}

// UpdatePeer replaces the counts of a peer with those of a report received at now. The view keeps the map counts, which the caller must not
// change afterwards.
func (v *View) UpdatePeer(id fleet.InstanceID, counts map[fleet.TargetID]Count, now time.Time) {
	v.RemovePeer(id)
	if len(counts) == 0 {
		return
	}
	if len(v.peers) == 0 {
		v.oldestReport = now
	}
	v.peers[id] = &peer{reportedAt: now, counts: counts}
	v.applyCounts(counts, Count.plus)
}

// applyCounts applies change, Count.plus or Count.minus, with a peer's counts to the sums over all peers.
func (v *View) applyCounts(counts map[fleet.TargetID]Count, change func(sum, c Count) Count) {
	for id, c := range counts {
		if t, ok := v.targets[id]; ok {
			t.others = change(t.others, c)
		}
	}
}

// RemovePeer removes a peer and its counts.
func (v *View) RemovePeer(id fleet.InstanceID) {
	p, ok := v.peers[id]
	if !ok {
		return
	}
	delete(v.peers, id)
	v.applyCounts(p.counts, Count.minus)
}

// sumPeers recomputes the sums over all peers.
func (v *View) sumPeers() {
	for _, t := range v.targets {
		t.others = Count{}
	}
	for _, p := range v.peers {
		v.applyCounts(p.counts, Count.plus)
	}
}

// expire removes peers whose last report is at least PeerExpiry old.
func (v *View) expire(now time.Time) {
	if now.Sub(v.oldestReport) < v.policy.PeerExpiry {
		return
	}
	v.oldestReport = now
	for id, p := range v.peers {
		switch {
		case now.Sub(p.reportedAt) >= v.policy.PeerExpiry:
			v.RemovePeer(id)
		case p.reportedAt.Before(v.oldestReport):
			v.oldestReport = p.reportedAt
		}
	}
}

// Load returns the requests of all instances at a target, zero for an unknown target. It first removes the peers whose last report is as old
// as PeerExpiry or older, so it changes the view, as do the methods that call it, such as Place, PlaceBatch, Pool and Excess. A removed peer
// counts again only after its next report, even if a later call passes an earlier time; times passed to a view must not go backwards.
func (v *View) Load(id fleet.TargetID, now time.Time) Count {
	t, ok := v.targets[id]
	if !ok {
		return Count{}
	}
	v.expire(now)
	return t.own.plus(t.others)
}

// OldestReportAge returns the age of the oldest peer report that has not expired, zero without such a report.
func (v *View) OldestReportAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range v.peers {
		if age := now.Sub(p.reportedAt); age < v.policy.PeerExpiry {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Pool sums up the usable targets of a service.
type Pool struct {
	Slots   int
	Load    Count
	Usable  int // number of targets that may get requests
	Foreign int // number of those whose home is another instance
}

// Pool returns the sums over the targets of a service that may get requests at now. Targets of other groups are included only if there is no other.
func (v *View) Pool(service string, now time.Time) Pool {
	var p Pool
	outside := v.needsOtherGroups(service, nil, now)
	for _, t := range v.byService[service] {
		if t.outside && !outside || !v.usable(t, now) {
			continue
		}
		p.Usable++
		if t.foreign {
			p.Foreign++
		}
		p.Slots += t.Slots
		p.Load = p.Load.plus(v.Load(t.ID, now))
	}
	return p
}
