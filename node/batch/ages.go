package batch

import (
	"context"
	"errors"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// agesInterval is the interval at which the ages of a shard's open jobs are stored. With open jobs in all shards, the fleet makes 4.3 such writes per
// second. A change of the owner loses up to the interval, so that the items expire later by it.
const agesInterval = time.Minute

// shardAges are the ages of a shard's open jobs as stored by the former owner. A job has the age that the owners measured by their monotonic clocks:
// the time in which nobody measured is missing, and setting a clock doesn't change it. Hence it is never too high.
type shardAges struct {
	epoch  uint64 // of this owner, who read the ages
	stored batch.Ages
	readAt time.Time
	saved  time.Time // when this owner last stored the ages, initially readAt
}

// createdBy returns a time by this instance's clock that is no earlier than the creation of the job whose record has the create revision and was
// read at now.
func (a shardAges) createdBy(created kv.Revision, now time.Time) time.Time {
	age, ok := a.stored.Of(int64(created))
	if !ok {
		return now
	}
	return a.readAt.Add(-age)
}

// readAges reads the ages of a shard's jobs, once for each epoch.
func (r *Runner) readAges(ctx context.Context, shard batch.Shard, epoch uint64) error {
	if known, ok := r.ages[shard]; ok && known.epoch == epoch {
		return nil
	}
	found, err := r.store.Get(ctx, shard.AgesKey())
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return eris.Wrapf(ErrStore, "read the ages of the jobs of shard %s: %v", shard, err)
	}
	var stored batch.Ages
	if err == nil {
		stored, err = batch.DecodeAges(found.Value)
		if err != nil {
			klog.ErrorS(err, "Ages of batch jobs cannot be read, they are counted from now on", "shard", shard)
		}
	}
	now := r.config.Now()
	r.ages[shard] = shardAges{epoch: epoch, stored: stored, readAt: now, saved: now}
	return nil
}

// saveAges stores the ages of a shard's jobs if agesInterval has passed. The shard's open jobs must be loaded.
func (r *Runner) saveAges(ctx context.Context, shard batch.Shard, epoch uint64) error {
	now, state := r.config.Now(), r.ages[shard]
	if now.Sub(state.saved) < agesInterval {
		return nil
	}
	value, err := r.agesOf(shard, now).Encode()
	if err != nil {
		return err
	}
	_, err = r.store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{{Key: shard.EpochKey(), Target: kv.CompareValue, Value: batch.EncodeEpoch(epoch)}},
		Then:     []kv.Op{{Kind: kv.OpPut, Key: shard.AgesKey(), Value: value}},
	})
	if err != nil {
		return eris.Wrapf(ErrStore, "store the ages of the jobs of shard %s: %v", shard, err)
	}
	state.saved = now
	r.ages[shard] = state
	return nil
}

// agesOf returns the ages of the loaded jobs of a shard.
func (r *Runner) agesOf(shard batch.Shard, now time.Time) batch.Ages {
	r.mu.Lock()
	defer r.mu.Unlock()
	ages := make(batch.Ages)
	for id, j := range r.jobs {
		if id.Shard() == shard {
			ages.Set(int64(j.created), now.Sub(j.createdBy))
		}
	}
	return ages
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
