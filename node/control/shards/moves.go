package shards

import (
	"context"
	"errors"
	"slices"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/rendezvous"
)

// ranksPerShard is the number of instances that may acquire a shard: the desired owner, and the next ones in order if it does not acquire
// the shard.
const ranksPerShard = 3

// ranking holds the first instances in rendezvous order for each shard.
type ranking struct {
	alive   []fleet.InstanceID
	byShard [batch.Shards][]string
}

// update recomputes the order if the list of instances has changed.
func (r *ranking) update(alive []fleet.InstanceID) {
	if slices.Equal(alive, r.alive) {
		return
	}
	r.alive = slices.Clone(alive)
	ids := make([]string, len(alive))
	for i, id := range alive {
		ids[i] = string(id)
	}
	for n := range r.byShard {
		r.byShard[n] = rendezvous.Rendezvous(batch.Shard(n).String(), ids, ranksPerShard)
	}
}

// rank returns the position of the instance in the shard's order, or -1 if it is not among the first.
func (r *ranking) rank(shard batch.Shard, id fleet.InstanceID) int {
	return slices.Index(r.byShard[shard], string(id))
}

// acquire acquires free shards: those whose desired owner is this instance, and those that instances with a better rank have left free for
// too long.
func (k *Keeper) acquire(ctx context.Context) error {
	attempts := 0
	for shard, e := range k.view.entries() {
		rank := k.ranking.rank(shard, k.config.Self)
		if e.owner.Instance != "" || rank < 0 || time.Since(e.freeSince) < time.Duration(rank)*takeoverWait {
			continue
		}
		if attempts == maxAcquirePerPass || !k.mayAct() {
			return nil
		}
		attempts++
		if err := k.acquireOne(ctx, shard, e); err != nil {
			return err
		}
		if rank > 0 {
			k.extendHold(shard, minTakeoverHold)
		}
	}
	return nil
}

// acquireOne writes the owner and the epoch in one transaction. If the outcome is unknown, the watch or the next listing shows it.
func (k *Keeper) acquireOne(ctx context.Context, shard batch.Shard, e *entry) error {
	lease := k.currentLease()
	owner := batch.Owner{Instance: k.config.Self, Epoch: e.epoch + 1}
	value, err := owner.Encode()
	if err != nil {
		return err
	}
	result, err := k.store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{
			{Key: shard.OwnerKey(), Target: kv.CompareCreateRevision},
			epochUnchanged(shard, e),
		},
		Then: []kv.Op{
			{Kind: kv.OpPut, Key: shard.OwnerKey(), Value: value, Lease: lease},
			{Kind: kv.OpPut, Key: shard.EpochKey(), Value: batch.EncodeEpoch(owner.Epoch)},
		},
		Else: []kv.Op{
			{Kind: kv.OpGet, Key: shard.OwnerKey()},
			{Kind: kv.OpGet, Key: shard.EpochKey()},
		},
	})
	if errors.Is(err, kv.ErrLeaseGone) {
		k.mu.Lock()
		k.clearLease()
		k.mu.Unlock()
	}
	if err != nil {
		return err
	}
	if !result.Succeeded {
		k.applyRead(result.Gets)
		return nil
	}
	e.owner, e.lease, e.ownerRevision = owner, lease, result.Revision
	e.epoch, e.epochRevision = owner.Epoch, result.Revision
	k.updateOwned(time.Now())
	return nil
}

// extendHold postpones the voluntary release of an owned shard until d has passed.
func (k *Keeper) extendHold(shard batch.Shard, d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := k.owned[shard]; ok {
		o.holdUntil = time.Now().Add(d)
		k.owned[shard] = o
	}
}

// epochUnchanged returns a comparison that succeeds if the epoch of the shard is still the one in e.
func epochUnchanged(shard batch.Shard, e *entry) kv.Compare {
	if e.epochRevision == 0 {
		return kv.Compare{Key: shard.EpochKey(), Target: kv.CompareCreateRevision}
	}
	return kv.Compare{Key: shard.EpochKey(), Target: kv.CompareValue, Value: batch.EncodeEpoch(e.epoch)}
}

// applyRead applies the records that a transaction with a failed comparison returned, before the watch delivers them.
func (k *Keeper) applyRead(found []kv.KeyValue) {
	for _, item := range found {
		if item.CreateRevision != 0 {
			k.view.apply(item, false, time.Now())
		}
	}
	k.updateOwned(time.Now())
}

// release releases the shards that other instances should own, once their running chunks are recorded.
func (k *Keeper) release(ctx context.Context) error {
	for _, shard := range k.markLeaving(time.Now()) {
		if k.config.IsBusy(shard) {
			continue
		}
		if !k.mayAct() {
			return nil
		}
		if err := k.releaseOne(ctx, shard, &k.view.shards[shard]); err != nil {
			return err
		}
	}
	return nil
}

// markLeaving marks up to maxLeaving shards to hand over and returns those that an earlier pass had already marked. The delay of one pass
// lets a caller of Owned that still got the shard start its work, so that Config.IsBusy reports it.
func (k *Keeper) markLeaving(now time.Time) []batch.Shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	marked := 0
	var ready []batch.Shard
	for shard := range k.view.entries() {
		o, ok := k.owned[shard]
		if !ok {
			continue
		}
		wasLeaving := o.leaving
		o.leaving = marked < maxLeaving && now.After(o.holdUntil) && k.ranking.rank(shard, k.config.Self) != 0
		k.owned[shard] = o
		if o.leaving {
			marked++
		}
		if o.leaving && wasLeaving {
			ready = append(ready, shard)
		}
	}
	return ready
}

func (k *Keeper) releaseOne(ctx context.Context, shard batch.Shard, e *entry) error {
	result, err := k.store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{
			{Key: shard.OwnerKey(), Target: kv.CompareModRevision, Revision: e.ownerRevision},
			epochUnchanged(shard, e),
		},
		Then: []kv.Op{{Kind: kv.OpDelete, Key: shard.OwnerKey()}},
		Else: []kv.Op{
			{Kind: kv.OpGet, Key: shard.OwnerKey()},
			{Kind: kv.OpGet, Key: shard.EpochKey()},
		},
	})
	if err != nil {
		return err
	}
	if !result.Succeeded {
		k.applyRead(result.Gets)
		return nil
	}
	e.applyOwner(kv.KeyValue{ModRevision: result.Revision}, true, time.Now())
	k.updateOwned(time.Now())
	return nil
}
