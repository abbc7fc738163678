package itemjobs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// recordRetryDelay is the delay after a failed attempt to record results.
	recordRetryDelay = 250 * time.Millisecond
	// recordTimeout bounds one attempt to record results, including the reads after a conflict.
	recordTimeout = 3 * time.Second
)

// encodeJSON returns a value as JSON without escapes of markup, which would make outputs up to six times as long.
func encodeJSON(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}

// putJSON returns the operations that write values as JSON. pairs holds keys and values in turn.
func putJSON(pairs ...any) ([]kv.Op, error) {
	var ops []kv.Op
	for i := 0; i+1 < len(pairs); i += 2 {
		value, err := encodeJSON(pairs[i+1])
		if err != nil {
			return nil, err
		}
		ops = append(ops, kv.Op{Kind: kv.OpPut, Key: pairs[i].(string), Value: value})
	}
	return ops, nil
}

// errContended means that the record of a job was changed since it was read.
var errContended = eris.New("record of the job changed meanwhile")

// replaceRecord applies operations if the record of a job is still at a revision, and returns the store's revision after them. Errors:
// errContended, and those of the store.
func (s *Service) replaceRecord(ctx context.Context, id itemjob.ID, revision kv.Revision, ops []kv.Op) (kv.Revision, error) {
	result, err := s.Store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{{Key: recordKey(id), Target: kv.CompareModRevision, Revision: revision}},
		Then:     ops,
	})
	switch {
	case err != nil:
		return 0, err
	case !result.Succeeded:
		return 0, errContended
	}
	return result.Revision, nil
}

// recordResults records the results of a job in groups until all are recorded, the job is no longer owned, or ctx ends. One goroutine runs it
// for each owned job.
func (s *Service) recordResults(ctx context.Context, j *ownedJob) {
	for {
		s.mu.Lock()
		group, pause := j.ResultsToStore(s.Now())
		done := !j.isOpen()
		s.mu.Unlock()
		switch {
		case done || ctx.Err() != nil:
			return
		case len(group) > 0:
			for !s.recordGroup(ctx, j, group) {
				if !s.awaitStore(ctx) || s.isDropped(j) {
					return
				}
			}
			continue
		case pause == 0:
			pause = time.Minute // the next result wakes it
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-j.recordSignal:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// awaitStore waits for recordRetryDelay, and then until the store is reachable. Calls are billed, and one for each job would fail while the
// store is unreachable. It returns false if ctx ended.
func (s *Service) awaitStore(ctx context.Context) bool {
	for wait.For(ctx, recordRetryDelay) {
		if !s.StoreUnreachable() {
			return true
		}
	}
	return false
}

func (s *Service) isDropped(j *ownedJob) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.dropped
}

// recordGroup writes one group of results if the job's record is unchanged since this instance became the owner. It returns false if the attempt
// must be repeated. The repeat must have the same group, since the outcome of the first attempt may be unknown.
func (s *Service) recordGroup(ctx context.Context, j *ownedJob, group []itemjob.Result) bool {
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, "job-results"), recordTimeout)
	defer cancel()
	encoded, err := s.memory.encode(ctx, outputBytes(group))
	if err != nil {
		klog.ErrorS(err, "Results were not recorded yet", "job", j.ID, "results", len(group))
		return false
	}
	defer encoded()
	s.mu.Lock()
	position, revision, total := len(j.Results), j.revision, len(j.Tasks)
	s.mu.Unlock()
	key := resultKey(j.ID, position+len(group))
	ops, err := putJSON(key, group)
	if err != nil {
		klog.ErrorS(err, "Results cannot be encoded", "job", j.ID)
		return false
	}
	if position+len(group) == total {
		ops = append(ops, kv.Op{Kind: kv.OpDelete, Key: openKey(j.ID)}, kv.Op{Kind: kv.OpDelete, Key: partialKey(j.ID)})
	}
	asOf := s.Now()
	result, err := s.Store.Txn(ctx, kv.Txn{
		Compares: []kv.Compare{
			{Key: recordKey(j.ID), Target: kv.CompareModRevision, Revision: revision},
			{Key: key, Target: kv.CompareCreateRevision},
		},
		Then: ops,
		Else: []kv.Op{{Kind: kv.OpGet, Key: recordKey(j.ID)}, {Kind: kv.OpGet, Key: key}},
	})
	switch {
	case err != nil:
		klog.ErrorS(err, "Results were not recorded yet", "job", j.ID, "position", position, "results", len(group))
		return false
	case result.Succeeded:
		s.markRecorded(j, position, group, asOf)
		return true
	}
	return s.resolveConflict(j, position, group, ops[0].Value, result, asOf)
}

