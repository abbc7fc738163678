package bundle

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"eelgrassproxy.example/core/fleet"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Names of the sections that every manifest has.
const (
	SectionTopology  = "topology"
	SectionLimits    = "limits"
	SectionModels    = "models"
	SectionServices  = "services"
	SectionPlacement = "placement"
	SectionGroups    = "groups"
)

const (
	callerSectionPrefix = "callers/"
	callerSectionCount  = 256 // a change of one caller rewrites 1/256 of the callers
)

// singleSections lists the sections that hold a whole field of the document each, in the order in which Split and Assemble process
// them. The callers are spread over many sections instead.
var singleSections = [...]string{SectionTopology, SectionLimits, SectionModels, SectionServices, SectionPlacement, SectionGroups}

// Sections maps the hexadecimal SHA-256 digest of each section to its canonical JSON.
type Sections map[string][]byte

// callerSection returns the number of the section that holds the caller. The hash only distributes callers evenly, but it is part of
// the format: every instance must assign a caller to the same section.
func callerSection(id fleet.CallerID) int {
	return int(xxhash.Sum64String(string(id)) % callerSectionCount)
}

// CallerSectionOf returns the name of the section that holds the caller.
func CallerSectionOf(id fleet.CallerID) string { return callerSectionName(callerSection(id)) }

// callerSectionName returns "callers/00" to "callers/ff".
func callerSectionName(n int) string { return fmt.Sprintf("%s%02x", callerSectionPrefix, n) }

// callerSectionNumber is the inverse of callerSectionName. It reports false for any other name.
func callerSectionNumber(name string) (int, bool) {
	digits, ok := strings.CutPrefix(name, callerSectionPrefix)
	if !ok || len(digits) != 2 {
		return 0, false
	}
	var n int
	if _, err := fmt.Sscanf(digits, "%02x", &n); err != nil {
		return 0, false
	}
	return n, callerSectionName(n) == name
}

func isSectionName(name string) bool {
	if slices.Contains(singleSections[:], name) {
		return true
	}
	_, ok := callerSectionNumber(name)
	return ok
}

// Split encodes a document as sections and the manifest that names them. Empty caller sections are omitted. Documents with the same
// entries give the same bytes, whatever the order of the entries. The document is not validated.
func Split(doc *Document) (Manifest, Sections, error) {
	normalized := doc.normalized()
	manifest := Manifest{Generation: doc.Generation, Sections: map[string]string{}}
	sections := Sections{}
	for _, name := range singleSections {
		if err := addSection(manifest, sections, name, sectionField(normalized, name)); err != nil {
			return Manifest{}, nil, err
		}
	}
	var callers [callerSectionCount][]Caller
	for _, c := range normalized.Callers {
		n := callerSection(c.ID)
		callers[n] = append(callers[n], c)
	}
	for n, list := range callers {
		if len(list) == 0 {
			continue
		}
		if err := addSection(manifest, sections, callerSectionName(n), toCallerWire(list)); err != nil {
			return Manifest{}, nil, err
		}
	}
	return manifest, sections, nil
}

// addSection encodes the value, adds it to sections, and sets its digest in the manifest under the name.
func addSection(manifest Manifest, sections Sections, name string, value any) error {
	encoded, err := encodeSection(value)
	if err != nil {
		return eris.Wrapf(ErrBadSection, "encode section %q: %v", name, err)
	}
	digest := digestOf(encoded)
	manifest.Sections[name] = digest
	sections[digest] = encoded
	return nil
}

func encodeSection(value any) ([]byte, error) {
	if callers, ok := value.([]callerWire); ok {
		return json.Marshal(callers) // canonical already: callerWire declares its fields in sorted order
	}
	return canonicalJSON(value)
}

// sectionField returns a pointer to the field of the document that the section holds, or nil if name is not one of singleSections.
func sectionField(doc *Document, name string) any {
	switch name {
	case SectionTopology:
		return &doc.Topology
	case SectionLimits:
		return &doc.Limits
	case SectionModels:
		return &doc.Models
	case SectionServices:
		return &doc.Services
	case SectionPlacement:
		return &doc.Placement
	case SectionGroups:
		return &doc.Groups
	}
	return nil
}

// Assemble is the inverse of Split. It checks every digest. The lists of the returned document are sorted; it is not validated.
func Assemble(manifest Manifest, sections Sections) (*Document, error) {
	doc := &Document{Generation: manifest.Generation}
	for _, name := range singleSections {
		if err := decodeSingleSection(doc, manifest, sections, name); err != nil {
			return nil, err
		}
	}
	for n := range callerSectionCount {
		callers, err := decodeCallerSection(manifest, sections, n)
		if err != nil {
			return nil, err
		}
		doc.Callers = append(doc.Callers, callers...)
	}
	doc.Callers = sortedBy(doc.Callers, callerKey)
	return doc, nil
}

// decodeSingleSection decodes one of singleSections to its field of the document.
func decodeSingleSection(doc *Document, manifest Manifest, sections Sections, name string) error {
	data, err := sections.get(manifest, name)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, sectionField(doc, name)); err != nil {
		return eris.Wrapf(ErrBadSection, "decode section %q: %v", name, err)
	}
	return nil
}

// decodeCallerSection decodes caller section n. A section that the manifest does not name is empty.
func decodeCallerSection(manifest Manifest, sections Sections, n int) ([]Caller, error) {
	name := callerSectionName(n)
	if manifest.Sections[name] == "" {
		return nil, nil
	}
	data, err := sections.get(manifest, name)
	if err != nil {
		return nil, err
	}
	return decodeCallers(name, n, data)
}

// decodeCallers decodes the bytes of caller section n and checks that its callers belong there.
func decodeCallers(name string, n int, data []byte) ([]Caller, error) {
	var wire []callerWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, eris.Wrapf(ErrBadSection, "decode section %q: %v", name, err)
	}
	callers := make([]Caller, len(wire))
	for i, w := range wire {
		callers[i] = Caller{ID: w.ID, Group: w.Group, KeySHA256: w.KeySHA256, Disabled: w.Disabled}
		if callerSection(w.ID) != n {
			return nil, eris.Wrapf(ErrBadSection, "caller %q does not belong to section %q", w.ID, name)
		}
	}
	return callers, nil
}

// get returns the bytes of the section that the manifest names, after checking their digest. Errors wrap ErrMissingSection or
// ErrDigestMismatch.
func (s Sections) get(manifest Manifest, name string) ([]byte, error) {
	digest := manifest.Sections[name]
	data, ok := s[digest]
	if !ok {
		return nil, eris.Wrapf(ErrMissingSection, "section %q with digest %q", name, digest)
	}
	if digestOf(data) != digest {
		return nil, eris.Wrapf(ErrDigestMismatch, "section %q", name)
	}
	return data, nil
}

// callerWire is Caller with its fields in the sorted order of canonical JSON.
type callerWire struct {
	Disabled  bool           `json:"disabled,omitempty"`
	Group     string         `json:"group"`
	ID        fleet.CallerID `json:"id"`
	KeySHA256 string         `json:"key_sha256"`
}

func toCallerWire(callers []Caller) []callerWire {
	out := make([]callerWire, len(callers))
	for i, c := range callers {
		out[i] = callerWire{Disabled: c.Disabled, Group: c.Group, ID: c.ID, KeySHA256: c.KeySHA256}
	}
	return out
}
