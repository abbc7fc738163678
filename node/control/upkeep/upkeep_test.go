package upkeep

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/files"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/control/shards"
	"eelgrassproxy.example/node/internal/memkv"
)

const (
	retention = 7 * 24 * time.Hour
	epoch     = 3
	jobID     = batch.JobID("0000000000000000000000000000000000000000000000000000000000000007")
	shard     = batch.Shard(7)
)

// fixture is a store with the records of one shard, and the Shards and Repairer of the keeper. If holderLost is set, Repair replaces
// the copies of the holder "lost".
type fixture struct {
	t          *testing.T
	store      *memkv.Store
	holderLost bool
	repairs    int
}

func (w *fixture) Owned() []shards.Ownership          { return []shards.Ownership{{Shard: shard, Epoch: epoch}} }
func (w *fixture) Epoch(s batch.Shard) (uint64, bool) { return epoch, s == shard }
func (w *fixture) Replaceable(h []fleet.InstanceID) (lost []fleet.InstanceID) {
	if w.holderLost && slices.Contains(h, "lost") {
		lost = append(lost, "lost")
	}
	return lost
}

func (w *fixture) Repair(_ context.Context, ref batch.BlobRef) (batch.BlobRef, bool, error) {
	w.repairs++
	if !w.holderLost || !slices.Contains(ref.Holders, "lost") {
		return ref, false, nil
	}
	ref.Holders = []fleet.InstanceID{"kept", "new"}
	return ref, true, nil
}

func newFixture(t *testing.T) (*fixture, *Keeper) {
	w := &fixture{t: t, store: memkv.New()}
	w.put(shard.EpochKey(), batch.EncodeEpoch(epoch), nil)
	k := New(Config{Store: w.store, Shards: w, Repairer: w, Retention: retention, DiskHolders: func() []fleet.InstanceID { return nil }})
	return w, k
}

func (w *fixture) put(key string, value []byte, err error) {
	require.NoError(w.t, err)
	_, err = w.store.Txn(w.t.Context(), kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: value}}})
	require.NoError(w.t, err)
}

func blob(n int) batch.BlobRef {
	return batch.BlobRef{Digest: fmt.Sprintf("%064x", n), Bytes: 1, Holders: []fleet.InstanceID{"lost", "kept"}}
}

// job stores a job with n chunks of one item each. The last chunk is claimed, the others are recorded.
func (w *fixture) job(state batch.JobState, n int) batch.Job {
	job := batch.Job{ID: jobID, Caller: "c", Items: n, State: state}
	if state != batch.JobAccepted {
		job.Finished = time.Now()
	}
	for i := range n {
		job.Chunks = append(job.Chunks, batch.InputChunk{BlobRef: blob(i), Lines: 1})
		results := blob(1000 + i)
		chunk := batch.Chunk{Epoch: 1, State: batch.ChunkRecorded, Covered: 1, Results: &results}
		if i == n-1 {
			chunk.State = batch.ChunkClaimed
		}
		value, err := chunk.Encode()
		w.put(jobID.ChunkKey(i), value, err)
	}
	value, err := job.Encode()
	w.put(jobID.Key(), value, err)
	w.put(jobID.CallerKey("c"), nil, nil)
	return job
}

// file stores a file of a caller whose digest belongs to the shard, and returns its key.
func (w *fixture) file() string {
	caller := fleet.CallerID("c")
	for n := 0; !strings.HasPrefix(files.Prefix(caller), files.ShardPrefix(shard)); n++ {
		caller = fleet.CallerID(fmt.Sprintf("c%d", n))
	}
	now := time.Unix(time.Now().Unix(), 0)
	record := files.Record{ID: "file-1", Caller: caller, Created: now, Uploaded: now, Lines: 1, Chunks: []files.Chunk{{Lines: 1, Blob: blob(2000)}}}
	value, err := record.Encode()
	w.put(files.Key(caller, record.ID), value, err)
	return files.Key(caller, record.ID)
}

// keys returns the number of keys, not counting the epoch of the shard.
func (w *fixture) keys() int {
	listing, err := w.store.List(w.t.Context(), "/eelgrass/")
	require.NoError(w.t, err)
	return len(listing.Items) - 1
}

// namesLost reports whether the record names the lost holder.
func (w *fixture) namesLost(key string) bool {
	found, err := w.store.Get(w.t.Context(), key)
	require.NoError(w.t, err)
	return strings.Contains(string(found.Value), `"lost"`)
}

// runPasses calls Pass every passInterval for the given time.
func runPasses(t *testing.T, k *Keeper, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(passInterval) {
		k.Pass(t.Context())
	}
}

