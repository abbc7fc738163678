package store

import (
	"context"
	"encoding/json"
	"net/http"

	"eelgrassproxy.example/api/platform"
)

// wakeWatches lets every watch look for new changes; h.mu is held.
func (h *handler) wakeWatches() {
	close(h.wake)
	h.wake = make(chan struct{})
}

// cutWatches ends every open watch.
func (h *handler) cutWatches() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.cut)
	h.cut = make(chan struct{})
}

// Watch implements the watch operation: a stream of JSON objects until the client leaves or the watch is cut. A cut closes the
// connection without the end of the chunked body, as a broken connection does.
func (h *handler) Watch(ctx context.Context, req *platform.WatchRequest, w http.ResponseWriter) error {
	create := req.CreateRequest
	next, refusal := parseNumber(create.StartRevision)
	if refusal != nil {
		http.Error(w, refusal.Response.Message.Value, refusal.StatusCode)
		return nil
	}
	h.mu.Lock()
	revision, cut := h.state.revision, h.cut
	h.mu.Unlock()
	if h.faults.isDown() {
		panic(http.ErrAbortHandler) // Down may have cut the watches just before this one was known
	}
	if next == 0 {
		next = revision + 1
	}
	w.Header().Set("Content-Type", "application/json")
	if !send(w, platform.WatchResponse{Header: header(revision), Created: platform.NewOptBool(true)}) {
		return nil
	}
	for {
		batch, wake := h.nextBatch(&next, create)
		if batch.Canceled.Or(false) {
			send(w, batch)
			return nil
		}
		if len(batch.Events) > 0 && !send(w, batch) {
			return nil
		}
		select {
		case <-wake:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			return nil
		}
	}
}

// nextBatch collects the changes from next on, moves next behind them, and returns the channel that announces later ones.
func (h *handler) nextBatch(next *int64, create platform.WatchCreateRequest) (platform.WatchResponse, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	batch := platform.WatchResponse{Header: header(h.state.revision)}
	if *next < h.state.compacted {
		batch.Canceled = platform.NewOptBool(true)
		batch.CompactRevision = number(h.state.compacted)
		batch.CancelReason = platform.NewOptString(messageCompacted)
		return batch, h.wake
	}
	for _, c := range h.state.changesFrom(*next, create.Key, create.RangeEnd) {
		batch.Events = append(batch.Events, c.wire())
	}
	*next = max(*next, h.state.revision+1)
	return batch, h.wake
}

func (c change) wire() platform.Event {
	event := platform.Event{Kv: platform.NewOptKeyValue(c.record.wire(false))}
	if c.deleted {
		event.Type = platform.NewOptEventType(platform.EventTypeDELETE)
	}
	return event
}

// send writes one object of the stream and tells whether the client still reads.
func send(w http.ResponseWriter, response platform.WatchResponse) bool {
	envelope := platform.WatchEnvelope{Result: platform.NewOptWatchResponse(response)}
	line, err := json.Marshal(&envelope)
	if err != nil {
		return false
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
