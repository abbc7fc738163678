package bundle

import (
	"crypto/sha256"
	"fmt"

	"eelgrassproxy.example/core/fleet"
)

// Active is a verified and validated bundle, indexed for lookups on the request path. It is immutable and safe for concurrent use.
type Active struct {
	manifest Manifest
	signed   SignedManifest
	digest   string
	sections Sections
	catalog  *catalog
	callers  callerIndex
}

// Activate verifies the signatures and section digests of a bundle, validates its content and indexes it. It
// returns the errors of Verifier.Verify, those of Assemble, such as ErrMissingSection, ErrDigestMismatch and ErrBadSection, and otherwise
// ErrInvalidDocument or the error of an invalid caller: ErrBadKeyDigest, ErrUnknownReference or ErrDuplicate. With any of them the bundle can't
// be used, and the one in force stays.
func Activate(signed SignedManifest, sections Sections, verifier Verifier) (*Active, error) {
	manifest, err := verifier.Verify(signed)
	if err != nil {
		return nil, err
	}
	doc, err := Assemble(manifest, sections)
	if err != nil {
		return nil, err
	}
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	a := &Active{
		manifest: manifest,
		signed:   signed,
		digest:   digestOf(signed.Manifest),
		sections: sections.referencedBy(manifest),
		catalog:  newCatalog(doc, nil),
	}
	builder := &indexBuilder{}
	for _, c := range doc.Callers {
		if err := builder.add(c, a.catalog.groups); err != nil {
			return nil, err
		}
	}
	a.callers = builder.index
	return a, nil
}

// referencedBy returns only those sections that the manifest names.
func (s Sections) referencedBy(manifest Manifest) Sections {
	out := make(Sections, len(manifest.Sections))
	for _, digest := range manifest.Sections {
		out[digest] = s[digest]
	}
	return out
}

// Generation returns the bundle's generation.
func (a *Active) Generation() fleet.Generation { return a.manifest.Generation }

// Manifest returns the manifest together with its signatures, which peers fetch. It is shared and must not be modified.
func (a *Active) Manifest() SignedManifest { return a.signed }

// Digest returns the hexadecimal SHA-256 of the manifest bytes.
func (a *Active) Digest() string { return a.digest }

// Section returns the canonical JSON of the section with the digest and reports whether the bundle has it. The bytes are shared and
// must not be modified.
func (a *Active) Section(digest string) ([]byte, bool) {
	data, ok := a.sections[digest]
	return data, ok
}

// Authenticate returns the caller with the API key. It reports false if there is none or if the caller is disabled.
func (a *Active) Authenticate(apiKey string) (*ResolvedCaller, bool) {
	digest := keyDigest(sha256.Sum256([]byte(apiKey)))
	caller := a.callers.lookup(digest)
	if caller == nil || caller.Disabled {
		return nil, false
	}
	return caller, true
}

// CallerCount returns the number of callers, disabled ones included.
func (a *Active) CallerCount() int { return a.callers.count }

// Model returns the model with the name, ErrUnknownModel if there is none, or ErrNotAllowed if the caller may not use it. The caller may
// have been resolved in an older generation; the permissions of this generation apply.
func (a *Active) Model(caller *ResolvedCaller, name string) (*Model, error) {
	model, exists := a.catalog.models[name]
	if !exists {
		return nil, ErrUnknownModel
	}
	group := a.catalog.groups[caller.Group.Name]
	if group == nil || group.models[name] == nil {
		return nil, ErrNotAllowed
	}
	return model, nil
}

// Models returns the models that the caller may use, ordered by name. The slice is shared and must not be modified.
func (a *Active) Models(caller *ResolvedCaller) []Model {
	group := a.catalog.groups[caller.Group.Name]
	if group == nil {
		return nil
	}
	return group.modelList
}

// Service returns the service with the name and its operation. It returns ErrUnknownService if there is no such service, ErrNotAllowed if
// the caller may not use it, and ErrUnknownOperation if it has no such operation.
func (a *Active) Service(caller *ResolvedCaller, name, operation string) (*Service, *Operation, error) {
	found, exists := a.catalog.services[name]
	if !exists {
		return nil, nil, ErrUnknownService
	}
	group := a.catalog.groups[caller.Group.Name]
	if group == nil || group.services[name] == nil {
		return nil, nil, ErrNotAllowed
	}
	op, exists := found.operations[operation]
	if !exists {
		return nil, nil, ErrUnknownOperation
	}
	return &found.Service, op, nil
}

// Limits returns the fleet-wide limits with defaults applied.
func (a *Active) Limits() Limits { return a.catalog.limits }

// Topology returns the region of each failure domain. Its map is shared and must not be modified.
func (a *Active) Topology() fleet.Topology { return a.catalog.topology }

// Link returns the traffic limits of the link between regions.
func (a *Active) Link() Link { return a.catalog.link }

// Placement returns the desired replicas, ordered by "base@version". The slice is shared and must not be modified.
func (a *Active) Placement() []Placement { return a.catalog.placement }

// String returns the generation and the first 12 digits of the digest, for logs.
func (a *Active) String() string { return fmt.Sprintf("bundle %d (%s)", a.Generation(), a.digest[:12]) }
