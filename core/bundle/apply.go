package bundle

import (
	"maps"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// applyResult is the result of applying a delta whose signatures have not been checked yet.
type applyResult struct {
	manifest Manifest
	sections Sections // only those that the manifest names
	replaced []Caller // callers that the delta changes or removes, with their old values
	doc      Document // the fields of the changed singleSections; all others are zero
}

// Apply returns the sections and the manifest that result from a delta, without modifying its arguments. Only changed sections are
// decoded and encoded. It does not check the signatures of the delta; they must be verified against the returned manifest.
func Apply(manifest Manifest, sections Sections, delta Delta) (Sections, Manifest, error) {
	result, err := apply(manifest, sections, delta)
	if err != nil {
		return nil, Manifest{}, err
	}
	return result.sections, result.manifest, nil
}

func apply(manifest Manifest, sections Sections, delta Delta) (*applyResult, error) {
	if delta.From != manifest.Generation || delta.To <= delta.From {
		return nil, eris.Wrapf(ErrWrongBase, "delta from %d to %d, in force %d", delta.From, delta.To, manifest.Generation)
	}
	out := &applyResult{manifest: manifest.clone(), sections: maps.Clone(sections)}
	out.manifest.Generation = delta.To
	if err := out.applySingleSections(delta); err != nil {
		return nil, err
	}
	if err := out.applyCallers(delta.Callers); err != nil {
		return nil, err
	}
	out.deleteUnreferencedSections()
	return out, nil
}

// applySingleSections rewrites those of singleSections that the delta changes.
func (r *applyResult) applySingleSections(delta Delta) error {
	doc := &r.doc
	if delta.Topology != nil {
		doc.Topology = *delta.Topology
	}
	if delta.Limits != nil {
		doc.Limits = *delta.Limits
	}
	steps := []struct {
		name    string
		changed bool
		replace bool // the delta holds the whole section, so the old one is not decoded
		change  func()
	}{
		{SectionTopology, delta.Topology != nil, true, func() {}},
		{SectionLimits, delta.Limits != nil, true, func() {}},
		{SectionModels, !delta.Models.IsZero(), false, func() { doc.Models = delta.Models.applyTo(doc.Models, modelKey) }},
		{SectionServices, !delta.Services.IsZero(), false, func() { doc.Services = delta.Services.applyTo(doc.Services, serviceKey) }},
		{SectionPlacement, !delta.Placement.IsZero(), false, func() { doc.Placement = delta.Placement.applyTo(doc.Placement, Placement.key) }},
		{SectionGroups, !delta.Groups.IsZero(), false, func() { doc.Groups = delta.Groups.applyTo(doc.Groups, groupKey) }},
	}
	for _, step := range steps {
		if !step.changed {
			continue
		}
		if !step.replace {
			if err := decodeSingleSection(doc, r.manifest, r.sections, step.name); err != nil {
				return err
			}
		}
		step.change()
	}
	normalized := doc.normalized()
	for _, step := range steps {
		if !step.changed {
			continue
		}
		if err := addSection(r.manifest, r.sections, step.name, sectionField(normalized, step.name)); err != nil {
			return err
		}
	}
	return nil
}

// applyCallers rewrites the caller sections that hold changed callers.
func (r *applyResult) applyCallers(change Change[Caller]) error {
	bySection := map[int]*Change[Caller]{}
	changeFor := func(c Caller) *Change[Caller] {
		n := callerSection(c.ID)
		if bySection[n] == nil {
			bySection[n] = &Change[Caller]{}
		}
		return bySection[n]
	}
	for _, c := range change.Upserts {
		sectionChange := changeFor(c)
		sectionChange.Upserts = append(sectionChange.Upserts, c)
	}
	for _, id := range change.Removals {
		sectionChange := changeFor(Caller{ID: fleet.CallerID(id)})
		sectionChange.Removals = append(sectionChange.Removals, id)
	}
	for n, sectionChange := range bySection {
		if err := r.applyCallerSection(n, *sectionChange); err != nil {
			return err
		}
	}
	return nil
}

// applyCallerSection rewrites caller section n and records in replaced the old values of its changed callers. A section without callers
// is omitted from the manifest.
func (r *applyResult) applyCallerSection(n int, change Change[Caller]) error {
	callers, err := decodeCallerSection(r.manifest, r.sections, n)
	if err != nil {
		return err
	}
	changed := map[string]bool{}
	for _, id := range change.Removals {
		changed[id] = true
	}
	for _, c := range change.Upserts {
		changed[callerKey(c)] = true
	}
	for _, c := range callers {
		if changed[callerKey(c)] {
			r.replaced = append(r.replaced, c)
		}
	}
	name := callerSectionName(n)
	remaining := change.applyTo(callers, callerKey)
	if len(remaining) == 0 {
		delete(r.manifest.Sections, name)
		return nil
	}
	return addSection(r.manifest, r.sections, name, toCallerWire(remaining))
}

// deleteUnreferencedSections deletes the sections that the new manifest does not name.
func (r *applyResult) deleteUnreferencedSections() {
	referenced := make(map[string]bool, len(r.manifest.Sections))
	for _, digest := range r.manifest.Sections {
		referenced[digest] = true
	}
	maps.DeleteFunc(r.sections, func(digest string, _ []byte) bool { return !referenced[digest] })
}
