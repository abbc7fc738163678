// Package store defines the keys and JSON values under which a bundle is kept in the platform's store. It does no I/O.
package store

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Keys and key prefixes in the store. They are part of the stored format.
const (
	HeadKey        = "/eelgrass/bundle/head"
	manifestPrefix = "/eelgrass/bundle/manifests/"
	sectionPrefix  = "/eelgrass/bundle/sections/"
	deltaPrefix    = "/eelgrass/bundle/deltas/"
)

// MaxValueBytes is the maximum size of a value in the store. adapters/kv has the same limit; this one must not exceed it.
const MaxValueBytes = 1 << 20

// Errors of this layer. Callers compare with errors.Is.
var (
	// ErrValueTooLarge means that a value exceeds MaxValueBytes.
	ErrValueTooLarge = eris.New("bundle value exceeds the store's limit")
	// ErrMalformed means that a value read from the store cannot be decoded.
	ErrMalformed = eris.New("bundle value in the store is malformed")
)

// Head identifies the bundle in force.
type Head struct {
	Generation fleet.Generation `json:"generation"`
	Manifest   string           `json:"manifest"` // hexadecimal SHA-256 of the manifest bytes
}

// Entry is a key of the store with its value.
type Entry struct {
	Key   string
	Value []byte
}

// ManifestKey returns the key of the signed manifest of a generation. The number is zero-padded so that keys sort by generation.
func ManifestKey(generation fleet.Generation) string {
	return fmt.Sprintf("%s%020d", manifestPrefix, generation)
}

// ManifestPrefix returns the prefix of the keys of all signed manifests.
func ManifestPrefix() string { return manifestPrefix }

// GenerationOf returns the generation in the key of a manifest or a delta. Errors wrap ErrMalformed.
func GenerationOf(key string) (fleet.Generation, error) {
	number, isManifest := strings.CutPrefix(key, manifestPrefix)
	if !isManifest {
		number = strings.TrimPrefix(key, deltaPrefix)
	}
	generation, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrMalformed, "key %q", key)
	}
	return fleet.Generation(generation), nil
}

// SectionPrefix returns the prefix of the keys of all sections.
func SectionPrefix() string { return sectionPrefix }

// DeltaPrefix returns the prefix of the keys of all deltas.
func DeltaPrefix() string { return deltaPrefix }

// SectionKey returns the key of the section with the digest.
func SectionKey(digest string) string { return sectionPrefix + digest }

// DeltaKey returns the key of the delta that leads to the generation.
func DeltaKey(to fleet.Generation) string { return fmt.Sprintf("%s%020d", deltaPrefix, to) }

// EncodeHead returns the entry of the head that puts the manifest in force.
func EncodeHead(manifest bundle.Manifest) (Entry, error) {
	return jsonEntry(HeadKey, Head{Generation: manifest.Generation, Manifest: manifest.Digest()})
}

// DecodeHead decodes the value of the head. Errors wrap ErrMalformed.
func DecodeHead(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, eris.Wrapf(ErrMalformed, "head: %v", err)
	}
	return head, nil
}

// EncodeManifest returns the entry of a signed manifest.
func EncodeManifest(generation fleet.Generation, signed bundle.SignedManifest) (Entry, error) {
	return jsonEntry(ManifestKey(generation), signed)
}

// DecodeManifest decodes the value of a signed manifest. Errors wrap ErrMalformed. The signatures are not checked.
func DecodeManifest(value []byte) (bundle.SignedManifest, error) {
	var signed bundle.SignedManifest
	if err := json.Unmarshal(value, &signed); err != nil {
		return bundle.SignedManifest{}, eris.Wrapf(ErrMalformed, "manifest: %v", err)
	}
	return signed, nil
}

// EncodeSection returns the entry of a section; its value is the section's bytes.
func EncodeSection(digest string, data []byte) (Entry, error) {
	return boundedEntry(SectionKey(digest), data)
}

// EncodeDelta returns the entry of a delta.
func EncodeDelta(delta bundle.Delta) (Entry, error) {
	value, err := bundle.EncodeDelta(delta)
	if err != nil {
		return Entry{}, err
	}
	return boundedEntry(DeltaKey(delta.To), value)
}

// jsonEntry returns the entry of a key with the JSON of the value.
func jsonEntry(key string, value any) (Entry, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return Entry{}, eris.Wrapf(ErrMalformed, "encode %s: %v", key, err)
	}
	return boundedEntry(key, encoded)
}

// boundedEntry returns the entry, or an error that wraps ErrValueTooLarge if the value exceeds MaxValueBytes.
func boundedEntry(key string, value []byte) (Entry, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, eris.Wrapf(ErrValueTooLarge, "%s: %d bytes, at most %d are allowed", key, len(value), MaxValueBytes)
	}
	return Entry{Key: key, Value: value}, nil
}
