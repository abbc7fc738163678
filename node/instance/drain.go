package instance

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

const (
	// drainAcceptFraction is the fraction of the grace period in which requests are accepted however long they may take. Most callers hold the address
	// of the instance for so long.
	drainAcceptFraction = 0.25
	// drainCloseFraction is the fraction of the grace period after which no new connections are accepted. The entrypoint addresses that
	// callers hold have expired by then.
	drainCloseFraction = 0.75
	// drainEndFraction is the fraction of the grace period after which the instance stops even if requests are still running.
	drainEndFraction = 0.96
	// drainEndMargin is the time that a request may take beyond its deadline, until its response is written.
	drainEndMargin = 100 * time.Millisecond
)

// drainSchedule holds the times of a drain.
type drainSchedule struct {
	acceptUntil, closeAt, end time.Time
}

func newDrainSchedule(started time.Time, grace time.Duration) *drainSchedule {
	after := func(fraction float64) time.Time { return started.Add(time.Duration(fraction * float64(grace))) }
	return &drainSchedule{acceptUntil: after(drainAcceptFraction), closeAt: after(drainCloseFraction), end: after(drainEndFraction)}
}

// accepts reports whether a request that arrived at now and may take until its deadline is accepted.
func (d *drainSchedule) accepts(deadline, now time.Time) bool {
	return now.Before(d.acceptUntil) || !deadline.Add(drainEndMargin).After(d.end)
}

// Draining reports whether the instance has begun to drain.
func (i *Instance) Draining() bool { return i.drained.Load() != nil }

// Accepts reports whether the instance accepts a request that has just arrived and may take until its deadline. While it drains, it accepts late ones only if
// they certainly end before the instance does: any other one is better off at another instance than cut.
func (i *Instance) Accepts(deadline time.Time) bool {
	schedule := i.drained.Load()
	return schedule == nil || schedule.accepts(deadline, time.Now())
}

// drain hands over the jobs at once, serves callers until the addresses that they hold have expired, and then waits for the running
// requests, at most until drainEndFraction of the grace period has passed.
func (i *Instance) drain(callers *http.Server) {
	grace := i.config.Grace()
	schedule := newDrainSchedule(time.Now(), grace)
	klog.InfoS("Instance drains", "instance", i.config.Self.ID, "grace_ms", grace.Milliseconds())
	i.drained.Store(schedule)
	ctx, cancel := context.WithDeadline(context.Background(), schedule.end)
	defer cancel()
	i.peers.Drain()
	i.jobs.Drain(ctx)
	time.Sleep(time.Until(schedule.closeAt))
	err := callers.Shutdown(ctx)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		klog.InfoS("Requests were still running at the end of the grace period", "instance", i.config.Self.ID)
	case err != nil:
		klog.ErrorS(err, "Callers' listener was not closed")
	}
}
