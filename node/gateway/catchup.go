package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/httpcall"
	"eelgrassproxy.example/node/internal/wait"
	"eelgrassproxy.example/node/kvmirror"
)

const (
	// catchUpPeriod is how often an instance without the store asks a peer. A leaving target must be known within two seconds and more.
	catchUpPeriod = 500 * time.Millisecond
	// catchUpAfter is how long the store is out of reach before a peer is asked.
	catchUpAfter = 200 * time.Millisecond
	// catchUpTimeout bounds a call to a peer.
	catchUpTimeout = 500 * time.Millisecond
	// maxState bounds a peer's answer: a few hundred bytes for each target and route.
	maxState = 8 << 20

	statePath = "/v1/state"
)

// CatchUp keeps the copies of the store's keys current from peers while the store is out of this instance's reach.
type CatchUp struct {
	peers   *Peers
	routes  *Routes
	mirrors map[string]*kvmirror.Mirror // by a name that all instances share
	seeds   []string                    // peer addresses to ask while no peer is known
	client  *http.Client
}

// NewCatchUp returns a CatchUp over the mirrors.
func NewCatchUp(peers *Peers, routes *Routes, mirrors map[string]*kvmirror.Mirror, seeds []string) *CatchUp {
	dialer := &net.Dialer{Timeout: catchUpTimeout}
	c := &CatchUp{
		peers:   peers,
		routes:  routes,
		mirrors: mirrors,
		seeds:   seeds,
		client:  &http.Client{Timeout: catchUpTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: 5 * time.Second}},
	}
	peers.OnState(c.state)
	return c
}

// state returns whether the store is out of reach, and the version of the routing table.
func (c *CatchUp) state() (bool, int64) {
	return c.lost() > catchUpAfter, c.version()
}

func (c *CatchUp) version() int64 {
	if table := c.routes.Current(); table != nil {
		return table.Version
	}
	return 0
}

// lost returns for how long the store has been out of reach.
func (c *CatchUp) lost() time.Duration {
	longest := time.Duration(0)
	for _, m := range c.mirrors {
		longest = max(longest, m.Lost())
	}
	return longest
}

// Lost tells whether the store is out of this instance's reach.
func (c *CatchUp) Lost() bool { return c.lost() > catchUpAfter }

// Run asks peers while that is needed, until ctx ends.
func (c *CatchUp) Run(ctx context.Context) {
	for wait.For(ctx, catchUpPeriod/2+rand.N(catchUpPeriod)) {
		if c.lost() < catchUpAfter {
			continue
		}
		sources := c.peers.Sources(c.version())
		if len(sources) == 0 && c.version() == 0 {
			sources = c.seeds
		}
		if len(sources) == 0 {
			continue
		}
		source := sources[rand.IntN(len(sources))]
		if err := c.pull(ctx, source); err != nil {
			klog.ErrorS(err, "Peer's copy of the store's keys was not read", "peer", source)
		}
	}
}

// pull merges the copies of one peer.
func (c *CatchUp) pull(ctx context.Context, address string) error {
	target := httpcall.BaseURL(address)
	target.Path = statePath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("peer answered status %d", response.StatusCode)
	}
	var state map[string]kvmirror.Snapshot
	if err := json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&state); err != nil {
		return err
	}
	for name, snapshot := range state {
		if m, ok := c.mirrors[name]; ok {
			m.Merge(snapshot)
		}
	}
	return nil
}

// Handle adds the call that peers make to the mux.
func (c *CatchUp) Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		state := make(map[string]kvmirror.Snapshot, len(c.mirrors))
		for name, m := range c.mirrors {
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
