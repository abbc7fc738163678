package bundle

import (
	"crypto/ed25519"
	"fmt"

	"github.com/rotisserie/eris"
)

// signatureDomain precedes the manifest in the signed bytes, so that a signature cannot be taken for one over other data.
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

// Verifier decides which manifests may be put in force. It is safe for concurrent use while its fields are not changed.
type Verifier struct {
	Keys     map[string]ed25519.PublicKey // by operator
	Required int                          // distinct operators that must have signed, at least 1
}

// Verify checks the signatures and returns the decoded manifest. A wrong signature of a known operator is always an error. A
// signature of an unknown operator does not count but does no harm either: instances may learn of a replaced key at different times.
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

// check refuses a verifier that would accept anything or would panic in ed25519.
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

// checkSignatures counts distinct known operators.
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

// MissingSignatureError says how many signatures are missing. errors.Is finds ErrNotEnoughSignatures, and ErrUnknownOperator if a
// signature did not count because its operator is unknown.
type MissingSignatureError struct {
	Have     int    // distinct known operators that signed
	Required int    // distinct operators that must sign
	Unknown  string // an unknown operator that signed, or empty
}

// Error states both numbers.
func (e *MissingSignatureError) Error() string {
	text := fmt.Sprintf("%d of %d required operators signed the bundle", e.Have, e.Required)
	if e.Unknown != "" {
		text += fmt.Sprintf("; operator %q is unknown", e.Unknown)
	}
	return text
}

// Is reports whether target is one of the sentinels that the error stands for.
func (e *MissingSignatureError) Is(target error) bool {
	return target == ErrNotEnoughSignatures || (e.Unknown != "" && target == ErrUnknownOperator)
}
