package batch_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassproxy.example/adapters/kv"
	core "eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/clocktest"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/batch"
	"eelgrassproxy.example/node/control/shards"
	"eelgrassproxy.example/node/internal/memkv"
	"eelgrassproxy.example/node/jobs"
	"github.com/rotisserie/eris"
)

// lease lets the instance act until 2 s before the lease expires.
type lease struct {
	mu    sync.Mutex
	until time.Time
}

func (l *lease) Granted(sentAt time.Time, ttl time.Duration) { l.Renewed(sentAt, ttl) }
func (l *lease) Renewed(sentAt time.Time, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = sentAt.Add(ttl - 2*time.Second)
}
func (l *lease) Lost() { l.Renewed(time.Time{}, 0) }
func (l *lease) MayAct(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
}

// memBulk is an in-memory bulk storage shared by all instances.
type memBulk struct {
	mu      sync.Mutex
	blobs   map[string][]byte
	discard bool // discard blobs that are put, so that they do not count in memory measurements
}

func (b *memBulk) Put(_ context.Context, data []byte) (core.BlobRef, error) {
	sum := sha256.Sum256(data)
	digest := hex.EncodeToString(sum[:])
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.discard {
		b.blobs[digest] = data
	}
	return core.BlobRef{Digest: digest, Bytes: int64(len(data)), Holders: []fleet.InstanceID{"a", "b"}}, nil
}

func (b *memBulk) Get(_ context.Context, ref core.BlobRef) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, ok := b.blobs[ref.Digest]
	if !ok {
		return nil, eris.New("no such blob")
	}
	return data, nil
}

// submission stores the lines of n items and returns a submission for them.
func (b *memBulk) submission(key string, n int, repeatable bool) core.Submission {
	s := core.Submission{FileID: "file-" + key, Items: n, Endpoint: "/v1/completions", Repeatable: repeatable, Window: 2 * time.Hour, IdempotencyKey: key}
	for first := 0; first < n; first += core.ChunkItems {
		var lines strings.Builder
		for i := first; i < min(n, first+core.ChunkItems); i++ {
			fmt.Fprintf(&lines, `{"custom_id":"%s-%d","method":"POST","url":"/v1/completions","body":{"prompt":"p"}}`+"\n", key, i)
		}
		ref, _ := b.Put(context.Background(), []byte(lines.String()))
		s.Chunks = append(s.Chunks, core.InputChunk{BlobRef: ref, Lines: min(n-first, core.ChunkItems)})
	}
	return s
}

// cluster is a few instances with one store, and injected faults.
type cluster struct {
	store *memkv.Store
	bulk  *memBulk

	mu         sync.Mutex          // guards the fields below; held during store calls, so that the checks see the state at the write
	ran        map[string]int      // number of runs, by item
	cancelled  map[core.JobID]bool // jobs whose cancellation was acknowledged
	recorded   map[string]bool     // keys of chunks in state recorded
	violations []string

	nodes []*node
}

func newCluster() *cluster {
	return &cluster{
		store:     memkv.New(),
		bulk:      &memBulk{blobs: map[string][]byte{}},
		ran:       map[string]int{},
		cancelled: map[core.JobID]bool{},
		recorded:  map[string]bool{},
	}
}

// node is one instance: a keeper, a runner and the job service, with its own link to the store.
type node struct {
	cluster *cluster
	id      fleet.InstanceID
	link    *link
	keeper  *shards.Keeper
	runner  *batch.Runner
	jobs    *jobs.Service
	stop    context.CancelFunc
	killed  bool
	ahead   atomic.Int64 // of the time of day, in nanoseconds
	done    sync.WaitGroup
}

func (c *cluster) alive() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, n := range c.nodes {
		if !n.killed {
			ids = append(ids, n.id)
		}
	}
	return ids
}

