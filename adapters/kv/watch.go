package kv

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/platform"
)

// ErrWatchIdle ends a watch that received nothing within the idle time. Watch again from the last revision seen.
var ErrWatchIdle = eris.New("store watch received nothing within its idle time")

// Watch implements Store. It returns once the store has confirmed the watch, or ErrUnavailable. The last event carries
// ErrCompacted, ErrWatchIdle or, if the watch was cut, ErrUnavailable.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision) (<-chan WatchEvent, error) {
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "watch not sent: %v", err)
	}
	scope := c.metrics.started("watch", Purpose(ctx))
	w, err := c.openWatch(ctx, prefix, after)
	failed(scope, err)
	if err != nil {
		return nil, err
	}
	go w.run()
	return w.events, nil
}

// watch is one open watch.
type watch struct {
	caller  context.Context // of the caller; its end closes events without a last event
	cancel  context.CancelFunc
	body    io.ReadCloser
	decoder *json.Decoder
	first   platform.WatchResponse // the store's confirmation, or its refusal of the revision
	idle    time.Duration
	events  chan WatchEvent
}

func (c *Client) openWatch(ctx context.Context, prefix string, after Revision) (*watch, error) {
	from, end := prefixRange(prefix)
	req := &platform.WatchRequest{CreateRequest: platform.WatchCreateRequest{
		Key: from, RangeEnd: end, StartRevision: formatNumber(int64(after) + 1),
	}}
	w := &watch{caller: ctx, idle: c.opts.WatchIdleTimeout, events: make(chan WatchEvent)}
	ctx, w.cancel = context.WithCancel(ctx)
	timer := time.AfterFunc(c.opts.CallTimeout, w.cancel)
	err := w.confirm(ctx, c.api, req)
	if err == nil && !timer.Stop() {
		err = eris.New("not confirmed in time")
	}
	if err != nil {
		timer.Stop()
		w.close()
		return nil, eris.Wrapf(ErrUnavailable, "watch: %v", err)
	}
	return w, nil
}

// confirm sends the request and reads the first answer.
func (w *watch) confirm(ctx context.Context, api *platform.Client, req *platform.WatchRequest) error {
	res, err := api.Watch(ctx, req)
	if err != nil {
		return err
	}
	raw, ok := res.(*platform.WatchOKRawApplicationJSON)
	if !ok {
		return eris.Errorf("unexpected answer %T", res)
	}
	w.body = raw.Response.Body
	w.decoder = json.NewDecoder(w.body)
	w.first, err = w.read()
	return err
}

func (w *watch) close() {
	w.cancel()
	if w.body != nil {
		_ = w.body.Close() // the stream is given up; its error changes nothing
	}
}

// run delivers events until the watch ends.
func (w *watch) run() {
	defer close(w.events)
	defer w.close()
	response := w.first
	for {
		if err := w.deliver(response); err != nil {
			w.send(WatchEvent{Err: err})
			return
		}
		var err error
		response, err = w.readWithin(w.idle)
		if err != nil {
			w.send(WatchEvent{Err: err})
			return
		}
	}
}

// deliver sends the events of one answer; an error ends the watch.
func (w *watch) deliver(response platform.WatchResponse) error {
	if response.CompactRevision.Set && response.CompactRevision.Value != "0" {
		return eris.Wrapf(ErrCompacted, "watch: history starts at revision %s", response.CompactRevision.Value)
	}
	if response.Canceled.Or(false) {
		return eris.Wrapf(ErrUnavailable, "watch canceled by the store: %s", response.CancelReason.Value)
	}
	for _, event := range response.Events {
		item, err := keyValue(event.Kv.Value)
		if err != nil {
			return eris.Wrapf(ErrUnavailable, "watch: invalid event: %v", err)
		}
		deleted := event.Type.Or(platform.EventTypePUT) == platform.EventTypeDELETE
		if !w.send(WatchEvent{KeyValue: item, Deleted: deleted}) {
			return w.caller.Err()
		}
	}
	return nil
}

// send hands one event to the caller and tells whether the caller still listens.
func (w *watch) send(event WatchEvent) bool {
	select {
	case <-w.caller.Done():
		return false
	default:
	}
	select {
	case w.events <- event:
		return true
	case <-w.caller.Done():
		return false
	}
}

// readWithin reads the next answer and gives up after the idle time.
func (w *watch) readWithin(idle time.Duration) (platform.WatchResponse, error) {
	timer := time.AfterFunc(idle, w.cancel)
	response, err := w.read()
	if !timer.Stop() {
		return response, eris.Wrapf(ErrWatchIdle, "watch: idle for %v", idle)
	}
	if err != nil {
		return response, eris.Wrapf(ErrUnavailable, "watch was cut: %v", err)
	}
	return response, nil
}

func (w *watch) read() (platform.WatchResponse, error) {
	var envelope platform.WatchEnvelope
	if err := w.decoder.Decode(&envelope); err != nil {
		return platform.WatchResponse{}, err
	}
	if !envelope.Result.Set {
		return platform.WatchResponse{}, eris.New("answer without a result")
	}
	return envelope.Result.Value, nil
}
