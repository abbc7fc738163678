package quota

import (
	"slices"
	"time"

	"eelgrassproxy.example/core/accounts"
)

const (
	// reporterTTL is the time after a report for which its demand counts: several reports, since some are lost.
	reporterTTL    = 350 * time.Millisecond
	maxReporterTTL = 3 * time.Second
	// formerReporterTTL is the time after its latest report for which an instance that is no longer registered is remembered. One that reports again
	// later continues from the count that it says was acknowledged.
	formerReporterTTL = time.Minute
	// takeoverTime is the time after its first report in which a bucket that was taken over follows the lowest level that a reporter has heard.
	takeoverTime = 500 * time.Millisecond
	// maxHistory is the number of earlier fleets that are remembered to tell whether an account had another coordinator.
	maxHistory = 8
)

// Coordinator is the side of the quotas that keeps the token buckets of the accounts that this instance coordinates.
type Coordinator struct {
	fleet   *Fleet
	history []pastFleet // latest last
	started time.Time
	buckets map[string]*bucket
	swept   time.Time
}

// pastFleet is a fleet that was in force until a time.
type pastFleet struct {
	*Fleet
	until time.Time
}

// bucket is the token bucket of an account.
type bucket struct {
	limit     accounts.Quota
	level     float64
	advanced  time.Time
	created   time.Time
	reported  time.Time // when the latest report arrived
	joined    time.Time // when the level of the other part was added after a partition
	kept      float64   // level before that
	informed  bool      // the level comes from an earlier coordinator, or is no longer needed from one
	reporters map[string]*reporter
	tokens    int64 // that the reporters have spent on the account
	// The shares below are withheld from the refill while the instances that hold them are not heard from.
	shareFleet  *Fleet // that the two below were computed for
	shareLimit  accounts.Quota
	unreachable []string
	share       float64
}

// reporter is an instance that reports an account.
type reporter struct {
	process, sequence, series uint64
	counted                   int64
	tokens                    int64   // Report.Tokens of the latest report
	ownTokens                 int64   // its part of bucket.tokens
	demand, spending          float64 // per second
	at                        time.Time
	withheld                  float64 // tokens withheld since the latest report, which it may have spent on its guaranteed share
}

// NewCoordinator returns the state of a coordinator that has started.
func NewCoordinator(fleet *Fleet, now time.Time) *Coordinator {
	return &Coordinator{fleet: fleet, started: now, buckets: make(map[string]*bucket)}
}

// Len returns the number of buckets in memory.
func (c *Coordinator) Len() int { return len(c.buckets) }

// Reporters returns the number of reporters in memory, summed over the buckets.
func (c *Coordinator) Reporters() int {
	n := 0
	for _, b := range c.buckets {
		n += len(b.reporters)
	}
	return n
}

// SetFleet sets the present fleet.
func (c *Coordinator) SetFleet(fleet *Fleet, now time.Time) {
	// A part of the fleet that is cut off has its own coordinators: each part keeps its fraction of the levels.
	kept := 1.0
	if before, after := c.fleet.reachableFraction(), fleet.reachableFraction(); fleet.known && c.fleet.known && after < before {
		kept = after / before
	}
	for name, b := range c.buckets {
		c.advance(name, b, now)
		if b.level > 0 {
			b.level *= kept
		}
	}
	c.history = append(c.history, pastFleet{c.fleet, now})
	if len(c.history) > maxHistory {
		c.started = c.history[0].until
		c.history = c.history[1:]
	}
	c.fleet = fleet
}

// ApplyReport applies a report of an account and returns the reply. limit is the account's limit as this instance knows it; if it is not limited, the
// limit in the report counts. A report of a former process, or one that is not newer than the latest, is ignored, and so are all reports while the
// fleet is not known: the level would be too low.
func (c *Coordinator) ApplyReport(from string, process, sequence uint64, r Report, limit accounts.Quota, now time.Time) (Reply, bool) {
	r = r.clamped()
	if !limit.Limited() {
		limit = r.Limit()
	}
	if !limit.Limited() || r.Account == "" || !c.fleet.known {
		return Reply{}, false
	}
	c.sweep(now)
	b := c.buckets[r.Account]
	if b == nil {
		b = &bucket{limit: limit, advanced: now, created: now, reporters: make(map[string]*reporter)}
		b.level, b.informed = c.initialLevel(r, limit, now), r.Heard
		c.buckets[r.Account] = b
	}
	c.advance(r.Account, b, now)
	b.limit = limit
	b.level = min(b.level, c.capacity(limit))
	known := b.reporters[from]
	if known != nil && (process < known.process || process == known.process && sequence <= known.sequence) {
		return Reply{}, false
	}
	b.reported = now
	if known == nil || process != known.process || r.Series != known.series {
		if r.Heard && now.Sub(b.created) < takeoverTime {
			heard := r.Level * c.fleet.reachableFraction()
			if !b.informed {
				// The first reporters had heard nothing. What they have admitted since is small.
				b.level, b.informed = max(b.level, min(heard, c.capacity(limit))), true
			}
			b.level = min(b.level, heard)
		}
		next := &reporter{process: process, series: r.Series, at: now, tokens: r.Tokens}
		if r.Heard {
			next.counted = r.Acked
		}
		if known != nil {
			next.withheld, next.ownTokens = known.withheld, known.ownTokens
		}
		known = next
		b.reporters[from] = known
	}
	if r.Heard && r.Other && r.Acked > known.counted {
		// Another coordinator has served the reporter since its previous report here, and has counted what it spent.
		c.rejoin(b, known, r.Level*c.fleet.reachableFraction(), now)
		known.counted, known.withheld = r.Acked, 0
	}
	c.charge(b, known, r, now)
	spent := max(r.Tokens-known.tokens, 0)
	b.tokens, known.ownTokens, known.tokens = b.tokens+spent, known.ownTokens+spent, r.Tokens
	known.sequence, known.demand, known.at = sequence, r.Demand, now
	reply := Reply{Account: r.Account, Series: r.Series, Acked: r.Admitted, OthersTokens: b.tokens - known.ownTokens}
	var unseen float64
	reply.Others, unseen = b.others(from, now)
	reply.Level, reply.Others = round(max(b.level-unseen, floorOf(limit))), round(reply.Others)
	return reply, true
}

