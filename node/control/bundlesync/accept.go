package bundlesync

import (
	"slices"
	"time"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// maxRecentDeltas bounds the deltas kept for peers, in number and in bytes: 32 of at most 256 KiB each, usually under 1 KB.
const maxRecentDeltas = 32

// accept puts a verified bundle in force unless it is not newer, and logs it. deltas are the steps that led to it from the one in force,
// oldest first; there are none after a fetch of whole sections.
func (c *Controller) accept(next *bundle.Active, deltas []bundle.Delta, source string) error {
	c.mu.Lock()
	if err := c.tracker.Accept(next); err != nil {
		c.mu.Unlock()
		return err
	}
	since := c.forgetUpTo(next.Generation())
	for _, delta := range deltas {
		c.recent.add(delta)
	}
	c.mu.Unlock()
	if !c.Table.Advance(next) {
		return eris.Wrapf(bundle.ErrNotNewer, "generation %d", next.Generation())
	}
	klog.InfoS("Bundle in force", "generation", next.Generation(), "digest", next.Digest(), "source", source,
		"deltas", len(deltas), "heardMs", since.Milliseconds())
	return nil
}

// Rolled puts a bundle in force that this instance has just written to the store. It does nothing if a newer one came in between.
func (c *Controller) Rolled(next *bundle.Active, delta bundle.Delta) {
	if err := c.accept(next, []bundle.Delta{delta}, "roll"); err != nil {
		klog.V(1).InfoS("Rolled bundle is not the newest", "generation", next.Generation(), "reason", err.Error())
	}
}

// forgetUpTo drops what was noted of generations that are no longer of interest and returns the time since this generation was
// heard of, 0 if it was not; c.mu is held.
func (c *Controller) forgetUpTo(generation fleet.Generation) time.Duration {
	var since time.Duration
	if at, ok := c.heardAt[generation]; ok {
		since = time.Since(at)
	}
	for heard := range c.heardAt {
		if heard <= generation {
			delete(c.heardAt, heard)
		}
	}
	c.dropHints(func(h hint) bool { return h.generation <= generation })
	return since
}

// dropHints removes the hints for which gone returns true; c.mu is held.
func (c *Controller) dropHints(gone func(hint) bool) {
	c.hints = slices.DeleteFunc(c.hints, gone)
}

// recentDeltas keeps the deltas of the last generations, oldest first.
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
