package shards

import (
	"context"
	"errors"
	"time"

	"eelgrassproxy.example/adapters/kv"
)

// ensureLease requests a lease if none is held, and renews it when that is due. If the lease no longer exists in the store, all shards are
// lost and a new lease is requested.
func (k *Keeper) ensureLease(ctx context.Context) error {
	if k.currentLease() == 0 {
		return k.grant(ctx)
	}
	sentAt := time.Now()
	if sentAt.Before(k.renewAt) && k.mayAct() {
		return nil
	}
	ttl, err := k.store.KeepAlive(ctx, k.currentLease())
	if errors.Is(err, kv.ErrLeaseGone) {
		k.mu.Lock()
		k.clearLease()
		k.mu.Unlock()
		return k.grant(ctx)
	}
	if err != nil {
		return err
	}
	k.renewAt = sentAt.Add(renewInterval)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.Lease.Renewed(sentAt, ttl)
	return nil
}

func (k *Keeper) grant(ctx context.Context) error {
	sentAt := time.Now()
	lease, err := k.store.Grant(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	k.renewAt = sentAt.Add(renewInterval)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.Lease.Granted(sentAt, LeaseTTL)
	k.lease = lease
	return nil
}

func (k *Keeper) currentLease() kv.LeaseID {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease
}

func (k *Keeper) mayAct() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease != 0 && k.config.Lease.MayAct(time.Now())
}

// updateOwned sets the owned shards to those that the view shows as owned by this instance under the current lease. This includes a
// shard whose acquisition took effect although its response was lost.
func (k *Keeper) updateOwned(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for shard, entry := range k.view.entries() {
		held, owns := k.owned[shard]
		ownedBySelf := k.lease != 0 && entry.lease == k.lease && entry.owner.Instance == k.config.Self
		switch {
		case !ownedBySelf:
			delete(k.owned, shard)
		case !owns || held.epoch != entry.owner.Epoch:
			k.owned[shard] = ownedShard{epoch: entry.owner.Epoch, holdUntil: now.Add(minHold)}
		}
	}
}
