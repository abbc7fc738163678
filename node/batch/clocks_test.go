package batch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/adapters/kv"
	core "eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/clocktest"
	"eelgrassproxy.example/node/batch"
	"eelgrassproxy.example/node/control/shards"
	"eelgrassproxy.example/node/internal/memkv"
	"eelgrassproxy.example/node/jobs"
	"github.com/stretchr/testify/require"
)

// oneShard owns the shard of the tests' jobs under an epoch.
type oneShard uint64

const testShard = core.Shard(0)

func (s oneShard) Owned() []shards.Ownership {
	return []shards.Ownership{{Shard: testShard, Epoch: uint64(s)}}
}

func (s oneShard) Epoch(shard core.Shard) (uint64, bool) { return uint64(s), shard == testShard }

// owners are consecutive owners of testShard, whose clocks differ.
type owners struct {
	t     *testing.T
	store *memkv.Store
	bulk  *memBulk
	jobs  *jobs.Service
	epoch uint64
	ahead atomic.Int64 // of the present owner's time of day, in nanoseconds
	open  atomic.Bool  // whether targets have room
	stop  func()
	pass  func()
}

func newOwners(t *testing.T) *owners {
	o := &owners{t: t, store: memkv.New(), bulk: &memBulk{blobs: map[string][]byte{}}, stop: func() {}}
	o.jobs = jobs.New(o.store, o.bulk)
	return o
}

// change replaces the owner by one whose time of day is ahead.
func (o *owners) change(ahead time.Duration) {
	o.stop()
	o.epoch++
	put(o.t, o.store, testShard.EpochKey(), core.EncodeEpoch(o.epoch))
	o.ahead.Store(int64(ahead))
	runner := batch.New(o.store, o.bulk, oneShard(o.epoch), executorFunc(func(ctx context.Context, item batch.Item) batch.ItemOutcome {
		if !o.open.Load() {
			return batch.ItemOutcome{Kind: core.AttemptNotRun, Reason: "no target"}
		}
		return completeImmediately(ctx, item)
	}), batch.Config{Now: func() time.Time { return clocktest.Reading(time.Now(), time.Duration(o.ahead.Load())) }})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { runner.Run(ctx) })
	o.stop = func() { cancel(); group.Wait() }
	o.pass = func() { require.NoError(o.t, runner.Reconcile(ctx)) }
}

// run lets the owner run for a time.
func (o *owners) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		o.pass()
		time.Sleep(min(batch.ReconcileEvery, time.Until(end)))
	}
}

// submit submits a job of testShard.
func (o *owners) submit(key string, repeatable bool) core.JobID {
	for n := 0; ; n++ {
		unique := fmt.Sprintf("%s-%d", key, n)
		if core.JobIDOf(caller, core.Submission{IdempotencyKey: unique}).Shard() != testShard {
			continue
		}
		job, err := o.jobs.Create(o.t.Context(), caller, o.bulk.submission(unique, 3, repeatable))
		require.NoError(o.t, err)
		return job.ID
	}
}

func (o *owners) job(id core.JobID) jobs.JobWithProgress {
	job, err := o.jobs.Get(o.t.Context(), caller, id)
	require.NoError(o.t, err)
	return job
}

// requireExpiry checks that a job of age expires at the end of its window of 2 h, and at most late after it.
func (o *owners) requireExpiry(id core.JobID, age, late time.Duration) {
	const window = 2 * time.Hour
	o.run(window - age - time.Second)
	require.Equal(o.t, core.Counts{}, o.job(id).Progress, "the window has not passed")
	o.run(late + time.Minute)
	job := o.job(id)
	require.Equal(o.t, core.Counts{Expired: 3}, job.Progress, "the window has passed")
	require.Equal(o.t, window, job.Deadline.Sub(job.Created), "the deadline that the caller was told")
}

// Guards against items that expire before the deadline that the caller was told, or long after it, because the owner's clock differs from that of the
// instance that accepted the job.
func TestItemsExpireByTheAgeOfTheJobIfClocksDiffer(t *testing.T) {
	for name, repeatable := range map[string]bool{"repeatable": true, "claimed": false} {
		for _, ahead := range []time.Duration{0, 7 * time.Second, 3 * time.Hour, -3 * time.Hour} {
			t.Run(name+" "+ahead.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					o := newOwners(t)
					o.change(ahead)
					defer func() { o.stop() }()
					o.requireExpiry(o.submit("job", repeatable), 0, 0)
				})
			})
		}
	}
}

// Guards against items that expire too soon, or long after the deadline, because the owner's clock is set.
func TestItemsExpireByTheAgeOfTheJobIfTheOwnersClockIsSet(t *testing.T) {
	for _, step := range []time.Duration{7 * time.Second, 3 * time.Hour, -3 * time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOwners(t)
				o.change(0)
				defer func() { o.stop() }()
				id := o.submit("job", true)
				delete(o.bulk.blobs, o.job(id).Chunks[0].Digest) // so that the chunk starts again every 30 s
				o.run(30 * time.Minute)
				o.ahead.Store(int64(step))
				o.requireExpiry(id, 30*time.Minute, 0)
			})
		})
	}
}

