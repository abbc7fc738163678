package engine

import (
	"container/list"
	"time"

	api "eelgrassproxy.example/api/engine"
)

// keptCacheEvents bounds the cache events that a reader can ask for.
const keptCacheEvents = 4096

// cache is a prefix cache of blocks with least-recently-used eviction. The Engine's lock guards it.
type cache struct {
	capacity int
	blocks   map[string]*list.Element
	order    *list.List // most recently used first; values are hashes

	gapEvery int
	sequence int64
	events   []cacheEvent
}

type cacheEvent struct {
	event api.CacheEvent
	at    time.Time
}

func newCache(capacity, gapEvery int) *cache {
	return &cache{capacity: capacity, gapEvery: gapEvery, blocks: map[string]*list.Element{}, order: list.New()}
}

// prefix returns how many of the hashes are cached from the start without a hole.
func (c *cache) prefix(hashes []string) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// store adds the blocks or marks them as used, and evicts the least recently used ones beyond the capacity. Later blocks of a
// prompt are touched first, so that a prefix is evicted from its end.
func (c *cache) store(hashes []string, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(hashes[i], now)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.order.Back()
		hash := c.order.Remove(oldest).(string)
		delete(c.blocks, hash)
		c.record(api.CacheEventTypeRemoved, hash, now)
	}
}

func (c *cache) touch(hash string, now time.Time) {
	if e := c.blocks[hash]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.record(api.CacheEventTypeStored, hash, now)
}

func (c *cache) record(kind api.CacheEventType, hash string, now time.Time) {
	c.sequence++
	if c.gapEvery > 0 && c.sequence%int64(c.gapEvery) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{event: api.CacheEvent{Sequence: c.sequence, Type: kind, Block: hash}, at: now})
	if len(c.events) > keptCacheEvents {
		c.events = c.events[len(c.events)-keptCacheEvents:]
	}
}

// published returns the events after the sequence that happened at or before the time.
func (c *cache) published(since int64, until time.Time) *api.CacheEvents {
	answer := &api.CacheEvents{Next: since, Events: []api.CacheEvent{}}
	for _, e := range c.events {
		if e.event.Sequence > since && !e.at.After(until) {
			answer.Events = append(answer.Events, e.event)
			answer.Next = e.event.Sequence
		}
	}
	return answer
}
