package bundlesync

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/node/internal/wait"
	"k8s.io/klog/v2"
)

// watcherCheckInterval is the interval at which an instance checks whether it is a watcher.
const watcherCheckInterval = 5 * time.Second

// watchPurpose labels the watchers' store calls, so that they are counted apart from the other calls of this package.
const watchPurpose = "bundle-watch"

// Run follows new hints after a short random delay, and watches the head while this instance is a watcher. It returns when ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.followHints(ctx) })
	group.Go(func() { c.followHead(ctx) })
	group.Wait()
}

func (c *Controller) followHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		if !wait.For(ctx, c.hintDelay()) {
			return
		}
		c.pass(ctx)
	}
}

// hintDelay returns the random delay before a hint is followed.
func (c *Controller) hintDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.Random.Int64N(int64(maxHintDelay)))
}

func (c *Controller) pass(ctx context.Context) {
	if err := c.Reconcile(ctx); err != nil && ctx.Err() == nil {
		klog.ErrorS(err, "Bundle pass failed")
	}
}

// followHead watches the head while this instance is a watcher, until ctx ends. A watch that ends is renewed with backoff and jitter.
func (c *Controller) followHead(ctx context.Context) {
	delay := firstBackoff
	for ctx.Err() == nil {
		if !c.IsWatcher() {
			delay = firstBackoff
			wait.For(ctx, watcherCheckInterval)
			continue
		}
		started := time.Now()
		if err := c.watchHead(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("Bundle watch ended", "reason", err.Error())
		}
		if time.Since(started) > maxBackoff {
			delay = firstBackoff
		}
		wait.For(ctx, c.jitter(delay))
		delay = min(2*delay, maxBackoff)
	}
}

func (c *Controller) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jitterLocked(d)
}

// watchHead reads the head and follows its changes until the watch ends or this instance is no longer a watcher. It returns nil in
// the latter case, or if the watch ended without an error.
func (c *Controller) watchHead(ctx context.Context) error {
	ctx, cancel := context.WithCancel(kv.WithPurpose(ctx, watchPurpose))
	defer cancel()
	after, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	events, err := c.Store.Watch(ctx, store.HeadKey, after)
	if err != nil {
		return err
	}
	events = buffered(ctx, events)
	check := time.NewTicker(watcherCheckInterval)
	defer check.Stop()
	for {
		select {
		case event, open := <-events:
			if !open || event.Err != nil {
				return event.Err
			}
			latest, err := newest(events, event)
			c.headChanged(ctx, latest)
			if err != nil {
				return err
			}
		case <-check.C:
			if !c.IsWatcher() {
				return nil
			}
		}
	}
}

// watchBuffer is the maximum number of changes buffered while a pass runs. A change has a few hundred bytes.
const watchBuffer = 256

// buffered returns a buffered copy of events. The channel of a watch is not buffered, so newest could only read one event from it.
func buffered(ctx context.Context, events <-chan kv.WatchEvent) <-chan kv.WatchEvent {
	out := make(chan kv.WatchEvent, watchBuffer)
	go func() {
		defer close(out)
		for event := range events {
			select {
			case out <- event:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// newest returns the last change that can be read from events without waiting, or event if there is none, so that a watcher that was
// paused does not apply each change in between. The error is set if the watch has ended; the change is valid in either case.
func newest(events <-chan kv.WatchEvent, event kv.WatchEvent) (kv.KeyValue, error) {
	latest := event.KeyValue
	for {
		select {
		case next, open := <-events:
			if !open || next.Err != nil {
				return latest, cmp.Or(next.Err, error(kv.ErrUnavailable))
			}
			latest = next.KeyValue
		default:
			return latest, nil
		}
	}
}

// readHead reads the head, acts on it as on a change, and returns the revision to watch from: 0 if the store has no head.
func (c *Controller) readHead(ctx context.Context) (kv.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := c.Store.Get(callCtx, store.HeadKey)
	if errors.Is(err, kv.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	c.headChanged(ctx, item)
	return item.ModRevision, nil
}

// headChanged records the generation that the head names as a hint of the store, and makes a pass if the hint is new.
func (c *Controller) headChanged(ctx context.Context, item kv.KeyValue) {
	head, err := store.DecodeHead(item.Value)
	if err != nil {
		klog.ErrorS(err, "Bundle head is malformed", "revision", item.ModRevision)
		return
	}
	if c.recordHint(hint{generation: head.Generation}) {
		c.pass(ctx)
	}
}
