package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
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
	// catchUpPeriod is how often an instance without the store asks a peer. A leaving target must be known within two seconds and more.
	catchUpPeriod = 500 * time.Millisecond
	// refresh is how often an instance that follows nothing reads a follower's copies even if the targets are the same, so that members that
	// are gone for good are forgotten.
	refresh = 30 * time.Second
	// catchUpAfter is how long the store is out of reach before a peer is asked.
	catchUpAfter = 200 * time.Millisecond

	statePath = "/v1/state"
)

// CatchUp keeps the copies of the store's keys current from peers: all of them while the store is out of this instance's reach, and those
// of the targets and members at instances that do not follow these in the store. The list of targets changes with every beat of every
// target, and each change of the members would wake all, so that only a few instances of each region follow them. The others hear of
// members from these themselves, and read the copies of a follower when the digest of its targets differs from theirs, and now and then.
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
	pulled  time.Time // when a peer's copies were last read; of Run's goroutine
}

// Copies are the mirrors of an instance.
type Copies struct {
	Config  *kvmirror.Mirror
	Targets *kvmirror.Mirror
	Members *kvmirror.Mirror
}

// named returns the mirrors by the names that instances use between them.
func (c Copies) named() map[string]*kvmirror.Mirror {
	return map[string]*kvmirror.Mirror{"config": c.Config, "targets": c.Targets, "members": c.Members}
}

const (
	// followersPerRegion is the number of instances of each region that follow the list of targets. Two let one be lost without delay.
	followersPerRegion = 2
	// allFollow is the largest fleet in which every instance does.
	allFollow = maxNear
)

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
	copies.Config.OnlyIf(func() bool { return !c.Lost() })
	copies.Targets.OnlyIf(func() bool { return c.follows.Load() && !c.Lost() })
	copies.Members.OnlyIf(func() bool { return c.follows.Load() && !c.Lost() })
	peers.OnState(c.state)
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
		source, ok := c.source(reports)
		if !ok {
			continue
		}
		if err := c.pull(ctx, source); err != nil {
			klog.ErrorS(err, "Peer's copy of the store's keys was not read", "peer", source)
			continue
		}
		c.pulled = time.Now()
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
	if !c.Lost() {
		members = append(members, c.peers.Self())
	}
	follows := len(reports) < allFollow || slices.Contains(membership.Watchers(members, c.region, followersPerRegion), c.self.ID)
	if c.follows.Swap(follows) != follows {
		klog.InfoS("Following targets and members in the store", "follows", follows, "peers", len(reports))
	}
}

// source returns the peer to read from, if any is needed.
func (c *CatchUp) source(reports []PeerReport) (string, bool) {
	var sources []string
	for _, t := range reports {
		if c.helps(t) {
			sources = append(sources, t.Member.PeerAddress)
		}
	}
	if len(sources) == 0 && c.version() == 0 && c.Lost() {
		sources = c.seeds
	}
	if len(sources) == 0 {
		return "", false
	}
	return sources[rand.IntN(len(sources))], true
}

// helps tells whether a peer knows more than this instance.
func (c *CatchUp) helps(t PeerReport) bool {
	switch {
	case c.Lost():
		return !t.Lost || t.Version > c.version()
	case c.follows.Load():
		return false
	}
	differs := t.Targets != c.list.Digest() || time.Since(c.pulled) > refresh
	return !t.Lost && differs && t.Revision > c.copies.Targets.Revision()
}

// pull merges the copies of one peer.
func (c *CatchUp) pull(ctx context.Context, address string) error {
	body, err := c.client.Do(ctx, http.MethodGet, address, statePath, nil, nil, 0)
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
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		state := make(map[string]kvmirror.Snapshot)
		for name, m := range c.copies.named() {
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
