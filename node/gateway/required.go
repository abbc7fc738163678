package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/node/kvmirror"
)

const (
	// requiredReadInterval is the minimum interval between two reads of the configuration from the store because a version is required. Such calls
	// are billed, and one is enough unless the version does not exist.
	requiredReadInterval = time.Second
	// requiredReadTimeout bounds such a read.
	requiredReadTimeout = time.Second
)

// NewestVersion returns the newest version of the routing table that this instance knows to exist: its own, one that a peer announces, or a required
// one.
func (c *CatchUp) NewestVersion() int64 {
	newest := max(c.version(), c.routes.Required())
	for _, report := range c.peers.Reports() {
		newest = max(newest, report.Version)
	}
	return newest
}

// awaitRound waits for the next check for newer copies, which comes at once if a newer version of the routing table is required. It returns false if
// ctx ended.
func (c *CatchUp) awaitRound(ctx context.Context) bool {
	timer := time.NewTimer(catchUpInterval/2 + rand.N(catchUpInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.required:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// readRequired reads the configuration from the store if a version is required that no peer provided. An instance that watches the store also does
// so, since its watch may be late.
func (c *CatchUp) readRequired(ctx context.Context) {
	required := c.routes.Required()
	if required <= c.version() || c.StoreLost() || time.Since(c.requiredRead) < requiredReadInterval {
		return
	}
	c.requiredRead = time.Now()
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, "config-required"), requiredReadTimeout)
	defer cancel()
	listing, err := c.store.List(ctx, c.copies.Config.Prefix())
	if err != nil {
		klog.ErrorS(err, "Required configuration was not read from the store", "required", required, "in_force", c.version())
		return
	}
	c.routes.Apply(kvmirror.Change{Put: listing.Items})
}
