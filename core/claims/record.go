// Package claims is the state machine of at-most-once claims. A claim is a record in the store that one attempt of a
// request creates before it dispatches anything; a resend of the request finds the record and never runs it again
// unless the record proves that nothing was run.
//
// The package holds pure functions only. Package node/claims applies them to the store by compare-and-swap on the
// record's revision, so that of two concurrent transitions one fails and is decided again on the new record.
package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// MaxAnswerBody is the largest body in bytes that a record holds. Larger answers are kept in bulk storage and the
// record holds their digest. 64 KiB stays far below the store's limit of 1 MB after the base64 of JSON.
const MaxAnswerBody = 64 << 10

// Retention is how long a claim stays readable. A resend that comes later than this counts as a new request.
const Retention = 48 * time.Hour

// Errors of this layer.
var (
	// ErrInvalidRecord means that a stored record cannot be decoded or has an unknown state.
	ErrInvalidRecord = eris.New("claim record is invalid")
	// ErrNotOwner means that the record belongs to another attempt.
	ErrNotOwner = eris.New("claim belongs to another attempt")
	// ErrTransition means that the record's state does not allow the transition.
	ErrTransition = eris.New("claim state does not allow the transition")
	// ErrAnswerTooLarge means that the answer's body exceeds MaxAnswerBody; store it in bulk and pass its digest.
	ErrAnswerTooLarge = eris.New("answer exceeds the size kept in a claim")
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	Claimed  State = "claimed"  // an attempt may be running
	Done     State = "done"     // the answer is recorded; final
	Released State = "released" // nothing was run; may be claimed again
	Unknown  State = "unknown"  // the request may have run; never run again
)

// Owner is one process of an instance. Incarnation is drawn once when the process starts: a process that was replaced
// under the same instance ID has another incarnation, and refuting a suspicion must not change it.
type Owner struct {
	Instance    fleet.InstanceID `json:"instance"`
	Incarnation uint64           `json:"incarnation"`
}

// Answer is the first answer to a claimed request, replayed to every resend.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`        // up to MaxAnswerBody; base64 in JSON
	BulkDigest  string `json:"bulk_digest,omitempty"` // hex SHA-256 of a body kept in bulk storage instead
}

// Record is the value stored for a claim, as JSON.
type Record struct {
	State State `json:"state"`
	Owner
	Token         string    `json:"token"`          // unique for each attempt to claim
	RequestDigest string    `json:"request_digest"` // hex SHA-256 of the request
	Operation     string    `json:"operation"`      // service and operation, for operators
	Created       time.Time `json:"created"`        // clock of the owner
	Answer        *Answer   `json:"answer,omitempty"`
}

// Key returns the hex SHA-256 that names the claim of a caller's idempotency key. The caller's length is part of the
// hashed bytes, so that no two pairs share a key by concatenation.
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

// Digest returns the hex SHA-256 of an operation and its body, by which two requests under one key are compared.
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

// Decode reads a stored record. It returns ErrInvalidRecord for a value that is not a record of a known state.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	switch r.State {
	case Claimed, Released, Unknown:
		return r, nil
	case Done:
		if r.Answer == nil {
			return Record{}, eris.Wrap(ErrInvalidRecord, "state done without an answer")
		}
		return r, nil
	}
	return Record{}, eris.Wrapf(ErrInvalidRecord, "state %q", r.State)
}
