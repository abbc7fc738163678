package bundle

import "github.com/rotisserie/eris"

// Errors of this layer. Callers compare with errors.Is.
var (
	// ErrDocumentTooLarge means that a YAML document exceeds MaxDocumentBytes.
	ErrDocumentTooLarge = eris.New("bundle document is too large")
	// ErrInvalidDocument means that a document breaks at least one rule of Validate; ValidationError lists the problems.
	ErrInvalidDocument = eris.New("bundle document is invalid")
	// ErrMissingValue means that a required field is empty.
	ErrMissingValue = eris.New("value is missing")
	// ErrDuplicate means that a name, id or key occurs twice.
	ErrDuplicate = eris.New("value is not unique")
	// ErrOutOfRange means that a number is outside its bounds, or that a name is too long or contains a forbidden character.
	ErrOutOfRange = eris.New("number is out of range")
	// ErrUnknownReference means that a field names an entry that does not exist.
	ErrUnknownReference = eris.New("reference to an unknown entry")
	// ErrBadKeyDigest means that key_sha256 is not the hexadecimal form of 32 bytes.
	ErrBadKeyDigest = eris.New("not a hexadecimal SHA-256 digest")

	// ErrBadManifest means that bytes are not the canonical encoding of a valid manifest.
	ErrBadManifest = eris.New("bundle manifest is malformed")
	// ErrBadSection means that a section cannot be encoded or decoded, or holds a caller of another section.
	ErrBadSection = eris.New("bundle section is malformed")
	// ErrMissingSection means that the manifest names a section that was not supplied.
	ErrMissingSection = eris.New("bundle section is missing")
	// ErrDigestMismatch means that the bytes of a section do not have the expected digest.
	ErrDigestMismatch = eris.New("bundle section does not match its digest")

	// ErrNotEnoughSignatures means that fewer distinct operators with a known key signed the manifest than the verifier requires.
	ErrNotEnoughSignatures = eris.New("not enough operators signed the bundle")
	// ErrBadSignature means that a signature by an operator with a known key does not match the manifest.
	ErrBadSignature = eris.New("signature does not match the bundle manifest")
	// ErrUnknownOperator means that signatures are missing and one was not counted because its operator has no known key.
	ErrUnknownOperator = eris.New("signature is by an unknown operator")
	// ErrTooManySignatures means that more than MaxSignatures signatures were supplied.
	ErrTooManySignatures = eris.New("too many signatures")
	// ErrBadVerifier means that the verifier would accept unsigned bundles or holds an unusable key.
	ErrBadVerifier = eris.New("signature verifier is misconfigured")
	// ErrBadKey means that a key file does not hold an ed25519 key of the expected kind.
	ErrBadKey = eris.New("not an ed25519 key in PEM form")

	// ErrBadDelta means that delta bytes are malformed or exceed MaxDeltaBytes.
	ErrBadDelta = eris.New("bundle delta is malformed")
	// ErrWrongBase means that a delta does not start from the generation that it is applied to, or does not lead to a higher one.
	ErrWrongBase = eris.New("bundle delta starts from another generation")
	// ErrNotNewer means that a generation is not higher than the highest generation accepted so far.
	ErrNotNewer = eris.New("bundle generation is not newer than the one in force")

	// ErrUnknownModel means that no model of the bundle has the name.
	ErrUnknownModel = eris.New("model does not exist")
	// ErrUnknownService means that no service of the bundle has the name.
	ErrUnknownService = eris.New("service does not exist")
	// ErrUnknownOperation means that the service has no operation with the name.
	ErrUnknownOperation = eris.New("operation does not exist")
	// ErrNotAllowed means that the model or service exists, but the caller's group does not include it.
	ErrNotAllowed = eris.New("caller may not use this model or service")
)
