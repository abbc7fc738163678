package gateway

import (
	"cmp"
	"context"
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

// Routes holds the routing table in force. The version of the table never decreases. Routes is safe for concurrent use.
type Routes struct {
	mu        sync.Mutex // serializes writers; readers load current without it
	current   atomic.Pointer[routetable.Table]
	decode    func([]byte) (*routetable.Table, error)
	onAdvance func()        // called with mu held after a newer table came into force
	required  atomic.Int64  // see Require
	onRequire func()        // called when a newer version is required
	advanced  chan struct{} // closed and replaced, with mu held, when a newer table came into force
	since     time.Time     // when the present table came into force; guarded by mu
	settled   int64         // the newest version before that had been in force for settleTime; guarded by mu
}

// OnAdvance sets the callback that runs after a newer table came into force. It must not block. Call OnAdvance before the first Apply.
func (r *Routes) OnAdvance(advanced func()) { r.onAdvance = advanced }

// NewRoutes returns Routes without a table. decode may return a table together with an error: the table is then used, and each error that errors.Join
// joined into it is logged as an entry that the table lacks.
func NewRoutes(decode func([]byte) (*routetable.Table, error)) *Routes {
	return &Routes{decode: decode, onAdvance: func() {}, onRequire: func() {}, advanced: make(chan struct{})}
}

// OnRequire sets the callback that runs when Require is called with a newer version than the one in force. It must not block. Call OnRequire before
// the first Require.
func (r *Routes) OnRequire(required func()) { r.onRequire = required }

// Require states that a version is known to have been in force elsewhere and that this instance needs it.
func (r *Routes) Require(version int64) {
	inForce := r.Version()
	if version <= inForce {
		return
	}
	for before := r.required.Load(); before < version; before = r.required.Load() {
		if r.required.CompareAndSwap(before, version) {
			klog.InfoS("Configuration is behind", "in_force", inForce, "required", version)
		}
	}
	r.onRequire()
}

// Await requires a version, waits until the table in force has at least that one or ctx ends, and returns the table in force.
func (r *Routes) Await(ctx context.Context, version int64) *routetable.Table {
	for {
		r.Require(version)
		r.mu.Lock()
		table, advanced := r.Current(), r.advanced
		r.mu.Unlock()
		if table != nil && table.Version >= version {
			return table
		}
		select {
		case <-advanced:
		case <-time.After(requiredInterval):
		case <-ctx.Done():
			return r.Current()
		}
	}
}

// Required returns the newest version of Require.
func (r *Routes) Required() int64 { return r.required.Load() }

// Version returns the version of the table in force, or 0 before the first one.
func (r *Routes) Version() int64 {
	if table := r.Current(); table != nil {
		return table.Version
	}
	return 0
}

// settleTime is the time in which the instances of a fleet get a version from each other that one of them has.
const settleTime = time.Second

// Settled returns the newest version that has been in force for settleTime, or 0 if there is none. An instance that lacks it is further behind than
// others usually are after a change.
func (r *Routes) Settled() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.since) >= settleTime {
		return r.Version()
	}
	return r.settled
}

// Current returns the table in force, or nil before the first one.
func (r *Routes) Current() *routetable.Table { return r.current.Load() }

// Apply applies changes of the configuration's key. A configuration that decodes to no table, or is not newer, leaves the present table in
// force; so does the removal of the key.
func (r *Routes) Apply(change kvmirror.Change) {
	for _, item := range change.Put {
		table, err := r.decode(item.Value)
		switch {
		case err != nil && table == nil:
			klog.ErrorS(err, "Configuration cannot be used", "key", item.Key, "revision", item.ModRevision)
		case err != nil:
			logLeftOut(err, item)
		}
		if table != nil {
			r.advance(table, item.ModRevision)
		}
	}
}

// maxLeftOutLogged is the maximum number of entries of one configuration that are logged as left out.
const maxLeftOutLogged = 100

