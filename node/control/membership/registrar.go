package membership

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
)

// TTL of the membership record, and intervals and timeouts of the Registrar.
const (
	// RecordTTL is the TTL of the lease under which the record is stored.
	RecordTTL = 15 * time.Second
	// RegisterInterval is the interval at which the worker pool should run the Registrar. Two renewals may fail before the lease expires.
	RegisterInterval = RecordTTL / 3

	storeTimeout      = 2 * time.Second
	firstBackoff      = time.Second
	defaultMaxBackoff = 30 * time.Second
)

// Errors of the Registrar, in addition to those of the store.
var (
	// ErrSuperseded is returned if the store has a record of a later incarnation of this instance.
	ErrSuperseded = eris.New("a later incarnation of this instance is registered")
	// ErrRecordContended is returned if the record changed before both attempts to write it.
	ErrRecordContended = eris.New("membership record is being written by another process")
)

// RecordSource supplies the member that a Registrar registers.
type RecordSource interface {
	// Self returns the member of this process.
	Self() fleet.Member
}

// RecordLoader is a RecordSource to which the Registrar passes the records of all members. A source that reads the records itself does not
// implement it.
type RecordLoader interface {
	// Loaded receives the records of all members. They are read with the first attempt to register that succeeds after a start or after a
	// failed attempt, whatever it failed for.
	Loaded(members []fleet.Member)
}

// Registrar keeps this instance's membership record in the store under a lease. A store error does not change the local states of the
// members. It is not safe for concurrent use.
type Registrar struct {
	source RecordSource
	store  kv.Store
	// MaxBackoff is the maximum backoff, before jitter, after failed attempts. It may be set before the first Reconcile; the default is
	// 30 s.
	MaxBackoff time.Duration
	lease      kv.LeaseID
	written    []byte      // value that the store holds under the lease; nil if unknown
	revision   kv.Revision // mod revision of the key when it was last read or written; 0 if it did not exist
	backoff    time.Duration
	retryAt    time.Time
	loaded     bool // the records of all members were read since the start or the last failed attempt
}

// NewRegistrar returns a Registrar for the member that source returns.
func NewRegistrar(source RecordSource, store kv.Store) *Registrar {
	return &Registrar{source: source, store: store, MaxBackoff: defaultMaxBackoff}
}

// Name implements workers.Controller.
func (r *Registrar) Name() string { return "membership-registrar" }

// Reconcile implements workers.Controller.
func (r *Registrar) Reconcile(ctx context.Context) error {
	if time.Now().Before(r.retryAt) {
		return nil
	}
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, "membership"), storeTimeout)
	defer cancel()
	err := r.register(ctx)
	if loader, ok := r.source.(RecordLoader); ok && err == nil && !r.loaded {
		err = r.load(ctx, loader)
	}
	if err != nil {
		r.scheduleRetry()
		return err
	}
	r.backoff = 0
	return nil
}

// scheduleRetry schedules the next attempt after a backoff with jitter, so that not all instances call a recovered store at the same time.
func (r *Registrar) scheduleRetry() {
	r.loaded = false
	r.backoff = min(max(2*r.backoff, min(firstBackoff, r.MaxBackoff)), r.MaxBackoff)
	r.retryAt = time.Now().Add(r.backoff/2 + rand.N(r.backoff))
}

// register renews the lease or requests a new one, and writes the record if it differs from the one last written.
func (r *Registrar) register(ctx context.Context) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	if r.lease == 0 {
		lease, err := r.store.Grant(ctx, RecordTTL)
		if err != nil {
			return eris.Wrap(err, "grant the lease of the membership record")
		}
		r.lease = lease
	}
	value, err := EncodeRecord(r.source.Self())
	if err != nil {
		return err
	}
	if bytes.Equal(value, r.written) {
		return nil
	}
	return r.write(ctx, value)
}

func (r *Registrar) renew(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	_, err := r.store.KeepAlive(ctx, r.lease)
	if errors.Is(err, kv.ErrLeaseGone) {
		klog.InfoS("Lease of the membership record is gone; creating the record again")
		r.lease, r.written, r.revision = 0, nil, 0
		return nil
	}
	return eris.Wrap(err, "renew the lease of the membership record")
}

// write stores the record, provided that the key has not changed since this process last read it. This keeps a process that was paused
// while its successor started from replacing the successor's record. A second attempt is made with the revision that the first one
// returned.
func (r *Registrar) write(ctx context.Context, value []byte) error {
	key := r.key()
	for range 2 {
		result, err := r.store.Txn(ctx, kv.Txn{
			Compares: []kv.Compare{{Key: key, Target: kv.CompareModRevision, Revision: r.revision}},
			Then:     []kv.Op{{Kind: kv.OpPut, Key: key, Value: value, Lease: r.lease}},
			Else:     []kv.Op{{Kind: kv.OpGet, Key: key}},
		})
		if err != nil {
			r.written = nil
			return eris.Wrap(err, "write the membership record")
		}
		if result.Succeeded {
			r.written, r.revision = value, result.Revision
			return nil
		}
		if err := r.checkExisting(result); err != nil {
			return err
		}
	}
	return eris.Wrap(ErrRecordContended, "write the membership record")
}

// checkExisting reads the existing record from a failed write: it sets the revision for the next attempt, or returns ErrSuperseded.
func (r *Registrar) checkExisting(result kv.TxnResult) error {
	if len(result.Gets) == 0 {
		return eris.Wrap(ErrBadRecord, "the store returned no key")
	}
	found := result.Gets[0]
	r.revision = found.ModRevision
	if found.CreateRevision == 0 {
		return nil
	}
	if m, err := DecodeRecord(found.Value); err == nil && m.Incarnation > r.source.Self().Incarnation {
		return eris.Wrapf(ErrSuperseded, "incarnation %d", m.Incarnation)
	}
	return nil
}

// load reads the records of all members and passes them to loader. It skips malformed records.
func (r *Registrar) load(ctx context.Context, loader RecordLoader) error {
	listing, err := r.store.List(ctx, MembersPrefix)
	if err != nil {
		return eris.Wrap(err, "list the membership records")
	}
	var members []fleet.Member
	for _, item := range listing.Items {
		m, err := DecodeRecordOf(item.Key, item.Value)
		if err != nil {
			klog.ErrorS(err, "Membership record skipped", "key", item.Key)
			continue
		}
		members = append(members, m)
	}
	loader.Loaded(members)
	r.loaded = true
	return nil
}

// Close removes the record by revoking its lease. It must be called after the last Reconcile. If it fails, the record expires within
// RecordTTL.
func (r *Registrar) Close(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(kv.WithPurpose(ctx, "membership"), storeTimeout)
	defer cancel()
	lease := r.lease
	r.lease, r.written = 0, nil
	return eris.Wrap(r.store.Revoke(ctx, lease), "revoke the lease of the membership record")
}

func (r *Registrar) key() string { return MembersPrefix + string(r.source.Self().ID) }
