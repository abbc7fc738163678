package bundle

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// Advance applies a delta and returns the resulting bundle. It recomputes the digests of the changed sections and verifies the
// signatures of the delta over the resulting manifest. The new bundle shares everything that did not change with this one, which is
// not modified. It returns the errors of Apply, such as ErrWrongBase, those of Verifier.Verify and, if the resulting content is invalid, the
// errors that Activate returns for it. After any of them the caller can get the manifest and the sections instead and call Activate.
func (a *Active) Advance(delta Delta, verifier Verifier) (*Active, error) {
	result, err := apply(a.manifest, a.sections, delta)
	if err != nil {
		return nil, err
	}
	signed := SignedManifest{Manifest: result.manifest.Bytes(), Signatures: delta.Signatures}
	if _, err := verifier.Verify(signed); err != nil {
		return nil, err
	}
	next := &Active{
		manifest: result.manifest,
		signed:   signed,
		digest:   digestOf(signed.Manifest),
		sections: result.sections,
		catalog:  a.catalog,
	}
	if delta.changesCatalog() {
		if err := next.rebuildCatalog(a.catalog); err != nil {
			return nil, err
		}
	}
	if err := next.advanceCallers(a, result, delta); err != nil {
		return nil, err
	}
	return next, nil
}

// changesCatalog reports whether the delta changes any section other than those of the callers.
func (d *Delta) changesCatalog() bool {
	listsUnchanged := d.Models.IsZero() && d.Services.IsZero() && d.Placement.IsZero() && d.Groups.IsZero()
	return d.Topology != nil || d.Limits != nil || !listsUnchanged
}

// rebuildCatalog decodes, validates and indexes all of singleSections, which are small. previous is the catalog of the older
// generation.
func (a *Active) rebuildCatalog(previous *catalog) error {
	doc := &Document{Generation: a.manifest.Generation}
	for _, name := range singleSections {
		if err := json.Unmarshal(a.sections[a.manifest.Sections[name]], sectionField(doc, name)); err != nil {
			return eris.Wrapf(ErrBadSection, "decode section %q: %v", name, err)
		}
	}
	if err := doc.Validate(); err != nil {
		return err
	}
	a.catalog = newCatalog(doc, previous)
	return nil
}

// advanceCallers derives the caller index from that of the older generation. The catalog must be built before.
func (a *Active) advanceCallers(older *Active, result *applyResult, delta Delta) error {
	if err := validateUpserts(delta.Callers.Upserts, a.catalog); err != nil {
		return err
	}
	builder := &indexBuilder{index: older.callers}
	for _, c := range result.replaced {
		if err := builder.remove(c); err != nil {
			return err
		}
	}
	if a.catalog != older.catalog {
		if err := builder.rebindGroups(a.catalog.groups); err != nil {
			return err
		}
	}
	for _, c := range delta.Callers.Upserts {
		if err := builder.add(c, a.catalog.groups); err != nil {
			return err
		}
	}
	a.callers = builder.index
	return nil
}

// validateUpserts checks the added and changed callers, but not whether another caller has the same API key: indexBuilder.add does
// that.
func validateUpserts(callers []Caller, c *catalog) error {
	groups := make(map[string]bool, len(c.groups))
	for name := range c.groups {
		groups[name] = true
	}
	v := &validator{}
	ids := map[string]bool{}
	for i := range callers {
		v.checkUnique(fmt.Sprintf("callers[%d].id", i), string(callers[i].ID), ids)
		v.checkCaller(&callers[i], i, groups)
	}
	return v.err()
}
