// Package claims is the state machine of claims, by which a request runs at most once. A claim is a record in the store
// that an attempt creates before it dispatches the request. A resend of the request finds the record, and runs the request
// only if the record proves that nothing was run.
//
// The package holds pure functions only. Package node/claims applies them to the store by compare-and-swap on the
// record's revision: of two concurrent transitions one fails, and is decided again from the new record.
package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// MaxResponseBody is the largest response body in bytes that a record holds. Larger bodies are kept in bulk storage and the
// record holds their digest. 64 KiB in base64 stays far below the store's limit of 1 MB per value.
const MaxResponseBody = 64 << 10

// Retention is how long a claim is kept. A resend that arrives later is treated as a new request.
const Retention = 48 * time.Hour

// Errors of this package; test for them with errors.Is.
var (
	// ErrInvalidRecord means that a stored record cannot be decoded or has an unknown state.
	ErrInvalidRecord = eris.New("claim record is invalid")
	// ErrNotOwner means that the record belongs to another attempt.
	ErrNotOwner = eris.New("claim belongs to another attempt")
	// ErrTransition means that the record's state does not allow the transition.
	ErrTransition = eris.New("claim state does not allow the transition")
	// ErrResponseTooLarge means that the response body exceeds MaxResponseBody. Keep the body in bulk storage and set
	// BulkDigest instead.
	ErrResponseTooLarge = eris.New("response body exceeds the size kept in a claim")
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	Claimed  State = "claimed"  // an attempt may be running the request
	Done     State = "done"     // the response is recorded; final
	Released State = "released" // the request was not run; it may be claimed again
	Unknown  State = "unknown"  // the request may have run; it must not run again
)

// Owner is one process of an instance. Incarnation is fixed when the process starts: a process that replaces it under the
// same instance ID has another one. Unlike the incarnation in the membership table, it must not change when the instance
// refutes a suspicion.
type Owner struct {
	Instance    fleet.InstanceID `json:"instance"`
	Incarnation uint64           `json:"incarnation"`
}

// Response is the recorded response to a claimed request. Every resend receives it.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`        // at most MaxResponseBody bytes; base64 in JSON
	BulkDigest  string `json:"bulk_digest,omitempty"` // hex SHA-256 of a body that is kept in bulk storage; Body is then empty
}

// Record is the value stored for a claim, as JSON.
type Record struct {
	State State `json:"state"`
	Owner
	Token         string    `json:"token"`          // identifies the attempt that made the claim
	RequestDigest string    `json:"request_digest"` // hex SHA-256 of the request
	Operation     string    `json:"operation"`      // service and operation, for operators
	Created       time.Time `json:"created"`        // by the owner's clock
	Response      *Response `json:"answer,omitempty"`
}

// Key returns the hex SHA-256 under which the claim for a caller's idempotency key is stored. The caller's length is
// hashed too, so that different pairs don't concatenate to the same input.
func Key(caller fleet.CallerID, idempotencyKey string) string {
	h := sha256.New()
	var length [8]byte
	for i := range length {
		length[i] = byte(len(caller) >> (8 * i))
	}
	h.Write(length[:])
	h.Write([]byte(caller))
	h.Write([]byte(idempotencyKey))
	return hex.EncodeToString(h.Sum(nil))
}

// Digest returns the hex SHA-256 of an operation and its body. It shows whether two requests under one key are the same.
func Digest(operation string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(operation))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Decode decodes a stored record. It returns ErrInvalidRecord if the value is malformed or its state is unknown, and for
// the state done without a response.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %v", ErrInvalidRecord, err)
	}
	switch r.State {
	case Claimed, Released, Unknown:
		return r, nil
	case Done:
		if r.Response == nil {
			return Record{}, eris.Wrap(ErrInvalidRecord, "state done without an answer")
		}
		return r, nil
	}
	return Record{}, eris.Wrapf(ErrInvalidRecord, "state %q", r.State)
}