// rejoin applies the level that a reporter has heard from another coordinator to a bucket that this instance has kept meanwhile.
func (c *Coordinator) rejoin(b *bucket, known *reporter, heard float64, now time.Time) {
	switch {
	case known.withheld > 0:
		// A partition has ended. Each part had its fraction of the level and of the refill.
		if now.Sub(b.joined) >= takeoverTime {
			b.joined, b.kept = now, b.level
			b.level = min(b.level+heard, c.capacity(b.limit))
		}
		b.level = min(b.level, b.kept+heard)
	default:
		b.level = min(b.level, heard)
	}
}

// charge subtracts the requests that a reporter has admitted since its previous report, except those for which tokens were withheld: it has admitted
// them by its guaranteed share.
func (c *Coordinator) charge(b *bucket, known *reporter, r Report, now time.Time) {
	spent := float64(r.Admitted - known.counted)
	fromShare := min(known.withheld, max(spent, 0))
	b.level = clamp(b.level+fromShare-spent, floorOf(b.limit), c.capacity(b.limit))
	known.withheld = 0
	if elapsed := now.Sub(known.at); elapsed > 0 {
		weight := elapsed.Seconds() / (elapsed + 2*ReportInterval).Seconds()
		known.spending = max(known.spending+weight*(spent/elapsed.Seconds()-known.spending), 0)
	}
	known.counted = r.Admitted
}

// others returns the demand of all reporters except one, and the requests that they have probably admitted since their latest reports.
func (b *bucket) others(except string, now time.Time) (demand, unseen float64) {
	for id, r := range b.reporters {
		age := now.Sub(r.at)
		// One with few requests reports less often.
		ttl := reporterTTL
		if r.demand > 0 {
			ttl = max(ttl, time.Duration(min(1.5/r.demand, maxReporterTTL.Seconds())*float64(time.Second)))
		}
		if id == except || age > ttl {
			continue
		}
		demand += r.demand
		unseen += r.spending * min(age, ReportInterval).Seconds()
	}
	return demand, unseen
}

// advance adds the refill until now, less the shares that are withheld.
func (c *Coordinator) advance(account string, b *bucket, now time.Time) {
	elapsed := max(now.Sub(b.advanced).Seconds(), 0)
	b.advanced = now
	if !c.fleet.known {
		return
	}
	if b.shareFleet != c.fleet || b.shareLimit != b.limit {
		b.shareFleet, b.shareLimit = c.fleet, b.limit
		b.unreachable, b.share = c.fleet.withheld(account, b.limit)
	}
	for _, id := range b.unreachable {
		if r := b.reporters[id]; r != nil {
			r.withheld += b.share * elapsed
		}
	}
	refill := max(b.limit.Rate-b.share*float64(len(b.unreachable)), 0) * elapsed
	b.level = min(b.level+refill, c.capacity(b.limit))
}

// capacity returns the size of a bucket: the reachable fraction of the burst, so that the parts of a partitioned fleet do not have a burst each.
func (c *Coordinator) capacity(limit accounts.Quota) float64 {
	return max(burstOf(limit)*c.fleet.reachableFraction(), 1)
}

// initialLevel returns the level of an account's bucket at its first report: the one that the reporter has heard from an earlier coordinator, or what
// was refilled since this instance became the coordinator. An account that has been inactive for longer than its bucket takes to fill has a full one.
func (c *Coordinator) initialLevel(r Report, limit accounts.Quota, now time.Time) float64 {
	if r.Heard {
		return clamp(r.Level*c.fleet.reachableFraction(), floorOf(limit), c.capacity(limit))
	}
	since := c.started
	fills := time.Duration(min(burstOf(limit)/limit.Rate, 1e6) * float64(time.Second))
	for _, past := range slices.Backward(c.history) {
		if now.Sub(past.until) > fills {
			break
		}
		if past.Coordinator(r.Account) != c.fleet.self {
			since = past.until
			break
		}
	}
	return min(limit.Rate*now.Sub(since).Seconds(), burstOf(limit)) * c.fleet.reachableFraction()
}

// sweep forgets the accounts that have been inactive until their buckets are full, and reporters that have left the fleet.
func (c *Coordinator) sweep(now time.Time) {
	if now.Sub(c.swept) < sweepInterval {
		return
	}
	c.swept = now
	for name, b := range c.buckets {
		c.forgetReporters(b, now)
		if now.Sub(b.reported) < minIdleTime {
			continue
		}
		c.advance(name, b, now)
		// Withheld shares may be all that an unreachable instance spends: the bucket is kept for as long.
		if b.level >= c.capacity(b.limit) && len(b.unreachable) == 0 || b.limit.Rate <= 0 {
			delete(c.buckets, name)
		}
	}
}

// forgetReporters forgets the reporters that have left the fleet.
func (c *Coordinator) forgetReporters(b *bucket, now time.Time) {
	if !c.fleet.known {
		return
	}
	for id, r := range b.reporters {
		if now.Sub(r.at) <= formerReporterTTL {
			continue
		}
		if _, registered := slices.BinarySearch(c.fleet.registered, id); !registered {
			delete(b.reporters, id)
		}
	}
}
