package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

const (
	// MaxManifestBytes is the maximum size of an encoded manifest. A manifest with all 262 sections has about 22 KB.
	MaxManifestBytes = 64 << 10
	// MaxSignatures is the maximum number of signatures of one manifest.
	MaxSignatures = 64
)

// Manifest states a generation and the digest of each of its sections. Operators sign its canonical bytes.
type Manifest struct {
	Generation fleet.Generation  `json:"generation"`
	Sections   map[string]string `json:"sections"` // hexadecimal SHA-256 by section name
}

// SignedManifest holds the canonical bytes of a manifest and the operators' signatures over them.
type SignedManifest struct {
	Manifest   []byte      `json:"manifest"`
	Signatures []Signature `json:"signatures"`
}

// Signature is one operator's ed25519 signature.
type Signature struct {
	Operator  string `json:"operator"`
	Signature []byte `json:"signature"`
}

// Bytes returns the canonical JSON of the manifest.
func (m Manifest) Bytes() []byte {
	encoded, err := json.Marshal(m) // canonical, because json sorts map keys; cannot fail for numbers and strings
	if err != nil {
		panic(fmt.Sprintf("encode bundle manifest: %v", err))
	}
	return encoded
}

// Digest returns the hexadecimal SHA-256 of the canonical bytes. It identifies a bundle independently of its signatures.
func (m Manifest) Digest() string { return digestOf(m.Bytes()) }

// clone returns a copy that does not share the map of sections.
func (m Manifest) clone() Manifest {
	return Manifest{Generation: m.Generation, Sections: maps.Clone(m.Sections)}
}

// ParseManifest decodes the bytes of a manifest. Errors wrap ErrBadManifest. Bytes that are not canonical are rejected, because a
// manifest must have only one digest.
func ParseManifest(data []byte) (Manifest, error) {
	if len(data) > MaxManifestBytes {
		return Manifest{}, eris.Wrapf(ErrBadManifest, "%d bytes, at most %d are allowed", len(data), MaxManifestBytes)
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return Manifest{}, eris.Wrapf(ErrBadManifest, "decode: %v", err)
	}
	if m.Generation == 0 || m.Generation > maxGeneration {
		return Manifest{}, eris.Wrapf(ErrBadManifest, "generation %d is out of range", m.Generation)
	}
	for name, digest := range m.Sections {
		if !isSectionName(name) || !isDigest(digest) {
			return Manifest{}, eris.Wrapf(ErrBadManifest, "section %q with digest %q", name, digest)
		}
	}
	for _, name := range singleSections {
		if m.Sections[name] == "" {
			return Manifest{}, eris.Wrapf(ErrBadManifest, "section %q is missing", name)
		}
	}
	if !bytes.Equal(m.Bytes(), data) {
		return Manifest{}, eris.Wrap(ErrBadManifest, "bytes are not canonical")
	}
	return m, nil
}
