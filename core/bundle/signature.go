package bundle

import (
	"crypto/ed25519"
	"fmt"

	"github.com/rotisserie/eris"
)

// signatureDomain is prepended to the manifest before signing (domain separation), so that a signature over other data made with the
// same key is not valid for a manifest, nor the reverse.
const signatureDomain = "eelgrassproxy bundle manifest v1\n"

// Sign returns the operator's signature over canonical manifest bytes.
func Sign(manifestBytes []byte, operator string, key ed25519.PrivateKey) Signature {
	return Signature{Operator: operator, Signature: ed25519.Sign(key, signedMessage(manifestBytes))}
}

func signedMessage(manifestBytes []byte) []byte {
	message := make([]byte, 0, len(signatureDomain)+len(manifestBytes))
	message = append(message, signatureDomain...)
	return append(message, manifestBytes...)
}

// Verifier checks that enough operators signed a manifest. It is safe for concurrent use as long as its fields are not modified.
type Verifier struct {
	Keys     map[string]ed25519.PublicKey // by name of the operator
	Required int                          // distinct operators that must have signed, at least 1
}

// Verify checks the signatures and returns the decoded manifest. A wrong signature by an operator with a known key is always an error.
// A signature by an unknown operator is not counted, but is not an error by itself: when a key is replaced, instances may get the new one
// at different times.
func (v Verifier) Verify(signed SignedManifest) (Manifest, error) {
	if err := v.check(); err != nil {
		return Manifest{}, err
	}
	if len(signed.Signatures) > MaxSignatures {
		return Manifest{}, eris.Wrapf(ErrTooManySignatures, "%d signatures, at most %d are allowed", len(signed.Signatures), MaxSignatures)
	}
	if len(signed.Manifest) > MaxManifestBytes {
		return Manifest{}, eris.Wrapf(ErrBadManifest, "%d bytes, at most %d are allowed", len(signed.Manifest), MaxManifestBytes)
	}
	if err := v.checkSignatures(signed); err != nil {
		return Manifest{}, err
	}
	return ParseManifest(signed.Manifest)
}

// check returns ErrBadVerifier if the verifier would accept unsigned manifests or if a key has a length at which ed25519 panics.
func (v Verifier) check() error {
	if v.Required < 1 {
		return eris.Wrapf(ErrBadVerifier, "%d required signatures", v.Required)
	}
	for operator, key := range v.Keys {
		if len(key) != ed25519.PublicKeySize {
			return eris.Wrapf(ErrBadVerifier, "key of operator %q has %d bytes", operator, len(key))
		}
	}
	return nil
}

// checkSignatures returns an error if a signature by a known operator is wrong or if too few distinct known operators signed.
func (v Verifier) checkSignatures(signed SignedManifest) error {
	message := signedMessage(signed.Manifest)
	signers := map[string]bool{}
	unknown := ""
	for _, s := range signed.Signatures {
		key, known := v.Keys[s.Operator]
		if !known {
			unknown = s.Operator
			continue
		}
		if !ed25519.Verify(key, message, s.Signature) {
			return eris.Wrapf(ErrBadSignature, "operator %q", s.Operator)
		}
		signers[s.Operator] = true
	}
	if len(signers) >= v.Required {
		return nil
	}
	if unknown != "" {
		return &MissingSignatureError{Have: len(signers), Required: v.Required, Unknown: unknown}
	}
	return &MissingSignatureError{Have: len(signers), Required: v.Required}
}

// MissingSignatureError means that too few known operators signed. errors.Is finds ErrNotEnoughSignatures, and also ErrUnknownOperator
// if a signature was not counted because its operator is unknown.
type MissingSignatureError struct {
	Have     int    // distinct known operators that signed
	Required int    // distinct operators that must sign
	Unknown  string // an unknown operator that signed; empty if there is none
}

// Error returns how many operators signed, how many are required, and the unknown operator if there is one.
func (e *MissingSignatureError) Error() string {
	text := fmt.Sprintf("%d of %d required operators signed the bundle", e.Have, e.Required)
	if e.Unknown != "" {
		text += fmt.Sprintf("; operator %q is unknown", e.Unknown)
	}
	return text
}

// Is implements the matching of errors.Is with ErrNotEnoughSignatures and ErrUnknownOperator.
func (e *MissingSignatureError) Is(target error) bool {
	return target == ErrNotEnoughSignatures || (e.Unknown != "" && target == ErrUnknownOperator)
}
