// Package bundlegc deletes the manifests, deltas and sections of old bundles from the store. At 20,000 changes a day they would
// otherwise grow by 1 GB a day.
package bundlegc

import (
	"context"
	"errors"
	"slices"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

const (
	// purpose labels the store calls of this package.
	purpose = "bundle-collect"
	// keptGenerations is the number of newest generations that are kept with all their sections.
	keptGenerations = 100
	// sectionAge is how long a section must have been unused and not written before it is deleted. A roll writes its sections before the
	// head, so a new section is unused at first.
	sectionAge = time.Hour
	// passPeriod is the minimum interval between two passes.
	passPeriod = time.Minute
	// pageKeys is the maximum number of keys in one page of a listing. At 130 bytes of JSON per key, a page has about 130 KB.
	pageKeys = 1000
	// batchKeys is the maximum number of keys deleted in one transaction. The store accepts at most 128 operations.
	batchKeys = 100
	// passBatches is the maximum number of transactions of a pass, which limits it to 300 keys. 20,000 changes a day leave 42 keys a
	// minute to delete.
	passBatches = 3
)

// ErrIncomplete is returned if the manifest of a kept generation, or the one that the head names, cannot be read from the store. Nothing
// is deleted then, because the sections in use are not known.
var ErrIncomplete = eris.New("kept bundle generations cannot be read")

// Config holds the dependencies of a Controller. All fields are required.
type Config struct {
	Store    kv.KeyLister
	Table    *blackboard.BundleTable
	IsChosen func() bool // reports whether this instance deletes old bundles now; several instances may do so at the same time
}

// Controller implements workers.Controller. It is not safe for concurrent use: Reconcile must not run concurrently with itself.
type Controller struct {
	Config
	dueAt           time.Time
	lastUse         map[string]fleet.Generation // by section digest: the highest generation known to contain the section
	manifestDigests map[fleet.Generation]string // by generation: digest of its manifest, if its sections are in lastUse
	unused          map[string]unusedSection    // by key of a section that no kept generation contains
}

// unusedSection records since when a section has been found unused at an unchanged revision.
type unusedSection struct {
	revision kv.Revision
	since    time.Time
}

// New returns a Controller. The caller registers it with a period below a minute and on changes of the bundle.
func New(config Config) *Controller {
	c := &Controller{Config: config}
	c.reset()
	return c
}

// reset clears all state about generations and sections.
func (c *Controller) reset() {
	c.lastUse, c.manifestDigests, c.unused = map[string]fleet.Generation{}, map[fleet.Generation]string{}, map[string]unusedSection{}
}

// Name implements workers.Controller.
func (c *Controller) Name() string { return "bundle-collect" }

// Reconcile implements workers.Controller: it records the sections of the bundle in force, and makes a pass if one is due. While this
// instance is not chosen, it only clears its state.
func (c *Controller) Reconcile(ctx context.Context) error {
	if !c.IsChosen() {
		c.reset()
		return nil
	}
	if err := c.recordInForce(); err != nil {
		return err
	}
	now := time.Now()
	if now.Before(c.dueAt) {
		return nil
	}
	c.dueAt = now.Add(passPeriod)
	return c.pass(kv.WithPurpose(ctx, purpose), now)
}

// recordInForce records the sections of the bundle in force, so that its manifest need not be read from the store later.
func (c *Controller) recordInForce() error {
	active := c.Table.Current()
	if active == nil {
		return nil
	}
	return c.recordManifest(active.Manifest().Manifest)
}

// recordManifest records the digest and the sections of a manifest.
func (c *Controller) recordManifest(manifestBytes []byte) error {
	manifest, err := bundle.ParseManifest(manifestBytes)
	if err != nil {
		return err
	}
	c.manifestDigests[manifest.Generation] = manifest.Digest()
	for _, digest := range manifest.Sections {
		c.lastUse[digest] = max(c.lastUse[digest], manifest.Generation)
	}
	return nil
}

// pass lists the bundle keys in the store and deletes those that are no longer needed, in up to passBatches transactions. It does nothing
// if the store has no head.
func (c *Controller) pass(ctx context.Context, now time.Time) error {
	head, err := c.Store.Get(ctx, store.HeadKey)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	manifests, err := c.listKeys(ctx, store.ManifestPrefix())
	if err != nil {
		return err
	}
	oldest, err := c.readKeptManifests(ctx, head, manifests)
	if err != nil {
		return err
	}
	deletable, err := c.listDeletable(ctx, now, oldest, manifests)
	if err != nil {
		return err
	}
	return c.deleteKeys(ctx, head, deletable)
}

// listKeys returns all keys with the prefix, in order, without their values.
func (c *Controller) listKeys(ctx context.Context, prefix string) ([]kv.KeyValue, error) {
	var keys []kv.KeyValue
	behind := ""
	for {
		page, err := c.Store.ListKeys(ctx, prefix, behind, pageKeys)
		if err != nil {
			return nil, err
		}
		keys = append(keys, page.Keys...)
		if !page.More || len(page.Keys) == 0 {
			return keys, nil
		}
		behind = page.Keys[len(page.Keys)-1].Key
	}
}

// listDeletable returns the keys to delete: manifests and deltas of generations before oldest, and the sections that agedSections returns.
func (c *Controller) listDeletable(ctx context.Context, now time.Time, oldest fleet.Generation, manifests []kv.KeyValue) ([]kv.KeyValue, error) {
	deltas, err := c.listKeys(ctx, store.DeltaPrefix())
	if err != nil {
		return nil, err
	}
	sections, err := c.listKeys(ctx, store.SectionPrefix())
	if err != nil {
		return nil, err
	}
	var out []kv.KeyValue
	for _, item := range slices.Concat(manifests, deltas) {
		generation, err := store.GenerationOf(item.Key)
		if err != nil {
			return nil, err
		}
		if generation < oldest {
			out = append(out, item)
		}
	}
	return append(out, c.agedSections(now, sections)...), nil
}

// agedSections returns the sections that no kept generation contains and that have been unused and not written for sectionAge. The store
// does not record write times, so a newly chosen collector counts the time from when it first finds a section unused.
func (c *Controller) agedSections(now time.Time, sections []kv.KeyValue) []kv.KeyValue {
	var out []kv.KeyValue
	unused := map[string]unusedSection{}
	for _, item := range sections {
		if _, needed := c.lastUse[item.Key[len(store.SectionPrefix()):]]; needed {
			continue
		}
		seen, known := c.unused[item.Key]
		if !known || seen.revision != item.ModRevision {
			seen = unusedSection{revision: item.ModRevision, since: now}
		}
		unused[item.Key] = seen
		if now.Sub(seen.since) >= sectionAge {
			out = append(out, item)
		}
	}
	c.unused = unused
	return out
}

// deleteKeys deletes the keys in transactions that compare the revisions of the head and of each key. A roll that uses an old section
// again also writes it again, so a concurrent deletion of it fails, or the roll does. After a failed comparison deleteKeys stops; the next
// pass checks the remaining keys again.
func (c *Controller) deleteKeys(ctx context.Context, head kv.KeyValue, deletable []kv.KeyValue) error {
	removed := 0
	for batch := range slices.Chunk(deletable[:min(len(deletable), passBatches*batchKeys)], batchKeys) {
		txn := kv.Txn{Compares: []kv.Compare{{Key: head.Key, Target: kv.CompareModRevision, Revision: head.ModRevision}}}
		for _, item := range batch {
			txn.Compares = append(txn.Compares, kv.Compare{Key: item.Key, Target: kv.CompareModRevision, Revision: item.ModRevision})
			txn.Then = append(txn.Then, kv.Op{Kind: kv.OpDelete, Key: item.Key})
		}
		result, err := c.Store.Txn(ctx, txn)
		if err != nil {
			return err
		}
		if !result.Succeeded {
			klog.V(1).InfoS("Bundle head or old bundle data changed during deletion; retrying in the next pass", "keys", len(batch))
			break
		}
		removed += len(batch)
	}
	if removed > 0 {
		klog.InfoS("Old bundle data deleted", "keys", removed, "left", len(deletable)-removed)
	}
	return nil
}
