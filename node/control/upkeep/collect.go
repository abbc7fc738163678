package upkeep

import (
	"context"
	"strings"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/files"
	"k8s.io/klog/v2"
)

// CollectEvery is the period for registering a Collector. A pass lists all records, about 300 MB at the design size, at each instance with
// a disk; the listings of 16 such instances take 220 KB/s of the store.
const CollectEvery = 6 * time.Hour

// confirmAfter is how long a blob must have been without a record. A job that is being created may name the blobs of a file whose record
// was removed a moment ago.
const confirmAfter = time.Minute

// maxUnnamed bounds the memory for blobs that wait for their confirmation, about 100 bytes each.
const maxUnnamed = 100_000

// Uses tells which blobs the records name. It belongs to one goroutine.
type Uses struct {
	store   kv.Store
	ctx     context.Context
	named   map[string]bool      // nil until the records are listed
	unknown bool                 // the records could not be listed in this pass
	unnamed map[string]time.Time // since when a blob is known to have no record
}

// Collection removes blobs that no record names; bulk.Collector implements it.
type Collection interface {
	Reconcile(ctx context.Context) error
}

// Collector runs a collection with a fresh view of the records in each pass. It implements workers.Controller.
type Collector struct {
	uses       *Uses
	collection Collection
}

// NewCollector returns a collector. make gets the function that tells whether a record names the blob of a digest.
func NewCollector(store kv.Store, make func(inUse func(digest string) bool) Collection) *Collector {
	uses := &Uses{store: store, unnamed: map[string]time.Time{}}
	return &Collector{uses: uses, collection: make(uses.InUse)}
}

// Name implements workers.Controller.
func (*Collector) Name() string { return "bulk-collect" }

// Reconcile implements workers.Controller.
func (c *Collector) Reconcile(ctx context.Context) error {
	c.uses.begin(kv.WithPurpose(ctx, storePurpose))
	defer c.uses.end()
	return c.collection.Reconcile(ctx)
}

func (u *Uses) begin(ctx context.Context) { u.ctx, u.named, u.unknown = ctx, nil, false }

// end frees the memory of the view.
func (u *Uses) end() { u.ctx, u.named = nil, nil }

// InUse is true unless no record named the blob in this pass and in one at least a minute ago.
func (u *Uses) InUse(digest string) bool {
	if u.named == nil && !u.unknown {
		u.list()
	}
	if u.unknown {
		return true
	}
	if u.named[digest] {
		delete(u.unnamed, digest)
		return true
	}
	since, known := u.unnamed[digest]
	if known && time.Since(since) >= confirmAfter {
		delete(u.unnamed, digest)
		return false
	}
	if !known && len(u.unnamed) < maxUnnamed {
		u.unnamed[digest] = time.Now()
	}
	return true
}

// list reads the digests of all records. A record that cannot be read makes every blob count as in use.
func (u *Uses) list() {
	named := make(map[string]bool)
	for n := range batch.Shards {
		err := addJobs(u.ctx, u.store, batch.Shard(n), named)
		if err == nil {
			err = addFiles(u.ctx, u.store, batch.Shard(n), named)
		}
		if err != nil {
			klog.ErrorS(err, "Old blobs are kept, since the records cannot be read", "shard", n)
			u.unknown = true
			return
		}
	}
	u.named = named
}

func addJobs(ctx context.Context, store kv.Store, shard batch.Shard, named map[string]bool) error {
	prefix := batch.JobsPrefix + shard.String() + "/"
	listing, err := store.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, item := range listing.Items {
		if strings.Contains(strings.TrimPrefix(item.Key, prefix), "/") {
			err = addChunk(item, named)
		} else {
			err = addJob(item, named)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func addChunk(item kv.KeyValue, named map[string]bool) error {
	chunk, err := batch.DecodeChunk(item.Value)
	if err == nil && chunk.Results != nil {
		named[chunk.Results.Digest] = true
	}
	return err
}

func addJob(item kv.KeyValue, named map[string]bool) error {
	job, err := batch.DecodeJob(item.Value)
	for _, chunk := range job.Chunks {
		named[chunk.Digest] = true
	}
	return err
}

func addFiles(ctx context.Context, store kv.Store, shard batch.Shard, named map[string]bool) error {
	listing, err := store.List(ctx, files.ShardPrefix(shard))
	if err != nil {
		return err
	}
	for _, item := range listing.Items {
		record, err := files.Decode(item.Value)
		if err != nil {
			return err
		}
		for _, chunk := range record.Chunks {
			named[chunk.Blob.Digest] = true
		}
	}
	return nil
}
