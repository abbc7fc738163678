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
	// maxDeltaSteps is the maximum number of deltas fetched one by one. An instance that is further behind fetches sections.
	maxDeltaSteps = 16
	// maxSectionFetches is the maximum number of concurrent fetches of sections.
	maxSectionFetches = 8
)

// pull puts a newer bundle of a source in force: the target generation if deltas lead to it, otherwise the newest one of the source by
// its sections. It returns bundle.ErrNotNewer if the source has no newer bundle.
func (c *Controller) pull(ctx context.Context, src source, target fleet.Generation) error {
	current := c.Table.Current()
	if current != nil && target > current.Generation() {
		err := c.pullDeltas(ctx, src, current, target)
		if err == nil {
			return nil
		}
		klog.V(2).InfoS("Bundle deltas not usable; fetching sections", "source", src.name(), "target", target, "reason", err.Error())
	}
	signed, err := src.manifest(ctx)
	if err != nil {
		return err
	}
	return c.pullSections(ctx, src, signed)
}

// pullDeltas fetches the deltas from the current bundle to the target generation and applies them in order, each of them verified. Only
// the bundle of the last valid delta is put in force, so that an instance that was paused goes directly to the newest generation.
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

// fetchDeltas returns the deltas that lead from one generation to another, oldest first. They are fetched newest first, since each delta
// names the generation before it.
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

// pullSections fetches the sections that this instance lacks and puts the bundle in force. It checks the signatures first, so that an
// unsigned manifest cannot cause fetches.
func (c *Controller) pullSections(ctx context.Context, src source, signed bundle.SignedManifest) error {
	manifest, err := c.Verifier.Verify(signed)
	if err != nil {
		return err
	}
	if inForce := c.Table.Generation(); manifest.Generation <= inForce {
		return eris.Wrapf(bundle.ErrNotNewer, "%s has generation %d, in force %d", src.name(), manifest.Generation, inForce)
	}
	sections, err := c.collectSections(ctx, src, manifest)
	if err != nil {
		return err
	}
	next, err := bundle.Activate(signed, sections, c.Verifier)
	if err != nil {
		return err
	}
	return c.accept(next, nil, src.name())
}

// collectSections returns the sections of the manifest, reusing those of the bundle in force. It does not check the digests; bundle.Activate
// does.
func (c *Controller) collectSections(ctx context.Context, src source, manifest bundle.Manifest) (bundle.Sections, error) {
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
	group.SetLimit(maxSectionFetches)
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
