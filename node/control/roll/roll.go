// Package roll writes a signed bundle to the store and puts it in force by one compare-and-swap on the head.
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

const (
	// purpose labels the store calls of this package.
	purpose = "bundle-roll"
	// maxTxnOps and maxTxnBytes bound a transaction; the store takes 128 operations, and values of 1 MiB.
	maxTxnOps   = 100
	maxTxnBytes = kv.MaxValueBytes
	// maxAttempts bounds the head transactions after lost responses.
	maxAttempts = 3
)

// The layout must not make values that the store refuses.
var _ [kv.MaxValueBytes - store.MaxValueBytes]struct{}

// Errors of this layer. Callers compare with errors.Is.
var (
	// ErrConflict means that another generation is in force than the operator saw; see ConflictError.
	ErrConflict = eris.New("another bundle generation is in force")
	// ErrNotNewer means that the new generation is not higher than the one seen.
	ErrNotNewer = eris.New("bundle generation is not newer than the one seen")
	// ErrInvalid means that document, sections and manifest do not belong together or break a rule.
	ErrInvalid = eris.New("bundle cannot be rolled")
	// ErrUnavailable means that the store could not be reached and that the roll had no effect.
	ErrUnavailable = eris.New("store is unavailable, the bundle was not rolled")
	// ErrOutcomeUnknown means that the roll may or may not have taken effect; sending it again is safe.
	ErrOutcomeUnknown = eris.New("outcome of the roll is unknown")
)

// ConflictError names the generation in force when a roll lost a race or was based on an older one.
type ConflictError struct {
	Seen    fleet.Generation
	InForce fleet.Generation
	Digest  string // hexadecimal SHA-256 of the manifest in force
}

// Error names both generations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d is in force, the roll was based on generation %d", e.InForce, e.Seen)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Roll puts a bundle in force if seen is still the generation in force; 0 means that none was. The caller has verified the
// signatures. Sending the same roll again is a success. A *ConflictError names the generation in force.
func Roll(ctx context.Context, kvs kv.Store, seen fleet.Generation, doc *bundle.Document, sections bundle.Sections, signed bundle.SignedManifest) error {
	ctx = kv.WithPurpose(ctx, purpose)
	manifest, err := check(seen, doc, sections, signed)
	if err != nil {
		return err
	}
	r := &roller{store: kvs, seen: seen, manifest: manifest, signed: signed, sections: sections}
	current, err := r.readHead(ctx)
	if err != nil {
		return translate(err, "read the head")
	}
	if current.head.Generation != seen {
		return r.rolledOrConflict(ctx, current)
	}
	final, err := r.prepare(ctx, current)
	if err != nil {
		return err
	}
	return r.commit(ctx, current, final)
}

// check tells whether document, sections and manifest describe one valid bundle.
func check(seen fleet.Generation, doc *bundle.Document, sections bundle.Sections, signed bundle.SignedManifest) (bundle.Manifest, error) {
	manifest, err := bundle.ParseManifest(signed.Manifest)
	if err != nil {
		return bundle.Manifest{}, eris.Wrapf(ErrInvalid, "%v", err)
	}
	if manifest.Generation <= seen {
		return bundle.Manifest{}, eris.Wrapf(ErrNotNewer, "generation %d, seen %d", manifest.Generation, seen)
	}
	if err := doc.Validate(); err != nil {
		return bundle.Manifest{}, errors.Join(ErrInvalid, err)
	}
	own, _, err := bundle.Split(doc)
	if err != nil {
		return bundle.Manifest{}, eris.Wrapf(ErrInvalid, "%v", err)
	}
	if own.Digest() != manifest.Digest() {
		return bundle.Manifest{}, eris.Wrap(ErrInvalid, "the manifest does not describe the document")
	}
	if _, err := bundle.Assemble(manifest, sections); err != nil {
		return bundle.Manifest{}, eris.Wrapf(ErrInvalid, "%v", err)
	}
	return manifest, nil
}

// translate turns an error of the store into one of this layer.
func translate(err error, action string) error {
	switch {
	case errors.Is(err, kv.ErrUnavailable):
		return eris.Wrapf(ErrUnavailable, "%s: %v", action, err)
	case errors.Is(err, kv.ErrValueTooLarge), errors.Is(err, store.ErrValueTooLarge):
		return eris.Wrapf(ErrInvalid, "%s: %v", action, err)
	}
	return fmt.Errorf("%s: %w", action, err)
}