// Guards against results that become unknown, and items that expire, since a blob cannot be read for a while and the owner's clock is ahead.
func TestUnreadableBlobsAreNotGivenUpByAnOwnerWhoseClockIsAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwners(t)
		o.open.Store(true)
		o.change(3 * time.Hour)
		defer func() { o.stop() }()
		id := o.submit("job", true)
		digest := o.job(id).Chunks[0].Digest
		data := o.bulk.blobs[digest]
		delete(o.bulk.blobs, digest)
		o.run(10 * time.Minute)
		require.Equal(t, core.Counts{}, o.job(id).Progress)
		o.bulk.mu.Lock()
		o.bulk.blobs[digest] = data
		o.bulk.mu.Unlock()
		o.run(time.Minute)
		require.Equal(t, core.Counts{Completed: 3}, o.job(id).Progress)
	})
}

// Guards against a window that starts anew with each owner, and against one that is shorter for a new owner whose clock is ahead.
func TestAgeOfAJobPassesToTheNextOwner(t *testing.T) {
	for _, ahead := range []time.Duration{7 * time.Second, 3 * time.Hour, -3 * time.Hour} {
		t.Run(ahead.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOwners(t)
				defer func() { o.stop() }()
				o.change(0)
				id := o.submit("job", true)
				o.run(30 * time.Minute)
				o.change(ahead)
				o.run(30 * time.Minute)
				o.change(ahead / 2)
				const perOwner = time.Minute + 2*batch.ReconcileEvery // the interval at which ages are stored, and two passes
				o.requireExpiry(id, time.Hour, 2*perOwner)
			})
		})
	}
}

// Guards against items that expire too soon because the former owner, of an earlier build, stored no ages, or stored values that cannot be read.
func TestJobsOfAnEarlierBuildDoNotExpireTooSoon(t *testing.T) {
	for name, change := range map[string]func(t *testing.T, o *owners, key string){
		"no ages": func(t *testing.T, o *owners, key string) {
			_, err := o.store.Txn(t.Context(), kv.Txn{Then: []kv.Op{{Kind: kv.OpDelete, Key: key}}})
			require.NoError(t, err)
		},
		"unreadable ages": func(t *testing.T, o *owners, key string) { put(t, o.store, key, []byte("x")) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOwners(t)
				defer func() { o.stop() }()
				o.change(0)
				id := o.submit("job", true)
				o.run(90 * time.Minute)
				change(t, o, id.Shard().AgesKey())
				o.change(3 * time.Hour)
				o.requireExpiry(id, 0, 0)
			})
		})
	}
}

// Guards against a job that is submitted again after it was removed, and expires by the age of the earlier job of the same id.
func TestResubmittedJobHasNoAgeOfTheEarlierOne(t *testing.T) {
	for _, sameOwner := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			o := newOwners(t)
			defer func() { o.stop() }()
			o.change(0)
			id := o.submit("job", true)
			o.run(90 * time.Minute)
			_, err := o.jobs.Cancel(t.Context(), caller, id)
			require.NoError(t, err)
			o.run(batch.ReconcileEvery)
			_, err = o.store.Txn(t.Context(), kv.Txn{Then: []kv.Op{{Kind: kv.OpDelete, Key: id.Key()}}})
			require.NoError(t, err)
			if !sameOwner {
				o.change(0)
			}
			require.Equal(t, id, o.submit("job", true))
			o.requireExpiry(id, 0, 0)
		})
	}
}

// Guards against a job that expires too soon because it counts from the time when its owner began to own the shard.
func TestJobSubmittedLaterIsNotAsOldAsTheOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwners(t)
		defer func() { o.stop() }()
		o.change(0)
		o.submit("first", true)
		o.run(time.Hour)
		o.requireExpiry(o.submit("second", true), 0, 0)
	})
}

// Guards against store writes that grow with the number of jobs, and against large values.
func TestAgesOfAllJobsOfAShardAreOneSmallWriteAMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwners(t)
		defer func() { o.stop() }()
		o.change(0)
		const open = 40
		for n := range open {
			o.submit(fmt.Sprint(n), true)
		}
		before := o.store.Writes()
		o.run(time.Hour)
		require.LessOrEqual(t, o.store.Writes()-before, 60)
		require.GreaterOrEqual(t, o.store.Writes()-before, 55)
		stored, err := o.store.Get(t.Context(), testShard.AgesKey())
		require.NoError(t, err)
		t.Logf("ages of %d jobs: %d bytes", open, len(stored.Value))
		require.Less(t, len(stored.Value), 30*open)
	})
}
