package gateway

import (
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/limits"
	"eelgrassproxy.example/core/slots"
)

// Board guards an instance's view of the load of all targets, and runs callbacks after changes of it. It is safe for concurrent use.
type Board struct {
	mu           sync.Mutex // guards view, lastActivity and room; released before notify or yield is called
	view         *slots.View
	lastActivity map[fleet.TargetID]*activity
	byHash       map[uint32]fleet.TargetID    // listed targets by targetHash
	created      time.Time                    // creation time; the times in lastActivity are relative to it
	room         chan struct{}                // closed and replaced when a target may have room for another request
	notify       func()                       // called after each change of this instance's own counts; must not block
	yield        func(map[fleet.TargetID]int) // called with the number of batch items that must end at each target
}

// NewBoard returns a board that owns the view. The view must not be used directly afterwards.
func NewBoard(view *slots.View) *Board {
	return &Board{view: view, lastActivity: make(map[fleet.TargetID]*activity), created: time.Now(), room: make(chan struct{}), notify: func() {}, yield: func(map[fleet.TargetID]int) {}}
}

// OnChange sets the callback that runs after each change of this instance's own counts. The callback must not block. Call OnChange before
// the first request.
func (b *Board) OnChange(notify func()) { b.notify = notify }

// OnYield sets the callback that gets the number of batch items that must end at each target to free slots for online requests. Call it
// before the first request.
func (b *Board) OnYield(yield func(map[fleet.TargetID]int)) { b.yield = yield }

// Reservation is the right to send one request to a target. It counts as load of the target until Release. It is safe for concurrent use.
type Reservation struct {
	Target slots.Target
	Load   slots.Count // load of the target when it was chosen, without this request
	// PeerAge is the age of the oldest peer report that Load includes.
	PeerAge  time.Duration
	placed   time.Time
	board    *Board
	activity *activity
	mu       sync.Mutex // guards count; taken before the board's mutex
	count    slots.Count
}

// ReserveOnline reserves a slot at a target for an online request. If no target has room, it returns nil and the reason. If batch items have to
// yield to the request, it calls the OnYield callback. salt breaks ties between targets; exclude holds the targets that must not be chosen.
func (b *Board) ReserveOnline(service, salt string, exclude map[fleet.TargetID]bool) (*Reservation, slots.PlaceResult) {
	return b.reserveOnline((*slots.View).Place, service, salt, exclude)
}

// reserveUsable is like ReserveOnline, but uses no avoided or ejected targets.
func (b *Board) reserveUsable(service, salt string, exclude map[fleet.TargetID]bool) *Reservation {
	reservation, _ := b.reserveOnline((*slots.View).PlaceUsable, service, salt, exclude)
	return reservation
}

// reserveAmong is like ReserveOnline, but uses only the given targets, also if they are avoided or ejected.
func (b *Board) reserveAmong(service, salt string, among map[fleet.TargetID]bool) (*Reservation, slots.PlaceResult) {
	return b.reserveOnline((*slots.View).PlaceAmong, service, salt, among)
}

// reserveOnline reserves a slot at the target that place returns for the service, the salt and the targets.
func (b *Board) reserveOnline(place func(*slots.View, string, string, map[fleet.TargetID]bool, time.Time) (slots.Target, slots.PlaceResult),
	service, salt string, targets map[fleet.TargetID]bool) (*Reservation, slots.PlaceResult) {
	now := time.Now()
	b.mu.Lock()
	target, result := place(b.view, service, salt, targets, now)
	if result != slots.Placed {
		b.mu.Unlock()
		return nil, result
	}
	reservation := b.reserve(target, slots.Count{Online: 1})
	excess := b.view.Excess(now)
	b.mu.Unlock()
	b.notify()
	if excess != nil {
		b.yield(excess)
	}
	return reservation, result
}

