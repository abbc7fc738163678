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

// CollectInterval is the interval at which Collector.Reconcile is to be called. In each pass, every instance with a disk lists all records,
// about 300 MB at the design size; with 16 such instances the listings take 220 KB/s from the store.
const CollectInterval = 6 * time.Hour

// confirmDelay is the minimum time between two passes that both find no reference to a blob before the blob may be removed. A job that is
// being created may refer to blobs of a file whose record has just been removed.
const confirmDelay = time.Minute

// maxUnreferenced is the maximum number of unreferenced blobs that are remembered until they are confirmed. Each takes about 100 bytes.
const maxUnreferenced = 100_000

// Uses determines which blobs the records refer to. It is not safe for concurrent use.
type Uses struct {
	store             kv.Store
	ctx               context.Context
	referenced        map[string]bool      // referenced digests; nil until the records are listed
	listFailed        bool                 // the records could not be listed in this pass
	unreferencedSince map[string]time.Time // when a blob was first found without a reference
}

// Collection removes blobs that no record refers to. bulk.Collector implements it.
type Collection interface {
	Reconcile(ctx context.Context) error
}

// Collector runs a Collection and lists the records anew in each pass. It implements workers.Controller.
type Collector struct {
	uses       *Uses
	collection Collection
}

// NewCollector returns a collector for the Collection that make returns. inUse reports whether the blob with the digest must be kept, see
// Uses.InUse; it may only be called during Reconcile of the Collection.
func NewCollector(store kv.Store, make func(inUse func(digest string) bool) Collection) *Collector {
	uses := &Uses{store: store, unreferencedSince: map[string]time.Time{}}
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

func (u *Uses) begin(ctx context.Context) { u.ctx, u.referenced, u.listFailed = ctx, nil, false }

// end frees the memory of the listed digests.
func (u *Uses) end() { u.ctx, u.referenced = nil, nil }

// InUse reports whether the blob must be kept. It returns false only if no record refers to the blob in this pass and none did in a pass at
// least confirmDelay ago; it returns true if the records cannot be listed.
func (u *Uses) InUse(digest string) bool {
	if u.referenced == nil && !u.listFailed {
		u.list()
	}
	if u.listFailed {
		return true
	}
	if u.referenced[digest] {
		delete(u.unreferencedSince, digest)
		return true
	}
	since, known := u.unreferencedSince[digest]
	if known && time.Since(since) >= confirmDelay {
		delete(u.unreferencedSince, digest)
		return false
	}
	if !known && len(u.unreferencedSince) < maxUnreferenced {
		u.unreferencedSince[digest] = time.Now()
	}
	return true
}

// list reads the referenced digests of all records. If a record cannot be read, all blobs count as in use in this pass.
func (u *Uses) list() {
	referenced := make(map[string]bool)
	for n := range batch.Shards {
		err := addJobs(u.ctx, u.store, batch.Shard(n), referenced)
		if err == nil {
			err = addFiles(u.ctx, u.store, batch.Shard(n), referenced)
		}
		if err != nil {
			klog.ErrorS(err, "Records cannot be read; no blobs are removed in this pass", "shard", n)
			u.listFailed = true
			return
		}
	}
	u.referenced = referenced
}

func addJobs(ctx context.Context, store kv.Store, shard batch.Shard, referenced map[string]bool) error {
	prefix := batch.JobsPrefix + shard.String() + "/"
	listing, err := store.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, item := range listing.Items {
		if strings.Contains(strings.TrimPrefix(item.Key, prefix), "/") {
			err = addChunk(item, referenced)
		} else {
			err = addJob(item, referenced)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func addChunk(item kv.KeyValue, referenced map[string]bool) error {
	chunk, err := batch.DecodeChunk(item.Value)
	if err == nil && chunk.Results != nil {
		referenced[chunk.Results.Digest] = true
	}
	return err
}

func addJob(item kv.KeyValue, referenced map[string]bool) error {
	job, err := batch.DecodeJob(item.Value)
	for _, chunk := range job.Chunks {
		referenced[chunk.Digest] = true
	}
	return err
}

func addFiles(ctx context.Context, store kv.Store, shard batch.Shard, referenced map[string]bool) error {
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
			referenced[chunk.Blob.Digest] = true
		}
	}
	return nil
}
