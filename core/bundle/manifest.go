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
	// MaxManifestBytes bounds a manifest; one with all 262 sections has about 22 KB.
	MaxManifestBytes = 64 << 10
	// MaxSignatures bounds the signatures of one manifest.
	MaxSignatures = 64
)

// Manifest names a generation and the digest of each of its sections. Signatures cover its canonical bytes.
type Manifest struct {
	Generation fleet.Generation  `json:"generation"`
	Sections   map[string]string `json:"sections"` // section name to hexadecimal SHA-256
}

// SignedManifest is a canonical manifest with the operators' signatures over its bytes.
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
	encoded, err := json.Marshal(m) // map keys are sorted; numbers and strings cannot fail
	if err != nil {
		panic(fmt.Sprintf("encode bundle manifest: %v", err))
	}
	return encoded
}

// Digest returns the hexadecimal SHA-256 of the canonical bytes. It names a bundle independently of its signatures.
func (m Manifest) Digest() string { return digestOf(m.Bytes()) }

// clone returns a copy with its own map.
func (m Manifest) clone() Manifest {
	return Manifest{Generation: m.Generation, Sections: maps.Clone(m.Sections)}
}

// ParseManifest decodes manifest bytes. Errors wrap ErrBadManifest; bytes that are not canonical are refused, so that one manifest
// has one digest.
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
