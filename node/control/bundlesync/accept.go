package bundlesync

import (
	"slices"
	"time"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// maxRecentDeltas is the maximum number of deltas kept for peers, which also bounds their memory: a delta has at most 256 KiB, usually less
// than 1 KB.
const maxRecentDeltas = 32

// accept puts a verified bundle in force, or returns bundle.ErrNotNewer. deltas are the steps that led to it from the bundle in force,
// oldest first; there are none if whole sections were fetched.
func (c *Controller) accept(next *bundle.Active, deltas []bundle.Delta, source string) error {
	c.mu.Lock()
	if err := c.tracker.Accept(next); err != nil {
		c.mu.Unlock()
		return err
	}
	since := c.dropHintsUpTo(next.Generation())
	for _, delta := range deltas {
		c.recent.add(delta)
	}
	c.mu.Unlock()
	if !c.Table.Advance(next) {
		return eris.Wrapf(bundle.ErrNotNewer, "generation %d", next.Generation())
	}
	// heardMs is the time since the first hint of the generation.
	klog.InfoS("Bundle in force", "generation", next.Generation(), "digest", next.Digest(), "source", source,
		"deltas", len(deltas), "heardMs", since.Milliseconds())
	return nil
}

// AcceptRolled puts a bundle in force that this instance has just rolled, that is written to the store as a new
// generation, unless a newer one is already in force.
func (c *Controller) AcceptRolled(next *bundle.Active, delta bundle.Delta) {
	if err := c.accept(next, []bundle.Delta{delta}, "roll"); err != nil {
		klog.V(1).InfoS("Rolled bundle is not the newest", "generation", next.Generation(), "reason", err.Error())
	}
}

// dropHintsUpTo removes the hints and times of the generation and all lower ones. It returns the time since the first hint of the
// generation, 0 if there was none. c.mu must be held.
func (c *Controller) dropHintsUpTo(generation fleet.Generation) time.Duration {
	var since time.Duration
	if at, ok := c.firstHintAt[generation]; ok {
		since = time.Since(at)
	}
	for hinted := range c.firstHintAt {
		if hinted <= generation {
			delete(c.firstHintAt, hinted)
		}
	}
	c.dropHints(func(h hint) bool { return h.generation <= generation })
	return since
}

// dropHints removes the hints for which gone returns true. c.mu must be held.
func (c *Controller) dropHints(gone func(hint) bool) {
	c.hints = slices.DeleteFunc(c.hints, gone)
}

// recentDeltas holds the last maxRecentDeltas deltas that were applied, oldest first.
type recentDeltas struct {
	deltas []bundle.Delta
}

func (r *recentDeltas) add(delta bundle.Delta) {
	if len(r.deltas) == maxRecentDeltas {
		r.deltas = slices.Delete(r.deltas, 0, 1)
	}
	r.deltas = append(r.deltas, delta)
}

func (r *recentDeltas) get(to fleet.Generation) (bundle.Delta, bool) {
	for _, delta := range r.deltas {
		if delta.To == to {
			return delta, true
		}
	}
	return bundle.Delta{}, false
}
