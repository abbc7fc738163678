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

	"github.com/cespare/xxhash/v2"

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

// Policy holds the weights of the decisions.
type Policy struct {
	// PeerExpiry is the age at which what a peer said no longer counts.
	PeerExpiry time.Duration
	// RegionPenalty and RemotePenalty are the requests by which a target of the own region, or of another one, must be emptier than a
	// target of the own failure domain to be preferred: bytes that cross these borders are paid for.
	RegionPenalty, RemotePenalty float64
	// StalePenalty is added, in units of a target's slots, for targets of other failure domains in a fleet whose instances hear of these only
	// now and then: such a target is used when those of the own failure domain have no free slot and hold more requests that do not give way.
	StalePenalty float64
	// BatchReserve is the number of slots at each target that batch items leave free for the first requests of a burst.
	BatchReserve int
	// MaxQueue is the number of requests that may wait at a target beyond its slots. Targets serve in order of arrival, so that more would
	// wait there behind requests that are late already.
	MaxQueue int
	// FirmLimit is the number of slots of a target that batch items may keep although online requests wait.
	FirmLimit int
	// Health says when a target that fails or is slow gets no requests for a while.
	Health limits.OutlierPolicy
}

// DefaultPolicy suits targets of about eight slots that serve an online request in under a second.
func DefaultPolicy() Policy {
	return Policy{
		PeerExpiry:    2500 * time.Millisecond,
		RegionPenalty: 0.5,
		RemotePenalty: 1.5,
		StalePenalty:  1,
		BatchReserve:  1,
		MaxQueue:      2,
		FirmLimit:     4,
		Health:        healthPolicy(),
	}
}

// healthPolicy ejects a target for a second at two failures in a row and for twice as long at each further one. A target that fails part of
// its requests, or fails them fast, would otherwise draw requests by being the emptiest. One failure is not enough: a fleet that loses a few
// answers in a hundred would lose more by the slots that it does without.
func healthPolicy() limits.OutlierPolicy {
	return limits.OutlierPolicy{
		Consecutive:    2,
		FailureShare:   0.5,
		MinRequests:    20,
		SlowFactor:     4,
		SlowAtLeast:    250 * time.Millisecond,
		MinPeers:       3,
		BaseEjection:   time.Second,
		MaxEjection:    16 * time.Second,
		ForgiveAfter:   20 * time.Second,
		MaxEjected:     0.4,
		ProbeTimeout:   2 * time.Second,
		EvaluatePeriod: 3 * time.Second,
	}
}

// Target is what the view needs to know of a target.
type Target struct {
	fleet.Target
	Slots int
}

type target struct {
	Target
	own   Count
	avoid time.Time // no new requests until then
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
	stale    bool                       // instances of other failure domains are heard only now and then
	targets  map[fleet.TargetID]*target
	byPool   map[string][]*target
	peers    map[fleet.InstanceID]*peer
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

// SetStale tells whether instances of other failure domains are heard only now and then.
func (v *View) SetStale(stale bool) { v.stale = stale }

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
}

func ids(pool []*target) []fleet.TargetID {
	list := make([]fleet.TargetID, len(pool))
	for i, t := range pool {
		list[i] = t.ID
	}
	return list
}

func (v *View) healthOf(service string) *limits.Outlier {
	found, ok := v.health[service]
	if !ok {
		found = limits.NewOutlier(v.policy.Health)
		v.health[service] = found
	}
	return found
}

// Begin is called right before a request is sent to a target. After an ejection, the first one is a probe.
func (v *View) Begin(id fleet.TargetID, now time.Time) {
	if t, ok := v.targets[id]; ok {
		v.healthOf(t.Service).Begin(id, now)
	}
}

// Observe records how a request at a target ended, and returns why it is ejected if that ejected it.
func (v *View) Observe(id fleet.TargetID, outcome limits.Outcome, now time.Time) limits.EjectReason {
	t, ok := v.targets[id]
	if !ok {
		return ""
	}
	health := v.healthOf(t.Service)
	ejected := health.Observe(id, outcome, now)
	ejected = slices.Contains(health.Evaluate(now), id) || ejected
	if !ejected {
		return ""
	}
	return health.Reason(id)
}

