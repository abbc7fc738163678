package roll

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// roller holds the input of one roll.
type roller struct {
	store       kv.Store
	seen        fleet.Generation
	manifest    bundle.Manifest
	signed      bundle.SignedManifest
	sections    bundle.Sections
	precomputed *precomputedChange // nil if the old manifest and sections must be read from the store
}

// precomputedChange holds what a roll by delta does not need to read from the store or to compute.
type precomputedChange struct {
	old   bundle.Manifest // in force before the roll
	delta bundle.Delta
}

// headState is the head and its revision; both are zero before the first roll.
type headState struct {
	head     store.Head
	revision kv.Revision
}

func (r *roller) readHead(ctx context.Context) (headState, error) {
	item, err := r.store.Get(ctx, store.HeadKey)
	if errors.Is(err, kv.ErrNotFound) {
		return headState{}, nil
	}
	if err != nil {
		return headState{}, err
	}
	head, err := store.DecodeHead(item.Value)
	return headState{head: head, revision: item.ModRevision}, err
}

// rolledOrConflict returns nil if this roll already took effect, and a *ConflictError if it did not. A manifest is written only in one
// transaction with its head. An identical manifest under its generation therefore proves that the roll took effect, even if a later roll
// has replaced the head.
func (r *roller) rolledOrConflict(ctx context.Context, current headState) error {
	conflict := &ConflictError{Seen: r.seen, InForce: current.head.Generation, Digest: current.head.Manifest}
	if current.head.Generation < r.manifest.Generation {
		return conflict
	}
	item, err := r.store.Get(ctx, store.ManifestKey(r.manifest.Generation))
	if errors.Is(err, kv.ErrNotFound) {
		return conflict
	}
	if err != nil {
		return translate(err, "read the manifest")
	}
	stored, err := store.DecodeManifest(item.Value)
	if err == nil && slices.Equal(stored.Manifest, r.signed.Manifest) {
		return nil
	}
	return conflict
}

// prepare writes the sections that do not fit in the head transaction and returns the operations of the head transaction. Sections are
// addressed by content, so that they have no effect if the roll then fails with a conflict.
func (r *roller) prepare(ctx context.Context, current headState) ([]kv.Op, error) {
	old, err := r.oldManifest(ctx, current)
	if err != nil {
		return nil, err
	}
	final, err := r.headOps(ctx, old)
	if err != nil {
		return nil, err
	}
	batches, err := r.sectionBatches(old, final)
	if err != nil {
		return nil, err
	}
	last := len(batches) - 1
	for _, ops := range batches[:last] {
		// These writes are idempotent and are simply repeated after a lost response, without reading back.
		if err := r.writeSections(ctx, ops); err != nil {
			return nil, err
		}
	}
	return batches[last], nil
}

func (r *roller) writeSections(ctx context.Context, ops []kv.Op) error {
	var err error
	for range maxAttempts {
		_, err = r.store.Txn(ctx, kv.Txn{Then: ops})
		if !errors.Is(err, kv.ErrOutcomeUnknown) {
			break
		}
	}
	if errors.Is(err, kv.ErrOutcomeUnknown) {
		return eris.Wrapf(ErrUnavailable, "write sections: %v", err) // the head was not written
	}
	if err != nil {
		return translate(err, "write sections")
	}
	return nil
}

// oldManifest returns the manifest in force, or an empty manifest before the first roll.
func (r *roller) oldManifest(ctx context.Context, current headState) (bundle.Manifest, error) {
	if r.precomputed != nil {
		return r.precomputed.old, nil
	}
	if current.revision == 0 {
		return bundle.Manifest{}, nil
	}
	item, err := r.store.Get(ctx, store.ManifestKey(current.head.Generation))
	if err != nil {
		return bundle.Manifest{}, translate(err, "read the manifest in force")
	}
	stored, err := store.DecodeManifest(item.Value)
	if err != nil {
		return bundle.Manifest{}, translate(err, "read the manifest in force")
	}
	return bundle.ParseManifest(stored.Manifest)
}

// headOps returns the operations that write the manifest, the head and the delta. A delta that is too large for the store is left out;
// receivers then fetch sections instead.
func (r *roller) headOps(ctx context.Context, old bundle.Manifest) ([]kv.Op, error) {
	manifest, err := store.EncodeManifest(r.manifest.Generation, r.signed)
	if err != nil {
		return nil, translate(err, "encode the manifest")
	}
	head, err := store.EncodeHead(r.manifest)
	if err != nil {
		return nil, translate(err, "encode the head")
	}
	ops := []kv.Op{putOp(manifest), putOp(head)}
	delta, err := r.delta(ctx, old)
	if err != nil {
		return nil, err
	}
	if delta.From == 0 {
		return ops, nil
	}
	if entry, err := store.EncodeDelta(delta); err == nil {
		ops = append(ops, putOp(entry))
	}
	return ops, nil
}

// delta returns the change since the manifest in force, or the zero delta if there is no earlier manifest or one of its changed sections is
// missing. It reads only the old sections that changed.
func (r *roller) delta(ctx context.Context, old bundle.Manifest) (bundle.Delta, error) {
	if r.precomputed != nil {
		return r.precomputed.delta, nil
	}
	if old.Generation == 0 {
		return bundle.Delta{}, nil
	}
	sections := bundle.Sections{}
	for _, name := range bundle.ChangedSections(old, r.manifest) {
		digest := old.Sections[name]
		if digest == "" {
			continue
		}
		item, err := r.store.Get(ctx, store.SectionKey(digest))
		if errors.Is(err, kv.ErrNotFound) {
			return bundle.Delta{}, nil // receivers fetch sections instead
		}
		if err != nil {
			return bundle.Delta{}, translate(err, fmt.Sprintf("read section %s", name))
		}
		sections[digest] = item.Value
	}
	delta, err := bundle.DiffSections(old, r.manifest, sections, r.sections)
	delta.Signatures = r.signed.Signatures
	return delta, err
}

// sectionBatches distributes the new sections over transactions of at most maxTxnOps operations and maxTxnBytes bytes. The last transaction
// also contains the operations in final.
func (r *roller) sectionBatches(old bundle.Manifest, final []kv.Op) ([][]kv.Op, error) {
	batch, size := slices.Clone(final), opBytes(final)
	var batches [][]kv.Op
	var pending []kv.Op
	pendingSize := 0
	for _, name := range bundle.ChangedSections(old, r.manifest) {
		digest := r.manifest.Sections[name]
		if digest == "" {
			continue
		}
		entry, err := store.EncodeSection(digest, r.sections[digest])
		if err != nil {
			return nil, translate(err, "encode section "+name)
		}
		if len(batch) < maxTxnOps && size+len(entry.Value) <= maxTxnBytes {
			batch, size = append(batch, putOp(entry)), size+len(entry.Value)
			continue
		}
		if len(pending) > 0 && (len(pending) == maxTxnOps || pendingSize+len(entry.Value) > maxTxnBytes) {
			batches, pending, pendingSize = append(batches, pending), nil, 0
		}
		pending, pendingSize = append(pending, putOp(entry)), pendingSize+len(entry.Value)
	}
	if len(pending) > 0 {
		batches = append(batches, pending)
	}
	return append(batches, batch), nil
}

func putOp(entry store.Entry) kv.Op { return kv.Op{Kind: kv.OpPut, Key: entry.Key, Value: entry.Value} }

func opBytes(ops []kv.Op) int {
	total := 0
	for _, op := range ops {
		total += len(op.Value)
	}
	return total
}
