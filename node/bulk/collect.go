package bulk

import (
	"context"
	"time"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/node/workers"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// CollectEvery is the period for registering the Collector.
const CollectEvery = time.Hour

const (
	// DefaultRetention is the age at which a blob that no record names is removed.
	DefaultRetention = 7 * 24 * time.Hour
	// MinRetention leaves the time between writing a blob and writing the record that names it; an upload may take half of it.
	MinRetention = time.Hour
)

// Collector removes old blobs that no record names from this instance's disk. It implements workers.Controller.
type Collector struct {
	disk      *disk.Store
	retention time.Duration
	inUse     func(digest string) bool
}

var _ workers.Controller = (*Collector)(nil)

// NewCollector returns a collector. A retention of 0 means DefaultRetention; less than MinRetention is raised to it. inUse tells
// whether a record names the blob; it must answer true when it cannot know, for example while the store is down.
func NewCollector(d *disk.Store, retention time.Duration, inUse func(digest string) bool) *Collector {
	if retention == 0 {
		retention = DefaultRetention
	}
	return &Collector{disk: d, retention: max(retention, MinRetention), inUse: inUse}
}

// Name identifies the controller in logs and metrics.
func (*Collector) Name() string { return "bulk-collect" }

// Reconcile does one pass. A blob that is written anew meanwhile is kept.
func (c *Collector) Reconcile(ctx context.Context) error {
	limit := time.Now().Add(-c.retention)
	old := []string{}
	err := c.disk.Walk(func(i disk.Info) {
		if i.WrittenAt.Before(limit) {
			old = append(old, i.Digest)
		}
	})
	if err != nil {
		return eris.Wrap(err, "list the blobs")
	}
	removed := 0
	for _, digest := range old {
		if err := ctx.Err(); err != nil {
			return err
		}
		if c.inUse(digest) {
			continue
		}
		deleted, err := c.disk.DeleteWrittenBefore(digest, limit)
		if err != nil {
			return eris.Wrapf(err, "remove blob %s", digest)
		}
		if deleted {
			removed++
		}
	}
	if removed > 0 {
		klog.InfoS("Old blobs removed", "count", removed)
	}
	return nil
}
