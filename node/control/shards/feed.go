package shards

import (
	"sync"

	"eelgrassproxy.example/adapters/kv"
)

// maxFeed bounds the changes that wait for the next pass; a lost instance of a small fleet deletes up to 256 owners at once.
const maxFeed = 4096

// feed gathers the changes of a watch between passes. The store's client hands over one event at a time to a receiver that waits, so that
// a pass that only looked at the channel would see about one event, and owners would be known minutes late.
type feed struct {
	mu     sync.Mutex // guards the fields below
	events []kv.WatchEvent
	ended  bool
}

// newFeed receives until the channel closes.
func newFeed(events <-chan kv.WatchEvent) *feed {
	f := &feed{}
	go func() {
		for event := range events {
			f.add(event)
		}
		f.end()
	}()
	return f
}

// add keeps an event. A feed that nobody takes from ends instead of growing; the next pass then lists all shards.
func (f *feed) add(event kv.WatchEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if event.Err != nil || len(f.events) == maxFeed {
		f.ended = true
	}
	if !f.ended {
		f.events = append(f.events, event)
	}
}

func (f *feed) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
}

// take returns the events since the last call, and false once the watch has ended.
func (f *feed) take() ([]kv.WatchEvent, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	events := f.events
	f.events = nil
	return events, !f.ended
}
