package roll

import (
	"context"
	"errors"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle/store"
	"github.com/rotisserie/eris"
)

// commit runs the head transaction. If the outcome of an attempt is unknown, it reads the head back, and sends the transaction again if the
// head is unchanged. The transaction compares the revision of the head, so that it takes effect at most once however often it is sent.
func (r *roller) commit(ctx context.Context, current headState, ops []kv.Op) error {
	txn := kv.Txn{
		Compares: []kv.Compare{headCompare(current)},
		Then:     ops,
		Else:     []kv.Op{{Kind: kv.OpGet, Key: store.HeadKey}},
	}
	var uncertain error // error of an earlier attempt that may still take effect
	for range maxAttempts {
		result, err := r.store.Txn(ctx, txn)
		if err == nil && result.Succeeded {
			return nil
		}
		if err == nil {
			return r.comparisonFailed(ctx, result)
		}
		if !errors.Is(err, kv.ErrOutcomeUnknown) {
			return unlessUncertain(uncertain, translate(err, "write the head"))
		}
		uncertain = err
		now, err := r.readHead(ctx)
		if err != nil {
			return eris.Wrapf(ErrOutcomeUnknown, "read back the head: %v", err)
		}
		if now.revision != current.revision {
			return r.resolveChange(ctx, now)
		}
	}
	return eris.Wrapf(ErrOutcomeUnknown, "%d attempts: %v", maxAttempts, uncertain)
}

// unlessUncertain returns err, or ErrOutcomeUnknown if an earlier attempt may still take effect, which is the case if uncertain is not nil.
func unlessUncertain(uncertain, err error) error {
	if uncertain == nil {
		return err
	}
	return eris.Wrapf(ErrOutcomeUnknown, "%v, then %v", uncertain, err)
}

// comparisonFailed handles a failed comparison: the head was changed by another roll or by an earlier attempt of this roll.
func (r *roller) comparisonFailed(ctx context.Context, result kv.TxnResult) error {
	if len(result.Gets) != 1 {
		return eris.Wrapf(ErrConflict, "the store returned no head")
	}
	head, err := store.DecodeHead(result.Gets[0].Value)
	if err != nil {
		return errors.Join(ErrConflict, err)
	}
	return r.resolveChange(ctx, headState{head: head, revision: result.Gets[0].ModRevision})
}

// resolveChange determines the outcome of the roll after the head has changed. It returns nil if this roll took effect, even if a
// later roll has changed the head since; a *ConflictError if only another roll did; and ErrOutcomeUnknown if that cannot be read back.
func (r *roller) resolveChange(ctx context.Context, now headState) error {
	if now.head.Generation == r.manifest.Generation && now.head.Manifest == r.manifest.Digest() {
		return nil
	}
	err := r.rolledOrConflict(ctx, now)
	if err == nil || errors.Is(err, ErrConflict) {
		return err
	}
	return eris.Wrapf(ErrOutcomeUnknown, "read back the manifest: %v", err)
}

// headCompare returns a comparison that succeeds if the head is unchanged since it was read.
func headCompare(current headState) kv.Compare {
	if current.revision == 0 {
		return kv.Compare{Key: store.HeadKey, Target: kv.CompareCreateRevision}
	}
	return kv.Compare{Key: store.HeadKey, Target: kv.CompareModRevision, Revision: current.revision}
}
