// Package limits protects the fleet from more work than it can finish in time: token buckets for callers, a fair
// bounded queue, admission by deadline, a retry budget, ejection of outlier targets, and a budget for region links.
package limits

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassproxy.example/core/fleet"
)

const (
	// DefaultSpread is the number of instances that one caller is expected to use. It matches the number of
	// addresses of an entrypoint response and today's eight entry instances.
	DefaultSpread = 8
	// callerShards keeps lock contention low at ten cores and a sweep of one shard at 44,000 callers under 20 µs.
	callerShards = 64
	// sweepEvery is the period in which each shard drops the buckets that are full again.
	sweepEvery = 10 * time.Second
	// shrinkFactor: a shard whose map once held this many times its present entries is rebuilt, because a Go map
	// keeps its memory after deletes.
	shrinkFactor = 4
	// smallShard is the entry count below which rebuilding saves nothing.
	smallShard = 64
)

// CallerLimit is the limit of one caller across the fleet.
type CallerLimit struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// TakeReason says why tokens were refused.
type TakeReason string

// Reasons of a refusal.
const (
	RateExceeded TakeReason = "caller_rate_exceeded"
	CostTooHigh  TakeReason = "cost_exceeds_burst" // can never be admitted under this limit
)

// TakeResult tells whether a caller may proceed.
type TakeResult struct {
	Allowed    bool
	Reason     TakeReason    // set if not allowed
	RetryAfter time.Duration // until the tokens will be there; 0 with CostTooHigh
}

// CallerLimits holds a token bucket for each caller that was active lately. It is safe for concurrent use.
//
// Each instance grants a share of the fleet-wide rate and burst: 1/min(n, spread), n being the number of live
// instances that serve. A caller keeps to the few entrypoints that it was given, so that 1/n would starve it in a
// large fleet; the floor 1/spread gives it the full rate over spread instances. The price: a caller that deliberately
// goes round all n instances gets at most n/spread times its rate; the fair queue still limits what it takes from
// others. The burst of a share is never below one request.
type CallerLimits struct {
	spread  int
	serving atomic.Int64
	seed    maphash.Seed
	shards  [callerShards]callerShard
}

// callerShard holds some callers' buckets. A caller without a bucket has a full one.
type callerShard struct {
	mu      sync.Mutex // guards all fields
	buckets map[fleet.CallerID]bucket
	swept   time.Time
	peak    int // most entries since the map was made
}

// bucket is 24 bytes: at 44,000 callers, map overhead included, a few MB.
type bucket struct {
	tokens  float64
	updated int64   // Unix nanoseconds
	fillsIn float32 // seconds until the bucket is full if nothing is taken
}

// NewCallerLimits returns limits without buckets for one serving instance. spread below 1 means DefaultSpread.
func NewCallerLimits(spread int) *CallerLimits {
	if spread < 1 {
		spread = DefaultSpread
	}
	c := &CallerLimits{spread: spread, seed: maphash.MakeSeed()}
	c.serving.Store(1)
	return c
}

// SetServing updates the number of live instances that serve, from the membership table.
func (c *CallerLimits) SetServing(instances int) {
	c.serving.Store(int64(max(instances, 1)))
}

// Share returns the fraction of the fleet-wide limits that this instance grants.
func (c *CallerLimits) Share() float64 {
	return 1 / float64(min(int(c.serving.Load()), c.spread))
}

// Take takes cost requests' worth of tokens of the caller. limit is the caller's fleet-wide limit in force.
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

// Len returns the number of buckets held.
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

// sweep drops the buckets that are full again; s.mu is held. Dropping them changes no decision.
func (s *callerShard) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepEvery {
		return
	}
	s.swept = now
	for caller, b := range s.buckets {
		if float64(now.UnixNano()-b.updated) >= float64(b.fillsIn)*float64(time.Second) {
			delete(s.buckets, caller)
		}
	}
	s.shrink()
}

func (s *callerShard) shrink() {
	if s.peak < smallShard || len(s.buckets)*shrinkFactor > s.peak {
		return
	}
	kept := make(map[fleet.CallerID]bucket, len(s.buckets))
	for caller, b := range s.buckets {
		kept[caller] = b
	}
	s.buckets = kept
	s.peak = len(kept)
}

// seconds converts a number of seconds to a duration, rounded up so that a wait is never too short.
func seconds(s float64) time.Duration {
	return time.Duration(s*float64(time.Second)) + 1
}
