package claims

import (
	"context"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"github.com/rotisserie/eris"
)

// ReconcileEvery is the interval at which the Controller should run. Recording of unrecorded outcomes is retried at this
// interval.
const ReconcileEvery = time.Second

// backgroundTimeout bounds the time to record one outcome.
const backgroundTimeout = 5 * time.Second

// Controller replaces the shared lease in time and records the outcomes that the store has not confirmed. It implements
// workers.Controller.
type Controller struct {
	claimer *Claimer
}

// Controller returns the claimer's controller.
func (c *Claimer) Controller() *Controller {
	return &Controller{claimer: c}
}

// Name identifies the controller in logs and metrics.
func (*Controller) Name() string { return "claims" }

// Reconcile makes one pass. It stops at the first error: the store is then probably unavailable, and calls for the other
// outcomes would only delay its recovery.
func (r *Controller) Reconcile(ctx context.Context) error {
	ctx = kv.WithPurpose(ctx, storePurpose)
	c := r.claimer
	if err := c.lease.refresh(ctx); err != nil {
		return eris.Wrap(err, "grant the claims' lease")
	}
	c.mu.Lock()
	outcomes := c.pending.all()
	c.mu.Unlock()
	for _, o := range outcomes {
		if err := r.recordOne(ctx, o); err != nil {
			return eris.Wrapf(err, "record the outcome of claim %s", o.key)
		}
	}
	return nil
}

func (r *Controller) recordOne(ctx context.Context, o *outcome) error {
	ctx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	if err := r.claimer.record(ctx, o); err != nil {
		return err
	}
	r.claimer.mu.Lock()
	defer r.claimer.mu.Unlock()
	r.claimer.pending.remove(o)
	return nil
}
