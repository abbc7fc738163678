package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// requiredReadInterval is the minimum interval between two reads of the configuration from the store because a version is required. Such calls
	// are billed, and one is enough unless the version does not exist.
	requiredReadInterval = time.Second
	// requiredReadTimeout bounds such a read.
	requiredReadTimeout = 300 * time.Millisecond
	// requiredInterval is the minimum interval between two attempts to read a required version.
	requiredInterval = 100 * time.Millisecond
)

// NewestVersion returns the newest version of the routing table that this instance knows to exist: its own, or one that a peer announces.
func (c *CatchUp) NewestVersion() int64 {
	newest := max(c.version(), c.peers.NewestAnnounced())
	for _, report := range c.peers.Reports() {
		newest = max(newest, report.Version)
	}
	return newest
}

// serveRequired reads the configuration when a newer version is required, until ctx ends. It doesn't wait for the rounds of Run, which take longer
// while the store does not respond.
func (c *CatchUp) serveRequired(ctx context.Context) {
	for {
		select {
		case <-c.required:
		case <-ctx.Done():
			return
		}
		c.readRequired(ctx)
		wait.For(ctx, requiredInterval)
	}
}

// readRequired reads the configuration if a version is required that this instance lacks: from the nearest peer that announces a newer one, otherwise
// from the store. An instance that watches the store does so too, since its watch may be late.
func (c *CatchUp) readRequired(ctx context.Context) {
	if !c.needsVersion() {
		return
	}
	if source, ok := c.newestSource(); ok {
		if err := c.putConfigOf(ctx, source); err != nil {
			klog.ErrorS(err, "Required configuration was not read from a peer", "peer", source, "required", c.routes.Required(), "in_force", c.version())
		}
	}
	if !c.needsVersion() || c.StoreLost() || time.Since(c.requiredRead) < requiredReadInterval {
		return
	}
	c.requiredRead = time.Now()
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, "config-required"), requiredReadTimeout)
	defer cancel()
	listing, err := c.store.List(ctx, c.copies.Config.Prefix())
	if err != nil {
		klog.ErrorS(err, "Required configuration was not read from the store", "required", c.routes.Required(), "in_force", c.version())
		return
	}
	c.copies.Config.Put(listing.Items)
}

// needsVersion reports whether a version of the routing table is required that is newer than the one in force.
func (c *CatchUp) needsVersion() bool { return c.routes.Required() > c.version() }

// newestSource returns the address of the nearest of the peers that announce the newest version of the routing table, if that is newer than the one
// in force. It draws one of equally near ones.
func (c *CatchUp) newestSource() (address string, ok bool) {
	newest, nearest := c.version(), fleet.OtherRegion
	var sources []string
	for _, report := range c.peers.Reports() {
		distance := c.topology.Distance(c.self.FailureDomain, report.Member.FailureDomain)
		switch {
		case report.Version < newest || report.Version == newest && (len(sources) == 0 || distance > nearest):
			continue
		case report.Version > newest || distance < nearest:
			newest, nearest, sources = report.Version, distance, nil
		}
		sources = append(sources, report.Member.PeerAddress)
	}
	if len(sources) == 0 {
		return "", false
	}
	return sources[rand.IntN(len(sources))], true
}

// putConfigOf reads a peer's copy of the configuration and adds it to the mirror.
func (c *CatchUp) putConfigOf(ctx context.Context, address string) error {
	received, err := c.client.readCopy(ctx, address, copyConfig, 0, c.self)
	if err != nil {
		return err
	}
	c.countRead(copyConfig, received)
	c.copies.Config.Put(received.snapshot.Items)
	return nil
}
