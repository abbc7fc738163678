// Package limits protects the fleet from more work than it can finish in time. It has token buckets for callers, a
// bounded fair queue, admission by deadline, a retry budget, ejection of outlier targets, and a budget for region links.
package limits

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassproxy.example/core/fleet"
)

const (
	// DefaultSpread is the number of instances that one caller is expected to use. It equals the number of addresses
	// in an entrypoint response. An entrypoint is an instance to which a caller may send its requests. With up to this
	// many serving instances, the shares of a rate add up to exactly the caller's limit.
	DefaultSpread = 8
	// callerShards keeps lock contention low at ten cores, and the sweep of one shard under 20 µs at 44,000 callers.
	callerShards = 64
	// sweepInterval is the interval at which each shard drops the buckets that are full again.
	sweepInterval = 10 * time.Second
	// shrinkFactor is the ratio of peak to present entries at which a shard's map is rebuilt, because a Go map keeps
	// its memory after deletes.
	shrinkFactor = 4
	// minShrinkPeak is the peak entry count below which rebuilding a map would save no memory worth the effort.
	minShrinkPeak = 64
)

// CallerLimit is the fleet-wide limit of one caller.
type CallerLimit struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// TakeReason is the reason for refusing tokens.
type TakeReason string

// Reasons of a refusal.
const (
	RateExceeded TakeReason = "caller_rate_exceeded"
	CostTooHigh  TakeReason = "cost_exceeds_burst" // the cost exceeds this instance's present share of the burst, or the rate is 0 or less; waiting does not help
)

// TakeResult is the result of Take: whether the caller may proceed, and otherwise why not.
type TakeResult struct {
	Allowed    bool
	Reason     TakeReason    // set if not allowed
	RetryAfter time.Duration // delay until enough tokens are available; 0 with CostTooHigh
}

// CallerLimits holds a token bucket for each caller that was active recently. It is safe for concurrent use.
//
// Each instance grants a share of the fleet-wide rate and burst: 1/min(n, spread), where n is the number of live
// instances that serve. A caller uses only the few entrypoints that it was given, so that a share of 1/n would starve
// it in a large fleet; with the lower bound 1/spread it gets the full rate over spread instances. In return, a caller
// that deliberately uses all n instances gets up to n/spread times its rate; the fair queue still limits how much
// capacity it takes from others. The burst of a share is at least one request.
type CallerLimits struct {
	spread  int
	serving atomic.Int64
	seed    maphash.Seed
	shards  [callerShards]callerShard
}

// callerShard holds the buckets of some callers. A caller without an entry has a full bucket.
type callerShard struct {
	mu        sync.Mutex // guards all fields below
	buckets   map[fleet.CallerID]bucket
	lastSweep time.Time
	peak      int // most entries since the map was made
}

// bucket is the state of a token bucket at its last use. Its 24 bytes, with the map's overhead, take a few MB for
// 44,000 callers.
type bucket struct {
	tokens  float64
	updated int64   // Unix nanoseconds
	fillsIn float32 // seconds until the bucket is full if nothing is taken
}

// NewCallerLimits returns limits without buckets; the first request of a caller meets a full bucket. This instance counts
// as the only serving one until SetServing is called. A spread below 1 means DefaultSpread.
func NewCallerLimits(spread int) *CallerLimits {
	if spread < 1 {
		spread = DefaultSpread
	}
	c := &CallerLimits{spread: spread, seed: maphash.MakeSeed()}
	c.serving.Store(1)
	return c
}

// SetServing sets the number of live instances that serve, as the membership table has it. Values below 1 count as 1.
func (c *CallerLimits) SetServing(instances int) {
	c.serving.Store(int64(max(instances, 1)))
}

// Share returns the fraction of the fleet-wide limits that this instance grants.
func (c *CallerLimits) Share() float64 {
	return 1 / float64(min(int(c.serving.Load()), c.spread))
}

// Take takes cost tokens, in requests, from the caller's bucket. limit is the caller's fleet-wide limit; this instance
// applies its share of it. CostTooHigh holds for the present share: after SetServing with another number of instances
// the same cost may be allowed.
func (c *CallerLimits) Take(caller fleet.CallerID, limit CallerLimit, cost float64, now time.Time) TakeResult {
	share := c.Share()
	rate := limit.Rate * share
	burst := max(limit.Burst*share, 1)
	if cost > burst || rate <= 0 {
		return TakeResult{Reason: CostTooHigh}
	}
	shard := &c.shards[maphash.String(c.seed, string(caller))%callerShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.sweep(now)
	return shard.take(caller, rate, burst, cost, now)
}

// Len returns the number of buckets in memory.
func (c *CallerLimits) Len() int {
	n := 0
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		n += len(shard.buckets)
		shard.mu.Unlock()
	}
	return n
}

func (s *callerShard) take(caller fleet.CallerID, rate, burst, cost float64, now time.Time) TakeResult {
	tokens := burst
	updated := now.UnixNano()
	if b, ok := s.buckets[caller]; ok {
		elapsed := max(time.Duration(updated-b.updated), 0)
		updated = max(updated, b.updated)
		tokens = min(burst, b.tokens+elapsed.Seconds()*rate)
	}
	result := TakeResult{Allowed: true}
	if tokens < cost {
		result = TakeResult{Reason: RateExceeded, RetryAfter: seconds((cost - tokens) / rate)}
	} else {
		tokens -= cost
	}
	if s.buckets == nil {
		s.buckets = make(map[fleet.CallerID]bucket)
	}
	s.buckets[caller] = bucket{tokens: tokens, updated: updated, fillsIn: float32((burst - tokens) / rate)}
	s.peak = max(s.peak, len(s.buckets))
	return result
}

// sweep drops the buckets that are full again, which changes no decision. The caller must hold s.mu.
func (s *callerShard) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for caller, b := range s.buckets {
		if float64(now.UnixNano()-b.updated) >= float64(b.fillsIn)*float64(time.Second) {
			delete(s.buckets, caller)
		}
	}
	s.shrink()
}

func (s *callerShard) shrink() {
	if s.peak < minShrinkPeak || len(s.buckets)*shrinkFactor > s.peak {
		return
	}
	kept := make(map[fleet.CallerID]bucket, len(s.buckets))
	for caller, b := range s.buckets {
		kept[caller] = b
	}
	s.buckets = kept
	s.peak = len(kept)
}

// seconds converts a number of seconds to a duration, rounded up so that a wait is not too short.
func seconds(s float64) time.Duration {
	return time.Duration(s*float64(time.Second)) + 1
}
