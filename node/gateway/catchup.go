package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/internal/wait"
	"eelgrassproxy.example/node/kvmirror"
)

const (
	// catchUpPeriod is the mean interval between two checks for newer copies at peers. An instance has two seconds or
	// more to learn that a target is leaving.
	catchUpPeriod = 300 * time.Millisecond
	// refresh is the interval at which an instance that does not watch the store reads a peer's copy of the membership records, to drop members
	// that are gone for good. firstRefresh is the delay of the first read. It is short, since instances that start at the same time miss
	// each other in their first listing.
	refresh      = time.Minute
	firstRefresh = 5 * time.Second
	// catchUpAfter is the time for which store calls must have failed before the instance reads from peers instead.
	catchUpAfter = 200 * time.Millisecond

	statePath = "/v1/state"
)

// CatchUp updates this instance's copies of the store's keys from peers: while the store is unreachable, and at all times on instances that
// do not watch the store. In a fleet with a working set only a few instances of each region watch it, so that the number of store calls does
// not grow with the fleet. The others learn of members from the members' own datagrams, and read the copy of a peer whose datagrams announce a
// newer configuration or another list of targets.
type CatchUp struct {
	self    fleet.Member
	peers   *Peers
	routes  *Routes
	list    *TargetList
	copies  Copies
	region  fleet.Topology
	reach   *kv.Reach
	seeds   []string // peer addresses to read from while no peer is known
	client  *PeerClient
	follows atomic.Bool // this instance watches the store
	renew   time.Time   // when the membership records are to be read from a peer again; used by Run's goroutine only
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

// named returns the mirrors by the names that calls between instances use.
func (c Copies) named() map[string]*kvmirror.Mirror {
	return map[string]*kvmirror.Mirror{copyConfig: c.Config, copyTargets: c.Targets, copyMembers: c.Members}
}

// Delay postpones the first listing of each mirror by d, so that it includes the keys that other starting processes are about to write. Call
// it before the mirrors run.
func (c Copies) Delay(d time.Duration) {
	for _, m := range c.named() {
		m.Delay(d)
	}
}

// settle is the time from the first listing to the first watch. By then the instance has learned of the others and has decided whether it
// watches the store at all.
const settle = 800 * time.Millisecond

// followersPerRegion is the number of instances of each region that watch the store in a fleet with a working set. With two, the loss of one
// delays no update.
const followersPerRegion = 2

// NewCatchUp returns a CatchUp for the instance self and registers its callbacks at peers, routes, list and the mirrors in copies. Call it
// before these run.
func NewCatchUp(self fleet.Member, topology fleet.Topology, peers *Peers, routes *Routes, list *TargetList, copies Copies, reach *kv.Reach,
	client *PeerClient, seeds []string) *CatchUp {
	c := &CatchUp{
		self:   self,
		region: topology,
		peers:  peers,
		routes: routes,
		list:   list,
		copies: copies,
		reach:  reach,
		seeds:  seeds,
		client: client,
	}
	c.follows.Store(true)
	c.renew = time.Now().Add(firstRefresh)
	for _, m := range copies.named() {
		m.OnlyIf(func() bool { return c.follows.Load() && !c.Lost() })
		m.Settle(settle)
	}
	peers.OnState(c.state)
	routes.OnAdvance(peers.Announce)
	list.OnChange(func() {
		if c.follows.Load() {
			peers.Announce()
		}
	})
	return c
}

// state returns the part of this instance's datagrams that describes its copies.
func (c *CatchUp) state() SyncState {
	digest := c.list.Digest()
	return SyncState{Lost: c.Lost(), Version: c.version(), Targets: digest, Revision: c.copies.Targets.Revision()}
}

// version returns the version of the routing table in force, or 0 without one.
func (c *CatchUp) version() int64 {
	if table := c.routes.Current(); table != nil {
		return table.Version
	}
	return 0
}

// Lost reports whether the store has been unreachable for this instance for longer than a short failure.
func (c *CatchUp) Lost() bool {
	return c.reach.Lost() > catchUpAfter
}

// Run reads copies from peers whenever they are needed, until ctx ends.
func (c *CatchUp) Run(ctx context.Context) {
	for wait.For(ctx, catchUpPeriod/2+rand.N(catchUpPeriod)) {
		if c.Lost() {
			c.probe(ctx)
		}
		reports := c.peers.Reports()
		c.arrange(reports)
		source, wanted := c.source(reports)
		if len(wanted) == 0 {
			continue
		}
		if err := c.pull(ctx, source, wanted); err != nil {
			klog.ErrorS(err, "Failed to read copies of the store's keys from a peer", "peer", source, "copies", wanted)
			continue
		}
		if slices.Contains(wanted, copyMembers) {
			c.renew = time.Now().Add(refresh)
		}
	}
}

// probeTimeout bounds the call that checks whether the store is reachable again.
const probeTimeout = 300 * time.Millisecond

// probe reads a small key from the store. Any response ends the state that Lost reports, even one that the key does not exist. It is needed
// since the mirrors make no calls while the store counts as lost.
func (c *CatchUp) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(kv.AllowStale(kv.WithPurpose(ctx, "probe")), probeTimeout)
	defer cancel()
	if _, err := c.reach.Get(ctx, probeKey); err != nil && !errors.Is(err, kv.ErrNotFound) {
		klog.V(1).InfoS("Store is still unreachable", "error", err.Error())
	}
}