// resolveConflict handles a failed condition: either an earlier attempt took effect, or this instance no longer owns the job. Like recordGroup,
// it returns false if the attempt must be repeated.
func (s *Service) resolveConflict(j *ownedJob, position int, group []itemjob.Result, value []byte, result kv.TxnResult, asOf time.Time) bool {
	if len(result.Gets) != 2 {
		return false
	}
	record, existing := result.Gets[0], result.Gets[1]
	if record.ModRevision == j.revision && bytes.Equal(existing.Value, value) {
		s.markRecorded(j, position, group, asOf)
		return true
	}
	s.dropChanged(j, record)
	return true
}

// markRecorded updates a job after the store accepted a group of results in a call sent at asOf.
func (s *Service) markRecorded(j *ownedJob, position int, group []itemjob.Result, asOf time.Time) {
	now := s.Now()
	s.mu.Lock()
	j.Confirm(asOf)
	bytes := outputBytes(group)
	j.MarkStored(len(group), now)
	s.memory.recorded.add(j, position+len(group), bytes)
	s.chargeKept(j)
	s.chargeItems(j)
	complete := j.AllStored()
	if complete {
		j.evictAt = j.SubmittedBy().Add(s.Retention)
	}
	s.notifyLocked(j)
	s.mu.Unlock()
	klog.InfoS("Results recorded", "job", j.ID, "position", position, "results", len(group), "total", len(j.Tasks), "complete", complete,
		"due_in_ms", j.DueTime().Sub(now).Milliseconds())
}

// loadResults reads recorded results of a job from a position on, as many as one page of the store holds; more reports whether there are others. The
// caller holds the memory for them, see memory.encode. Errors: ErrBadRecord, and those of the store.
func (s *Service) loadResults(ctx context.Context, id itemjob.ID, position int) (results []itemjob.Result, more bool, err error) {
	listing, err := s.Store.ListAfter(kv.OnePage(ctx), resultPrefix+string(id)+"/", resultKey(id, position))
	if err != nil || len(listing.Items) == 0 {
		return nil, false, err
	}
	end, err := resultEnd(id, listing.Items[len(listing.Items)-1].Key)
	if err != nil {
		return nil, false, err
	}
	for _, item := range listing.Items {
		var group []itemjob.Result
		if err := decode(item.Value, &group); err != nil {
			return nil, false, err
		}
		results = append(results, group...)
	}
	// The first group may begin before the position.
	surplus := position - (end - len(results))
	if surplus < 0 || surplus > len(results) {
		return nil, false, eris.Wrapf(ErrBadRecord, "%d results of job %s end at position %d, those from %d on are asked for", len(results), id, end, position)
	}
	return results[surplus:], listing.More, nil
}

// loadAllResults reads all recorded results of a job. outputs reports whether they have their outputs, which are dropped unless one page of the store
// holds all of them. Errors: as for loadResults.
func (s *Service) loadAllResults(ctx context.Context, id itemjob.ID) (all []itemjob.Result, outputs bool, err error) {
	loaded, err := s.memory.encode(ctx, maxPageBytes)
	if err != nil {
		return nil, false, err
	}
	defer loaded()
	outputs = true
	for {
		page, more, err := s.loadResults(ctx, id, len(all))
		if err != nil {
			return nil, false, err
		}
		outputs = outputs && !more
		for _, r := range page {
			if !outputs {
				r.Output = ""
			}
			all = append(all, r)
		}
		if !more {
			return all, outputs, nil
		}
	}
}

// loadItems reads the items of a job from the store. Errors: ErrBadRecord, and those of the store.
func (s *Service) loadItems(ctx context.Context, record *itemjob.Record) ([]itemjob.Item, error) {
	var items []itemjob.Item
	for n := range record.Parts {
		found, err := s.Store.Get(ctx, partKey(record.ID, n))
		if err != nil {
			return nil, err
		}
		part, err := decodePart(found.Value)
		if err != nil {
			return nil, err
		}
		items = append(items, part...)
	}
	return items, nil
}

// getPermitted is getRecord for a caller, to whom another account's job does not exist.
func (s *Service) getPermitted(ctx context.Context, caller itemjob.Caller, id itemjob.ID) (itemjob.Record, kv.Revision, error) {
	record, revision, err := s.getRecord(ctx, id)
	if err == nil && !record.Permits(caller) {
		return itemjob.Record{}, 0, ErrNotFound
	}
	return record, revision, err
}

// getRecord reads the record of a job and its revision. Errors: ErrNotFound, ErrUnavailable, ErrBadRecord.
func (s *Service) getRecord(ctx context.Context, id itemjob.ID) (itemjob.Record, kv.Revision, error) {
	var record itemjob.Record
	found, err := s.Store.Get(ctx, recordKey(id))
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return record, 0, ErrNotFound
	case err != nil:
		return record, 0, errors.Join(ErrUnavailable, err)
	}
	return record, found.ModRevision, decode(found.Value, &record)
}
