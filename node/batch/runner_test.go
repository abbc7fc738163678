package batch_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/adapters/kv"
	core "eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/batch"
	"eelgrassproxy.example/node/control/shards"
	"eelgrassproxy.example/node/internal/memkv"
	"eelgrassproxy.example/node/jobs"
	"github.com/stretchr/testify/require"
)

// allShards owns every shard under epoch 1.
type allShards struct{}

func (allShards) Owned() []shards.Ownership {
	owned := make([]shards.Ownership, core.Shards)
	for n := range owned {
		owned[n] = shards.Ownership{Shard: core.Shard(n), Epoch: 1}
	}
	return owned
}

func (allShards) Epoch(core.Shard) (uint64, bool) { return 1, true }

// executorFunc is a function that implements batch.Executor.
type executorFunc func(ctx context.Context, item batch.Item) batch.ItemOutcome

func (f executorFunc) Execute(ctx context.Context, item batch.Item) batch.ItemOutcome {
	return f(ctx, item)
}

func completeImmediately(context.Context, batch.Item) batch.ItemOutcome {
	return batch.ItemOutcome{Kind: core.AttemptCompleted, HTTP: 200, Body: []byte(`{"choices":[{"text":"answer"}]}`)}
}

// testRunner is one runner that owns all shards.
type testRunner struct {
	store  *memkv.Store
	bulk   *memBulk
	jobs   *jobs.Service
	runner *batch.Runner
	stop   func()
}

func newTestRunner(tb testing.TB, executor executorFunc, config batch.Config) *testRunner {
	s := &testRunner{store: memkv.New(), bulk: &memBulk{blobs: map[string][]byte{}}}
	for n := range core.Shards {
		put(tb, s.store, core.Shard(n).EpochKey(), core.EncodeEpoch(1))
	}
	s.jobs = jobs.New(s.store, s.bulk)
	s.runner = batch.New(s.store, s.bulk, allShards{}, executor, config)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { s.runner.Run(ctx) })
	s.stop = func() { cancel(); group.Wait() }
	return s
}

func put(tb testing.TB, store kv.Store, key string, value []byte) {
	_, err := store.Txn(context.Background(), kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: value}}})
	require.NoError(tb, err)
}

func (s *testRunner) submit(tb testing.TB, who fleet.CallerID, key string, items int, repeatable bool) core.JobID {
	job, err := s.jobs.Create(context.Background(), who, s.bulk.submission(key, items, repeatable))
	require.NoError(tb, err)
	return job.ID
}

// runUntilEnded calls Reconcile, with a pause after each call, until the job has ended, and returns the job.
func (s *testRunner) runUntilEnded(tb testing.TB, who fleet.CallerID, id core.JobID, pause time.Duration) jobs.JobWithProgress {
	for range 100_000 {
		_ = s.runner.Reconcile(context.Background())
		job, err := s.jobs.Get(context.Background(), who, id)
		if err == nil && job.State != core.JobAccepted {
			return job
		}
		time.Sleep(pause)
	}
	require.Fail(tb, "job has not ended")
	return jobs.JobWithProgress{}
}

// Guards against store writes that grow with the number of items: the store handles only a few hundred writes per second for the whole
// fleet.
func TestStoreWritesPerItemStayBelowTheBound(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
	}{{"repeatable items", true}, {"non-repeatable items", false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const items = 10_000
				s := newTestRunner(t, completeImmediately, batch.Config{})
				defer s.stop()
				before := s.store.Writes()
				job := s.runUntilEnded(t, caller, s.submit(t, caller, "job", items, c.repeatable), time.Second)
				require.Equal(t, core.Counts{Completed: items}, job.Counts)
				perItem := float64(s.store.Writes()-before) / items
				t.Logf("%s: %.4f store writes per item", c.name, perItem)
				require.Less(t, perItem, 0.05)
			})
		})
	}
}

// Guards against a chunk record that takes effect although the shard got a new owner or the job was cancelled between the check of the
// lease and the write, for example because the instance was paused in between.
func TestARecordThatArrivesLateIsRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(t *testing.T, s *testRunner, id core.JobID)
	}{
		{"the shard has a new owner", func(t *testing.T, s *testRunner, id core.JobID) {
			put(t, s.store, id.Shard().EpochKey(), core.EncodeEpoch(2))
		}},
		{"the job was cancelled", func(t *testing.T, s *testRunner, id core.JobID) {
			_, err := s.jobs.Cancel(t.Context(), caller, id)
			require.NoError(t, err)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestRunner(t, completeImmediately, batch.Config{})
				defer s.stop()
				id := s.submit(t, caller, "job", 10, true)
				changed := false
				s.store.OnTxn(func(txn kv.Txn) {
					if !changed && isChunkWrite(txn) {
						changed = true
						c.change(t, s, id)
					}
				}, nil)
				require.NoError(t, s.runner.Reconcile(t.Context()))
				synctest.Wait()
				require.True(t, changed)
				_, err := s.store.Get(t.Context(), id.ChunkKey(0))
				require.ErrorIs(t, err, kv.ErrNotFound)
			})
		})
	}
}