// ReserveBatch reserves a slot at a target for a batch item, or returns nil if there is no room. An item is firm if it keeps its
// slot when online requests need it, and yieldable if it is then ended. An urgent item, whose due time is close, gets a firm slot, unless its
// target already has as many firm items as the policy allows; all others get a yieldable one.
func (b *Board) ReserveBatch(service, salt string, exclude map[fleet.TargetID]bool, urgent bool) *Reservation {
	b.mu.Lock()
	target, ok := b.view.PlaceBatch(service, salt, exclude, urgent, time.Now())
	if !ok {
		b.mu.Unlock()
		return nil
	}
	count := slots.Count{Yieldable: 1}
	if urgent && b.view.MayBeFirm(target.ID, time.Now()) {
		count = slots.Count{Firm: 1}
	}
	reservation := b.reserve(target, count)
	b.mu.Unlock()
	b.notify()
	return reservation
}

// reserve adds a request to the counts of a target and returns its reservation; b.mu is held.
func (b *Board) reserve(target slots.Target, count slots.Count) *Reservation {
	now := time.Now()
	load := b.view.Load(target.ID, now)
	b.view.Begin(target.ID, now)
	b.view.Add(target.ID, count)
	last, ok := b.lastActivity[target.ID]
	if !ok {
		last = &activity{}
		b.lastActivity[target.ID] = last
	}
	return &Reservation{Target: target, Load: load, PeerAge: b.view.OldestReportAge(now), placed: now, board: b, activity: last, count: count}
}

// markActive records that the target sent something just now.
func (r *Reservation) markActive() { r.activity.at.Store(int64(time.Since(r.board.created))) }

// activeSince reports whether the target sent anything to this instance, on any connection, after t.
func (r *Reservation) activeSince(t time.Time) bool {
	return time.Duration(r.activity.at.Load()) > t.Sub(r.board.created)
}

// ownRequests returns the number of this instance's requests at a target.
func (b *Board) ownRequests(id fleet.TargetID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.OwnCount(id).Total()
}

// hasTarget reports whether a target of the service outside of exclude may get requests, though it may be full.
func (b *Board) hasTarget(service string, exclude map[fleet.TargetID]bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.HasTarget(service, exclude)
}

// occupied returns the targets of a service whose slots are all in use, by batch items too.
func (b *Board) occupied(service string) []fleet.TargetID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Occupied(service, time.Now())
}

// isLeaving reports whether a target, as it was last listed, accepts no new requests.
func (b *Board) isLeaving(id fleet.TargetID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.IsLeaving(id)
}

// hasRoom reports whether a target that is neither other nor in exclude has room for an online request.
func (b *Board) hasRoom(service string, other fleet.TargetID, exclude map[fleet.TargetID]bool) bool {
	without := make(map[fleet.TargetID]bool, len(exclude)+1)
	maps.Copy(without, exclude)
	without[other] = true
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.HasRoom(service, without, time.Now())
}

// IsFirm reports whether the reservation belongs to a firm batch item, which does not yield to online requests.
func (r *Reservation) IsFirm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count.Firm > 0
}

// Release frees the slot. Further calls do nothing.
func (r *Reservation) Release() { r.setCount(slots.Count{}) }

// MakeFirm makes a batch item firm, so that it no longer yields to online requests. It returns false, and changes nothing, after
// Release or if the target already has as many firm items as the policy allows.
func (r *Reservation) MakeFirm() bool {
	r.mu.Lock()
	released := r.count == (slots.Count{})
	r.mu.Unlock()
	if released || !r.board.mayBeFirm(r.Target.ID) {
		return false
	}
	r.setCount(slots.Count{Firm: 1})
	return true
}

// mayBeFirm reports whether one more batch item at a target may be firm, so that it does not yield to online requests.
func (b *Board) mayBeFirm(id fleet.TargetID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.MayBeFirm(id, time.Now())
}

// setCount replaces the count that the reservation adds to the load of its target.
func (r *Reservation) setCount(next slots.Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == next {
		return
	}
	b := r.board
	b.mu.Lock()
	b.view.Add(r.Target.ID, slots.Count{
		Online:    next.Online - r.count.Online,
		Firm:      next.Firm - r.count.Firm,
		Yieldable: next.Yieldable - r.count.Yieldable,
	})
	b.wakeWaiters()
	b.mu.Unlock()
	r.count = next
	b.notify()
}

// wakeWaiters wakes the requests that wait on RoomChanged; b.mu is held.
func (b *Board) wakeWaiters() {
	close(b.room)
	b.room = make(chan struct{})
}

