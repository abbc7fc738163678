package bulk

import (
	"context"
	"time"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/node/workers"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// CollectInterval is the interval between passes with which the Collector is to be registered.
const CollectInterval = time.Hour

const (
	// DefaultRetention is the age at which a blob that no record refers to is removed.
	DefaultRetention = 7 * 24 * time.Hour
	// MinRetention covers the time between writing a blob and writing the record that refers to it; an upload may take up to half of
	// it.
	MinRetention = time.Hour
)

// Collector removes old blobs that no record refers to from this instance's disk. It implements workers.Controller.
type Collector struct {
	disk      *disk.Store
	retention time.Duration
	inUse     func(digest string) bool
}

var _ workers.Controller = (*Collector)(nil)

// NewCollector returns a collector. A retention of 0 means DefaultRetention; a value below MinRetention is raised to it. inUse reports
// whether a record refers to the blob; it must return true when it cannot determine that, for example while the store is down.
func NewCollector(d *disk.Store, retention time.Duration, inUse func(digest string) bool) *Collector {
	if retention == 0 {
		retention = DefaultRetention
	}
	return &Collector{disk: d, retention: max(retention, MinRetention), inUse: inUse}
}

// Name identifies the controller in logs and metrics.
func (*Collector) Name() string { return "bulk-collect" }

// Reconcile removes the blobs that are older than the retention and not in use. A blob that is written again during the pass is kept.
func (c *Collector) Reconcile(ctx context.Context) error {
	limit := time.Now().Add(-c.retention)
	old := []string{}
	err := c.disk.Walk(func(i disk.Info) {
		if i.WrittenAt.Before(limit) {
			old = append(old, i.Digest)
		}
	})
	if err != nil {
		return eris.Wrap(err, "list blobs on the local disk")
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
