// Package bundlegc deletes what the store no longer needs of old bundles: manifests, deltas and sections. At 20,000 changes a day
// they would grow by 1 GB a day.
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
	// keptGenerations are kept with all their sections.
	keptGenerations = 100
	// sectionAge is how long a section must have been unneeded and unchanged: a roll writes sections before its head.
	sectionAge = time.Hour
	// passPeriod is the time between two passes.
	passPeriod = time.Minute
	// pageKeys bounds one listing; at 130 bytes of JSON a key a page has about 130 KB.
	pageKeys = 1000
	// batchKeys bounds one transaction; the store takes 128 operations.
	batchKeys = 100
	// passBatches bounds the deletions of a pass to 300 keys; 20,000 changes a day leave 42 a minute.
	passBatches = 3
)

// ErrIncomplete means that the store does not show all that the kept generations name, so that nothing may be deleted.
var ErrIncomplete = eris.New("kept bundle generations cannot be read")

// Config holds what the controller works with. All fields are required.
type Config struct {
	Store  kv.KeyLister
	Table  *blackboard.BundleTable
	Chosen func() bool // tells whether this instance collects now; several at once do no harm
}

// Controller implements workers.Controller. Reconcile must not run twice at once.
type Controller struct {
	Config
	dueAt  time.Time
	named  map[string]fleet.Generation // section digest to the highest known generation that names it
	known  map[fleet.Generation]string // digests of the manifests whose sections are in named
	unused map[string]sighting         // by key of a section that no kept generation names
}

// sighting tells since when a section was seen unneeded without being written again.
type sighting struct {
	revision kv.Revision
	since    time.Time
}

// New returns a controller. Register it with a period below a minute and on changes of the bundle.
func New(config Config) *Controller {
	c := &Controller{Config: config}
	c.forget()
	return c
}

func (c *Controller) forget() {
	c.named, c.known, c.unused = map[string]fleet.Generation{}, map[fleet.Generation]string{}, map[string]sighting{}
}

// Name implements workers.Controller.
func (c *Controller) Name() string { return "bundle-collect" }

// Reconcile implements workers.Controller: it notes the sections of the bundle in force, and makes a pass when one is due.
func (c *Controller) Reconcile(ctx context.Context) error {
	if !c.Chosen() {
		c.forget()
		return nil
	}
	if err := c.noteInForce(); err != nil {
		return err
	}
	now := time.Now()
	if now.Before(c.dueAt) {
		return nil
	}
	c.dueAt = now.Add(passPeriod)
	return c.pass(kv.WithPurpose(ctx, purpose), now)
}

// noteInForce saves reading the manifests of generations that this instance had in force.
func (c *Controller) noteInForce() error {
	active := c.Table.Current()
	if active == nil {
		return nil
	}
	return c.note(active.Manifest().Manifest)
}

func (c *Controller) note(manifestBytes []byte) error {
	manifest, err := bundle.ParseManifest(manifestBytes)
	if err != nil {
		return err
	}
	c.known[manifest.Generation] = manifest.Digest()
	for _, digest := range manifest.Sections {
		c.named[digest] = max(c.named[digest], manifest.Generation)
	}
	return nil
}

// pass deletes up to passBatches transactions of keys.
func (c *Controller) pass(ctx context.Context, now time.Time) error {
	head, err := c.Store.Get(ctx, store.HeadKey)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	manifests, err := c.keys(ctx, store.ManifestPrefix())
	if err != nil {
		return err
	}
	oldest, err := c.learn(ctx, head, manifests)
	if err != nil {
		return err
	}
	doomed, err := c.doomed(ctx, now, oldest, manifests)
	if err != nil {
		return err
	}
	return c.remove(ctx, head, doomed)
}

// keys returns all keys with the prefix.
func (c *Controller) keys(ctx context.Context, prefix string) ([]kv.KeyValue, error) {
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

// doomed returns the keys that nobody needs: manifests and deltas before the oldest kept generation, and sections that no kept
// generation names and that were not written for sectionAge.
func (c *Controller) doomed(ctx context.Context, now time.Time, oldest fleet.Generation, manifests []kv.KeyValue) ([]kv.KeyValue, error) {
	deltas, err := c.keys(ctx, store.DeltaPrefix())
	if err != nil {
		return nil, err
	}
	sections, err := c.keys(ctx, store.SectionPrefix())
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
	return append(out, c.aged(now, sections)...), nil
}

// aged returns the sections that were seen unneeded for sectionAge. The store tells no times, so that a new collector starts over.
func (c *Controller) aged(now time.Time, sections []kv.KeyValue) []kv.KeyValue {
	var out []kv.KeyValue
	unused := map[string]sighting{}
	for _, item := range sections {
		if _, needed := c.named[item.Key[len(store.SectionPrefix()):]]; needed {
			continue
		}
		seen, known := c.unused[item.Key]
		if !known || seen.revision != item.ModRevision {
			seen = sighting{revision: item.ModRevision, since: now}
		}
		unused[item.Key] = seen
		if now.Sub(seen.since) >= sectionAge {
			out = append(out, item)
		}
	}
	c.unused = unused
	return out
}

// remove deletes the keys in transactions that compare the head and the revision of each key. A roll that uses a section again
// writes it again, so that one of the two fails; the keys are then looked at again in the next pass.
func (c *Controller) remove(ctx context.Context, head kv.KeyValue, doomed []kv.KeyValue) error {
	removed := 0
	for batch := range slices.Chunk(doomed[:min(len(doomed), passBatches*batchKeys)], batchKeys) {
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
			klog.V(1).InfoS("Old bundle data changed while it was collected", "keys", len(batch))
			break
		}
		removed += len(batch)
	}
	if removed > 0 {
		klog.InfoS("Old bundle data deleted", "keys", removed, "left", len(doomed)-removed)
	}
	return nil
}
