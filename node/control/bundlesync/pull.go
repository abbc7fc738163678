package bundlesync

import (
	"context"
	"errors"
	"slices"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
)

const (
	// maxDeltaSteps bounds the deltas fetched one by one; an instance further behind fetches sections.
	maxDeltaSteps = 16
	// sectionFetches bounds the section fetches under way at once.
	sectionFetches = 8
)

// pull brings the instance to the target generation of a source by deltas, or to the newest manifest of the source by sections. It
// returns bundle.ErrNotNewer if the source has nothing newer.
func (c *Controller) pull(ctx context.Context, src source, target fleet.Generation) error {
	current := c.Table.Current()
	if current != nil && target > current.Generation() {
		err := c.pullDeltas(ctx, src, current, target)
		if err == nil {
			return nil
		}
		klog.V(2).InfoS("Bundle deltas not usable", "source", src.name(), "target", target, "reason", err.Error())
	}
	signed, err := src.manifest(ctx)
	if err != nil {
		return err
	}
	return c.pullSections(ctx, src, signed)
}

// pullDeltas walks back from the target to the generation in force, then applies the deltas in order. Each step is verified, and only
// the last good one is put in force, so that an instance that was paused goes directly to the newest generation.
func (c *Controller) pullDeltas(ctx context.Context, src source, current *bundle.Active, target fleet.Generation) error {
	chain, err := c.fetchDeltas(ctx, src, current.Generation(), target)
	if err != nil {
		return err
	}
	next, good, failure := current, 0, error(nil)
	for ; good < len(chain); good++ {
		after, err := next.Advance(chain[good], c.Verifier)
		if err != nil {
			failure = err
			break
		}
		next = after
	}
	if good == 0 {
		return failure
	}
	return errors.Join(c.accept(next, chain[:good], src.name()), failure)
}

// fetchDeltas returns the deltas that lead from one generation to another, oldest first.
func (c *Controller) fetchDeltas(ctx context.Context, src source, from, target fleet.Generation) ([]bundle.Delta, error) {
	var chain []bundle.Delta
	for at := target; at != from; {
		if len(chain) == maxDeltaSteps || at < from {
			return nil, eris.Wrapf(ErrNoDelta, "no chain of deltas from generation %d to %d", from, target)
		}
		delta, err := src.delta(ctx, at)
		if err != nil {
			return nil, err
		}
		if delta.To != at || delta.From >= at {
			return nil, eris.Wrapf(ErrBadSource, "delta from %d to %d instead of one to %d", delta.From, delta.To, at)
		}
		chain = append(chain, delta)
		at = delta.From
	}
	slices.Reverse(chain)
	return chain, nil
}

// pullSections fetches the sections that this instance lacks and puts the bundle in force. The signatures are checked first, so
// that an unsigned manifest cannot cause fetches.
func (c *Controller) pullSections(ctx context.Context, src source, signed bundle.SignedManifest) error {
	manifest, err := c.Verifier.Verify(signed)
	if err != nil {
		return err
	}
	if inForce := c.Table.Generation(); manifest.Generation <= inForce {
		return eris.Wrapf(bundle.ErrNotNewer, "%s has generation %d, in force %d", src.name(), manifest.Generation, inForce)
	}
	sections, err := c.collect(ctx, src, manifest)
	if err != nil {
		return err
	}
	next, err := bundle.Activate(signed, sections, c.Verifier)
	if err != nil {
		return err
	}
	return c.accept(next, nil, src.name())
}

// collect returns the sections of the manifest, from the bundle in force where it has them. Activate checks the digests.
func (c *Controller) collect(ctx context.Context, src source, manifest bundle.Manifest) (bundle.Sections, error) {
	sections := bundle.Sections{}
	var missing []string
	current := c.Table.Current()
	for _, digest := range manifest.Sections {
		if current != nil {
			if data, ok := current.Section(digest); ok {
				sections[digest] = data
				continue
			}
		}
		missing = append(missing, digest)
	}
	slices.Sort(missing)
	missing = slices.Compact(missing)
	fetched := make([][]byte, len(missing))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(sectionFetches)
	for i, digest := range missing {
		group.Go(func() error {
			data, err := src.section(ctx, digest)
			if err == nil && len(data) > store.MaxValueBytes {
				err = eris.Wrapf(ErrBadSource, "section %s has %d bytes", digest, len(data))
			}
			fetched[i] = data
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, digest := range missing {
		sections[digest] = fetched[i]
	}
	return sections, nil
}
