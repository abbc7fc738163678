package kv

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"
)

// Errors of Writer.
var (
	// ErrConflict means that the write certainly had no effect because the key is not at the expected revision.
	ErrConflict = eris.New("key is not at the expected revision")
	// ErrInvalidValue means that a value is not JSON, or that a stored value lacks the envelope of Writer.
	ErrInvalidValue = eris.New("value is not valid")
)

// maxReadBacks bounds the calls that Put makes to settle an unknown outcome. One is enough unless its answer is lost as well.
const maxReadBacks = 2

// Stored is a value that Writer stored, without its envelope.
type Stored struct {
	KeyValue          // Value is the value given to Put
	Token    string   // of the write
	Base     Revision // mod revision that the write replaced; 0 for a creation
}

// PutResult tells what a Put found.
type PutResult struct {
	Revision Revision // mod revision of the key after a successful Put
	Current  KeyValue // with ErrConflict: the key as it is stored, envelope included; CreateRevision 0 means that it does not exist
}

// Writer does compare-and-swap writes whose outcome can be settled after a lost answer. Each value is stored in the envelope
//
//	{"w":"<token>","b":<base>,"v":<value>}
//
// where the token is unique to one Put and the base is the mod revision that the write replaced (0 for a creation). The value is
// kept byte for byte and must be JSON. A Writer is safe for concurrent use.
type Writer struct {
	id string
}

// NewWriter returns a Writer whose tokens start with the id of the writing process.
func NewWriter(id string) *Writer {
	return &Writer{id: id}
}

// Put stores the JSON value under the key if the key's mod revision is expected, where 0 means that the key must not exist. The
// lease is 0 or the one that the key is attached to.
//
// After an unknown outcome, Put sends the same transaction with the same token again and reads the key in its other branch. That
// settles more than a plain read could: a key still at the expected revision does not prove that the first write is lost, since it
// may be under way. The repetition takes the revision, so that at most one of the two takes effect. The results are:
//
//   - nil: the write took effect, once, at PutResult.Revision.
//   - ErrConflict: the write had no effect. PutResult.Current holds the key's present state.
//   - ErrLeaseGone: the lease has ended, and with it any effect of the write.
//   - ErrValueTooLarge, ErrInvalidValue: nothing was sent.
//   - ErrUnavailable: the first attempt had no effect, and there was no other.
//   - ErrOutcomeUnknown: the write may have taken effect, or may still do so. Either no read-back succeeded, or the key was written
//     by others in a way that hides the outcome: it has moved on by more than one write since the expected revision, was deleted,
//     or was to be created and holds another writer's value (ours may have been created and deleted before).
//
// A creation that is still under way when Put returns could take effect after a later deletion of the key. Keys for which that
// matters need a lease, which refuses the late write, or must not be deleted.
func (w *Writer) Put(
	ctx context.Context, store Store, key string, expected Revision, value []byte, lease LeaseID,
) (PutResult, error) {
	token := w.newToken()
	txn, err := putTxn(key, expected, token, value, lease)
	if err != nil {
		return PutResult{}, err
	}
	result, err := store.Txn(ctx, txn)
	if !eris.Is(err, ErrOutcomeUnknown) {
		return firstResult(key, result, err)
	}
	for range maxReadBacks {
		result, readErr := store.Txn(ctx, txn)
		if readErr == nil {
			return settle(key, expected, token, result)
		}
		if eris.Is(readErr, ErrLeaseGone) {
			return PutResult{}, eris.Wrapf(readErr, "put %q", key)
		}
	}
	return PutResult{}, eris.Wrapf(err, "put %q: no read-back succeeded", key)
}

// newToken returns a token that no other Put uses: the id may be reused by a restarted process, the random part is not.
func (w *Writer) newToken() string {
	return w.id + "/" + rand.Text()
}

func putTxn(key string, expected Revision, token string, value []byte, lease LeaseID) (Txn, error) {
	sealed, err := seal(token, expected, value)
	if err != nil {
		return Txn{}, eris.Wrapf(err, "put %q", key)
	}
	compare := Compare{Key: key, Target: CompareModRevision, Revision: expected}
	if expected == 0 {
		compare.Target = CompareCreateRevision
	}
	return Txn{
		Compares: []Compare{compare},
		Then:     []Op{{Kind: OpPut, Key: key, Value: sealed, Lease: lease}},
		Else:     []Op{{Kind: OpGet, Key: key}},
	}, nil
}

// firstResult interprets an attempt that had no predecessor.
func firstResult(key string, result TxnResult, err error) (PutResult, error) {
	if err != nil {
		return PutResult{}, eris.Wrapf(err, "put %q", key)
	}
	if result.Succeeded {
		return PutResult{Revision: result.Revision}, nil
	}
	return PutResult{Current: result.Gets[0]}, eris.Wrapf(ErrConflict, "put %q", key)
}

// settle interprets an answered repetition of a write whose first attempt has an unknown outcome.
func settle(key string, expected Revision, token string, result TxnResult) (PutResult, error) {
	if result.Succeeded {
		return PutResult{Revision: result.Revision}, nil
	}
	current := result.Gets[0]
	stored, err := Open(current)
	if err != nil {
		return PutResult{}, eris.Wrapf(ErrOutcomeUnknown, "put %q: read-back found no value of a Writer", key)
	}
	if stored.Token == token {
		return PutResult{Revision: current.ModRevision}, nil
	}
	// A mod revision is replaced by one write only, and that was another one.
	if expected != 0 && stored.Base == expected {
		return PutResult{Current: current}, eris.Wrapf(ErrConflict, "put %q", key)
	}
	return PutResult{}, eris.Wrapf(ErrOutcomeUnknown, "put %q: read-back found a later write", key)
}

// envelope is the stored form of a value.
type envelope struct {
	Token string          `json:"w"`
	Base  Revision        `json:"b"`
	Value json.RawMessage `json:"v"`
}

// seal puts a value into its envelope. The envelope is assembled by hand because package json would reformat the value, which may
// be addressed by its digest.
func seal(token string, base Revision, value []byte) ([]byte, error) {
	if !json.Valid(value) || len(bytes.TrimSpace(value)) != len(value) {
		return nil, eris.Wrap(ErrInvalidValue, "not JSON without surrounding space")
	}
	quoted, err := json.Marshal(token)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalidValue, "token %q", token)
	}
	var b bytes.Buffer
	b.WriteString(`{"w":`)
	b.Write(quoted)
	b.WriteString(`,"b":`)
	b.WriteString(strconv.FormatInt(int64(base), 10))
	b.WriteString(`,"v":`)
	b.Write(value)
	b.WriteByte('}')
	if b.Len() > MaxValueBytes {
		return nil, eris.Wrapf(ErrValueTooLarge, "%d bytes with the envelope", b.Len())
	}
	return b.Bytes(), nil
}

// Open takes a value that Writer stored out of its envelope, or returns ErrInvalidValue.
func Open(kv KeyValue) (Stored, error) {
	var e envelope
	if err := json.Unmarshal(kv.Value, &e); err != nil {
		return Stored{}, eris.Wrapf(ErrInvalidValue, "key %q: %v", kv.Key, err)
	}
	if e.Token == "" || e.Value == nil {
		return Stored{}, eris.Wrapf(ErrInvalidValue, "key %q: no envelope", kv.Key)
	}
	kv.Value = e.Value
	return Stored{KeyValue: kv, Token: e.Token, Base: e.Base}, nil
}
