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

// Board guards the shared view of the targets and tells others of its changes. It is safe for concurrent use.
type Board struct {
	mu     sync.Mutex // guards view, signs, room and yield; released before notify or yield is called
	view   *slots.View
	signs  map[fleet.TargetID]*sign
	made   time.Time
	room   chan struct{} // closed and replaced when room for a request may have appeared
	notify func()        // called after each change of this instance's own counts; must not block
	yield  func(map[fleet.TargetID]int)
}

// NewBoard returns a board over the view.
func NewBoard(view *slots.View) *Board {
	return &Board{view: view, signs: make(map[fleet.TargetID]*sign), made: time.Now(), room: make(chan struct{}), notify: func() {}, yield: func(map[fleet.TargetID]int) {}}
}

// OnChange sets what is called after each change of this instance's own counts. Call it before the first request.
func (b *Board) OnChange(notify func()) { b.notify = notify }

// OnYield sets what is called with the number of batch items that must end at each target. Call it before the first request.
func (b *Board) OnYield(yield func(map[fleet.TargetID]int)) { b.yield = yield }

// Held is the right to use a slot of a target, until Release.
type Held struct {
	Target slots.Target
	Load   slots.Count // of the target when it was chosen
	// PeerAge is the age of the oldest report of a peer in Load.
	PeerAge time.Duration
	board   *Board
	sign    *sign
	mu      sync.Mutex // guards count; taken before the board's mutex
	count   slots.Count
}

// Online takes a place at a target for an online request, or returns nil and why there is none now.
func (b *Board) Online(service, salt string, exclude map[fleet.TargetID]bool) (*Held, slots.Placement) {
	now := time.Now()
	b.mu.Lock()
	target, room := b.view.Place(service, salt, exclude, now)
	if room != slots.Placed {
		b.mu.Unlock()
		return nil, room
	}
	held := b.take(target, slots.Count{Online: 1})
	excess := b.view.Excess(now)
	b.mu.Unlock()
	b.notify()
	if excess != nil {
		b.yield(excess)
	}
	return held, room
}

// Batch takes a place at a target for a batch item, or returns nil if there is no room. An urgent item does not give way, unless too many at
// its target do not.
func (b *Board) Batch(service, salt string, exclude map[fleet.TargetID]bool, urgent bool) *Held {
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
	held := b.take(target, count)
	b.mu.Unlock()
	b.notify()
	return held
}

// take counts a request at a target; b.mu is held.
func (b *Board) take(target slots.Target, count slots.Count) *Held {
	now := time.Now()
	load := b.view.Load(target.ID, now)
	b.view.Begin(target.ID, now)
	b.view.Add(target.ID, count)
	last, ok := b.signs[target.ID]
	if !ok {
		last = &sign{}
		b.signs[target.ID] = last
	}
	return &Held{Target: target, Load: load, PeerAge: b.view.PeerAge(now), board: b, sign: last, count: count}
}

// heard notes that the target sent something.
func (h *Held) heard() { h.sign.at.Store(int64(time.Since(h.board.made))) }

// heardSince tells whether the target sent anything to this instance after a time.
func (h *Held) heardSince(t time.Time) bool {
	return time.Duration(h.sign.at.Load()) > t.Sub(h.board.made)
}

// ownAt returns the number of requests that this instance holds at a target.
func (b *Board) ownAt(id fleet.TargetID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.OwnAt(id).Total()
}

// hasRoom tells whether a target other than one, and than those excluded, has room for an online request.
func (b *Board) hasRoom(service string, other fleet.TargetID, exclude map[fleet.TargetID]bool) bool {
	without := make(map[fleet.TargetID]bool, len(exclude)+1)
	maps.Copy(without, exclude)
	without[other] = true
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.HasRoom(service, without, time.Now())
}

// IsFirm tells whether the holder is a batch item that does not give way.
func (h *Held) IsFirm() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count.Firm > 0
}

