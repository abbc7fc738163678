package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/kvmirror"
)

const (
	// maxSourcesPerRead is the maximum number of peers that one read tries.
	maxSourcesPerRead = 3
	// failedSourceTTL is how long a peer that did not respond is avoided as a source.
	failedSourceTTL = 2 * time.Second
	// refusedDelay is the mean delay after a read that all sources refused. Each refusal costs a source about 0.1 ms of processor time, and 296 readers
	// ask four watchers for a new configuration.
	refusedDelay = 100 * time.Millisecond
	// crossRegionDelay is how long a copy must be behind before it is read from another region. Watchers of the own region get a change at about the
	// same time as those of the other one, and traffic between regions is paid for.
	crossRegionDelay = 150 * time.Millisecond
)

// copyReader reads one copy from peers. Each copy has its own, so that none waits for another.
type copyReader struct {
	name   string
	mirror *kvmirror.Mirror
	busy   atomic.Bool // guards the fields below

	nextRead    time.Time            // earliest time of the next read
	nextRefresh time.Time            // when the membership records are to be read again
	behindSince time.Time            // since when the copy has been behind; zero if it is not
	failed      map[string]time.Time // when peers did not respond
	referred    []string             // sources that refusing peers named
	busySource  bool                 // a peer that refused has a copy
}