// logLeftOut logs the entries of a configuration that its table lacks, one line each.
func logLeftOut(err error, item kv.KeyValue) {
	causes := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		causes = joined.Unwrap()
	}
	for _, cause := range causes[:min(len(causes), maxLeftOutLogged)] {
		klog.ErrorS(cause, "Entry of the configuration skipped", "key", item.Key, "revision", item.ModRevision)
	}
	if more := len(causes) - maxLeftOutLogged; more > 0 {
		klog.ErrorS(nil, "Further entries of the configuration skipped", "key", item.Key, "revision", item.ModRevision, "entries", more)
	}
}

// advance puts a table in force if it is newer than the present one.
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
	now := time.Now()
	if now.Sub(r.since) >= settleTime {
		r.settled = before
	}
	r.since = now
	r.current.Store(table)
	klog.InfoS("Configuration is in force", "version", table.Version, "before", before, "revision", revision)
	close(r.advanced)
	r.advanced = make(chan struct{})
	r.onAdvance()
}

// lapseGrace is how long targets that are missing in the first listing after an outage of the store are kept. Their leases expired because they
// could not be renewed, and the targets register again once the store is back.
const lapseGrace = 2 * time.Second

// TargetList maintains the list of registered targets and passes it to the board after each change. It is safe for concurrent use.
type TargetList struct {
	board    *Board
	prefix   string
	decode   func(key string, value []byte) (slots.Target, error)
	onChange func() // called with mu held after the list changed

	mu      sync.Mutex // guards the fields below; taken before the board's mutex
	targets map[fleet.TargetID]slots.Target
	dropAt  map[fleet.TargetID]time.Time // when to drop targets whose entries disappeared in an outage
	skipped map[fleet.TargetID]string    // logged reason for skipping the present entry
	digests TargetDigests
}

// TargetDigests are hashes of a list of targets. They are 0 before the first change.
type TargetDigests struct {
	// Placement covers what decides where requests go. It is equal on all instances with the same list, also on those of builds that announce
	// no other one.
	Placement     uint64
	Registrations uint64 // covers all fields
}

// differ reports whether a peer that announces its digests has another list. Earlier builds announce 0 as Registrations.
func (d TargetDigests) differ(announced SyncState) bool {
	return announced.Targets != d.Placement || announced.Registrations != 0 && announced.Registrations != d.Registrations
}

const (
	// maxSkippedLogged is the maximum number of entries whose reasons for being skipped are kept; further ones are not logged.
	maxSkippedLogged = 100
	// maxReasonBytes bounds a logged reason, which may quote the entry.
	maxReasonBytes = 200
)

// Digests returns the hashes of the list.
func (l *TargetList) Digests() TargetDigests {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digests
}

// NewTargetList returns an empty list of the targets whose entries have keys under prefix. decode decodes one entry.
func NewTargetList(board *Board, prefix string, decode func(string, []byte) (slots.Target, error)) *TargetList {
	return &TargetList{
		board:    board,
		prefix:   prefix,
		decode:   decode,
		onChange: func() {},
		targets:  make(map[fleet.TargetID]slots.Target),
		dropAt:   make(map[fleet.TargetID]time.Time),
		skipped:  make(map[fleet.TargetID]string),
	}
}

// OnChange sets the callback that runs after the list changed. It must not block or call the list. Call OnChange before the first Apply.
func (l *TargetList) OnChange(changed func()) { l.onChange = changed }

// Settled reports whether the store lists all targets of the list, so that none is only kept for lapseGrace after an outage.
func (l *TargetList) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.dropAt) == 0
}