// Guards against items of a cancelled job that continue to run at the engines.
func TestACancelEndsTheItemsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running, stopped atomic.Int64
		s := newTestRunner(t, func(ctx context.Context, _ batch.Item) batch.ItemOutcome {
			running.Add(1)
			<-ctx.Done()
			stopped.Add(1)
			return batch.ItemOutcome{Kind: core.AttemptUnknown, Reason: "cancelled"}
		}, batch.Config{})
		defer s.stop()
		id := s.submit(t, caller, "job", 100, true)
		require.NoError(t, s.runner.Reconcile(t.Context()))
		synctest.Wait()
		require.Equal(t, int64(64), running.Load(), "items of a chunk run concurrently up to the limit")
		_, err := s.jobs.Cancel(t.Context(), caller, id)
		require.NoError(t, err)
		require.NoError(t, s.runner.Reconcile(t.Context()))
		synctest.Wait()
		require.Equal(t, running.Load(), stopped.Load())
		require.False(t, s.runner.Busy(id.Shard()))
	})
}

// Guards against jobs that stay open forever: items that have not run by the deadline, or whose lines are lost, must expire.
func TestItemsNotRunByTheDeadlineExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestRunner(t, func(ctx context.Context, item batch.Item) batch.ItemOutcome {
			if item.Index < 10 {
				return completeImmediately(ctx, item)
			}
			return batch.ItemOutcome{Kind: core.AttemptNotRun, Reason: "no target"}
		}, batch.Config{})
		defer s.stop()
		refused := s.submit(t, caller, "refused", 300, false)
		lost := s.submit(t, caller, "lost", 5, true)
		job, err := s.jobs.Get(t.Context(), caller, lost)
		require.NoError(t, err)
		delete(s.bulk.blobs, job.Chunks[0].Digest)

		job = s.runUntilEnded(t, caller, refused, 30*time.Second)
		require.Equal(t, core.JobExpired, job.State)
		require.Equal(t, core.Counts{Completed: 10, Expired: 290}, job.Counts)
		require.WithinRange(t, job.Finished, job.Deadline, job.Deadline.Add(time.Minute))
		job = s.runUntilEnded(t, caller, lost, 30*time.Second)
		require.Equal(t, core.Counts{Expired: 5}, job.Counts)
	})
}

// Guards against results that are lost in a store outage, and against unbounded memory use during one.
func TestResultsOfAnOutageAreHeldWithinTheBoundAndRecordedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		s := newTestRunner(t, func(ctx context.Context, item batch.Item) batch.ItemOutcome {
			ran.Add(1)
			time.Sleep(time.Second)
			return completeImmediately(ctx, item)
		}, batch.Config{Workers: 2, ChunkItems: core.ChunkItems, MaxUnsaved: 5})
		defer s.stop()
		const items = 20 * core.ChunkItems
		id := s.submit(t, caller, "job", items, true)
		require.NoError(t, s.runner.Reconcile(t.Context()))
		s.store.SetDown(true)
		time.Sleep(5 * time.Minute)
		require.InDelta(t, 6*core.ChunkItems, ran.Load(), core.ChunkItems)
		s.store.SetDown(false)
		job := s.runUntilEnded(t, caller, id, 3*time.Second)
		require.Equal(t, core.Counts{Completed: items}, job.Counts)
		require.Equal(t, int64(items), ran.Load(), "items whose results wait for the store must not run again")
	})
}

// Guards against a small job of one caller that has to wait for a huge job of another caller.
func TestASmallJobIsNotStarvedByAHugeOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestRunner(t, func(ctx context.Context, item batch.Item) batch.ItemOutcome {
			time.Sleep(time.Second)
			return completeImmediately(ctx, item)
		}, batch.Config{Workers: 2})
		defer s.stop()
		s.submit(t, "a", "huge", 100*core.ChunkItems, true)
		require.NoError(t, s.runner.Reconcile(t.Context()))
		time.Sleep(time.Minute)
		job := s.runUntilEnded(t, "b", s.submit(t, "b", "small", 2*core.ChunkItems, true), time.Second)
		require.Less(t, job.Finished.Sub(job.Created), 30*time.Second)
	})
}

// Guards against a shutdown that does not wait for running chunks, or that starts further ones.
func TestDrainWaitsForRunningChunksAndStartsNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestRunner(t, func(ctx context.Context, item batch.Item) batch.ItemOutcome {
			time.Sleep(10 * time.Second)
			return completeImmediately(ctx, item)
		}, batch.Config{Workers: 1, ChunkItems: core.ChunkItems})
		defer s.stop()
		id := s.submit(t, caller, "job", 3*core.ChunkItems, true)
		require.NoError(t, s.runner.Reconcile(t.Context()))
		synctest.Wait()
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, s.runner.Drain(short), context.DeadlineExceeded)
		require.NoError(t, s.runner.Drain(t.Context()))
		job, err := s.jobs.Get(t.Context(), caller, id)
		require.NoError(t, err)
		require.Equal(t, core.ChunkItems, job.Progress.Completed)
	})
}
