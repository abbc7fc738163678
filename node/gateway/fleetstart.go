package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// maxListingFleet is the largest number of instances that all list everything from the store when they start.
	maxListingFleet = 12
	// startListerShare is the share of the instances that list at once when a large fleet starts, besides the seeds: three of 300. They are the first
	// sources if all seeds are down. More would delay each other: three listings of 1.4 MB across the regions take 0.6 s.
	startListerShare = 0.01
	// firstCopyTimeout is how long other instances wait for a peer that has a copy, and firstCopyJitter the range of a random time added to it, over
	// which the listings are spread if there is none. maxFirstCopyWait bounds the time for which an instance waits for peers that have copies and are
	// busy.
	firstCopyTimeout = time.Second
	firstCopyJitter  = time.Second
	maxFirstCopyWait = 4 * time.Second
	// startRetryInterval is the mean interval between two attempts. 300 instances that ask one of three seeds each for three copies make 1,500 calls a
	// second to each of these, until these have copies.
	startRetryInterval = 200 * time.Millisecond
	// fleetSizeTimeout bounds the calls that read and write fleetSizeKey.
	fleetSizeTimeout = 300 * time.Millisecond
	// fleetSizeHold is how long a fleet must have been larger, or not larger, than maxListingFleet before that is written. It keeps a fleet that
	// restarts, whose instances learn of each other one by one, from writing.
	fleetSizeHold = 30 * time.Second
	// fleetSizeKey exists while the fleet has more than maxListingFleet instances. It has no lease, since it is read after all processes were killed. A
	// listing of the membership records would tell the same, but has 100 KB for 300 instances, which is too much for all of them to read at once.
	fleetSizeKey = "/eelgrass/fleet-size"
)

// awaitFirstCopy returns when the mirror has a peer's copy or is to list from the store. In a fleet of up to maxListingFleet instances it returns
// at once. In a larger one, seeds and a random share of the others list. Instances read from a seed, which refers them to instances that it has
// served before.
func (c *CatchUp) awaitFirstCopy(ctx context.Context, r *copyReader) {
	c.fleetSize.Do(func() { c.large = c.startsInLargeFleet(ctx) && !c.seed && len(c.seeds) > 0 && !c.lists() })
	if !c.large {
		return
	}
	started := time.Now()
	deadline := started.Add(firstCopyTimeout + rand.N(firstCopyJitter))
	for ctx.Err() == nil && time.Now().Before(deadline) && r.mirror.Revision() == 0 {
		pause := startRetryInterval/2 + rand.N(startRetryInterval)
		if r.busy.CompareAndSwap(false, true) {
			merged := c.read(ctx, r, c.startSources(r, time.Now()))
			busySource := r.busySource
			if !merged && len(r.referred) > 0 {
				merged = c.read(ctx, r, r.withoutFailed(r.referred, time.Now()))
			}
			if merged {
				pause = 0
			}
			if busySource {
				deadline = minTime(time.Now().Add(firstCopyTimeout), started.Add(maxFirstCopyWait))
			}
			r.busy.Store(false)
		}
		if pause > 0 {
			wait.For(ctx, min(pause, time.Until(deadline)))
		}
	}
	klog.InfoS("First copy at the start of a large fleet", "copy", r.name, "revision", r.mirror.Revision(), "waited_ms", time.Since(started).Milliseconds())
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// startSources returns the peers to read a first copy from: those that announce to have copies, otherwise one of the seeds. These are asked by the
// whole fleet.
func (c *CatchUp) startSources(r *copyReader, now time.Time) []string {
	suitable := slices.DeleteFunc(c.peers.Reports(), func(report PeerReport) bool { return report.Revision == 0 || report.Version == 0 })
	if len(suitable) == 0 {
		return r.withoutFailed(shuffled(c.seeds), now)[:1]
	}
	sources, _ := nearestSources(c.topology, c.self.FailureDomain, suitable)
	return r.withoutFailed(sources, now)
}

// startsInLargeFleet reports whether the fleet had more than maxListingFleet instances before this one started. It is false if the store does not
// say so.
func (c *CatchUp) startsInLargeFleet(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(kv.AllowStale(kv.WithPurpose(ctx, "fleet-size")), fleetSizeTimeout)
	defer cancel()
	_, err := c.store.Get(ctx, fleetSizeKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		klog.ErrorS(err, "Failed to read the size of the fleet")
	}
	c.writtenLarge.Store(err == nil)
	return err == nil
}

// maintainFleetSize writes or removes fleetSizeKey when the fleet has become larger or smaller. Only the available instance with the lowest ID
// does so.
func (c *CatchUp) maintainFleetSize(ctx context.Context, reports []PeerReport, now time.Time) {
	large := len(c.peers.Members()) > maxListingFleet
	if c.seenLargeSince.IsZero() || large != c.seenLarge {
		c.seenLarge, c.seenLargeSince = large, now
	}
	if large == c.writtenLarge.Load() || now.Sub(c.seenLargeSince) < fleetSizeHold || c.StoreLost() || !c.peers.Serves() {
		return
	}
	if slices.ContainsFunc(availableMembers(reports), func(m fleet.Member) bool { return m.ID < c.self.ID }) {
		return
	}
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, "fleet-size"), fleetSizeTimeout)
	defer cancel()
	op := kv.Op{Kind: kv.OpDelete, Key: fleetSizeKey}
	if large {
		op = kv.Op{Kind: kv.OpPut, Key: fleetSizeKey, Value: []byte(`{"large":true}`)}
	}
	if _, err := c.store.Txn(ctx, kv.Txn{Then: []kv.Op{op}}); err != nil {
		klog.ErrorS(err, "Failed to write the size of the fleet")
		c.seenLargeSince = now // the next attempt
		return
	}
	klog.InfoS("Size of the fleet is recorded for the next start", "large", large)
	c.writtenLarge.Store(large)
}
