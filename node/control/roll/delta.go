package roll

import (
	"context"
	"errors"
	"fmt"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// ErrBehind means that this instance does not yet have in force the generation that the delta applies to; nothing was written.
var ErrBehind = eris.New("instance does not have the seen generation in force yet")

// DeltaResult describes the bundle that resulted from a delta.
type DeltaResult struct {
	Digest string         // hexadecimal SHA-256 of the manifest bytes
	Next   *bundle.Active // nil if the delta was already rolled earlier and this instance does not have its base in force
}

// RollDelta puts a signed delta in force if seen is still the generation in force. base is the bundle in force at this instance; it
// may be nil. The signatures of the delta are verified over the resulting manifest. RollDelta makes two store calls in the usual case and
// writes only the changed sections. Conflicts, lost responses and resends are handled as by Roll, except that a resend returns a
// *ConflictError if its manifest has been garbage-collected.
func RollDelta(ctx context.Context, kvs kv.Store, base *bundle.Active, seen fleet.Generation, delta bundle.Delta, verifier bundle.Verifier) (DeltaResult, error) {
	ctx = kv.WithPurpose(ctx, purpose)
	if delta.From != seen {
		return DeltaResult{}, eris.Wrapf(ErrInvalid, "the delta starts from generation %d, seen %d", delta.From, seen)
	}
	if delta.To <= seen {
		return DeltaResult{}, eris.Wrapf(ErrNotNewer, "generation %d, seen %d", delta.To, seen)
	}
	if base == nil || base.Generation() != seen {
		return resultWithoutBase(ctx, kvs, seen, delta, verifier)
	}
	next, err := base.Advance(delta, verifier)
	if err != nil {
		return DeltaResult{}, errors.Join(ErrInvalid, err)
	}
	r, err := deltaRoller(kvs, base, next, delta)
	if err != nil {
		return DeltaResult{}, err
	}
	if err := r.rollFrom(ctx, base); err != nil {
		return DeltaResult{}, err
	}
	return DeltaResult{Digest: next.Digest(), Next: next}, nil
}

// deltaRoller returns a roller that already has the delta and the manifest of base, so that it does not read them from the store.
func deltaRoller(kvs kv.Store, base, next *bundle.Active, delta bundle.Delta) (*roller, error) {
	old, err := bundle.ParseManifest(base.Manifest().Manifest)
	if err != nil {
		return nil, err
	}
	manifest, err := bundle.ParseManifest(next.Manifest().Manifest)
	if err != nil {
		return nil, err
	}
	sections := bundle.Sections{}
	for _, name := range bundle.ChangedSections(old, manifest) {
		if digest := manifest.Sections[name]; digest != "" {
			sections[digest], _ = next.Section(digest)
		}
	}
	r := &roller{store: kvs, seen: delta.From, manifest: manifest, signed: next.Manifest(), sections: sections}
	r.precomputed = &precomputedChange{old: old, delta: delta}
	return r, nil
}

// rollFrom runs the roll of a delta after the checks. A head that names another manifest of the generation of base is a conflict, because
// the delta was not made for that manifest.
func (r *roller) rollFrom(ctx context.Context, base *bundle.Active) error {
	current, err := r.readHead(ctx)
	if err != nil {
		return translate(err, "read the head")
	}
	if current.head.Generation != r.seen || current.head.Manifest != base.Digest() {
		return r.rolledOrConflict(ctx, current)
	}
	final, err := r.prepare(ctx, current)
	if err != nil {
		return err
	}
	return r.commit(ctx, current, final)
}

// resultWithoutBase handles a delta whose base this instance does not have in force. It returns the result of the earlier roll if the delta
// was already rolled, a *ConflictError if another generation is in force instead, and ErrBehind if this instance does not have the base in force
// yet.
func resultWithoutBase(ctx context.Context, kvs kv.Store, seen fleet.Generation, delta bundle.Delta, verifier bundle.Verifier) (DeltaResult, error) {
	r := &roller{store: kvs, seen: seen}
	current, err := r.readHead(ctx)
	if err != nil {
		return DeltaResult{}, translate(err, "read the head")
	}
	if current.head.Generation == seen {
		return DeltaResult{}, eris.Wrapf(ErrBehind, "generation %d", seen)
	}
	conflict := &ConflictError{Seen: seen, InForce: current.head.Generation, Digest: current.head.Manifest}
	item, err := kvs.Get(ctx, store.ManifestKey(delta.To))
	if errors.Is(err, kv.ErrNotFound) {
		return DeltaResult{}, conflict
	}
	if err != nil {
		return DeltaResult{}, translate(err, fmt.Sprintf("read the manifest of generation %d", delta.To))
	}
	stored, err := store.DecodeManifest(item.Value)
	if err != nil {
		return DeltaResult{}, errors.Join(conflict, err)
	}
	// The signatures cover the whole manifest, so that they are valid only for the bundle that results from this delta.
	stored.Signatures = delta.Signatures
	manifest, err := verifier.Verify(stored)
	if err != nil {
		return DeltaResult{}, conflict
	}
	return DeltaResult{Digest: manifest.Digest()}, nil
}