// Apply applies changes of the entries in the store. An entry that cannot be decoded removes only its own target.
func (l *TargetList) Apply(change kvmirror.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	var entries []slots.Entry
	for _, item := range change.Put {
		changed = l.applyEntry(item) || changed
		if target, ok := l.targets[fleet.TargetID(item.Key[len(l.prefix):])]; ok {
			entries = append(entries, slots.Entry{Target: target, Revision: int64(item.ModRevision)})
		}
	}
	for _, key := range change.Removed {
		id := fleet.TargetID(key[len(l.prefix):])
		delete(l.skipped, id)
		if _, known := l.targets[id]; !known {
			continue
		}
		if change.AfterOutage {
			l.dropLater(id)
			continue
		}
		l.remove(id, "entry was removed")
		changed = true
	}
	if changed {
		l.publish()
	}
	l.board.ApplyEntries(entries, slots.Horizon{At: change.Horizon.At, Revision: int64(change.Horizon.Revision)})
}

// applyEntry applies one entry and reports whether the list changed; l.mu is held.
func (l *TargetList) applyEntry(item kv.KeyValue) bool {
	id := fleet.TargetID(item.Key[len(l.prefix):])
	target, err := l.decode(item.Key, item.Value)
	if err != nil {
		l.logSkipped(id, item, err)
		if _, known := l.targets[id]; !known {
			return false
		}
		l.remove(id, "entry cannot be decoded")
		return true
	}
	delete(l.dropAt, id)
	delete(l.skipped, id)
	known, ok := l.targets[id]
	if ok && known == target {
		return false
	}
	l.targets[id] = target
	klog.InfoS("Target is listed", "target", id, "service", target.Service, "address", target.Address, "state", target.State, "slots", target.Slots, "revision", item.ModRevision)
	return true
}

// logSkipped logs an entry that cannot be decoded, once for each reason: its writer may change it as often as targets change theirs; l.mu is held.
func (l *TargetList) logSkipped(id fleet.TargetID, item kv.KeyValue, err error) {
	reason := err.Error()
	reason = reason[:min(len(reason), maxReasonBytes)]
	logged, known := l.skipped[id]
	if logged == reason || !known && len(l.skipped) >= maxSkippedLogged {
		return
	}
	l.skipped[id] = reason
	klog.ErrorS(nil, "Entry of the target list skipped", "key", item.Key, "revision", item.ModRevision, "reason", reason)
}

// remove drops a target from the list; l.mu is held.
func (l *TargetList) remove(id fleet.TargetID, reason string) {
	delete(l.targets, id)
	delete(l.dropAt, id)
	klog.InfoS("Target is gone", "target", id, "reason", reason)
}

// dropLater removes a target after lapseGrace, unless it registers again before; l.mu is held.
func (l *TargetList) dropLater(id fleet.TargetID) {
	until := time.Now().Add(lapseGrace)
	l.dropAt[id] = until
	klog.InfoS("Target's entry lapsed during an outage of the store, keeping it for a while", "target", id, "grace_ms", lapseGrace.Milliseconds())
	time.AfterFunc(lapseGrace, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.dropAt[id] == until {
			l.remove(id, "entry was not registered again after the outage")
			l.publish()
		}
	})
}

// awaitsHorizon reports whether the list is to be read again because of a target that said that it is leaving; see horizonDelay.
func (l *TargetList) awaitsHorizon() bool { return l.board.awaitsHorizon() }

// publish updates the digests and passes the list to the board; l.mu is held.
func (l *TargetList) publish() {
	list := make([]slots.Target, 0, len(l.targets))
	for _, t := range l.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b slots.Target) int { return cmp.Compare(a.ID, b.ID) })
	placement, registrations := xxhash.New(), xxhash.New()
	for _, t := range list {
		// Writes to a hash do not fail. Fields that are added to targets must not change the first hash.
		fmt.Fprintln(placement, struct {
			fleet.Target
			Slots int
		}{t.Target, t.Slots})
		fmt.Fprintln(registrations, t)
	}
	l.digests = TargetDigests{Placement: placement.Sum64(), Registrations: registrations.Sum64()}
	l.board.SetTargets(list)
	l.onChange()
}
