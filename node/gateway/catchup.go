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
	// catchUpPeriod is how often an instance looks whether a peer has something newer. A leaving target must be known within two seconds and more.
	catchUpPeriod = 300 * time.Millisecond
	// refresh is how often an instance that follows nothing reads a peer's copy of the members, so that those that are gone for good are
	// forgotten. firstRefresh is when it does so first: those that start together do not know each other at first.
	refresh      = time.Minute
	firstRefresh = 5 * time.Second
	// catchUpAfter is how long the store is out of reach before a peer is asked.
	catchUpAfter = 200 * time.Millisecond

	statePath = "/v1/state"
)

// CatchUp keeps the copies of the store's keys current from peers while the store is out of this instance's reach, and at instances that do
// not follow it. In a fleet with a working set, a few instances of each region follow the store, so that its calls do not grow with the fleet.
// The others hear of members from these themselves, and read a copy of a peer that tells of a newer configuration or another list of targets.
type CatchUp struct {
	self    fleet.Member
	peers   *Peers
	routes  *Routes
	list    *TargetList
	copies  Copies
	region  fleet.Topology
	reach   *kv.Reach
	seeds   []string // peer addresses to ask while no peer is known
	client  *PeerClient
	follows atomic.Bool
	renew   time.Time // when the members' copy is to be read again; of Run's goroutine
}

// Copies are the mirrors of an instance.
type Copies struct {
	Config  *kvmirror.Mirror
	Targets *kvmirror.Mirror
	Members *kvmirror.Mirror
}

// Names of the copies between instances.
const (
	copyConfig  = "config"
	copyTargets = "targets"
	copyMembers = "members"
)

var allCopies = []string{copyConfig, copyTargets, copyMembers}

// named returns the mirrors by name.
func (c Copies) named() map[string]*kvmirror.Mirror {
	return map[string]*kvmirror.Mirror{copyConfig: c.Config, copyTargets: c.Targets, copyMembers: c.Members}
}

// Delay lets the first listings wait for what others are about to write. Call it before the mirrors run.
func (c Copies) Delay(d time.Duration) {
	for _, m := range c.named() {
		m.Delay(d)
	}
}

// settle is the time from the first listing to the first watch: the other instances are known by then, and whether to follow.
const settle = 800 * time.Millisecond

// followersPerRegion is the number of instances of each region that follow the list of targets in a fleet with a working set. Two let one be
// lost without delay.
const followersPerRegion = 2

// NewCatchUp returns a CatchUp of an instance.
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

// state is what peers are told.
func (c *CatchUp) state() SyncState {
	digest := c.list.Digest()
	return SyncState{Lost: c.Lost(), Version: c.version(), Targets: digest, Revision: c.copies.Targets.Revision()}
}

func (c *CatchUp) version() int64 {
	if table := c.routes.Current(); table != nil {
		return table.Version
	}
	return 0
}

// Lost tells whether the store is out of this instance's reach.
func (c *CatchUp) Lost() bool {
	return c.reach.Lost() > catchUpAfter
}

// Run asks peers while that is needed, until ctx ends.
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
			klog.ErrorS(err, "Peer's copies of the store's keys were not read", "peer", source, "copies", wanted)
			continue
		}
		if slices.Contains(wanted, copyMembers) {
			c.renew = time.Now().Add(refresh)
		}
	}
}

// probeTimeout bounds the call that looks whether the store is back.
const probeTimeout = 300 * time.Millisecond

// probe asks the store for something small. Its answer, whatever it says, ends Lost; the mirrors ask nothing until then.
func (c *CatchUp) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(kv.AllowStale(kv.WithPurpose(ctx, "probe")), probeTimeout)
	defer cancel()
	if _, err := c.reach.Get(ctx, probeKey); err != nil && !errors.Is(err, kv.ErrNotFound) {
		klog.V(1).InfoS("Store is still out of reach", "error", err.Error())
	}
}

// probeKey need not exist.
const probeKey = "/eelgrass/probe"

// arrange decides whether this instance follows the list of targets in the store.
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

// source returns the peer to read from, and which copies, if any are needed: one of the nearest that have the most of what this instance
// lacks.
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

// lacks returns the copies that a peer has newer than this instance, which does not read them in the store.
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

// pull merges copies of one peer.
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

// Handle adds the call that peers make to the mux.
func (c *CatchUp) Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		wanted := r.URL.Query()["copy"]
		state := make(map[string]kvmirror.Snapshot)
		for name, m := range c.copies.named() {
			if !slices.Contains(wanted, name) {
				continue
			}
			if m == c.copies.Targets && !c.list.Settled() {
				continue // the copy lacks targets that are about to come back
			}
			state[name] = m.Snapshot()
		}
		body, err := json.Marshal(state)
		if err != nil {
			klog.ErrorS(err, "Copies of the store's keys could not be encoded")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body) // a peer that has gone asks another one
	})
}
