// Package slots decides at which target a request runs, from one view of how many requests each target holds. All instances count
// their own requests for each target and tell the others, so that their views agree within a few milliseconds.
//
// It answers the load of a fleet whose targets admit requests in order of arrival: online requests come in bursts that need nearly all
// slots, and batch items, which hold a slot for seconds, fill the rest and give way when a burst begins.
package slots

import (
	"cmp"
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
)

// Count is how many requests of an instance a target holds, by how they give way.
type Count struct {
	Online    int // requests with a caller waiting
	Firm      int // batch items that are too close to their due time to give way
	Yieldable int // batch items that end when an online request needs their slot
}

// Total returns all requests.
func (c Count) Total() int { return c.Online + c.Firm + c.Yieldable }

func (c Count) plus(o Count) Count {
	return Count{Online: c.Online + o.Online, Firm: c.Firm + o.Firm, Yieldable: c.Yieldable + o.Yieldable}
}

func (c Count) minus(o Count) Count {
	return Count{Online: c.Online - o.Online, Firm: c.Firm - o.Firm, Yieldable: c.Yieldable - o.Yieldable}
}

// Target is what the view needs to know of a target.
type Target struct {
	fleet.Target
	Slots int
}

type target struct {
	Target
	own     Count
	others  Count     // of all peers whose counts have not expired
	foreign bool      // the home of another instance
	avoid   time.Time // no new requests until then
}

type peer struct {
	heard  time.Time
	counts map[fleet.TargetID]Count
}

// View is the shared view of an instance. Guarded by its owner.
type View struct {
	self     fleet.InstanceID
	domain   fleet.FailureDomain
	topology fleet.Topology
	policy   Policy
	health   map[string]*limits.Outlier // of each service's targets
	set      []fleet.Member             // instances that the targets are divided among; nil if all use all
	targets  map[fleet.TargetID]*target
	byPool   map[string][]*target
	peers    map[fleet.InstanceID]*peer // those that hold requests
	oldest   time.Time                  // no report of a peer is older
}

// NewView returns a view without targets.
func NewView(self fleet.InstanceID, domain fleet.FailureDomain, topology fleet.Topology, policy Policy) *View {
	return &View{
		self:     self,
		domain:   domain,
		topology: topology,
		policy:   policy,
		health:   make(map[string]*limits.Outlier),
		targets:  make(map[fleet.TargetID]*target),
		byPool:   make(map[string][]*target),
		peers:    make(map[fleet.InstanceID]*peer),
	}
}

// SetWorkingSet divides the targets among the instances of a working set; nil means that all instances use all targets alike, which suits
// a fleet in which each hears of all others at once. An instance that is not in the set has no targets of its own.
func (v *View) SetWorkingSet(set []fleet.Member) {
	v.set = set
	v.divide()
}

// divide notes which targets are the home of another instance: none without a working set.
func (v *View) divide() {
	list := make([]Target, 0, len(v.targets))
	for _, pool := range v.byPool {
		for _, t := range pool {
			list = append(list, t.Target)
		}
	}
	homes := Homes(list, v.set, v.topology)
	for id, t := range v.targets {
		home, divided := homes[id]
		t.foreign = divided && home != v.self
	}
}

// SetTargets replaces the list of targets. Counts of targets that are gone stay until their requests have ended.
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
	v.byPool = make(map[string][]*target)
	for id, t := range v.targets {
		switch {
		case seen[id]:
			v.byPool[t.Service] = append(v.byPool[t.Service], t)
		case t.own.Total() == 0:
			delete(v.targets, id)
		}
	}
	for service, pool := range v.byPool {
		slices.SortFunc(pool, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
		v.healthOf(service).SetTargets(ids(pool))
	}
	v.sumPeers()
	v.divide()
}

// Slots returns the slots of all targets that are listed.
func (v *View) Slots() int {
	sum := 0
	for _, pool := range v.byPool {
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

// Add changes this instance's own count of a target.
func (v *View) Add(id fleet.TargetID, change Count) {
	if t, ok := v.targets[id]; ok {
		t.own = t.own.plus(change)
	}
}

// Own returns this instance's counts that are not zero.
func (v *View) Own() map[fleet.TargetID]Count {
	own := make(map[fleet.TargetID]Count)
	for id, t := range v.targets {
		if t.own != (Count{}) {
			own[id] = t.own
		}
	}
	return own
}

// OwnAt returns this instance's own count of a target.
func (v *View) OwnAt(id fleet.TargetID) Count {
	if t, ok := v.targets[id]; ok {
		return t.own
	}
	return Count{}
}

// Heard takes the counts that a peer sent.
func (v *View) Heard(id fleet.InstanceID, counts map[fleet.TargetID]Count, now time.Time) {
	v.Forget(id)
	if len(counts) == 0 {
		return
	}
	if len(v.peers) == 0 {
		v.oldest = now
	}
	v.peers[id] = &peer{heard: now, counts: counts}
	v.count(counts, Count.plus)
}

// count adds the requests of a peer to those of all peers, or takes them off.
func (v *View) count(counts map[fleet.TargetID]Count, change func(sum, c Count) Count) {
	for id, c := range counts {
		if t, ok := v.targets[id]; ok {
			t.others = change(t.others, c)
		}
	}
}

// Forget drops a peer that is gone.
func (v *View) Forget(id fleet.InstanceID) {
	p, ok := v.peers[id]
	if !ok {
		return
	}
	delete(v.peers, id)
	v.count(p.counts, Count.minus)
}

// sumPeers counts the requests of all peers anew.
func (v *View) sumPeers() {
	for _, t := range v.targets {
		t.others = Count{}
	}
	for _, p := range v.peers {
		v.count(p.counts, Count.plus)
	}
}

// expire drops peers whose reports are too old.
func (v *View) expire(now time.Time) {
	if now.Sub(v.oldest) < v.policy.PeerExpiry {
		return
	}
	v.oldest = now
	for id, p := range v.peers {
		switch {
		case now.Sub(p.heard) >= v.policy.PeerExpiry:
			v.Forget(id)
		case p.heard.Before(v.oldest):
			v.oldest = p.heard
		}
	}
}

// Load returns the requests of all instances at a target.
func (v *View) Load(id fleet.TargetID, now time.Time) Count {
	t, ok := v.targets[id]
	if !ok {
		return Count{}
	}
	v.expire(now)
	return t.own.plus(t.others)
}

// PeerAge returns the age of the oldest report of a peer that counts.
func (v *View) PeerAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range v.peers {
		if age := now.Sub(p.heard); age < v.policy.PeerExpiry {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Pool sums up the listed targets of a service.
type Pool struct {
	Slots  int
	Load   Count
	Usable int // targets that may get requests
}

// Pool returns the state of a service's targets.
func (v *View) Pool(service string, now time.Time) Pool {
	var p Pool
	for _, t := range v.byPool[service] {
		if !v.usable(t, now) {
			continue
		}
		p.Usable++
		p.Slots += t.Slots
		p.Load = p.Load.plus(v.Load(t.ID, now))
	}
	return p
}
