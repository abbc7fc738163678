package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/routetable"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/kvmirror"
)

// Routes holds the routing table in force. Its version only rises.
type Routes struct {
	mu       sync.Mutex // guards writes; readers use the pointer
	current  atomic.Pointer[routetable.Table]
	decode   func([]byte) (*routetable.Table, error)
	advanced func() // called after a newer table came into force
}

// OnAdvance sets what is called after a newer table came into force. It must not block. Call it before the first table.
func (r *Routes) OnAdvance(advanced func()) { r.advanced = advanced }

// NewRoutes returns an empty holder that decodes configurations with decode.
func NewRoutes(decode func([]byte) (*routetable.Table, error)) *Routes {
	return &Routes{decode: decode, advanced: func() {}}
}

// Current returns the table in force, or nil before the first one.
func (r *Routes) Current() *routetable.Table { return r.current.Load() }

// Apply takes changes of the configuration's key. A configuration that cannot be used leaves the one in force.
func (r *Routes) Apply(change kvmirror.Change) {
	for _, item := range change.Put {
		table, err := r.decode(item.Value)
		if err != nil {
			klog.ErrorS(err, "Configuration cannot be used", "key", item.Key, "revision", item.ModRevision)
		}
		if table != nil {
			r.advance(table, item.ModRevision)
		}
	}
}

func (r *Routes) advance(table *routetable.Table, revision kv.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := int64(0)
	if current := r.current.Load(); current != nil {
		before = current.Version
	}
	if table.Version <= before {
		klog.InfoS("Configuration is not newer than the one in force", "version", table.Version, "in_force", before)
		return
	}
	r.current.Store(table)
	klog.InfoS("Configuration is in force", "version", table.Version, "before", before, "revision", revision)
	r.advanced()
}

// lapseGrace is how long targets that are missing from the first listing after an outage of the store are kept: their leases ran out
// while they could not renew them, and they register again when the store is back.
const lapseGrace = 2 * time.Second

// TargetList keeps the registered targets and hands them to the board.
type TargetList struct {
	board   *Board
	prefix  string
	decode  func(key string, value []byte) (slots.Target, error)
	changed func() // called after the list changed

	mu      sync.Mutex // guards the fields below; taken before the board's mutex
	targets map[fleet.TargetID]slots.Target
	lapsed  map[fleet.TargetID]time.Time // when targets of before an outage are given up
	digest  uint64
}

// Digest returns a number that is the same at all instances with the same list.
func (l *TargetList) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// NewTargetList returns an empty list of the entries under prefix.
func NewTargetList(board *Board, prefix string, decode func(string, []byte) (slots.Target, error)) *TargetList {
	return &TargetList{
		board:   board,
		prefix:  prefix,
		decode:  decode,
		changed: func() {},
		targets: make(map[fleet.TargetID]slots.Target),
		lapsed:  make(map[fleet.TargetID]time.Time),
	}
}

// OnChange sets what is called after the list changed. It must not block. Call it before the first change.
func (l *TargetList) OnChange(changed func()) { l.changed = changed }

// Settled tells whether no target of before an outage is kept that the store does not list.
func (l *TargetList) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lapsed) == 0
}

// Apply takes changes of the entries.
func (l *TargetList) Apply(change kvmirror.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, item := range change.Put {
		changed = l.put(item) || changed
	}
	for _, key := range change.Removed {
		id := fleet.TargetID(key[len(l.prefix):])
		if _, known := l.targets[id]; !known {
			continue
		}
		if change.AfterOutage {
			l.lapse(id)
			continue
		}
		l.remove(id, "entry was removed")
		changed = true
	}
	if changed {
		l.publish()
	}
}

// put takes one entry and returns whether anything that matters changed; l.mu is held.
func (l *TargetList) put(item kv.KeyValue) bool {
	id := fleet.TargetID(item.Key[len(l.prefix):])
	target, err := l.decode(item.Key, item.Value)
	if err != nil {
		klog.ErrorS(err, "Entry of the target list skipped", "key", item.Key, "revision", item.ModRevision)
		if _, known := l.targets[id]; !known {
			return false
		}
		l.remove(id, "entry cannot be read")
		return true
	}
	delete(l.lapsed, id)
	known, ok := l.targets[id]
	if ok && known == target {
		return false
	}
	l.targets[id] = target
	klog.InfoS("Target is listed", "target", id, "service", target.Service, "address", target.Address, "state", target.State, "slots", target.Slots, "revision", item.ModRevision)
	return true
}

func (l *TargetList) remove(id fleet.TargetID, reason string) {
	delete(l.targets, id)
	delete(l.lapsed, id)
	klog.InfoS("Target is gone", "target", id, "reason", reason)
}

// lapse gives a target up later unless it registers again; l.mu is held.
func (l *TargetList) lapse(id fleet.TargetID) {
	until := time.Now().Add(lapseGrace)
	l.lapsed[id] = until
	klog.InfoS("Target's entry lapsed during an outage of the store, keeping it for a while", "target", id, "grace_ms", lapseGrace.Milliseconds())
	time.AfterFunc(lapseGrace, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.lapsed[id] == until {
			l.remove(id, "entry did not come back after the outage")
			l.publish()
		}
	})
}

// publish hands the list to the board; l.mu is held.
func (l *TargetList) publish() {
	list := make([]slots.Target, 0, len(l.targets))
	for _, t := range l.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b slots.Target) int { return cmp.Compare(a.ID, b.ID) })
	digest := xxhash.New()
	for _, t := range list {
		fmt.Fprintln(digest, t) // a hash takes all writes
	}
	l.digest = digest.Sum64()
	l.board.SetTargets(list)
	l.changed()
}
