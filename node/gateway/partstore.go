package gateway

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/poison"
	"eelgrassproxy.example/core/rendezvous"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// partsPrefix begins the keys of blocked parts in the store. The store remembers them when all processes were ended at once.
	partsPrefix = "/eelgrass/parts/"
	// partStoreTimeout bounds a call to the store about parts.
	partStoreTimeout = 1500 * time.Millisecond
	// partStoreRetry is the delay before a failed call is made again, and the interval at which a store that is unreachable is looked at. It doubles with
	// each failure up to maxPartStoreRetry.
	partStoreRetry    = time.Second
	maxPartStoreRetry = 30 * time.Second
	// saveDelay is the time for which an instance leaves it to those that rank before it to save a part, for each of them, up to maxSaveRank.
	saveDelay   = time.Second
	maxSaveRank = 10
	// maxStoredAge bounds the age in milliseconds that is added to a record from the store.
	maxStoredAge = int64(365 * 24 * time.Hour / time.Millisecond)
)

// saved is what is to be written to the store; PartGuard.mu guards it.
type saved struct {
	keys map[poison.Part]*savedPart // of blocked parts, and of others whose key is to be changed
}

// savedPart is the state of a part's key.
type savedPart struct {
	done     bool // the store has the present state
	replace  bool // the part was lifted or cleared: the key is written or removed whatever it holds
	due      time.Time
	failures int
}

// storedPart is the value of a key.
type storedPart struct {
	Record poison.Record `json:"record"`
	At     int64         `json:"at"` // time of day of the writer, in milliseconds since 1970, from which the record's ages count
}

func partKey(part poison.Part) string { return partsPrefix + hex.EncodeToString([]byte(part)) }

// save makes a part that was just blocked due to be saved; g.mu is held.
func (g *PartGuard) save(part poison.Part, now time.Time) {
	if k := g.keys[part]; k == nil || k.replace {
		g.keys[part] = &savedPart{replace: k != nil}
		wait.Wake(g.storeChanged)
	}
}

// rewrite makes the key of a part due that was lifted or cleared, if it may exist; g.mu is held.
func (g *PartGuard) rewrite(part poison.Part) {
	if g.states[part].state == poison.Blocked || g.keys[part] != nil {
		g.keys[part] = &savedPart{replace: true, due: time.Now()}
		wait.Wake(g.storeChanged)
	}
}

