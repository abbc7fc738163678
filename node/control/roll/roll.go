// Package roll writes a signed bundle to the store and puts it in force with one compare-and-swap of the head record.
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
	// maxTxnOps and maxTxnBytes limit a transaction. The store accepts up to 128 operations, and values of up to 1 MiB.
	maxTxnOps   = 100
	maxTxnBytes = kv.MaxValueBytes
	// maxAttempts is the maximum number of attempts of a transaction whose outcome is unknown.
	maxAttempts = 3
)

// Does not compile if a value of the layout may be larger than the store accepts.
var _ [kv.MaxValueBytes - store.MaxValueBytes]struct{}

// Errors of this package, to be compared with errors.Is.
var (
	// ErrConflict means that the generation in force is not the one that the roll was based on; see ConflictError.
	ErrConflict = eris.New("another bundle generation is in force")
	// ErrNotNewer means that the new generation is not higher than the one seen.
	ErrNotNewer = eris.New("bundle generation is not newer than the one seen")
	// ErrInvalid means that the document, the sections, the manifest or the delta are invalid or do not match.
	ErrInvalid = eris.New("bundle cannot be rolled")
	// ErrUnavailable means that the store is unavailable and that the roll had no effect.
	ErrUnavailable = eris.New("store is unavailable, the bundle was not rolled")
	// ErrOutcomeUnknown means that the roll may or may not have taken effect; sending it again is safe.
	ErrOutcomeUnknown = eris.New("outcome of the roll is unknown")
)

// ConflictError names the generation in force if a roll lost to a concurrent roll or was based on an older generation.
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

// Roll puts a bundle in force if seen is still the generation in force; 0 means that no bundle was in force. The caller must have verified
// the signatures. Rolling the same bundle again succeeds. If another generation is in force, Roll returns a *ConflictError that names it.
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

// check returns the parsed manifest, or an error unless the document, sections and manifest describe the same valid bundle and its generation
// is higher than seen.
func check(seen fleet.Generation, doc *bundle.Document, sections bundle.Sections, signed bundle.SignedManifest) (bundle.Manifest, error) {
	manifest, err := bundle.ParseManifest(signed.Manifest)
	if err != nil {
		return bundle.Manifest{}, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	if manifest.Generation <= seen {
		return bundle.Manifest{}, eris.Wrapf(ErrNotNewer, "generation %d, seen %d", manifest.Generation, seen)
	}
	if err := doc.Validate(); err != nil {
		return bundle.Manifest{}, errors.Join(ErrInvalid, err)
	}
	own, _, err := bundle.Split(doc)
	if err != nil {
		return bundle.Manifest{}, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	if own.Digest() != manifest.Digest() {
		return bundle.Manifest{}, eris.Wrap(ErrInvalid, "the manifest does not describe the document")
	}
	if _, err := bundle.Assemble(manifest, sections); err != nil {
		return bundle.Manifest{}, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	return manifest, nil
}

// translate converts an error of the store to an error of this package.
func translate(err error, action string) error {
	switch {
	case errors.Is(err, kv.ErrUnavailable):
		return eris.Wrapf(ErrUnavailable, "%s: %v", action, err)
	case errors.Is(err, kv.ErrValueTooLarge), errors.Is(err, store.ErrValueTooLarge):
		return eris.Wrapf(ErrInvalid, "%s: %v", action, err)
	}
	return fmt.Errorf("%s: %w", action, err)
}
