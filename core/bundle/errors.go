package bundle

import "github.com/rotisserie/eris"

// Errors of this layer. Callers compare with errors.Is.
var (
	// ErrDocumentTooLarge means that a YAML document exceeds MaxDocumentBytes.
	ErrDocumentTooLarge = eris.New("bundle document is too large")
	// ErrInvalidDocument means that at least one rule of Validate is broken; see ValidationError.
	ErrInvalidDocument = eris.New("bundle document is invalid")
	// ErrMissingValue means that a required field is empty.
	ErrMissingValue = eris.New("value is missing")
	// ErrDuplicate means that a name, id or key occurs twice.
	ErrDuplicate = eris.New("value is not unique")
	// ErrOutOfRange means that a number is negative or absurdly large.
	ErrOutOfRange = eris.New("number is out of range")
	// ErrUnknownReference means that a field names an entry that does not exist.
	ErrUnknownReference = eris.New("reference to an unknown entry")
	// ErrBadKeyDigest means that key_sha256 is not the hexadecimal form of 32 bytes.
	ErrBadKeyDigest = eris.New("not a hexadecimal SHA-256 digest")

	// ErrBadManifest means that manifest bytes are not a canonical manifest.
	ErrBadManifest = eris.New("bundle manifest is malformed")
	// ErrBadSection means that a section's bytes cannot be decoded.
	ErrBadSection = eris.New("bundle section is malformed")
	// ErrMissingSection means that a section named by the manifest was not supplied.
	ErrMissingSection = eris.New("bundle section is missing")
	// ErrDigestMismatch means that a section's bytes do not have the digest that the manifest states.
	ErrDigestMismatch = eris.New("bundle section does not match its digest")

	// ErrNotEnoughSignatures means that fewer distinct known operators signed than the verifier requires.
	ErrNotEnoughSignatures = eris.New("not enough operators signed the bundle")
	// ErrBadSignature means that a signature of a known operator does not match the manifest.
	ErrBadSignature = eris.New("signature does not match the bundle manifest")
	// ErrUnknownOperator means that a signature is missing that only an operator without a known key supplied.
	ErrUnknownOperator = eris.New("signature is by an unknown operator")
	// ErrTooManySignatures means that more than MaxSignatures signatures were supplied.
	ErrTooManySignatures = eris.New("too many signatures")
	// ErrBadVerifier means that the verifier would accept unsigned bundles or holds an unusable key.
	ErrBadVerifier = eris.New("signature verifier is misconfigured")
	// ErrBadKey means that a key file does not hold an ed25519 key of the expected kind.
	ErrBadKey = eris.New("not an ed25519 key in PEM form")

	// ErrBadDelta means that delta bytes are malformed or exceed MaxDeltaBytes.
	ErrBadDelta = eris.New("bundle delta is malformed")
	// ErrWrongBase means that a delta starts from another generation than the one it is applied to.
	ErrWrongBase = eris.New("bundle delta starts from another generation")
	// ErrNotNewer means that a generation is not higher than the highest accepted one.
	ErrNotNewer = eris.New("bundle generation is not newer than the one in force")

	// ErrUnknownModel means that no model of the bundle has the name.
	ErrUnknownModel = eris.New("model does not exist")
	// ErrUnknownService means that no service of the bundle has the name.
	ErrUnknownService = eris.New("service does not exist")
	// ErrUnknownOperation means that the service has no operation with the name.
	ErrUnknownOperation = eris.New("operation does not exist")
	// ErrNotAllowed means that the caller's group does not include the model or service.
	ErrNotAllowed = eris.New("caller may not use this model or service")
)
