// Package kv is the boundary to the platform's key-value service: a small interface, its errors, and an HTTP client that speaks
// the JSON mapping of the etcd v3 API.
package kv

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of this layer. Callers compare with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = eris.New("key does not exist in the store")
	// ErrUnavailable means that the call certainly had no effect: it did not reach the store, or the store refused it.
	ErrUnavailable = eris.New("store is unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = eris.New("outcome of the store write is unknown")
	// ErrCompacted means that the revision asked for is no longer kept; list again.
	ErrCompacted = eris.New("store revision is compacted")
	// ErrLeaseGone means that the lease has expired or was revoked.
	ErrLeaseGone = eris.New("lease does not exist in the store")
	// ErrValueTooLarge means that a value exceeds MaxValueBytes.
	ErrValueTooLarge = eris.New("value exceeds the store's limit")
)

// MaxValueBytes is the largest value that the store takes.
const MaxValueBytes = 1 << 20

// Revision is the store's logical clock; it rises with every write.
type Revision int64

// LeaseID names a lease; zero means none.
type LeaseID int64

// KeyValue is one key with its value.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
}

// Listing is all keys under a prefix as of one revision.
type Listing struct {
	Revision Revision
	Items    []KeyValue
	More     bool // there are further keys; only with OnePage
}

// CompareTarget says what a comparison looks at.
type CompareTarget int

// Targets of a comparison.
const (
	CompareCreateRevision CompareTarget = iota // 0 means that the key does not exist
	CompareModRevision
	CompareValue
)

// Compare holds when the key's property equals the given one.
type Compare struct {
	Key      string
	Target   CompareTarget
	Revision Revision // for the revision targets
	Value    []byte   // for CompareValue
}

// OpKind says what an operation of a transaction does.
type OpKind int

// Kinds of operations.
const (
	OpGet OpKind = iota
	OpPut
	OpDelete
)

// Op is one operation of a transaction.
type Op struct {
	Kind  OpKind
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn runs Then if all comparisons hold, otherwise Else, atomically. At most 128 operations.
type Txn struct {
	Compares []Compare
	Then     []Op
	Else     []Op
}

// TxnResult tells which branch ran and what its OpGet operations read, in order. A missing key gives a KeyValue with
// CreateRevision 0.
type TxnResult struct {
	Succeeded bool
	Revision  Revision
	Gets      []KeyValue
}

// Horizon says how far changes of the store are known: every change that the store made before At has a revision of at most Revision. The zero
// value says nothing.
type Horizon struct {
	At       time.Time
	Revision Revision
}

// WatchEvent is one change under a watched prefix, or the end of the watch.
type WatchEvent struct {
	KeyValue KeyValue
	Deleted  bool
	Horizon  Horizon // of the call that returned the event; zero if it is unknown
	Err      error   // last event of a watch that ended, except for DoubtedWatchError; that one and ErrCompacted ask for a new listing
}

// Store is the platform's key-value service. All methods are safe for concurrent use.
type Store interface {
	// Get returns one key or ErrNotFound.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns all keys with the prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// ListAfter returns the keys with the prefix that sort after a key, which need not exist. The values of the others are not transferred.
	ListAfter(ctx context.Context, prefix, after string) (Listing, error)
	// Txn runs a transaction. ErrUnavailable means no effect, ErrOutcomeUnknown a possible effect.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its time to live, or ErrLeaseGone.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch streams changes under the prefix after the revision. The channel closes after an event with Err or when ctx ends.
	Watch(ctx context.Context, prefix string, after Revision) (<-chan WatchEvent, error)
}

type purposeKey struct{}

// WithPurpose labels the store calls made under ctx, so that they are counted by purpose.
func WithPurpose(ctx context.Context, purpose string) context.Context {
	return context.WithValue(ctx, purposeKey{}, purpose)
}

// Purpose returns the label set by WithPurpose, or "other".
func Purpose(ctx context.Context) string {
	if p, ok := ctx.Value(purposeKey{}).(string); ok {
		return p
	}
	return "other"
}