// Guards against records that keep naming a lost holder, and against a repair that makes the owner of a running chunk give up the chunk.
func TestALostHolderIsReplacedInAllRecordsButThatOfARunningChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, k := newFixture(t)
		w.job(batch.JobAccepted, 3)
		file := w.file()
		runPasses(t, k, 2*maxFirstWalkDelay)
		repairs := w.repairs
		require.Equal(t, 6, repairs, "a whole walk checks each blob of a final record once")
		runPasses(t, k, maxWalkInterval/2)
		require.Equal(t, repairs, w.repairs, "nothing is due")
		w.holderLost = true
		runPasses(t, k, time.Minute)
		for _, key := range []string{jobID.Key(), jobID.ChunkKey(0), jobID.ChunkKey(1), file} {
			require.False(t, w.namesLost(key), key)
		}
		require.True(t, w.namesLost(jobID.ChunkKey(2)), "the record of a claimed chunk belongs to the runner")
		w.job(batch.JobCancelled, 3)
		runPasses(t, k, maxWalkInterval)
		require.False(t, w.namesLost(jobID.ChunkKey(2)))
	})
}

// Guards against a repair that overwrites a cancellation, and against a repair that a former owner writes.
func TestARepairDoesNotOverwriteWhatChangedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, k := newFixture(t)
		job := w.job(batch.JobAccepted, 1)
		w.holderLost = true
		cancelled := false
		w.store.OnTxn(func(txn kv.Txn) {
			if cancelled || len(txn.Compares) == 0 {
				return
			}
			cancelled = true
			ended, err := job.Cancel(time.Now())
			require.NoError(t, err)
			value, err := ended.Encode()
			w.put(jobID.Key(), value, err)
		}, nil)
		runPasses(t, k, 5*time.Minute)
		found, err := w.store.Get(t.Context(), jobID.Key())
		require.NoError(t, err)
		now, err := batch.DecodeJob(found.Value)
		require.NoError(t, err)
		require.Equal(t, batch.JobCancelled, now.State)
		require.False(t, w.namesLost(jobID.Key()), "the repair is retried")

		w, k = newFixture(t)
		w.job(batch.JobAccepted, 2)
		w.put(shard.EpochKey(), batch.EncodeEpoch(epoch+1), nil)
		w.holderLost = true
		runPasses(t, k, 5*time.Minute)
		require.True(t, w.namesLost(jobID.Key()), "another owner has the shard")
	})
}

// Guards against records that are never removed, and against results that are removed before the end of the retention time.
func TestJobsAndFilesEndWithAllTheirRecordsAfterTheRetentionTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, k := newFixture(t)
		w.job(batch.JobCompleted, 70)
		w.file()
		all := w.keys()
		time.Sleep(retention - 3*maxWalkInterval)
		runPasses(t, k, 2*maxWalkInterval)
		require.Equal(t, all, w.keys())
		runPasses(t, k, 3*maxWalkInterval)
		require.Zero(t, w.keys())

		w.job(batch.JobAccepted, 70)
		all = w.keys()
		time.Sleep(2 * retention)
		runPasses(t, k, 2*maxWalkInterval)
		require.Equal(t, all, w.keys(), "the records of an open job are kept")
	})
}

// usageQueries is a Collection that only queries which blobs are in use.
type usageQueries struct {
	digests []string
	inUse   func(string) bool
	found   map[string]bool
}

// Reconcile implements Collection.
func (l *usageQueries) Reconcile(context.Context) error {
	l.found = map[string]bool{}
	for _, digest := range l.digests {
		l.found[digest] = l.inUse(digest)
	}
	return nil
}

// Guards against the removal of a blob that a record refers to, or may refer to while the store is unavailable.
func TestABlobIsRemovedOnlyIfTwoPassesFindNoReference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := newFixture(t)
		w.job(batch.JobCompleted, 2)
		w.file()
		queries := &usageQueries{digests: []string{}}
		for _, n := range []int{0, 1, 1000, 1001, 2000, 9} {
			queries.digests = append(queries.digests, blob(n).Digest)
		}
		c := NewCollector(w.store, func(inUse func(string) bool) Collection {
			queries.inUse = inUse
			return queries
		})
		pass := func() map[string]bool {
			require.NoError(t, c.Reconcile(t.Context()))
			return queries.found
		}
		wantInUse := map[string]bool{}
		for _, digest := range queries.digests {
			wantInUse[digest] = true
		}
		require.Equal(t, wantInUse, pass(), "nothing is removed in the first pass")
		w.store.SetDown(true)
		time.Sleep(time.Hour)
		require.Equal(t, wantInUse, pass(), "nothing is removed while the store is unavailable")
		w.store.SetDown(false)
		wantInUse[blob(9).Digest] = false
		require.Equal(t, wantInUse, pass())
	})
}
