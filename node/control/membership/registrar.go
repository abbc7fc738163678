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

// Times of the membership record.
const (
	// RecordTTL is the time to live of the lease of the record.
	RecordTTL = 15 * time.Second
	// RegisterPeriod is the period at which the pool should run the Registrar: two renewals may fail before the lease expires.
	RegisterPeriod = RecordTTL / 3

	storeTimeout = 2 * time.Second
	firstBackoff = time.Second
	lastBackoff  = 30 * time.Second
)

// Errors of the registrar beside those of the store.
var (
	// ErrSuperseded means that a later life of this instance has a record in the store.
	ErrSuperseded = eris.New("a later incarnation of this instance is registered")
	// ErrRecordContended means that the record changed again between two attempts to write it.
	ErrRecordContended = eris.New("membership record is written by another process")
)

// RecordSource is what a Registrar needs of the view of the members.
type RecordSource interface {
	// Self returns the member that this process is.
	Self() fleet.Member
}

// RecordLoader is a RecordSource that is told of the records of all members. One that reads them by itself does not implement it.
type RecordLoader interface {
	// Loaded takes the records of all members, read once after a start or an outage of the store.
	Loaded(members []fleet.Member)
}

// Registrar keeps this instance's record in the store under a lease. Store errors never change the view of the members.
type Registrar struct {
	view  RecordSource
	store kv.Store
	// LastBackoff bounds the pause after failed attempts; set it before the first Reconcile. The default is 30 s.
	LastBackoff time.Duration
	lease       kv.LeaseID
	written     []byte      // value in the store under the lease; nil if unknown
	revision    kv.Revision // modification of the key that was last seen; 0 if the key did not exist
	backoff     time.Duration
	retryAt     time.Time
	loaded      bool // the records of the others were read since the last outage
}

// NewRegistrar returns a registrar.
func NewRegistrar(view RecordSource, store kv.Store) *Registrar {
	return &Registrar{view: view, store: store, LastBackoff: lastBackoff}
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
	if loader, ok := r.view.(RecordLoader); ok && err == nil && !r.loaded {
		err = r.load(ctx, loader)
	}
	if err != nil {
		r.delay()
		return err
	}
	r.backoff = 0
	return nil
}

// delay sets the next attempt after a jittered backoff, so that a recovered store does not meet all instances at once.
func (r *Registrar) delay() {
	r.loaded = false
	r.backoff = min(max(2*r.backoff, min(firstBackoff, r.LastBackoff)), r.LastBackoff)
	r.retryAt = time.Now().Add(r.backoff/2 + rand.N(r.backoff))
}

// register renews the lease or gets one, and writes the record if it is not what the store holds.
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
	value, err := EncodeRecord(r.view.Self())
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
		klog.InfoS("Lease of the membership record is gone, creating the record again")
		r.lease, r.written, r.revision = 0, nil, 0
		return nil
	}
	return eris.Wrap(err, "renew the lease of the membership record")
}

// write puts the record unless the key changed since it was last seen. A life that was paused while the next one started must
// not replace the next one's record. The second attempt knows the revision that the first one met.
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
		if err := r.inspect(result); err != nil {
			return err
		}
	}
	return eris.Wrap(ErrRecordContended, "write the membership record")
}

func (r *Registrar) inspect(result kv.TxnResult) error {
	if len(result.Gets) == 0 {
		return eris.Wrap(ErrBadRecord, "the store returned no key")
	}
	found := result.Gets[0]
	r.revision = found.ModRevision
	if found.CreateRevision == 0 {
		return nil
	}
	if m, err := DecodeRecord(found.Value); err == nil && m.Incarnation > r.view.Self().Incarnation {
		return eris.Wrapf(ErrSuperseded, "incarnation %d", m.Incarnation)
	}
	return nil
}

// load reads the records of all members once after a start or an outage.
func (r *Registrar) load(ctx context.Context, loader RecordLoader) error {
	listing, err := r.store.List(ctx, MembersPrefix)
	if err != nil {
		return eris.Wrap(err, "list the membership records")
	}
	var members []fleet.Member
	for _, item := range listing.Items {
		m, err := DecodeRecord(item.Value)
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

// Close removes the record. Call it after the last Reconcile; without success the lease removes the record within RecordTTL.
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

func (r *Registrar) key() string { return MembersPrefix + string(r.view.Self().ID) }
