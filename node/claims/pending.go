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

// recordRounds bounds the swaps of one attempt to record an outcome; each failed swap means that another writer was
// faster, and a claim has few writers.
const recordRounds = 4

// pendingList holds outcomes that the store has not confirmed. Its bound is that of Claimer.enter: no request is
// claimed unless there is room for its outcome, so that no outcome is ever dropped.
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

// result returns what is known of a key whose request has run here; nil if it has not.
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

// releases tells whether the claim with the token is to be released.
func (p *pendingList) releases(key, token string) bool {
	return slices.ContainsFunc(p.byKey[key], func(o *outcome) bool {
		return o.kind == released && o.record.Token == token
	})
}

func (c *Claimer) keep(o *outcome) {
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

// record writes the outcome by compare-and-swap. nil means that the outcome is recorded, or that the store shows that
// it never can be: the claim passed to another attempt.
func (c *Claimer) record(ctx context.Context, o *outcome) error {
	present := stored{record: &o.record, revision: o.base}
	for range recordRounds {
		next, needed, err := o.next(present)
		if err != nil || !needed {
			return c.settled(o, err)
		}
		present, err = c.swap(ctx, o.key, present.revision, next)
		if err != nil {
			return c.settled(o, err)
		}
		if present.record != nil && present.record.Token == o.record.Token && present.record.State == next.State {
			return nil
		}
	}
	return eris.Wrapf(kv.ErrUnavailable, "claim changed %d times while its outcome was recorded", recordRounds)
}

// next returns the record to write over the present one; needed is false if nothing is left to do. A key that does not
// exist, or that still has the revision that an unconfirmed claim write compared, gets the outcome as well: this makes
// a claim write that is still on its way fail.
func (o *outcome) next(present stored) (next claims.Record, needed bool, err error) {
	from := o.record
	notYetClaimed := present.record == nil || present.revision == o.base
	if !notYetClaimed {
		from = *present.record
	}
	next, err = o.apply(from)
	if err != nil {
		return from, false, err
	}
	return next, notYetClaimed || next.State != from.State, nil
}

// settled returns nil for an error by which the store's record rules the outcome out for good, so that it is not tried
// again. That is normal for the release of an unconfirmed claim write and for a claim that a peer marked unknown; the
// loss of an answer is logged.
func (c *Claimer) settled(o *outcome, err error) error {
	final := errors.Is(err, claims.ErrNotOwner) ||
		errors.Is(err, claims.ErrTransition) ||
		errors.Is(err, claims.ErrInvalidRecord)
	if !final {
		return err
	}
	if o.kind == completed {
		klog.ErrorS(err, "Answer of a claim was not recorded", "claim", o.key, "instance", c.config.Self.Instance)
	}
	return nil
}
