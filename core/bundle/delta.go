package bundle

import (
	"bytes"
	"encoding/json"
	"reflect"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// MaxDeltaBytes is the maximum size of an encoded delta. Instances fetch a larger change as whole sections.
const MaxDeltaBytes = 256 << 10

// Delta is the difference between two generations, with the signatures over the manifest of the newer one.
type Delta struct {
	From       fleet.Generation  `json:"from"` // generation that the delta applies to
	To         fleet.Generation  `json:"to"`
	Topology   *Topology         `json:"topology,omitempty"` // new value; nil if unchanged
	Limits     *Limits           `json:"limits,omitempty"`   // new value; nil if unchanged
	Models     Change[Model]     `json:"models,omitzero"`
	Services   Change[Service]   `json:"services,omitzero"`
	Placement  Change[Placement] `json:"placement,omitzero"`
	Groups     Change[Group]     `json:"groups,omitzero"`
	Callers    Change[Caller]    `json:"callers,omitzero"`
	Signatures []Signature       `json:"signatures"`
}

// Change is the difference between two versions of a list: the entries that were added or changed, and the keys of the removed ones.
// Both are sorted by key.
type Change[T any] struct {
	Upserts  []T      `json:"upserts,omitempty"`
	Removals []string `json:"removals,omitempty"`
}

// IsZero reports whether nothing changed.
func (c Change[T]) IsZero() bool { return len(c.Upserts) == 0 && len(c.Removals) == 0 }

// The functions below return the key that identifies an entry in its list.
func modelKey(m Model) string     { return m.Name }
func serviceKey(s Service) string { return s.Name }
func groupKey(g Group) string     { return g.Name }

// Diff returns the changes from old to new without signatures.
func Diff(old, new *Document) Delta {
	before, after := old.normalized(), new.normalized()
	delta := Delta{From: old.Generation, To: new.Generation}
	if !reflect.DeepEqual(before.Topology, after.Topology) {
		delta.Topology = &after.Topology
	}
	if before.Limits != after.Limits {
		delta.Limits = &after.Limits
	}
	delta.Models = diffList(before.Models, after.Models, modelKey)
	delta.Services = diffList(before.Services, after.Services, serviceKey)
	delta.Placement = diffList(before.Placement, after.Placement, Placement.key)
	delta.Groups = diffList(before.Groups, after.Groups, groupKey)
	delta.Callers = diffList(before.Callers, after.Callers, callerKey)
	return delta
}

// DiffSections is Diff for two bundles that are split into sections. It decodes only the sections that ChangedSections returns; old and
// new need not hold the others.
func DiffSections(oldManifest, newManifest Manifest, old, new Sections) (Delta, error) {
	before, after := &Document{}, &Document{}
	for _, name := range ChangedSections(oldManifest, newManifest) {
		if err := decodeSectionInto(before, oldManifest, old, name); err != nil {
			return Delta{}, err
		}
		if err := decodeSectionInto(after, newManifest, new, name); err != nil {
			return Delta{}, err
		}
	}
	before.Generation, after.Generation = oldManifest.Generation, newManifest.Generation
	return Diff(before, after), nil
}

// CallerDelta returns an unsigned delta to the next generation that sets or, if caller is nil, removes the caller with the id, and the
// manifest to sign. sections must hold the section of the caller if the manifest names it. Delta and manifest are zero if nothing
// would change.
func CallerDelta(manifest Manifest, sections Sections, id fleet.CallerID, caller *Caller) (Delta, Manifest, error) {
	before := &Document{Generation: manifest.Generation}
	if err := decodeSectionInto(before, manifest, sections, CallerSectionOf(id)); err != nil {
		return Delta{}, Manifest{}, err
	}
	after := &Document{Generation: manifest.Generation + 1}
	for _, c := range before.Callers {
		if c.ID != id {
			after.Callers = append(after.Callers, c)
		}
	}
	if caller != nil {
		after.Callers = append(after.Callers, *caller)
	}
	delta := Diff(before, after)
	if delta.Callers.IsZero() {
		return Delta{}, Manifest{}, nil
	}
	_, next, err := Apply(manifest, sections, delta)
	return delta, next, err
}

// ChangedSections returns the sorted names of the sections whose digests differ or that only one of the manifests names.
func ChangedSections(old, new Manifest) []string {
	names := map[string]bool{}
	for name, digest := range old.Sections {
		names[name] = new.Sections[name] != digest
	}
	for name, digest := range new.Sections {
		names[name] = old.Sections[name] != digest
	}
	var changed []string
	for name, differs := range names {
		if differs {
			changed = append(changed, name)
		}
	}
	return sortedBy(changed, identity)
}

// decodeSectionInto decodes the named section and adds its content to the document.
func decodeSectionInto(doc *Document, manifest Manifest, sections Sections, name string) error {
	n, isCallers := callerSectionNumber(name)
	if !isCallers {
		return decodeSingleSection(doc, manifest, sections, name)
	}
	callers, err := decodeCallerSection(manifest, sections, n)
	doc.Callers = append(doc.Callers, callers...)
	return err
}

// diffList returns the change from before to after, whose entries have unique keys.
func diffList[T any](before, after []T, key func(T) string) Change[T] {
	old := make(map[string]*T, len(before))
	for i := range before {
		old[key(before[i])] = &before[i]
	}
	var change Change[T]
	for _, entry := range after {
		id := key(entry)
		previous, existed := old[id]
		if !existed || !reflect.DeepEqual(*previous, entry) {
			change.Upserts = append(change.Upserts, entry)
		}
		delete(old, id)
	}
	for id := range old {
		change.Removals = append(change.Removals, id)
	}
	if change.Removals != nil {
		change.Removals = sortedBy(change.Removals, identity)
	}
	return change
}

// applyTo returns a copy of the list with the change applied, sorted by key.
func (c Change[T]) applyTo(list []T, key func(T) string) []T {
	replaced := make(map[string]bool, len(c.Removals)+len(c.Upserts)) // keys of old entries to omit
	for _, id := range c.Removals {
		replaced[id] = true
	}
	for _, entry := range c.Upserts {
		replaced[key(entry)] = true
	}
	out := make([]T, 0, len(list)+len(c.Upserts))
	for _, entry := range list {
		if !replaced[key(entry)] {
			out = append(out, entry)
		}
	}
	return sortedBy(append(out, c.Upserts...), key)
}

// EncodeDelta returns the JSON of a delta. It returns an error that wraps ErrBadDelta if the delta exceeds MaxDeltaBytes.
func EncodeDelta(delta Delta) ([]byte, error) {
	encoded, err := json.Marshal(delta)
	if err != nil {
		return nil, eris.Wrapf(ErrBadDelta, "encode: %v", err)
	}
	if len(encoded) > MaxDeltaBytes {
		return nil, eris.Wrapf(ErrBadDelta, "%d bytes, at most %d are allowed", len(encoded), MaxDeltaBytes)
	}
	return encoded, nil
}

// DecodeDelta is the inverse of EncodeDelta; errors wrap ErrBadDelta. Unknown fields are errors: if this version ignored a change, the
// digests would not match the signed manifest.
func DecodeDelta(data []byte) (Delta, error) {
	if len(data) > MaxDeltaBytes {
		return Delta{}, eris.Wrapf(ErrBadDelta, "%d bytes, at most %d are allowed", len(data), MaxDeltaBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var delta Delta
	if err := decoder.Decode(&delta); err != nil {
		return Delta{}, eris.Wrapf(ErrBadDelta, "decode: %v", err)
	}
	if delta.To <= delta.From || delta.To > maxGeneration {
		return Delta{}, eris.Wrapf(ErrBadDelta, "from generation %d to %d", delta.From, delta.To)
	}
	if len(delta.Signatures) > MaxSignatures {
		return Delta{}, eris.Wrapf(ErrBadDelta, "%d signatures, at most %d are allowed", len(delta.Signatures), MaxSignatures)
	}
	return delta, nil
}
