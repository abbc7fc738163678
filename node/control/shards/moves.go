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

// ranks is the number of instances that may take over a shard: the desired owner and those that follow if it does not acquire.
const ranks = 3

// ranking keeps the first instances in rendezvous order for each shard.
type ranking struct {
	alive   []fleet.InstanceID
	byShard [batch.Shards][]string
}

// update computes the order again if the instances have changed.
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
		r.byShard[n] = rendezvous.Rendezvous(batch.Shard(n).String(), ids, ranks)
	}
}

// rank returns the place of the instance in the shard's order, -1 if it has none.
func (r *ranking) rank(shard batch.Shard, id fleet.InstanceID) int {
	return slices.Index(r.byShard[shard], string(id))
}

// acquire takes free shards: those desired here, and those that a better placed instance has left free for too long.
func (k *Keeper) acquire(ctx context.Context) error {
	taken := 0
	for shard, e := range k.view.entries() {
		rank := k.ranking.rank(shard, k.config.Self)
		if e.owner.Instance != "" || rank < 0 || time.Since(e.freeSince) < time.Duration(rank)*takeoverWait {
			continue
		}
		if taken == acquirePerPass || !k.mayAct() {
			return nil
		}
		taken++
		if err := k.acquireOne(ctx, shard, e); err != nil {
			return err
		}
		if rank > 0 {
			k.keep(shard, takeoverHold)
		}
	}
	return nil
}

// acquireOne writes owner and epoch in one transaction. If its outcome stays unknown, the watch or the next listing tells it.
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
			epochAsRead(shard, e),
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
		k.forgetLease()
		k.mu.Unlock()
	}
	if err != nil {
		return err
	}
	if !result.Succeeded {
		k.learn(result.Gets)
		return nil
	}
	e.owner, e.lease, e.ownerRevision = owner, lease, result.Revision
	e.epoch, e.epochRevision = owner.Epoch, result.Revision
	k.settle(time.Now())
	return nil
}

// keep puts off the voluntary release of an owned shard.
func (k *Keeper) keep(shard batch.Shard, d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := k.owned[shard]; ok {
		o.keepTo = time.Now().Add(d)
		k.owned[shard] = o
	}
}

// epochAsRead holds while the shard's epoch is the one of the view.
func epochAsRead(shard batch.Shard, e *entry) kv.Compare {
	if e.epochRevision == 0 {
		return kv.Compare{Key: shard.EpochKey(), Target: kv.CompareCreateRevision}
	}
	return kv.Compare{Key: shard.EpochKey(), Target: kv.CompareValue, Value: batch.EncodeEpoch(e.epoch)}
}

// learn applies what a failed transaction read, ahead of the watch.
func (k *Keeper) learn(found []kv.KeyValue) {
	for _, item := range found {
		if item.CreateRevision != 0 {
			k.view.apply(item, false, time.Now())
		}
	}
	k.settle(time.Now())
}

// release hands over shards that are desired elsewhere, once their running chunks are recorded.
func (k *Keeper) release(ctx context.Context) error {
	for _, shard := range k.leaving(time.Now()) {
		if k.config.Busy(shard) {
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

// leaving marks the shards to hand over, at most releasePerPass at a time, and returns those that were marked by an earlier pass: whoever
// saw them as owned before has started its work by now.
func (k *Keeper) leaving(now time.Time) []batch.Shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	marked := 0
	var ready []batch.Shard
	for shard := range k.view.entries() {
		o, ok := k.owned[shard]
		if !ok {
			continue
		}
		before := o.leaving
		o.leaving = marked < releasePerPass && now.After(o.keepTo) && k.ranking.rank(shard, k.config.Self) != 0
		k.owned[shard] = o
		if o.leaving {
			marked++
		}
		if o.leaving && before {
			ready = append(ready, shard)
		}
	}
	return ready
}

func (k *Keeper) releaseOne(ctx context.Context, shard batch.Shard, e *entry) error {
	result, err := k.store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{
			{Key: shard.OwnerKey(), Target: kv.CompareModRevision, Revision: e.ownerRevision},
			epochAsRead(shard, e),
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
		k.learn(result.Gets)
		return nil
	}
	e.applyOwner(kv.KeyValue{ModRevision: result.Revision}, true, time.Now())
	k.settle(time.Now())
	return nil
}
