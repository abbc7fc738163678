package claims

import (
	"context"
	"errors"
	"slices"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/claims"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// maxRecordWrites bounds the compare-and-swap writes of one call of record. A write fails its comparison only if another
// writer changed the claim, and a claim has few writers.
const maxRecordWrites = 4

// pendingList holds the outcomes that the store has not confirmed. Claimer.enter bounds it: a request is claimed only if
// there is room for its outcome, so no outcome is ever dropped.
type pendingList struct {
	byKey map[string][]*outcome
	count int
}

func (p *pendingList) add(o *outcome) {
	p.byKey[o.key] = append(p.byKey[o.key], o)
	p.count++
}

func (p *pendingList) remove(o *outcome) {
	left := slices.DeleteFunc(p.byKey[o.key], func(other *outcome) bool { return other == o })
	p.byKey[o.key] = left
	if len(left) == 0 {
		delete(p.byKey, o.key)
	}
	p.count--
}

func (p *pendingList) all() []*outcome {
	var all []*outcome
	for _, outcomes := range p.byKey {
		all = append(all, outcomes...)
	}
	return all
}

// result returns the result for a request with the key if an outcome other than a release is pending, and else nil.
func (p *pendingList) result(key, digest string) *Result {
	for _, o := range p.byKey[key] {
		if o.kind == released {
			continue
		}
		if o.record.RequestDigest != digest {
			return &Result{Kind: Mismatch}
		}
		known := o.result()
		return &known
	}
	return nil
}

// hasRelease reports whether a release of the claim with the token is pending.
func (p *pendingList) hasRelease(key, token string) bool {
	return slices.ContainsFunc(p.byKey[key], func(o *outcome) bool {
		return o.kind == released && o.record.Token == token
	})
}

func (c *Claimer) addPending(o *outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending.add(o)
}

// Pending returns the number of outcomes that the store has not confirmed.
func (c *Claimer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending.count
}

// record writes the outcome by compare-and-swap. It returns nil if the outcome is recorded, or if the store shows that it
// can never be recorded, because another attempt holds the claim or the record already has another outcome.
func (c *Claimer) record(ctx context.Context, o *outcome) error {
	present := storedClaim{record: &o.record, revision: o.baseRevision}
	for range maxRecordWrites {
		next, needed, err := o.nextRecord(present)
		if err != nil || !needed {
			return c.ignoreFinal(o, err)
		}
		present, err = c.compareAndSwap(ctx, o.key, present.revision, next)
		if err != nil {
			return c.ignoreFinal(o, err)
		}
		if present.record != nil && present.record.Token == o.record.Token && present.record.State == next.State {
			return nil
		}
	}
	return eris.Wrapf(kv.ErrUnavailable, "claim changed %d times while its outcome was recorded", maxRecordWrites)
}

// nextRecord returns the record that replaces the present one. needed is false if the present record already has the
// outcome. The outcome is also written if the key does not exist or still has the revision that an unconfirmed claim
// write expects: this makes that write fail if it is still to reach the store.
func (o *outcome) nextRecord(present storedClaim) (next claims.Record, needed bool, err error) {
	from := o.record
	notYetClaimed := present.record == nil || present.revision == o.baseRevision
	if !notYetClaimed {
		from = *present.record
	}
	next, err = o.apply(from)
	if err != nil {
		return from, false, err
	}
	return next, notYetClaimed || next.State != from.State, nil
}

// ignoreFinal returns nil for an error that means that the outcome can never be recorded, so that it is not retried. Such
// an error is normal for the release of an unconfirmed claim write and for a claim that a peer has marked unknown. If a
// response is lost this way, ignoreFinal logs it.
func (c *Claimer) ignoreFinal(o *outcome, err error) error {
	final := errors.Is(err, claims.ErrNotOwner) ||
		errors.Is(err, claims.ErrTransition) ||
		errors.Is(err, claims.ErrInvalidRecord)
	if !final {
		return err
	}
	if o.kind == completed {
		klog.ErrorS(err, "Response of a claimed request was not recorded", "claim", o.key, "instance", c.config.Self.Instance)
	}
	return nil
}