// Release gives the place back. Further calls do nothing.
func (h *Held) Release() { h.change(slots.Count{}) }

// Firm keeps a batch item from giving way, and returns false if too many at its target do that already. It does nothing after Release.
func (h *Held) Firm() bool {
	h.mu.Lock()
	released := h.count == (slots.Count{})
	h.mu.Unlock()
	if released || !h.board.mayBeFirm(h.Target.ID) {
		return false
	}
	h.change(slots.Count{Firm: 1})
	return true
}

func (b *Board) mayBeFirm(id fleet.TargetID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.MayBeFirm(id, time.Now())
}

// change replaces what the holder counts as.
func (h *Held) change(next slots.Count) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.count == next {
		return
	}
	b := h.board
	b.mu.Lock()
	b.view.Add(h.Target.ID, slots.Count{
		Online:    next.Online - h.count.Online,
		Firm:      next.Firm - h.count.Firm,
		Yieldable: next.Yieldable - h.count.Yieldable,
	})
	b.mayHaveRoom()
	b.mu.Unlock()
	h.count = next
	b.notify()
}

// mayHaveRoom wakes those that wait for room; b.mu is held.
func (b *Board) mayHaveRoom() {
	close(b.room)
	b.room = make(chan struct{})
}

// Room returns a channel that is closed when room may have appeared.
func (b *Board) Room() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room
}

// Heard takes the counts of a peer.
func (b *Board) Heard(peer fleet.InstanceID, counts map[fleet.TargetID]slots.Count) {
	now := time.Now()
	b.mu.Lock()
	b.view.Heard(peer, counts, now)
	excess := b.view.Excess(now)
	b.mayHaveRoom()
	b.mu.Unlock()
	if excess != nil {
		b.yield(excess)
	}
}

// Forget drops a peer that is gone.
func (b *Board) Forget(peer fleet.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Forget(peer)
	b.mayHaveRoom()
}

// Own returns this instance's counts.
func (b *Board) Own() map[fleet.TargetID]slots.Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Own()
}

// SetTargets replaces the list of targets.
func (b *Board) SetTargets(list []slots.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.SetTargets(list)
	listed := make(map[fleet.TargetID]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
	}
	maps.DeleteFunc(b.signs, func(id fleet.TargetID, _ *sign) bool { return !listed[id] })
	b.mayHaveRoom()
}

// SetWorkingSet divides the targets among the instances of a working set; nil means that all instances use all targets alike.
func (b *Board) SetWorkingSet(set []fleet.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.SetWorkingSet(set)
	b.mayHaveRoom()
}

// Slots returns the slots of all targets.
func (b *Board) Slots() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Slots()
}

// Pool returns the state of a service's targets.
func (b *Board) Pool(service string) slots.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Pool(service, time.Now())
}

// Avoid keeps new requests from a target for a time, unless nothing else is left.
func (b *Board) Avoid(id fleet.TargetID, d time.Duration, reason string) {
	now := time.Now()
	b.mu.Lock()
	began := b.view.Avoid(id, now, now.Add(d))
	b.mu.Unlock()
	if began {
		klog.InfoS("Target is avoided", "target", id, "reason", reason, "for_ms", d.Milliseconds())
	}
}

// Observe records how a request at a target ended.
func (b *Board) Observe(id fleet.TargetID, outcome limits.Outcome) {
	b.mu.Lock()
	reason := b.view.Observe(id, outcome, time.Now())
	b.mu.Unlock()
	if reason != "" {
		klog.InfoS("Target is ejected", "target", id, "reason", reason, "first_event_ms", outcome.Latency.Milliseconds())
	}
}

// Unobserved ends a request that says nothing of its target's health.
func (b *Board) Unobserved(id fleet.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Unobserved(id)
}

// Trust ends what Avoid began.
func (b *Board) Trust(id fleet.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Trust(id)
}