// RoomChanged returns a channel that is closed when a target may have room again. Callers get the channel before they look for room, so that
// they do not miss a change in between.
func (b *Board) RoomChanged() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room
}

// SetPeerCounts replaces the counts of a peer by those that it has just sent. If batch items have to yield because of
// them, it calls the OnYield callback.
func (b *Board) SetPeerCounts(peer fleet.InstanceID, counts map[fleet.TargetID]slots.Count) {
	now := time.Now()
	b.mu.Lock()
	b.view.UpdatePeer(peer, counts, now)
	excess := b.view.Excess(now)
	b.wakeWaiters()
	b.mu.Unlock()
	if excess != nil {
		b.yield(excess)
	}
}

// RemovePeer removes the counts of a peer that is lost or whose membership record was removed.
func (b *Board) RemovePeer(peer fleet.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.RemovePeer(peer)
	b.wakeWaiters()
}

// targetByHash returns the listed target with a hash in compact counts.
func (b *Board) targetByHash(hash uint32) (fleet.TargetID, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id, ok := b.byHash[hash]
	return id, ok
}

// OwnCounts returns this instance's own counts by target.
func (b *Board) OwnCounts() map[fleet.TargetID]slots.Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.OwnCounts()
}

// SetTargets replaces the list of targets. This instance's counts at targets that are no longer listed stay until the requests have ended.
func (b *Board) SetTargets(list []slots.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.SetTargets(list)
	listed := make(map[fleet.TargetID]bool, len(list))
	b.byHash = make(map[uint32]fleet.TargetID, len(list))
	for _, t := range list {
		listed[t.ID] = true
		b.byHash[targetHash(t.ID)] = t.ID
	}
	maps.DeleteFunc(b.lastActivity, func(id fleet.TargetID, _ *activity) bool { return !listed[id] })
	b.wakeWaiters()
}

// SetWorkingSet assigns the targets to the instances of a working set. With nil, all instances use all targets equally.
func (b *Board) SetWorkingSet(set []fleet.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.SetWorkingSet(set)
	b.wakeWaiters()
}

// Slots returns the total number of slots of the listed targets.
func (b *Board) Slots() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Slots()
}

// Pool returns the combined state of a service's targets.
func (b *Board) Pool(service string) slots.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Pool(service, time.Now())
}

// Avoid keeps new requests from a target for the duration d, unless no other target is left. It logs the reason if the target was not avoided
// already.
func (b *Board) Avoid(id fleet.TargetID, d time.Duration, reason string) {
	now := time.Now()
	b.mu.Lock()
	began := b.view.Avoid(id, now, now.Add(d))
	b.mu.Unlock()
	if began {
		klog.InfoS("Target is avoided", "target", id, "reason", reason, "for_ms", d.Milliseconds())
	}
}

// Observe records the outcome of a request for the health of its target, which may eject the target.
func (b *Board) Observe(id fleet.TargetID, outcome limits.Outcome) {
	b.mu.Lock()
	reason := b.view.Observe(id, outcome, time.Now())
	b.mu.Unlock()
	if reason != "" {
		klog.InfoS("Target is ejected", "target", id, "reason", reason, "first_event_ms", outcome.Latency.Milliseconds())
	}
}

// MarkOverlong records that a target sent more than a request asked for, and keeps batch items from it for a while.
func (b *Board) MarkOverlong(id fleet.TargetID) {
	b.mu.Lock()
	d := b.view.MarkOverlong(id, time.Now())
	b.mu.Unlock()
	klog.InfoS("Items avoid a target that sends more than they ask for", "target", id, "for_ms", d.Milliseconds())
}

// ClearOverlong records that a target sent a whole response to a batch item.
func (b *Board) ClearOverlong(id fleet.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.view.ClearOverlong(id) {
		b.wakeWaiters()
	}
}

// EndUnobserved ends a request whose outcome does not reflect the health of its target.
func (b *Board) EndUnobserved(id fleet.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.EndWithoutOutcome(id)
}

// ClearSuspicion lets new requests go to a target again before the time set by Avoid has passed.
func (b *Board) ClearSuspicion(id fleet.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.StopAvoiding(id)
}
