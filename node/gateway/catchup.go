package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/internal/wait"
	"eelgrassproxy.example/node/kvmirror"
)

const (
	// catchUpInterval is the mean interval between two reads of a copy, so that a fleet whose targets change all the time does not read all the time,
	// and between two checks whether to follow the store.
	catchUpInterval = 300 * time.Millisecond
	// pollInterval is the mean interval between two checks of what the peers announce. A change is read with this delay after a time without any.
	pollInterval = 50 * time.Millisecond
	// membersRefreshInterval is the interval at which an instance that does not watch the store reads a peer's copy of the membership records, to
	// drop members that are gone for good. firstMembersRefreshDelay is the delay of the first read. It is short, since instances that start at the
	// same time miss each other in their first listing.
	membersRefreshInterval   = time.Minute
	firstMembersRefreshDelay = 5 * time.Second
	// storeLostDelay is the time for which store calls must have failed before the instance reads from peers instead.
	storeLostDelay = 200 * time.Millisecond

	statePath = "/v1/state"
)

// CatchUp updates this instance's copies of the store's keys from peers: while the store is unreachable, and at all times on instances that
// do not watch the store. In a fleet with a working set only a few instances of each region watch it, so that the number of store calls does
// not grow with the fleet. The others learn of members from the members' own datagrams, and read the copy of a peer whose datagrams announce a
// newer configuration or another list of targets.
type CatchUp struct {
	self           fleet.Member
	peers          *Peers
	routes         *Routes
	list           *TargetList
	copies         Copies
	topology       fleet.Topology
	store          *kv.Reach
	seeds          []string // peer addresses to read from while no peer is known
	client         *PeerClient
	watchesStore   atomic.Bool   // this instance watches the store
	required       chan struct{} // triggers serveRequired
	requiredRead   time.Time     // when readRequired last read the store; used by serveRequired only
	configLag      lag           // of the routing table behind the versions that peers announce; used by maintain only
	targetsLag     lag           // of the copy of the targets behind the revisions that peers announce; used by maintain only
	server         *stateServer
	announced      chan struct{} // a peer announced a change; ends the pause of Run
	readers        []*copyReader
	metrics        tally.Scope
	seed           bool        // other instances start from this one; see SetSeed
	lists          func() bool // draws whether this instance lists from the store at once when a large fleet starts
	fleetSize      sync.Once   // guards the call that decides large
	large          bool        // the fleet is too large for this instance to list everything at the start
	writtenLarge   atomic.Bool // whether fleetSizeKey exists, as far as is known
	seenLarge      bool        // whether the fleet is large, and since when; used by maintain only
	seenLargeSince time.Time
}

// Copies are an instance's mirrors of the store's keys.
type Copies struct {
	Config  *kvmirror.Mirror
	Targets *kvmirror.Mirror
	Members *kvmirror.Mirror
}

// Names of the copies in calls between instances.
const (
	copyConfig  = "config"
	copyTargets = "targets"
	copyMembers = "members"
)

var allCopies = []string{copyConfig, copyTargets, copyMembers}

// byName returns the mirrors by the names of the copies.
func (c Copies) byName() map[string]*kvmirror.Mirror {
	return map[string]*kvmirror.Mirror{copyConfig: c.Config, copyTargets: c.Targets, copyMembers: c.Members}
}

// DelayFirstListing postpones the first listing of each mirror by d, so that it includes the keys that other starting processes are about to
// write. Call it before the mirrors run.
func (c Copies) DelayFirstListing(d time.Duration) {
	for _, m := range c.byName() {
		m.DelayFirstListing(d)
	}
}

// firstWatchDelay is the time from the first listing to the first watch. By then the instance has learned of the others and has decided whether it
// watches the store at all.
const firstWatchDelay = 800 * time.Millisecond

// watchersPerRegion is the number of instances of each region that watch the store in a fleet with a working set. With two, the loss of one
// delays no update.
const watchersPerRegion = 2