// probeKey is the key that probe reads. It need not exist.
const probeKey = "/eelgrass/probe"

// arrange decides whether this instance watches the store: all do in a fleet without a working set, a few in each region otherwise.
func (c *CatchUp) arrange(reports []PeerReport) {
	members := reaching(reports)
	if !c.Lost() && c.peers.Serves() {
		members = append(members, c.peers.Self())
	}
	follows := !c.peers.large() || slices.Contains(membership.Watchers(members, c.region, followersPerRegion), c.self.ID)
	if c.follows.Swap(follows) != follows {
		klog.InfoS("Following targets and members in the store", "follows", follows, "candidates", len(members))
	}
}

// source returns the address of a peer to read from and the names of the copies to read there, or none if no copy is needed. Of the peers that
// have the largest number of newer copies, it draws one of the nearest.
func (c *CatchUp) source(reports []PeerReport) (string, []string) {
	var sources, wanted []string
	least := fleet.OtherRegion
	for _, t := range reports {
		distance := c.region.Distance(c.self.FailureDomain, t.Member.FailureDomain)
		lacks := c.lacks(t)
		switch {
		case len(lacks) == 0 || len(lacks) < len(wanted) || len(lacks) == len(wanted) && distance > least:
			continue
		case len(lacks) > len(wanted) || distance < least:
			least, wanted, sources = distance, lacks, nil
		}
		sources = append(sources, t.Member.PeerAddress)
	}
	if len(sources) == 0 && c.version() == 0 && c.Lost() {
		sources, wanted = c.seeds, allCopies
	}
	if len(sources) == 0 {
		return "", nil
	}
	return sources[rand.IntN(len(sources))], wanted
}

// lacks returns the names of the copies to read from a peer because its datagrams announce newer ones. There are none while this instance
// watches the store itself.
func (c *CatchUp) lacks(t PeerReport) []string {
	switch {
	case c.Lost() && (!t.Lost || t.Version > c.version()):
		return allCopies
	case c.Lost() || c.follows.Load() || t.Lost:
		return nil
	}
	var lacks []string
	if t.Version > c.version() {
		lacks = append(lacks, copyConfig)
	}
	if t.Targets != c.list.Digest() && t.Revision > c.copies.Targets.Revision() {
		lacks = append(lacks, copyTargets)
	}
	if time.Now().After(c.renew) {
		lacks = append(lacks, copyMembers)
	}
	return lacks
}

// pull reads the wanted copies of one peer and merges them into the mirrors.
func (c *CatchUp) pull(ctx context.Context, address string, wanted []string) error {
	body, err := c.client.Do(ctx, http.MethodGet, address, statePath, url.Values{"copy": wanted}, nil, 0)
	if err != nil {
		return err
	}
	var state map[string]kvmirror.Snapshot
	if err := json.Unmarshal(body, &state); err != nil {
		return err
	}
	for name, snapshot := range state {
		if m, ok := c.copies.named()[name]; ok {
			m.Merge(snapshot)
		}
	}
	return nil
}

// Handle registers the handler from which peers read this instance's copies.
func (c *CatchUp) Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		wanted := r.URL.Query()["copy"]
		state := make(map[string]kvmirror.Snapshot)
		for name, m := range c.copies.named() {
			if !slices.Contains(wanted, name) {
				continue
			}
			if m == c.copies.Targets && !c.list.Settled() {
				continue // targets that are kept after an outage are missing in the mirror
			}
			state[name] = m.Snapshot()
		}
		body, err := json.Marshal(state)
		if err != nil {
			klog.ErrorS(err, "Failed to encode copies of the store's keys")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body) // a peer whose connection failed reads from another instance
	})
}