// Unobserved ends a request that says nothing of its target's health.
func (v *View) Unobserved(id fleet.TargetID) {
	if t, ok := v.targets[id]; ok {
		v.healthOf(t.Service).ProbeEnded(id)
	}
}

// Avoid keeps new requests from a target until a time, unless nothing else is left.
func (v *View) Avoid(id fleet.TargetID, until time.Time) {
	if t, ok := v.targets[id]; ok && until.After(t.avoid) {
		t.avoid = until
	}
}

// Trust ends what Avoid began.
func (v *View) Trust(id fleet.TargetID) {
	if t, ok := v.targets[id]; ok {
		t.avoid = time.Time{}
	}
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

// Domains returns the failure domains of the targets that hold requests of this instance.
func (v *View) Domains() map[fleet.FailureDomain]bool {
	domains := make(map[fleet.FailureDomain]bool)
	for _, t := range v.targets {
		if t.own != (Count{}) {
			domains[t.FailureDomain] = true
		}
	}
	return domains
}

// Heard takes the counts that a peer sent.
func (v *View) Heard(id fleet.InstanceID, counts map[fleet.TargetID]Count, now time.Time) {
	v.peers[id] = &peer{heard: now, counts: counts}
}

// Forget drops a peer that is gone.
func (v *View) Forget(id fleet.InstanceID) { delete(v.peers, id) }

// Load returns the requests of all instances at a target.
func (v *View) Load(id fleet.TargetID, now time.Time) Count {
	var sum Count
	if t, ok := v.targets[id]; ok {
		sum = t.own
	}
	for _, p := range v.peers {
		if now.Sub(p.heard) < v.policy.PeerExpiry {
			sum = sum.plus(p.counts[id])
		}
	}
	return sum
}

// NewsAge returns the age of the oldest news of a peer that counts.
func (v *View) NewsAge(now time.Time) time.Duration {
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

// usable tells whether a target gets requests while there are others.
func (v *View) usable(t *target, now time.Time) bool {
	return t.State == fleet.TargetLive && !now.Before(t.avoid) && v.healthOf(t.Service).Usable(t.ID, now)
}

// distance returns the penalty of a target's place, in requests.
func (v *View) distance(t *target) float64 {
	stale := 0.0
	if v.stale {
		stale = v.policy.StalePenalty * float64(t.Slots)
	}
	switch v.topology.Distance(v.domain, t.FailureDomain) {
	case fleet.SameFailureDomain:
		return 0
	case fleet.SameRegion:
		return v.policy.RegionPenalty + stale
	}
	return v.policy.RemotePenalty + stale
}

// tieBreak orders equal targets differently for each request, so that instances that decide at the same moment spread.
func tieBreak(salt string, id fleet.TargetID) uint64 {
	return xxhash.Sum64String(salt + "\x00" + string(id))
}

// Room says whether a target was found.
type Room int

// Results of Place.
const (
	Placed   Room = iota
	Full          // every target that may be used has MaxQueue requests waiting
	NoTarget      // no target may be used
)

// Place returns the target for an online request. A target with a free slot goes first, then one whose batch items will give way, then the
// shortest queue. exclude holds targets that were tried already. Targets to be avoided are used only if there is no other.
func (v *View) Place(service, salt string, exclude map[fleet.TargetID]bool, now time.Time) (Target, Room) {
	if t, room := v.place(service, salt, exclude, now, false); room != NoTarget {
		return t, room
	}
	return v.place(service, salt, exclude, now, true)
}

func (v *View) place(service, salt string, exclude map[fleet.TargetID]bool, now time.Time, avoided bool) (Target, Room) {
	var best *target
	var bestScore float64
	var bestTie uint64
	room := NoTarget
	for _, t := range v.byPool[service] {
		if exclude[t.ID] || t.State != fleet.TargetLive || !avoided && !v.usable(t, now) {
			continue
		}
		load := v.Load(t.ID, now)
		if load.Online+load.Firm >= t.Slots+v.policy.MaxQueue {
			room = Full
			continue
		}
		score := onlineScore(load, t.Slots) + v.distance(t)
		tie := tieBreak(salt, t.ID)
		if best == nil || score < bestScore || score == bestScore && tie < bestTie {
			best, bestScore, bestTie = t, score, tie
		}
	}
	if best == nil {
		return Target{}, room
	}
	return best.Target, Placed
}

// onlineScore rises with the expected wait: slots in use while there is a free one; beyond that, the requests that do not give way.
func onlineScore(load Count, slots int) float64 {
	if load.Total() < slots {
		return float64(load.Total())
	}
	return float64(slots + load.Online + load.Firm)
}

// PlaceBatch returns the target for a batch item, or false if there is no room. An urgent item may take the reserve as well, where few items
// are firm. In a fleet whose instances hear of other failure domains only now and then, items that must give way stay where their owner hears
// at once of the online requests there.
func (v *View) PlaceBatch(service, salt string, exclude map[fleet.TargetID]bool, urgent bool, now time.Time) (Target, bool) {
	var best *target
	var bestScore float64
	var bestTie uint64
	for _, t := range v.byPool[service] {
		if exclude[t.ID] || !v.usable(t, now) {
			continue
		}
		load := v.Load(t.ID, now)
		firm := urgent && load.Firm < v.policy.FirmLimit
		if !v.hasBatchRoom(t, load, firm) {
			continue
		}
		score := float64(load.Total()) + v.distance(t)
		tie := tieBreak(salt, t.ID)
		if best == nil || score < bestScore || score == bestScore && tie < bestTie {
			best, bestScore, bestTie = t, score, tie
		}
	}
	if best == nil {
		return Target{}, false
	}
	return best.Target, true
}

func (v *View) hasBatchRoom(t *target, load Count, firm bool) bool {
	if firm {
		return load.Total() < t.Slots
	}
	return load.Total() < t.Slots-v.policy.BatchReserve && (!v.stale || t.FailureDomain == v.domain)
}

// MayBeFirm tells whether a batch item at a target may keep its slot although online requests wait.
func (v *View) MayBeFirm(id fleet.TargetID, now time.Time) bool {
	return v.Load(id, now).Firm < v.policy.FirmLimit
}

// Excess returns, for each target that holds more requests than slots, how many of this instance's yieldable batch items end. All
// instances divide the excess in the same order, so that each item of it is ended by one of them.
func (v *View) Excess(now time.Time) map[fleet.TargetID]int {
	var result map[fleet.TargetID]int
	for id, t := range v.targets {
		if t.own.Yieldable == 0 {
			continue
		}
		over := v.Load(id, now).Total() - t.Slots
		if over <= 0 {
			continue
		}
		if mine := v.share(id, over, now); mine > 0 {
			if result == nil {
				result = make(map[fleet.TargetID]int)
			}
			result[id] = mine
		}
	}
	return result
}

// share returns this instance's part of the excess at a target. The order of instances differs by target.
func (v *View) share(id fleet.TargetID, over int, now time.Time) int {
	type holder struct {
		instance fleet.InstanceID
		batch    int
	}
	holders := []holder{{v.self, v.targets[id].own.Yieldable}}
	for name, p := range v.peers {
		if n := p.counts[id].Yieldable; n > 0 && now.Sub(p.heard) < v.policy.PeerExpiry {
			holders = append(holders, holder{name, n})
		}
	}
	slices.SortFunc(holders, func(a, b holder) int {
		return cmp.Or(cmp.Compare(tieBreak(string(a.instance), id), tieBreak(string(b.instance), id)), cmp.Compare(a.instance, b.instance))
	})
	for _, h := range holders {
		taken := min(h.batch, over)
		if h.instance == v.self {
			return taken
		}
		over -= taken
		if over <= 0 {
			return 0
		}
	}
	return 0
}