// NewCatchUp returns a CatchUp for the instance self and registers its callbacks at peers, routes, list and the mirrors in copies. Call it
// before these run.
func NewCatchUp(self fleet.Member, topology fleet.Topology, peers *Peers, routes *Routes, list *TargetList, copies Copies, reach *kv.Reach,
	client *PeerClient, seeds []string) *CatchUp {
	c := &CatchUp{
		self:      self,
		topology:  topology,
		peers:     peers,
		routes:    routes,
		list:      list,
		copies:    copies,
		store:     reach,
		seeds:     seeds,
		client:    client,
		required:  make(chan struct{}, 1),
		announced: make(chan struct{}, 1),
		metrics:   tally.NoopScope,
		lists:     func() bool { return rand.Float64() < startListerShare },
	}
	c.watchesStore.Store(true)
	c.server = newStateServer(copies.byName(), self.FailureDomain, topology, func(name string) bool {
		return name != copyTargets || list.Settled() // the mirror lacks targets that are expected to register again after an outage
	})
	for _, name := range allCopies {
		r := &copyReader{name: name, mirror: copies.byName()[name], failed: make(map[string]time.Time)}
		if name == copyMembers {
			r.nextRefresh = time.Now().Add(firstMembersRefreshDelay)
		}
		c.readers = append(c.readers, r)
		r.mirror.AwaitFirstCopy(func(ctx context.Context) { c.awaitFirstCopy(ctx, r) })
	}
	for _, m := range copies.byName() {
		m.FollowWhile(func() bool { return c.watchesStore.Load() && !c.StoreLost() })
		m.DelayFirstWatch(firstWatchDelay)
	}
	peers.SetStateSource(c.syncState)
	routes.OnAdvance(peers.Announce)
	routes.OnRequire(func() { wait.Wake(c.required) })
	list.OnChange(func() { peers.announceList(c.watchesStore.Load()) })
	peers.OnAnnounced(func() { wait.Wake(c.announced) })
	return c
}

// SetMetrics sets the scope for the metrics. Call it before Run.
func (c *CatchUp) SetMetrics(scope tally.Scope) { c.metrics, c.server.metrics = scope, scope }

// SetSeed states that other instances are configured to start from this one. It then lists from the store at once when it starts. Call it before the
// mirrors run.
func (c *CatchUp) SetSeed() { c.seed = true }

// syncState returns the part of this instance's datagrams that describes its copies.
func (c *CatchUp) syncState() SyncState {
	digests := c.list.Digests()
	return SyncState{
		StoreLost: c.StoreLost(), Version: c.version(), Targets: digests.Placement, Registrations: digests.Registrations,
		Revision: c.copies.Targets.Revision(), Watches: c.watchesStore.Load(),
	}
}

// version returns the version of the routing table in force, or 0 without one.
func (c *CatchUp) version() int64 { return c.routes.Version() }

// StoreLost reports whether the store has been unreachable for this instance for longer than storeLostDelay.
func (c *CatchUp) StoreLost() bool {
	return c.store.Lost() > storeLostDelay
}

// Run reads copies from peers whenever they are needed, until ctx ends.
func (c *CatchUp) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.serveRequired(ctx) })
	group.Go(func() { c.maintain(ctx) })
	defer group.Wait()
	for c.awaitChange(ctx) {
		reports := c.peers.Reports()
		for _, r := range c.readers {
			if !r.busy.CompareAndSwap(false, true) {
				continue
			}
			sources := c.chooseSources(r, reports, time.Now())
			if len(sources) == 0 {
				r.busy.Store(false)
				continue
			}
			group.Go(func() {
				defer r.busy.Store(false)
				c.read(ctx, r, sources)
			})
		}
	}
}

