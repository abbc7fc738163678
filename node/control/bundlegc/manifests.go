package bundlegc

import (
	"context"
	"maps"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// readKeptManifests updates lastUse to hold exactly the sections of the kept generations, and returns the oldest kept generation. It returns
// ErrIncomplete unless the kept generations include the head's generation with the manifest digest that the head names.
func (c *Controller) readKeptManifests(ctx context.Context, headItem kv.KeyValue, manifests []kv.KeyValue) (fleet.Generation, error) {
	head, err := store.DecodeHead(headItem.Value)
	if err != nil {
		return 0, err
	}
	kept := manifests[max(0, len(manifests)-keptGenerations):]
	if len(kept) == 0 {
		return 0, eris.Wrap(ErrIncomplete, "the store lists no manifest")
	}
	for _, item := range kept {
		if err := c.readManifest(ctx, item.Key); err != nil {
			return 0, err
		}
	}
	if c.manifestDigests[head.Generation] != head.Manifest {
		return 0, eris.Wrapf(ErrIncomplete, "the head names generation %d with manifest %s", head.Generation, head.Manifest)
	}
	oldest, err := store.GenerationOf(kept[0].Key)
	if err != nil {
		return 0, err
	}
	c.dropBefore(oldest)
	return oldest, nil
}

// readManifest reads the manifest with the key from the store and records its sections, unless its generation is already known.
func (c *Controller) readManifest(ctx context.Context, key string) error {
	generation, err := store.GenerationOf(key)
	if err != nil {
		return err
	}
	if c.manifestDigests[generation] != "" {
		return nil
	}
	item, err := c.Store.Get(ctx, key)
	if err != nil {
		return eris.Wrapf(ErrIncomplete, "generation %d: %v", generation, err)
	}
	signed, err := store.DecodeManifest(item.Value)
	if err != nil {
		return eris.Wrapf(ErrIncomplete, "generation %d: %v", generation, err)
	}
	return c.recordManifest(signed.Manifest)
}

// dropBefore removes the generations before oldest, and the sections that only they contain.
func (c *Controller) dropBefore(oldest fleet.Generation) {
	maps.DeleteFunc(c.manifestDigests, func(generation fleet.Generation, _ string) bool { return generation < oldest })
	maps.DeleteFunc(c.lastUse, func(_ string, generation fleet.Generation) bool { return generation < oldest })
}
