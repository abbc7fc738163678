package batch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/node/internal/wait"
)

// runItems runs the items of the range and appends their results to t.results. claimEpoch is the epoch under which the items were claimed,
// or nil for repeatable items. If the task ends or the shard is not owned (under that epoch) before all items have a result, t.results is
// unchanged, and runItems returns the results so far and the items without a result.
func (r *Runner) runItems(t *task, items batch.Range, claimEpoch *uint64) *incompleteRange {
	results := make([]batch.Result, items.To-items.From)
	indexes := make([]int, len(results))
	for i := range indexes {
		indexes[i] = items.From + i
	}
	return r.runIndexes(t, items, results, indexes, claimEpoch)
}

// incompleteRange is a range of items of which some have no result.
type incompleteRange struct {
	items   batch.Range
	results []batch.Result // by position in the range
	missing []int          // indexes within the chunk of the items without a result
}

// runMissing runs the items of incomplete that have no result. It returns like runItems.
func (r *Runner) runMissing(t *task, g group, incomplete *incompleteRange) *incompleteRange {
	return r.runIndexes(t, incomplete.items, incomplete.results, incomplete.missing, &g.epoch)
}

func (r *Runner) runIndexes(t *task, items batch.Range, results []batch.Result, indexes []int, claimEpoch *uint64) *incompleteRange {
	var mu sync.Mutex // guards missing
	var missing []int
	var group sync.WaitGroup
	slots := make(chan struct{}, r.config.ChunkItems)
	for _, i := range indexes {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			result, ok := r.runItem(t, i, claimEpoch)
			if ok {
				results[i-items.From] = result
				r.notifyNotCompleted(t, result)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			missing = append(missing, i)
		})
	}
	group.Wait()
	if len(missing) > 0 {
		return &incompleteRange{items: items, results: results, missing: missing}
	}
	t.results = append(t.results, results...)
	return nil
}

// notifyNotCompleted calls Config.OnItemNotCompleted for an item that did not complete.
func (r *Runner) notifyNotCompleted(t *task, result batch.Result) {
	if result.Status != batch.ItemCompleted {
		r.config.OnItemNotCompleted(t.jobRecord, result)
	}
}

// runItem makes attempts until the item has a result. It returns false if there is none because the task ended or the shard is not owned.
// The last attempt then certainly did not run, or the item is repeatable.
func (r *Runner) runItem(t *task, i int, claimEpoch *uint64) (batch.Result, bool) {
	ctx, cancel := context.WithTimeout(t.ctx, t.expires.Sub(r.config.Now()))
	defer cancel()
	ran := 0
	last := ItemOutcome{Reason: "the item was not started before the deadline"}
	for attempt := 0; ; attempt++ {
		if !r.mayDispatch(ctx, t, claimEpoch) {
			break
		}
		last = r.executor.Execute(ctx, r.item(t, i, attempt, claimEpoch))
		if last.Kind != batch.AttemptNotRun {
			ran++
		}
		step := batch.NextStep(last.Kind, t.jobRecord.Repeatable, ran, attempt+1)
		if step.Final != "" {
			return t.result(i, step.Final, last), true
		}
		if !wait.For(ctx, step.Delay) {
			break
		}
	}
	if t.ctx.Err() == nil && ctx.Err() != nil {
		return t.result(i, batch.ItemExpired, ItemOutcome{Reason: "deadline reached: " + last.Reason}), true
	}
	return batch.Result{}, false
}

// mayDispatch reports whether an item may be dispatched now. While the shard is not owned, it waits until the shard is owned again, is lost,
// or ctx ends. Claimed items may be dispatched only under the epoch of their claim.
func (r *Runner) mayDispatch(ctx context.Context, t *task, claimEpoch *uint64) bool {
	const poll = time.Second
	shard := t.id.job.Shard()
	for ctx.Err() == nil && !r.shardLost(shard) {
		epoch, owned := r.shards.Epoch(shard)
		if owned {
			return claimEpoch == nil || *claimEpoch == epoch
		}
		if !wait.For(ctx, poll) {
			return false
		}
	}
	return false
}

func (r *Runner) item(t *task, i, attempt int, claimEpoch *uint64) Item {
	return Item{
		Job:        t.id.job,
		Caller:     t.jobRecord.Caller,
		Endpoint:   t.jobRecord.Endpoint,
		Index:      t.firstItem + i,
		Try:        attempt,
		Line:       t.lines[i],
		Repeatable: t.jobRecord.Repeatable,
		Deadline:   t.expires,
		AtRisk:     t.atRisk,
		MayRun: func() bool {
			epoch, owned := r.shards.Epoch(t.id.job.Shard())
			return owned && (claimEpoch == nil || *claimEpoch == epoch)
		},
	}
}

// result returns the result of item i of the chunk. A body that is not valid JSON is recorded as a JSON string.
func (t *task) result(i int, status batch.ItemStatus, o ItemOutcome) batch.Result {
	var named struct {
		CustomID string `json:"custom_id"`
	}
	_ = json.Unmarshal(t.lines[i], &named) // a line without a custom_id is identified by its index
	body := json.RawMessage(o.Body)
	if len(body) > 0 && !json.Valid(body) {
		body, _ = json.Marshal(string(o.Body))
	}
	result := batch.Result{Index: t.firstItem + i, CustomID: named.CustomID, Status: status, HTTP: o.HTTP, Body: body}
	if status != batch.ItemCompleted {
		result.Reason = o.Reason
	}
	return result
}
