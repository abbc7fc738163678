package store

import (
	"bytes"
	"slices"
	"time"
)

// record is the current value of one key.
type record struct {
	key            string
	value          []byte
	createRevision int64
	modRevision    int64
	version        int64
	lease          int64
}

// change is one entry of the history that watches replay.
type change struct {
	revision int64
	deleted  bool
	record   record // after the change; a deletion carries the key and modRevision only
}

// lease is one grant with the keys attached to it.
type lease struct {
	id       int64
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
	keys     map[string]struct{}
}

// state is the store's contents. The owner's mutex guards every method.
type state struct {
	revision  int64
	compacted int64 // changes below this revision are dropped
	keys      map[string]record
	history   []change // ordered by revision
	leases    map[int64]*lease
	nextLease int64
}

// firstRevision is the revision of an empty store, as in etcd.
const firstRevision = 1

// firstLease starts the sequence of generated lease ids.
const firstLease = 1000

func newState() *state {
	return &state{
		revision:  firstRevision,
		keys:      map[string]record{},
		leases:    map[int64]*lease{},
		nextLease: firstLease,
	}
}

// inRange tells whether key lies in [from, end). An empty end means the single key; the end "\x00" means all keys from from on.
func inRange(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	if key < string(from) {
		return false
	}
	if bytes.Equal(end, []byte{0}) {
		return true
	}
	return key < string(end)
}

// selectRange returns the records in the range ordered by key.
func (s *state) selectRange(from, end []byte) []record {
	if len(end) == 0 {
		r, ok := s.keys[string(from)]
		if !ok {
			return nil
		}
		return []record{r}
	}
	var found []record
	for key, r := range s.keys {
		if inRange(key, from, end) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b record) int { return bytes.Compare([]byte(a.key), []byte(b.key)) })
	return found
}

// put writes one key at the given revision. The lease exists or is zero.
func (s *state) put(revision int64, key string, value []byte, leaseID int64) {
	r, existed := s.keys[key]
	if !existed {
		r = record{key: key, createRevision: revision}
	}
	s.detach(r)
	r.value = value
	r.modRevision = revision
	r.version++
	r.lease = leaseID
	s.keys[key] = r
	if l, ok := s.leases[leaseID]; ok {
		l.keys[key] = struct{}{}
	}
	s.history = append(s.history, change{revision: revision, record: r})
}

// deleteKey removes one key at the given revision and tells whether it existed.
func (s *state) deleteKey(revision int64, key string) bool {
	r, ok := s.keys[key]
	if !ok {
		return false
	}
	s.detach(r)
	delete(s.keys, key)
	gone := change{revision: revision, deleted: true, record: record{key: key, modRevision: revision}}
	s.history = append(s.history, gone)
	return true
}

func (s *state) detach(r record) {
	if l, ok := s.leases[r.lease]; ok {
		delete(l.keys, r.key)
	}
}

// endLease removes the lease and deletes its keys in one revision. It returns false if the lease does not exist.
func (s *state) endLease(id int64) bool {
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.timer.Stop()
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	if len(keys) > 0 {
		s.revision++
	}
	for _, key := range keys {
		s.deleteKey(s.revision, key)
	}
	delete(s.leases, id)
	return true
}

// compact drops the changes below the revision.
func (s *state) compact(revision int64) {
	s.compacted = max(s.compacted, min(revision, s.revision))
	kept := slices.IndexFunc(s.history, func(c change) bool { return c.revision >= s.compacted })
	if kept < 0 {
		kept = len(s.history)
	}
	s.history = slices.Clone(s.history[kept:])
}

// changesFrom returns the changes in the range at or after the revision.
func (s *state) changesFrom(revision int64, from, end []byte) []change {
	first, _ := slices.BinarySearchFunc(s.history, revision, func(c change, r int64) int { return int(c.revision - r) })
	var found []change
	for _, c := range s.history[first:] {
		if inRange(c.record.key, from, end) {
			found = append(found, c)
		}
	}
	return found
}