// chooseSources returns the peers from which a copy is to be read, in the order in which to try them, or none if it is not needed. Only peers in
// the own region are returned if there are any, and otherwise those in another one after crossRegionDelay. Equally near ones are in random order.
// An instance that lacks the copy or a routing table, cannot reach the store and knows no suitable peer reads from the seeds.
func (c *CatchUp) chooseSources(r *copyReader, reports []PeerReport, now time.Time) []string {
	if now.Before(r.nextRead) {
		return nil
	}
	var suitable []PeerReport
	hasWatcher := slices.ContainsFunc(reports, func(report PeerReport) bool { return report.Watches && !report.StoreLost })
	for _, report := range reports {
		if c.needsCopyOf(r, report, report.Watches || !hasWatcher, now) {
			suitable = append(suitable, report)
		}
	}
	if len(suitable) == 0 {
		r.behindSince = time.Time{}
		if c.StoreLost() && (c.version() == 0 || r.mirror.Revision() == 0) {
			return shuffled(c.seeds)
		}
		return nil
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	sources, nearest := nearestSources(c.topology, c.self.FailureDomain, suitable)
	if nearest == fleet.OtherRegion && !c.StoreLost() && now.Sub(r.behindSince) < crossRegionDelay {
		return nil
	}
	return r.withoutFailed(sources, now)
}

// nearestSources returns the addresses of peers in the order in which an instance of a failure domain tries them, and the distance of the first:
// one of the nearest, and then others of the same region in random order, so that a domain with few sources does not wait for these. It leaves out
// those in other regions if there are others.
func nearestSources(topology fleet.Topology, domain fleet.FailureDomain, suitable []PeerReport) ([]string, fleet.Distance) {
	suitable = shuffled(suitable)
	first, nearest := 0, fleet.OtherRegion
	for i, report := range suitable {
		if distance := topology.Distance(domain, report.Member.FailureDomain); distance < nearest {
			first, nearest = i, distance
		}
	}
	suitable[0], suitable[first] = suitable[first], suitable[0]
	var sources []string
	for _, report := range suitable {
		if nearest == fleet.OtherRegion || topology.Distance(domain, report.Member.FailureDomain) != fleet.OtherRegion {
			sources = append(sources, report.Member.PeerAddress)
		}
	}
	return sources, nearest
}

// shuffled returns the elements in random order.
func shuffled[T any](list []T) []T {
	list = slices.Clone(list)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// withoutFailed returns the sources that responded lately or were not tried, or all if there are none.
func (r *copyReader) withoutFailed(sources []string, now time.Time) []string {
	sound := slices.DeleteFunc(slices.Clone(sources), func(address string) bool {
		at, failed := r.failed[address]
		return failed && now.Sub(at) < failedSourceTTL
	})
	if len(sound) == 0 {
		return sources
	}
	return sound
}

// needsCopyOf reports whether to read a copy from a peer. While the store is unreachable, these are all copies of a peer that can reach it or has
// a newer routing table, and the list of targets also of one that announces a newer revision of it: the configuration may be read before the list,
// and the versions are equal from then on. Otherwise an instance that watches the store reads none. One that does not watch it reads from peers
// that can reach it: what their datagrams announce as newer, the list of targets also if one said that it is leaving (see horizonDelay), and, if
// mayRefreshMembers is set, the membership records once nextRefresh has passed. The records of a peer that does not watch the store may be as old
// as this instance's own.
func (c *CatchUp) needsCopyOf(r *copyReader, report PeerReport, mayRefreshMembers bool, now time.Time) bool {
	switch {
	case c.StoreLost() && (!report.StoreLost || report.Version > c.version()):
		return true
	case c.StoreLost():
		return r.name == copyTargets && report.Revision > r.mirror.Revision()
	case c.watchesStore.Load() || report.StoreLost:
		return false
	}
	switch r.name {
	case copyConfig:
		return report.Version > c.version()
	case copyTargets:
		return (c.list.Digests().differ(report.SyncState) || c.list.awaitsHorizon()) && report.Revision > c.copies.Targets.Revision()
	default:
		return mayRefreshMembers && now.After(r.nextRefresh)
	}
}

// read reads a copy from the first of the sources that sends it, and merges it into the mirror. It reports whether the copy changed.
func (c *CatchUp) read(ctx context.Context, r *copyReader, sources []string) bool {
	r.referred, r.busySource = nil, false
	for _, source := range sources[:min(len(sources), maxSourcesPerRead)] {
		received, err := c.client.readCopy(ctx, source, r.name, r.mirror.Base(), c.self)
		if ctx.Err() != nil {
			return false
		}
		if err != nil {
			r.recordFailure(source, err, time.Now())
			continue
		}
		delete(r.failed, source)
		c.countRead(r.name, received)
		now := time.Now()
		merged := r.mirror.Merge(received.snapshot, received.asked)
		if merged {
			c.server.relay(r.name, r.mirror, received)
		}
		r.nextRead = now.Add(catchUpInterval/2 + rand.N(catchUpInterval))
		r.nextRefresh = now.Add(membersRefreshInterval)
		if merged && received.snapshot.Horizon != nil {
			age := time.Duration(received.snapshot.Horizon.AgeMs)*time.Millisecond + now.Sub(received.asked)
			c.metrics.Tagged(map[string]string{"copy": r.name}).Gauge("copies_age_ms").Update(float64(age.Milliseconds()))
		}
		return merged
	}
	r.nextRead = time.Now().Add(refusedDelay/2 + rand.N(refusedDelay))
	return false
}

// recordFailure logs why a source sent no copy, and remembers it. A source that only refused is tried again soon.
func (r *copyReader) recordFailure(source string, err error, now time.Time) {
	var refused *stateRefusedError
	if errors.As(err, &refused) {
		r.referred, r.busySource = append(r.referred, refused.sources...), r.busySource || refused.busy
		klog.V(1).InfoS("Peer does not serve a copy now", "peer", source, "copy", r.name, "others", len(refused.sources))
		return
	}
	for address, at := range r.failed {
		if now.Sub(at) > failedSourceTTL {
			delete(r.failed, address)
		}
	}
	r.failed[source] = now
	klog.ErrorS(err, "Failed to read a copy of the store's keys from a peer", "peer", source, "copy", r.name)
}

// countRead counts what was read from a peer.
func (c *CatchUp) countRead(name string, received receivedCopy) {
	scope := c.metrics.Tagged(map[string]string{"copy": name, "kind": kindOf(received.snapshot)})
	scope.Counter("copies_read").Inc(1)
	scope.Counter("copies_read_bytes").Inc(int64(len(received.body)))
}