// runStore reads the parts that the store remembers, and writes those that are blocked from then on, until ctx ends.
func (g *PartGuard) runStore(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, "parts")
	loaded, failures := false, 0
	for {
		pause := maxPartStoreRetry
		if !loaded {
			if loaded = g.load(ctx); !loaded {
				pause = min(partStoreRetry<<min(failures, 5), maxPartStoreRetry)
				failures++
			}
		}
		pause = min(pause, g.writeDue(ctx))
		timer := time.NewTimer(pause)
		select {
		case <-g.storeChanged:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// load merges the records in the store, and reports whether it could read them.
func (g *PartGuard) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(kv.AllowStale(ctx), partStoreTimeout)
	defer cancel()
	listing, err := g.store.List(ctx, partsPrefix)
	if err != nil {
		klog.InfoS("Blocked parts of prompts were not read from the store", "cause", err.Error())
		return false
	}
	var records []poison.Record
	for _, item := range listing.Items {
		r, err := decodeStored(item.Value, time.Now())
		if err != nil {
			klog.ErrorS(err, "Record of a blocked part in the store is skipped", "key", item.Key)
			continue
		}
		records = append(records, r)
	}
	if len(records) > 0 {
		klog.InfoS("Parts of prompts that crashed targets before are read from the store", "parts", len(records))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range records {
		g.keys[r.Part] = &savedPart{done: true}
	}
	now := time.Now()
	if changed, _ := g.tracker.Merge(records, now); len(changed) > 0 {
		g.noteStates(now)
	}
	return true
}

// decodeStored decodes a value, and adds the time since it was written to the ages. Clocks differ, so that it is not less than 0.
func decodeStored(value []byte, now time.Time) (poison.Record, error) {
	var stored storedPart
	if err := json.Unmarshal(value, &stored); err != nil {
		return poison.Record{}, err
	}
	since := min(max(now.UnixMilli()-stored.At, 0), maxStoredAge)
	r := stored.Record
	for i := range r.Crashes {
		r.Crashes[i].AgeMillis = min(max(r.Crashes[i].AgeMillis, 0), maxStoredAge) + since
	}
	if r.BlockedMillis > 0 {
		r.BlockedMillis = min(r.BlockedMillis, maxStoredAge) + since
	}
	return r, nil
}

// writeDue writes the keys that are due, and returns the time until the next one is.
func (g *PartGuard) writeDue(ctx context.Context) time.Duration {
	pause := maxPartStoreRetry
	if g.storeLost() {
		return partStoreRetry
	}
	now := time.Now()
	for part, due := range g.unsaved(now) {
		if left := due.Sub(now); left > 0 {
			pause = min(pause, left)
			continue
		}
		if !g.write(ctx, part) {
			pause = min(pause, partStoreRetry)
		}
	}
	return pause
}

// unsaved returns when the keys are due that are not as they should be. The instances in touch save a part one after the other until one has done so.
func (g *PartGuard) unsaved(now time.Time) map[poison.Part]time.Time {
	ids := []string{string(g.peers.self.ID)}
	for id := range g.peers.inTouch(now) {
		ids = append(ids, string(id))
	}
	due := make(map[poison.Part]time.Time)
	g.mu.Lock()
	defer g.mu.Unlock()
	for part, k := range g.keys {
		if k.done {
			continue
		}
		if k.due.IsZero() {
			order := rendezvous.Rendezvous(string(part), ids, maxSaveRank)
			rank := slices.Index(order, string(g.peers.self.ID))
			if rank < 0 {
				rank = maxSaveRank
			}
			k.due = now.Add(time.Duration(rank) * saveDelay)
		}
		due[part] = k.due
	}
	return due
}

// write brings the key of a part to its present state, and reports whether that is done.
func (g *PartGuard) write(ctx context.Context, part poison.Part) bool {
	now := time.Now()
	g.mu.Lock()
	k := g.keys[part]
	if k == nil || k.done {
		g.mu.Unlock()
		return true
	}
	record, known := g.tracker.Record(part, now)
	replace := k.replace
	g.mu.Unlock()
	txn := kv.Txn{}
	key := partKey(part)
	if known && !record.IsCleared() {
		value, err := json.Marshal(storedPart{record, now.UnixMilli()})
		if err != nil {
			klog.ErrorS(err, "Record of a blocked part cannot be encoded", "part", part)
			return false
		}
		txn.Then = []kv.Op{{Kind: kv.OpPut, Key: key, Value: value}}
		if !replace {
			txn.Compares = []kv.Compare{{Key: key, Target: kv.CompareCreateRevision}}
			txn.Else = []kv.Op{{Kind: kv.OpGet, Key: key}}
		}
	} else {
		txn.Then = []kv.Op{{Kind: kv.OpDelete, Key: key}}
	}
	ctx, cancel := context.WithTimeout(ctx, partStoreTimeout)
	defer cancel()
	result, err := g.store.Txn(ctx, txn)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keys[part] != k {
		return false // changed meanwhile
	}
	if err != nil {
		k.due = now.Add(min(partStoreRetry<<min(k.failures, 5), maxPartStoreRetry))
		k.failures++
		klog.InfoS("Record of a blocked part was not written to the store", "part", part, "failures", k.failures, "cause", err.Error())
		return false
	}
	if !result.Succeeded && len(result.Gets) == 1 {
		g.takeStored(part, result.Gets[0].Value, record.Epoch, now)
		return k.done
	}
	klog.InfoS("Record of a part is in the store", "part", part, "removed", txn.Then[0].Kind == kv.OpDelete)
	g.isSaved(part, known && !record.IsCleared())
	return true
}

// takeStored handles a key that exists: it holds the same block, or an earlier state, which is then replaced; g.mu is held.
func (g *PartGuard) takeStored(part poison.Part, value []byte, epoch uint32, now time.Time) {
	stored, err := decodeStored(value, now)
	if err != nil || stored.Epoch < epoch {
		g.keys[part] = &savedPart{replace: true, due: now}
		return
	}
	if changed, _ := g.tracker.Merge([]poison.Record{stored}, now); len(changed) > 0 {
		g.noteStates(now)
	}
	g.isSaved(part, true)
}

// isSaved records that the store has the state of a part, and tells the peers; g.mu is held.
func (g *PartGuard) isSaved(part poison.Part, exists bool) {
	if !exists {
		delete(g.keys, part)
		return
	}
	g.keys[part] = &savedPart{done: true}
	g.stored = append(g.stored, part)
	wait.Wake(g.changed)
}

// noteSaved records that a peer saved parts; g.mu is held.
func (g *PartGuard) noteSaved(parts []poison.Part) {
	for _, part := range parts {
		if k := g.keys[part]; k != nil && !k.replace {
			k.done = true
		}
	}
}
