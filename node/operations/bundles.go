package operations

import (
	"context"
	"errors"
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

// RollBundle implements operator.Handler: it checks the document and its signatures, and rolls it if the generation in force is the one
// that the operator saw.
func (h *Handler) RollBundle(ctx context.Context, req *operator.RollRequest) (*operator.BundleSummary, error) {
	doc, err := bundle.ParseYAML([]byte(req.Document), "document")
	if err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	if err := doc.Validate(); err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	manifest, sections, err := bundle.Split(doc)
	if err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	signed := bundle.SignedManifest{Manifest: manifest.Bytes(), Signatures: signaturesOf(req.Signatures)}
	if _, err := h.Verifier.Verify(signed); err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	if err := roll.Roll(ctx, h.Store, fleet.Generation(req.SeenGeneration), doc, sections, signed); err != nil {
		return nil, err
	}
	return summary(manifest, signed), nil
}

func signaturesOf(in []operator.Signature) []bundle.Signature {
	out := make([]bundle.Signature, len(in))
	for i, s := range in {
		out[i] = bundle.Signature{Operator: s.Operator, Signature: s.Signature}
	}
	return out
}

func summary(manifest bundle.Manifest, signed bundle.SignedManifest) *operator.BundleSummary {
	s := &operator.BundleSummary{Generation: int64(manifest.Generation), Digest: manifest.Digest(), Signers: []string{}}
	for _, signature := range signed.Signatures {
		s.Signers = append(s.Signers, signature.Operator)
	}
	return s
}

// describeRoll fills in the answer for an error of rolling. It returns false for other errors.
func describeRoll(err error, out *operator.ErrorStatusCode) bool {
	var conflict *roll.ConflictError
	switch {
	case errors.As(err, &conflict):
		out.StatusCode, out.Response.Error.Code = http.StatusConflict, "conflict"
		out.Response.Error.Generation.SetTo(int64(conflict.InForce))
	case errors.Is(err, roll.ErrNotNewer), errors.Is(err, roll.ErrInvalid):
		out.StatusCode, out.Response.Error.Code = http.StatusBadRequest, "invalid_request"
	case errors.Is(err, roll.ErrUnavailable):
		out.StatusCode, out.Response.Error.Code = http.StatusServiceUnavailable, "store_unavailable"
	case errors.Is(err, roll.ErrOutcomeUnknown):
		out.StatusCode, out.Response.Error.Code = http.StatusServiceUnavailable, "outcome_unknown"
	default:
		return false
	}
	return true
}

// maxListed bounds the generations that listBundles returns.
const maxListed = 100

// ListBundles implements operator.Handler.
func (h *Handler) ListBundles(ctx context.Context) (*operator.BundleList, error) {
	listing, err := h.Store.List(kv.WithPurpose(ctx, "bundle-history"), store.ManifestPrefix())
	if err != nil {
		return nil, eris.Wrap(ErrUnavailable, err.Error())
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
		if len(list.Bundles) == maxListed {
			break
		}
	}
	return list, nil
}
