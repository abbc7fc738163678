package operations

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/control/roll"
)

// RollBundle implements operator.Handler: it validates a document or a delta and its signatures, and rolls it if the generation in
// force is still the one given as SeenGeneration.
func (h *Handler) RollBundle(ctx context.Context, req *operator.RollRequest) (*operator.BundleSummary, error) {
	if req.Document.Set == req.Delta.Set {
		return nil, eris.Wrap(ErrInvalid, "exactly one of document and delta must be given")
	}
	if req.Delta.Set {
		return h.rollDelta(ctx, req)
	}
	doc, err := bundle.ParseYAML([]byte(req.Document.Value), "document")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	if err := doc.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	manifest, sections, err := bundle.Split(doc)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	signed := bundle.SignedManifest{Manifest: manifest.Bytes(), Signatures: signaturesOf(req.Signatures)}
	if _, err := h.Verifier.Verify(signed); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	if err := roll.Roll(ctx, h.Store, fleet.Generation(req.SeenGeneration), doc, sections, signed); err != nil {
		return nil, err
	}
	return summary(manifest, signed), nil
}

// rollDelta rolls a change of the bundle in force at this instance and passes the result to OnRolled, which puts it in force here at
// once. It then spreads to other instances without waiting for the watchers, and the operator's next change can be based on it.
func (h *Handler) rollDelta(ctx context.Context, req *operator.RollRequest) (*operator.BundleSummary, error) {
	delta, err := bundle.DecodeDelta([]byte(req.Delta.Value))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	delta.Signatures = signaturesOf(req.Signatures)
	seen := fleet.Generation(req.SeenGeneration)
	rolled, err := roll.RollDelta(ctx, h.Store, h.Board.Bundle.Current(), seen, delta, h.Verifier)
	if err != nil {
		return nil, err
	}
	if rolled.Next != nil && h.OnRolled != nil {
		h.OnRolled(rolled.Next, delta)
	}
	return &operator.BundleSummary{Generation: int64(delta.To), Digest: rolled.Digest, Signers: signersOf(delta.Signatures)}, nil
}

// GetBundle implements operator.Handler: it returns the manifest in force at this instance and those of the named sections that it
// has; others are left out. It returns ErrNotFound if no bundle is in force.
func (h *Handler) GetBundle(_ context.Context, params operator.GetBundleParams) (*operator.BundleInForce, error) {
	active := h.Board.Bundle.Current()
	if active == nil {
		return nil, eris.Wrap(ErrNotFound, "no bundle is in force at this instance")
	}
	signed := active.Manifest()
	manifest, err := bundle.ParseManifest(signed.Manifest)
	if err != nil {
		return nil, err
	}
	out := &operator.BundleInForce{Manifest: signed.Manifest, Sections: []operator.BundleSection{}}
	for _, name := range params.Section {
		if content, ok := active.Section(manifest.Sections[name]); ok {
			out.Sections = append(out.Sections, operator.BundleSection{Name: name, Content: content})
		}
	}
	return out, nil
}

func signaturesOf(in []operator.Signature) []bundle.Signature {
	out := make([]bundle.Signature, len(in))
	for i, s := range in {
		out[i] = bundle.Signature{Operator: s.Operator, Signature: s.Signature}
	}
	return out
}

func summary(manifest bundle.Manifest, signed bundle.SignedManifest) *operator.BundleSummary {
	return &operator.BundleSummary{
		Generation: int64(manifest.Generation),
		Digest:     manifest.Digest(),
		Signers:    signersOf(signed.Signatures),
	}
}

func signersOf(signatures []bundle.Signature) []string {
	signers := []string{}
	for _, signature := range signatures {
		signers = append(signers, signature.Operator)
	}
	return signers
}

// describeRoll sets the status and the code of the response to an error of the package roll. It reports whether err is one.
func describeRoll(err error, out *operator.ErrorStatusCode) bool {
	var conflict *roll.ConflictError
	switch {
	case errors.As(err, &conflict):
		out.StatusCode, out.Response.Error.Code = http.StatusConflict, "conflict"
		out.Response.Error.Generation.SetTo(int64(conflict.InForce))
	case errors.Is(err, roll.ErrNotNewer), errors.Is(err, roll.ErrInvalid):
		out.StatusCode, out.Response.Error.Code = http.StatusBadRequest, "invalid_request"
	case errors.Is(err, roll.ErrBehind):
		out.StatusCode, out.Response.Error.Code = http.StatusServiceUnavailable, "behind"
	case errors.Is(err, roll.ErrUnavailable):
		out.StatusCode, out.Response.Error.Code = http.StatusServiceUnavailable, "store_unavailable"
	case errors.Is(err, roll.ErrOutcomeUnknown):
		out.StatusCode, out.Response.Error.Code = http.StatusServiceUnavailable, "outcome_unknown"
	default:
		return false
	}
	return true
}

// maxListedBundles is the maximum number of generations that ListBundles returns.
const maxListedBundles = 100

// ListBundles implements operator.Handler: it returns the latest generations in the store, newest first.
func (h *Handler) ListBundles(ctx context.Context) (*operator.BundleList, error) {
	listing, err := h.Store.List(kv.WithPurpose(ctx, "bundle-history"), store.ManifestPrefix())
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	list := &operator.BundleList{Bundles: []operator.BundleSummary{}}
	for _, item := range slices.Backward(listing.Items) {
		signed, err := store.DecodeManifest(item.Value)
		if err != nil {
			return nil, err
		}
		manifest, err := bundle.ParseManifest(signed.Manifest)
		if err != nil {
			return nil, err
		}
		list.Bundles = append(list.Bundles, *summary(manifest, signed))
		if len(list.Bundles) == maxListedBundles {
			break
		}
	}
	return list, nil
}
