package shards

import (
	"sync"

	"eelgrassproxy.example/adapters/kv"
)

// maxBufferedEvents is the maximum number of events buffered between two passes. The loss of one instance of a small fleet
// deletes up to 256 owner records at once.
const maxBufferedEvents = 4096

// eventBuffer buffers the events of a watch between passes. The store's client delivers one event at a time to a waiting receiver. A pass
// that polled the channel without blocking would get about one event, and changes of owners would be seen minutes late.
type eventBuffer struct {
	mu     sync.Mutex // guards the fields below
	events []kv.WatchEvent
	ended  bool
}

// newEventBuffer starts a goroutine that receives the events until the channel is closed, and returns the buffer that they are added to.
func newEventBuffer(events <-chan kv.WatchEvent) *eventBuffer {
	b := &eventBuffer{}
	go func() {
		for event := range events {
			b.add(event)
		}
		b.end()
	}()
	return b
}

// add buffers an event. An event with an error ends the buffer, and so does an event that arrives when maxBufferedEvents events are
// buffered, which bounds the memory if no pass drains the buffer. The next pass then schedules a new listing and a new watch.
func (b *eventBuffer) add(event kv.WatchEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if event.Err != nil || len(b.events) == maxBufferedEvents {
		b.ended = true
	}
	if !b.ended {
		b.events = append(b.events, event)
	}
}

func (b *eventBuffer) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

// drain returns the events buffered since the last call, and false if the watch has ended.
func (b *eventBuffer) drain() ([]kv.WatchEvent, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = nil
	return events, !b.ended
}
