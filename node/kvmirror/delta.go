package kvmirror

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
)

const (
	// maxRemovals is the maximum number of removed keys that a mirror remembers, about 200 KB for keys of 40 bytes. It covers a fleet that replaces
	// half of its 3,000 targets between two reads of a peer.
	maxRemovals = 1500
	// maxGaps is the maximum number of gaps that a mirror remembers. Each listing after the first one adds one.
	maxGaps = 16
)

// entry is an item of the copy.
type entry struct {
	kv.KeyValue
	// changed is the revision of the copy after the change that brought the item. late is set if the copy had that revision already: a reader at the
	// same revision may lack the item.
	changed kv.Revision
	late    bool
	digest  uint64
}

// removal is the removal of a key.
type removal struct {
	key     string
	changed kv.Revision // of the copy after the removal
}

// gap is a range of revisions, exclusive of both ends, that the copy skipped. Keys that were written and removed within it are unknown, and a reader
// whose copy has such a revision may have them.
type gap struct{ after, before kv.Revision }

// history is what a mirror knows about the past of its copy.
type history struct {
	removals []removal   // oldest first
	floor    kv.Revision // removals that readers at lower revisions need may be forgotten
	gaps     []gap       // oldest first
}

// removed records a removal.
func (h *history) removed(key string, changed kv.Revision) {
	if len(h.removals) >= maxRemovals {
		dropped := h.removals[0]
		h.removals = slices.Delete(h.removals, 0, 1)
		h.floor = max(h.floor, dropped.changed+1)
	}
	h.removals = append(h.removals, removal{key, changed})
}

// skipped records that the copy went from one revision to another without the changes between them.
func (h *history) skipped(after, before kv.Revision) {
	if before <= after {
		return
	}
	if len(h.gaps) >= maxGaps {
		h.floor = max(h.floor, h.gaps[0].before)
		h.gaps = slices.Delete(h.gaps, 0, 1)
	}
	h.gaps = append(h.gaps, gap{after, before})
}

// covers reports whether the removals that a reader at a revision needs are known, and whether all of those after it are.
func (h *history) covers(since kv.Revision) (known, complete bool) {
	if since < h.floor {
		return false, false
	}
	complete = true
	for _, g := range h.gaps {
		if g.after < since && since < g.before {
			return false, false
		}
		complete = complete && g.before <= since
	}
	return true, complete
}

// digestOf returns the hash of an item. The digest of a copy is the sum of those of its items, so that it can be kept up to date at each change.
func digestOf(item kv.KeyValue) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], uint64(item.ModRevision))
	binary.LittleEndian.PutUint64(numbers[8:], uint64(len(item.Key)))
	_, _ = hash.Write(numbers[:])
	_, _ = hash.WriteString(item.Key)
	_, _ = hash.Write(item.Value)
	return hash.Sum64()
}

// set puts an item into the copy, whose revision becomes revision; the caller holds m.mu.
func (m *Mirror) set(item kv.KeyValue, revision kv.Revision) {
	next := entry{KeyValue: item, changed: max(revision, m.revision), digest: digestOf(item)}
	next.late = next.changed == m.revision
	m.digest += next.digest - m.items[item.Key].digest
	m.items[item.Key] = next
}

// remove removes a key from the copy, whose revision becomes revision, and reports whether the copy had it; the caller holds m.mu.
func (m *Mirror) remove(key string, revision kv.Revision) bool {
	m.history.removed(key, max(revision, m.revision))
	item, ok := m.items[key]
	m.digest -= item.digest
	delete(m.items, key)
	return ok
}

// Base returns the revision to ask peers for changes since, or 0 if the next copy has to be a whole one: there is none yet, or it was found to differ
// from that of a peer.
func (m *Mirror) Base() kv.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.distrusted {
		return 0
	}
	return m.revision
}

// Generation returns a number that changes with each change of what Since returns, except for the age of the horizon.
func (m *Mirror) Generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

// GenerationOf returns the generation of the copy if the copy has a revision and a digest.
func (m *Mirror) GenerationOf(revision kv.Revision, digest uint64) (generation uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation, m.revision == revision && m.digest == digest
}

// Since returns the changes since a revision, or the whole copy if it is unknown which keys were removed since then, if the revision is newer
// than the copy, and if it is 0. It also returns the generation of the copy, see Generation.
func (m *Mirror) Since(revision kv.Revision) (Snapshot, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, complete := m.history.covers(revision)
	if !known || revision <= 0 || revision > m.revision {
		return m.whole(), m.generation
	}
	s := Snapshot{Revision: m.revision, Since: revision, Complete: complete, Digest: m.digest, Horizon: m.horizonNow(), Items: []kv.KeyValue{}}
	for _, item := range m.items {
		// A reader at the revision may have been sent only a part of a transaction with that revision.
		if item.changed > revision || item.changed == revision && (item.late || item.ModRevision == revision) {
			s.Items = append(s.Items, item.KeyValue)
		}
	}
	listed := make(map[string]bool)
	for _, r := range m.history.removals {
		if _, exists := m.items[r.key]; !exists && !listed[r.key] && r.changed >= revision {
			listed[r.key] = true
			s.Removed = append(s.Removed, r.key)
		}
	}
	return s, m.generation
}

// whole returns the whole copy; the caller holds m.mu.
func (m *Mirror) whole() Snapshot {
	s := Snapshot{Revision: m.revision, Items: make([]kv.KeyValue, 0, len(m.items)), Digest: m.digest, Horizon: m.horizonNow()}
	for _, item := range m.items {
		s.Items = append(s.Items, item.KeyValue)
	}
	return s
}

// horizonNow returns the horizon with its present age, or nil if it is unknown; the caller holds m.mu.
func (m *Mirror) horizonNow() *Horizon {
	if m.horizon.At.IsZero() {
		return nil
	}
	return &Horizon{Revision: m.horizon.Revision, AgeMs: time.Since(m.horizon.At).Milliseconds() + 1}
}

// applyDelta applies a peer's changes since a revision that this copy has, and reports whether they led to the peer's copy. If not, nothing is
// changed and the next copy has to be a whole one; the caller holds m.mu.
func (m *Mirror) applyDelta(s Snapshot, horizon kv.Horizon) bool {
	change := Change{Horizon: horizon}
	digest := m.digest
	removed := make(map[string]bool)
	for _, key := range s.Removed {
		if existing, ok := m.items[key]; ok && existing.ModRevision <= s.Revision && !removed[key] {
			removed[key] = true
			digest -= existing.digest
			change.Removed = append(change.Removed, key)
		}
	}
	for _, item := range s.Items {
		if existing := m.items[item.Key]; m.covers(item.Key) && existing.ModRevision < item.ModRevision {
			digest += digestOf(item) - existing.digest
			change.Put = append(change.Put, item)
		}
	}
	if digest != s.Digest {
		m.distrusted = true
		klog.InfoS("Peer's changes do not lead to its copy, the next copy is read as a whole", "prefix", m.prefix,
			"revision", m.revision, "since", s.Since, "peer_revision", s.Revision)
		return false
	}
	if !s.Complete {
		m.history.skipped(m.revision, s.Revision)
	}
	for _, key := range s.Removed {
		if m.covers(key) && m.items[key].ModRevision <= s.Revision {
			m.remove(key, s.Revision)
		}
	}
	for _, item := range change.Put {
		m.set(item, s.Revision)
	}
	m.advanceHorizon(horizon)
	m.revision = s.Revision
	m.generation++
	m.apply(change)
	return true
}
