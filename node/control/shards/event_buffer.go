package shards

import (
	"sync"

	"eelgrassproxy.example/adapters/kv"
)

// maxBufferedEvents is the maximum number of events buffered between two passes. The loss of one instance of a small fleet deletes up to 256 owner
// records at once.
const maxBufferedEvents = 4096

// eventBuffer buffers the events of a watch between passes. The store's client delivers one event at a time to a waiting receiver. A pass that
// polled the channel without blocking would get about one event, and changes of owners would be seen minutes late.
type eventBuffer struct {
	mu     sync.Mutex // guards the fields below
	events []kv.WatchEvent
	ended  bool
}

// newEventBuffer starts a goroutine that receives the events until the channel is closed, and returns the buffer that they are added to.
func newEventBuffer(events <-chan kv.WatchEvent) *eventBuffer {
	f := &eventBuffer{}
	go func() {
		for event := range events {
			f.add(event)
		}
		f.end()
	}()
	return f
}

// add buffers an event. An event with an error ends the buffer, and so does an event that arrives when maxBufferedEvents events are buffered; the next
// pass then schedules a new listing and a new watch.
func (f *eventBuffer) add(event kv.WatchEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if event.Err != nil || len(f.events) == maxBufferedEvents {
		f.ended = true
	}
	if !f.ended {
		f.events = append(f.events, event)
	}
}

func (f *eventBuffer) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
}

// drain returns the events buffered since the last call, and false if the watch has ended.
func (f *eventBuffer) drain() ([]kv.WatchEvent, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	events := f.events
	f.events = nil
	return events, !f.ended
}
