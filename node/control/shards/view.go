package shards

import (
	"context"
	"iter"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"k8s.io/klog/v2"
)

// entry is the last observed state of a shard in the store. Each revision is that of the last observed change of its key.
type entry struct {
	owner         batch.Owner // Instance is empty if the shard is free
	lease         kv.LeaseID  // of the owner record
	ownerRevision kv.Revision
	epoch         uint64
	epochRevision kv.Revision // 0 if the key does not exist
	freeSince     time.Time
}

// view is the observed state of all shards. A watch and periodic listings keep it up to date.
type view struct {
	shards [batch.Shards]entry
	watch  *eventBuffer // nil if no watch is open
	listAt time.Time
}

// watching reports whether a watch is open.
func (v *view) watching() bool { return v.watch != nil }

func (v *view) entries() iter.Seq2[batch.Shard, *entry] {
	return func(yield func(batch.Shard, *entry) bool) {
		for n := range v.shards {
			if !yield(batch.Shard(n), &v.shards[n]) {
				return
			}
		}
	}
}

// updateView applies the changes that the watch has delivered, lists all shards when that is due, and then opens a watch if there is none.
func (k *Keeper) updateView(ctx context.Context) error {
	now := time.Now()
	if k.view.watch != nil && !k.view.applyEvents(now) {
		k.view.watch = nil
		k.view.listAt = now.Add(k.jitter(maxRecoveryDelay))
	}
	if now.Before(k.view.listAt) {
		return nil
	}
	listing, err := k.store.List(ctx, batch.ShardsPrefix)
	if err != nil {
		return err
	}
	k.view.replace(listing, now)
	k.view.listAt = now.Add(maxListInterval - k.jitter(maxListInterval/4))
	if k.view.watch != nil {
		return nil
	}
	events, err := k.store.Watch(ctx, batch.ShardsPrefix, listing.Revision)
	if err != nil {
		k.view.listAt = now
		return err
	}
	k.view.watch = newEventBuffer(events)
	return nil
}

// applyEvents applies the delivered changes. It returns false if the watch has ended.
func (v *view) applyEvents(now time.Time) bool {
	events, open := v.watch.drain()
	for _, event := range events {
		v.apply(event.KeyValue, event.Deleted, now)
	}
	return open
}

// replace applies a listing. Owner records that are not in the listing did not exist at its revision.
func (v *view) replace(listing kv.Listing, now time.Time) {
	present := make(map[string]bool, len(listing.Items))
	for _, item := range listing.Items {
		present[item.Key] = true
		v.apply(item, false, now)
	}
	for shard := range v.entries() {
		if key := shard.OwnerKey(); !present[key] {
			v.apply(kv.KeyValue{Key: key, ModRevision: listing.Revision}, true, now)
		}
	}
}

// apply applies a change unless a later change of the same key was already applied. Keys that are not those of a shard are ignored.
func (v *view) apply(item kv.KeyValue, deleted bool, now time.Time) {
	shard, name, ok := batch.ParseShardKey(item.Key)
	if !ok {
		return
	}
	e := &v.shards[shard]
	switch name {
	case "owner":
		e.applyOwner(item, deleted, now)
	case "epoch":
		e.applyEpoch(item)
	}
}

func (e *entry) applyOwner(item kv.KeyValue, deleted bool, now time.Time) {
	if item.ModRevision < e.ownerRevision {
		return
	}
	owner := batch.Owner{}
	if !deleted {
		var err error
		owner, err = batch.DecodeOwner(item.Value)
		if err != nil {
			klog.ErrorS(err, "Owner record of a shard cannot be read", "key", item.Key)
			return
		}
	}
	if owner.Instance == "" && (e.owner.Instance != "" || e.freeSince.IsZero()) {
		e.freeSince = now
	}
	e.owner, e.lease, e.ownerRevision = owner, item.Lease, item.ModRevision
}

func (e *entry) applyEpoch(item kv.KeyValue) {
	epoch, err := batch.DecodeEpoch(item.Value)
	if err != nil {
		klog.ErrorS(err, "Epoch of a shard cannot be read", "key", item.Key)
		return
	}
	if item.ModRevision > e.epochRevision {
		e.epoch, e.epochRevision = epoch, item.ModRevision
	}
}