// start adds an instance, which runs until it is killed or ctx ends.
func (c *cluster) start(ctx context.Context) *node {
	n := &node{cluster: c, id: fleet.InstanceID(fmt.Sprintf("node-%d", len(c.nodes)))}
	n.link = &link{Store: c.store, cluster: c}
	n.link.wake = sync.NewCond(&n.link.mu)
	members := &memberList{cluster: c}
	n.keeper = shards.New(n.link, shards.Config{
		Self: n.id, AliveInstances: members.get, Lease: &lease{}, Seed: uint64(len(c.nodes)),
		IsBusy: func(s core.Shard) bool { return n.runner.Busy(s) },
	})
	n.runner = batch.New(n.link, c.bulk, n.keeper, n, batch.Config{
		Workers: 4,
		Now:     func() time.Time { return clocktest.Reading(time.Now(), time.Duration(n.ahead.Load())) },
	})
	n.jobs = jobs.New(n.link, c.bulk)
	ctx, n.stop = context.WithCancel(ctx)
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	n.done.Go(func() { n.runner.Run(ctx) })
	n.done.Go(func() { n.loop(ctx, shards.ReconcileInterval, n.keeper.Reconcile) })
	n.done.Go(func() { n.loop(ctx, batch.ReconcileEvery, n.runner.Reconcile) })
	return n
}

type memberList struct{ cluster *cluster }

func (a *memberList) get() []fleet.InstanceID {
	a.cluster.mu.Lock()
	defer a.cluster.mu.Unlock()
	return a.cluster.alive()
}

func (n *node) loop(ctx context.Context, every time.Duration, pass func(context.Context) error) {
	for ctx.Err() == nil {
		n.link.gate()
		_ = pass(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}

// kill ends the instance abruptly: it has no further effect on the store.
func (n *node) kill() {
	n.link.disconnect()
	n.stop()
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.killed = true
}

// Execute implements batch.Executor. Some items always fail, and some are refused or lose their response at first.
func (n *node) Execute(ctx context.Context, item batch.Item) batch.ItemOutcome {
	n.link.gate()
	if n.link.isDisconnected() || ctx.Err() != nil {
		return batch.ItemOutcome{Kind: core.AttemptNotRun, Reason: "cancelled"}
	}
	if item.Index%13 == 5 && item.Try < 2 {
		return batch.ItemOutcome{Kind: core.AttemptNotRun, Reason: "target is full"}
	}
	n.cluster.mu.Lock()
	n.cluster.ran[fmt.Sprintf("%s-%d", item.Job, item.Index)]++
	n.cluster.mu.Unlock()
	select {
	case <-ctx.Done():
		return batch.ItemOutcome{Kind: core.AttemptUnknown, Reason: "cancelled"}
	case <-time.After(time.Duration(500+item.Index%7*900) * time.Millisecond):
	}
	n.link.gate()
	switch {
	case item.Index%17 == 3:
		return batch.ItemOutcome{Kind: core.AttemptFailed, HTTP: 500, Reason: "poison"}
	case item.Index%11 == 2 && item.Try == 0:
		return batch.ItemOutcome{Kind: core.AttemptUnknown, Reason: "answer lost"}
	}
	return batch.ItemOutcome{Kind: core.AttemptCompleted, HTTP: 200, Body: []byte(`{"ok":true}`)}
}

// apply runs a transaction and checks the chunk record that it wrote.
func (c *cluster) apply(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result, err := c.store.Txn(ctx, txn)
	if err != nil || !result.Succeeded {
		return result, err
	}
	if isChunkWrite(txn) {
		c.checkChunk(ctx, txn.Then[0])
	}
	return result, nil
}

// checkChunk checks a chunk record that took effect. The caller must hold c.mu.
func (c *cluster) checkChunk(ctx context.Context, op kv.Op) {
	id, _, _ := strings.Cut(strings.TrimPrefix(op.Key, core.JobsPrefix)[4:], "/")
	job := core.JobID(id)
	chunk, err := core.DecodeChunk(op.Value)
	if err != nil {
		c.violation("chunk %s: %v", op.Key, err)
		return
	}
	current, _ := c.store.Get(ctx, job.Shard().EpochKey())
	if string(current.Value) != string(core.EncodeEpoch(chunk.Epoch)) {
		c.violation("chunk %s was written under epoch %d, but the shard has epoch %s", op.Key, chunk.Epoch, current.Value)
	}
	if c.cancelled[job] {
		c.violation("chunk %s was written after the cancellation of its job was acknowledged", op.Key)
	}
	if c.recorded[op.Key] {
		c.violation("chunk %s was written again after it had been recorded", op.Key)
	}
	c.recorded[op.Key] = chunk.State == core.ChunkRecorded
}

func (c *cluster) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}