// awaitChange waits until a peer announces a change, at most for about pollInterval. It returns false if ctx ends.
func (c *CatchUp) awaitChange(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval/2 + rand.N(pollInterval))
	defer timer.Stop()
	select {
	case <-c.announced:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// maintain checks the store, and decides whether to follow it, at intervals until ctx ends.
func (c *CatchUp) maintain(ctx context.Context) {
	for wait.For(ctx, catchUpInterval/2+rand.N(catchUpInterval)) {
		if c.StoreLost() {
			c.probe(ctx)
		}
		reports := c.peers.Reports()
		c.updateWatching(reports)
		c.relistIfBehind(reports, time.Now())
		c.maintainFleetSize(ctx, reports, time.Now())
	}
}

// probeTimeout bounds the call that checks whether the store is reachable again.
const probeTimeout = 300 * time.Millisecond

// probe reads a small key from the store. Any response ends the state that StoreLost reports, even one that the key does not exist. It is needed
// since mirrors that have a copy make no calls while the store counts as lost.
func (c *CatchUp) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(kv.AllowStale(kv.WithPurpose(ctx, "probe")), probeTimeout)
	defer cancel()
	if _, err := c.store.Get(ctx, probeKey); err != nil && !errors.Is(err, kv.ErrNotFound) {
		klog.V(1).InfoS("Store is still unreachable", "error", err.Error())
	}
}

// probeKey is the key that probe reads. It need not exist.
const probeKey = "/eelgrass/probe"

// updateWatching decides whether this instance watches the store: all do in a fleet without a working set, a few in each region otherwise.
func (c *CatchUp) updateWatching(reports []PeerReport) {
	members := availableMembers(reports)
	if !c.StoreLost() && c.peers.Serves() {
		members = append(members, c.peers.Self())
	}
	watches := !c.peers.hasWorkingSet() || slices.Contains(membership.Watchers(members, c.topology, watchersPerRegion), c.self.ID)
	if c.watchesStore.Swap(watches) != watches {
		klog.InfoS("Following targets and members in the store", "follows", watches, "candidates", len(members))
	}
}

const (
	// watchLagTimeout is how long a watch may miss a change that a peer announces. An instance has two seconds or more to learn that a target is
	// leaving.
	watchLagTimeout = 500 * time.Millisecond
	// minRelistInterval is the minimum interval between two such listings of the same keys, in case they do not bring what the peer announces.
	minRelistInterval = 2 * time.Second
)

// lag is how far the copy of an instance that watches the store is behind what peers announce.
type lag struct {
	announced  int64     // the revision or version announced when the copy was first seen to be behind; 0 while it is not
	since      time.Time // when that was
	relistedAt time.Time
}

// mustRelist records the newest announced revision or version, and reports whether the copy has missed an announced one for watchLagTimeout.
func (l *lag) mustRelist(current, newest int64, now time.Time) bool {
	switch {
	case newest <= current:
		l.announced = 0
		return false
	case l.announced <= current:
		l.announced, l.since = newest, now
	}
	if now.Sub(l.since) < watchLagTimeout || now.Sub(l.relistedAt) < minRelistInterval {
		return false
	}
	l.relistedAt = now
	return true
}

// relistIfBehind lists keys again whose watch is behind the copies of peers: the store may hold the call of a watch while it answers all others.
func (c *CatchUp) relistIfBehind(reports []PeerReport, now time.Time) {
	if c.StoreLost() || !c.watchesStore.Load() {
		c.configLag.announced, c.targetsLag.announced = 0, 0
		return
	}
	digests := c.list.Digests()
	var version, revision int64
	for _, report := range reports {
		if report.StoreLost {
			continue
		}
		version = max(version, report.Version)
		if digests.differ(report.SyncState) {
			revision = max(revision, int64(report.Revision))
		}
	}
	if current := c.version(); c.configLag.mustRelist(current, version, now) {
		klog.InfoS("Watch is behind the peers, listing again", "copy", copyConfig, "version", current, "announced", version)
		c.copies.Config.Relist()
	}
	if current := int64(c.copies.Targets.Revision()); c.targetsLag.mustRelist(current, revision, now) {
		klog.InfoS("Watch is behind the peers, listing again", "copy", copyTargets, "revision", current, "announced", revision)
		c.copies.Targets.Relist()
	}
}

// Handle registers the handler from which peers read this instance's copies.
func (c *CatchUp) Handle(mux *http.ServeMux) { mux.Handle("GET "+statePath, c.server) }
