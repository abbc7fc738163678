package bundle

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
