package store

import (
	"testing"

	"eelgrassproxy.example/core/bundle"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against entries that cannot be decoded, values larger than the store accepts, and manifest keys that do not sort by generation.
func TestEntriesRoundTripAndAreBounded(t *testing.T) {
	manifest := bundle.Manifest{Generation: 7, Sections: map[string]string{"limits": "ab"}}
	head, err := EncodeHead(manifest)
	require.NoError(t, err)
	got, err := DecodeHead(head.Value)
	require.NoError(t, err)
	assert.Equal(t, Head{Generation: 7, Manifest: manifest.Digest()}, got)

	signed := bundle.SignedManifest{Manifest: manifest.Bytes(), Signatures: []bundle.Signature{{Operator: "anna", Signature: []byte{1}}}}
	entry, err := EncodeManifest(7, signed)
	require.NoError(t, err)
	decoded, err := DecodeManifest(entry.Value)
	require.NoError(t, err)
	assert.Equal(t, signed, decoded)

	_, err = EncodeSection("ab", make([]byte, MaxValueBytes+1))
	require.ErrorIs(t, err, ErrValueTooLarge)
	_, err = DecodeHead([]byte("["))
	require.ErrorIs(t, err, ErrMalformed)
	assert.Less(t, ManifestKey(9), ManifestKey(10))
}
