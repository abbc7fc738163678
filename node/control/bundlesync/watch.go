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

// watchCheck is how often an instance looks whether it was chosen as a watcher or no longer is.
const watchCheck = 5 * time.Second

// watchPurpose labels the watch, so that the store calls of watchers are counted by themselves.
const watchPurpose = "bundle-watch"

// Run reacts to hints at once and watches the head while this instance is a watcher. It returns when ctx ends.
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
		if !wait.For(ctx, c.spread()) {
			return
		}
		c.pass(ctx)
	}
}

// spread returns the delay before a hint is followed.
func (c *Controller) spread() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.Random.Int64N(int64(hintSpread)))
}

func (c *Controller) pass(ctx context.Context) {
	if err := c.Reconcile(ctx); err != nil && ctx.Err() == nil {
		klog.ErrorS(err, "Bundle pass failed")
	}
}

// followHead keeps a watch while this instance is a watcher. A watch that ends is renewed after a growing, jittered wait.
func (c *Controller) followHead(ctx context.Context) {
	delay := firstBackoff
	for ctx.Err() == nil {
		if !c.Watcher() {
			delay = firstBackoff
			wait.For(ctx, watchCheck)
			continue
		}
		started := time.Now()
		if err := c.watchHead(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("Bundle watch ended", "reason", err.Error())
		}
		if time.Since(started) > maxBackoff {
			delay = firstBackoff
		}
		wait.For(ctx, c.jittered(delay))
		delay = min(2*delay, maxBackoff)
	}
}

func (c *Controller) jittered(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jitter(d)
}

// watchHead follows the head until the watch ends or this instance is no longer a watcher.
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
	check := time.NewTicker(watchCheck)
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
			if !c.Watcher() {
				return nil
			}
		}
	}
}

// watchBuffer is the number of changes gathered while a pass runs; a change has a few hundred bytes.
const watchBuffer = 256

// buffered passes the events on through a buffer: a watch hands them over one at a time, so that newest would see only one of them.
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

// newest returns the last change that was delivered already, so that a watcher that was paused does not go through all of them. An
// error is that of a watch that ended.
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

// readHead takes note of the head and returns the revision to watch from.
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

func (c *Controller) headChanged(ctx context.Context, item kv.KeyValue) {
	head, err := store.DecodeHead(item.Value)
	if err != nil {
		klog.ErrorS(err, "Bundle head is malformed", "revision", item.ModRevision)
		return
	}
	if c.note(hint{generation: head.Generation}) {
		c.pass(ctx)
	}
}
