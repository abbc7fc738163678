package quota

import (
	"math"
	"time"

	"eelgrassproxy.example/core/accounts"
)

const (
	// ReportInterval is the interval between two reports of an account while it is active.
	ReportInterval = 100 * time.Millisecond
	// askInterval is the interval at which a report is repeated while requests wait for its reply: longer than a round trip between regions.
	askInterval = 40 * time.Millisecond
	// urgentInterval is the minimum interval between two reports of an account.
	urgentInterval = 20 * time.Millisecond
	// MaxWait is how long a request waits for the reply to a report. It leaves time for two repetitions.
	MaxWait = 130 * time.Millisecond
	// replyTTL is how long a reply is extrapolated, and the time without a reply after which no request waits for one.
	replyTTL = 300 * time.Millisecond
	// minUnanswered is the number of reports without a reply after which no request waits for one.
	minUnanswered = 3
	// activeTime is how long an account is reported after a request.
	activeTime = 300 * time.Millisecond
	// settleInterval is the interval of reports of an inactive account whose latest admitted requests no coordinator has counted.
	settleInterval = time.Second
	// minIdleTime is the minimum time after a request for which an account is remembered.
	minIdleTime   = 2 * time.Second
	sweepInterval = time.Second

	// unseenTime is the age in seconds of the spending that a level does not contain: half a report interval, the transfer of reports and replies,
	// and the wait for the next tick.
	unseenTime = 0.15
	// drainTime is the time constant in seconds with which an account over its limit spends the rest of its bucket. It is several times the
	// delay of the control loop; shorter times make the level oscillate.
	drainTime = 0.5
	// shareTime is the time in seconds for which an unused guaranteed share is kept. Together the instances keep a fifth of the rate, so that it is no
	// second burst, and requests that arrive at random are seldom refused below the share.
	shareTime = 0.2
	// jumpPrior is the weight, in requests, of the expectation that the demand of the other instances is what they reported.
	jumpPrior = 2
	// maxJump bounds the factor by which the demand of others is expected to have risen with the own.
	maxJump = 10
	// maxRefunds bounds by how much the count of admitted requests may fall below one that was acknowledged.
	maxRefunds = 1 << 20

	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Decision is the answer to a request.
type Decision struct {
	Admitted bool
	// Ask means that the coordinator has to be asked first: Reports has a report of the account, and after its reply, or MaxWait, Take is called
	// again with waited.
	Ask        bool
	RetryAfter time.Duration // until a request fits; set if the request is refused
	OnShare    bool          // decided by the guaranteed share, as no coordinator was heard from
}

// Batch is a list of reports to one coordinator.
type Batch struct {
	To      string
	Reports []Report
}

// Instance is the side of the quotas that admits requests.
type Instance struct {
	fleet    *Fleet
	accounts map[string]*local
	active   map[string]*local // accounts that reports may be due for
	series   uint64
	swept    time.Time
}

// local is the state of an account at an instance.
type local struct {
	name        string
	limit       accounts.Quota
	series      uint64
	admitted    int64
	tokens      int64 // spent on the account in the series
	undecided   int64 // requests that wait; they are included in admitted
	arrivals    int64 // since the latest report
	demand      float64
	lastArrival time.Time

	assigned *Fleet // that the coordinator below was chosen from
	assignee string

	reportedAt time.Time
	asked      bool      // requests wait for a reply
	urgent     bool      // a report is due before the interval is over
	unanswered time.Time // when the earliest report since the latest reply was sent
	repeated   int       // reports since the latest reply

	heard         bool // a coordinator has replied
	coordinator   string
	repliedAt     time.Time
	sequence      uint64 // of the report that was replied to
	acked         int64
	level, others float64
	othersTokens  int64   // Reply.OthersTokens of the coordinator
	repliedDemand float64 // demand when the reply arrived
	arrivalsSince int64   // since the reply

	credit   float64 // tokens for requests over the limit
	creditAt time.Time
	share    float64 // tokens of the guaranteed share
	shareAt  time.Time
}

// NewInstance returns the state of an instance that has started.
func NewInstance(fleet *Fleet) *Instance {
	return &Instance{fleet: fleet, accounts: make(map[string]*local), active: make(map[string]*local)}
}

// SetFleet sets the present fleet.
func (i *Instance) SetFleet(fleet *Fleet) { i.fleet = fleet }

// Len returns the number of accounts in memory.
func (i *Instance) Len() int { return len(i.accounts) }

// coordinatorOf returns the coordinator of an account, which takes a hash for each instance, from the previous call if the fleet is the same.
func (i *Instance) coordinatorOf(a *local) string {
	if a.assigned != i.fleet {
		a.assigned, a.assignee = i.fleet, i.fleet.Coordinator(a.name)
	}
	return a.assignee
}

// Active reports whether reports may be due before the next request.
func (i *Instance) Active() bool { return len(i.active) > 0 }

// Take decides whether a request of an account is admitted, and counts it if so. waited means that the request has waited as Decision.Ask specifies.
func (i *Instance) Take(account string, limit accounts.Quota, now time.Time, waited bool) Decision {
	if !limit.Limited() {
		return Decision{Admitted: true}
	}
	a := i.accounts[account]
	if a == nil {
		i.series++
		a = &local{name: account, limit: limit, series: i.series}
		i.accounts[account] = a
	}
	if a.limit != limit {
		a.limit = limit
		a.level = min(a.level, burstOf(limit))
	}
	i.active[account] = a
	a.lastArrival = now
	if !waited {
		a.arrivals++
		a.arrivalsSince++
	} else if a.undecided > 0 {
		a.undecided--
		a.admitted--
	}
	if a.heard && now.Sub(a.repliedAt) <= replyTTL {
		return i.takeExtrapolated(a, now)
	}
	if !waited && i.coordinatorOf(a) != "" && !a.isCutOff(now) {
		// The request counts as admitted until it is decided, so that an admitted one needs no further report.
		a.asked = true
		a.undecided++
		a.admitted++
		return Decision{Ask: true}
	}
	return i.takeShare(a, now)
}

// isCutOff reports whether no request should wait for the coordinator, since it has not answered lately. A single report may just have been lost.
func (a *local) isCutOff(now time.Time) bool {
	return a.repeated >= minUnanswered && now.Sub(a.unanswered) > replyTTL && now.Sub(a.reportedAt) < settleInterval
}

// takeExtrapolated decides by the latest reply.
func (i *Instance) takeExtrapolated(a *local, now time.Time) Decision {
	rate, burst := a.limit.Rate, burstOf(a.limit)
	elapsed := max(now.Sub(a.repliedAt).Seconds(), 0)
	// The others' demand is expected to have risen as far as the own requests since the reply show. A few requests show little.
	jump := min(max((jumpPrior+float64(a.arrivalsSince-1))/(jumpPrior+a.repliedDemand*elapsed), 1), maxJump)
	total := (a.repliedDemand + a.others) * jump
	fraction := 1.0
	if a.others > 0 {
		fraction = a.repliedDemand / (a.repliedDemand + a.others)
	}
	unacked := float64(a.admitted - a.acked)
	expected := min(a.level+rate*elapsed, burst) - a.others*jump*elapsed - unacked
	margin := 0.0
	if total > rate {
		margin = min((total-rate)*unseenTime, 0.7*(burst-1)) * (1 - fraction) // only the others' spending is unseen
	}
	// Bounds what all instances together can spend of one level, however much their demand jumps at once.
	_, reachable := i.fleet.Size()
	level := max(a.level, 0) + rate*elapsed
	part := 2 * level * max(1/float64(max(reachable, 1)), fraction)
	most := 1 + part + 3*math.Sqrt(part) // requests arrive at random
	if unacked+1 > most/2 && unacked >= 1 {
		a.urgent = true
	}
	i.fillCredit(a, fraction, now)
	switch {
	case expected >= 1+margin && unacked+1 <= most:
		a.credit = 0
	case total > rate && a.credit >= 1:
		a.credit--
	default:
		return Decision{RetryAfter: retryAfter((1 + margin - expected) / rate)}
	}
	a.admitted++
	return Decision{Admitted: true}
}

// fillCredit adds this instance's fraction of what the account may spend while it is over its limit: the refill, and the rest of the bucket within
// about drainTime. Fractions add up to 1 over all instances, so that the level stays near 0.
func (i *Instance) fillCredit(a *local, fraction float64, now time.Time) {
	if elapsed := now.Sub(a.creditAt).Seconds(); !a.creditAt.IsZero() && elapsed > 0 {
		speed := fraction * max(a.limit.Rate+a.level/drainTime, 0)
		a.credit = min(a.credit+speed*min(elapsed, replyTTL.Seconds()), max(1, speed*ReportInterval.Seconds()))
	}
	a.creditAt = now
}

// takeShare decides by the guaranteed share.
func (i *Instance) takeShare(a *local, now time.Time) Decision {
	share := i.fleet.share(a.name, a.limit)
	if a.shareAt.IsZero() && a.heard {
		a.shareAt = a.repliedAt // the coordinator withholds the share from about then
	}
	if !a.shareAt.IsZero() {
		a.share = min(a.share+share*max(now.Sub(a.shareAt).Seconds(), 0), max(1, share*shareTime))
	}
	a.shareAt = now
	if a.share < 1 {
		if share <= 0 {
			return Decision{RetryAfter: replyTTL, OnShare: true}
		}
		return Decision{RetryAfter: retryAfter((1 - a.share) / share), OnShare: true}
	}
	a.share--
	a.admitted++
	return Decision{Admitted: true, OnShare: true}
}

func retryAfter(seconds float64) time.Duration {
	return time.Duration(clamp(seconds, minRetryAfter.Seconds(), maxRetryAfter.Seconds()) * float64(time.Second))
}

// Spend records the work of targets for a request of an account, in tokens of its prompt and response. Accounts without a limit are not recorded.
func (i *Instance) Spend(account string, tokens int64) {
	if a := i.accounts[account]; a != nil {
		a.tokens += max(tokens, 0)
	}
}

// Refund returns the token of a request that was admitted and did not run.
func (i *Instance) Refund(account string) {
	if a := i.accounts[account]; a != nil && a.admitted > 0 {
		a.admitted--
		i.active[account] = a
	}
}

// Reports returns the reports that are due, by coordinator. Call it every 20 ms or more often, and after each Decision.Ask.
func (i *Instance) Reports(now time.Time) []Batch {
	var batches []Batch
	index := make(map[string]int)
	for name, a := range i.active {
		if !a.due(now) {
			if now.Sub(a.lastArrival) > activeTime && a.heard && a.admitted == a.acked && a.undecided == 0 {
				delete(i.active, name)
			}
			continue
		}
		to := i.coordinatorOf(a)
		if to == "" {
			continue
		}
		n, ok := index[to]
		if !ok {
			n = len(batches)
			index[to] = n
			batches = append(batches, Batch{To: to})
		}
		batches[n].Reports = append(batches[n].Reports, a.report(to, now))
	}
	if now.Sub(i.swept) >= sweepInterval {
		i.swept = now
		i.sweep(now)
	}
	return batches
}

// due reports whether a report of the account is due.
func (a *local) due(now time.Time) bool {
	waited := now.Sub(a.reportedAt)
	switch {
	case a.reportedAt.IsZero():
		return true
	case a.urgent && waited >= urgentInterval, a.asked && waited >= askInterval:
		return true
	case now.Sub(a.lastArrival) > activeTime:
		return (!a.heard || a.admitted != a.acked) && waited >= settleInterval
	}
	// Reports of an account with few requests would not be replied to in time for the next one, which asks for itself.
	expected := a.demand * replyTTL.Seconds()
	return (a.arrivals > 0 || a.admitted != a.acked || expected >= 1) && waited >= ReportInterval-5*time.Millisecond
}

// report returns the report of an account that is sent to a coordinator now.
func (a *local) report(to string, now time.Time) Report {
	elapsed := 1.0 // a first request does not show a high demand
	if !a.reportedAt.IsZero() {
		elapsed = max(now.Sub(a.reportedAt).Seconds(), urgentInterval.Seconds())
	}
	// Weighs the interval by its length, with a time constant of two report intervals.
	weight := elapsed / (elapsed + 2*ReportInterval.Seconds())
	a.demand += weight * (float64(a.arrivals)/elapsed - a.demand)
	a.arrivals, a.reportedAt, a.urgent = 0, now, false
	a.repeated++
	if a.repeated == 1 {
		a.unanswered = now
	}
	r := Report{
		Account: a.name, Series: a.series, Admitted: a.admitted, Tokens: a.tokens, Demand: round(a.demand), Rate: a.limit.Rate, Burst: a.limit.Burst,
		Heard: a.heard, Acked: a.acked,
	}
	if a.heard {
		r.Other = a.coordinator != to
		refill := max(a.limit.Rate-a.others, 0) * now.Sub(a.repliedAt).Seconds()
		r.Level = round(min(a.level+refill, burstOf(a.limit)))
	}
	return r
}

// ApplyReply applies the reply of a coordinator to the report that was sent with a sequence number, which must increase. A reply that is not newer
// than the latest one of the account is ignored. It returns the tokens that other instances have spent on the account since the reply before.
func (i *Instance) ApplyReply(from string, sequence uint64, r Reply, now time.Time) (othersTokens int64) {
	a := i.accounts[r.Account]
	if a == nil || a.series != r.Series || sequence <= a.sequence {
		return 0
	}
	r = r.clamped(a.limit)
	if a.heard && a.coordinator == from {
		othersTokens = max(r.OthersTokens-a.othersTokens, 0)
	}
	a.othersTokens = r.OthersTokens
	a.heard, a.repliedAt, a.sequence, a.repeated, a.asked = true, now, sequence, 0, false
	a.coordinator = from
	a.acked, a.level, a.others = min(r.Acked, a.admitted+maxRefunds), r.Level, r.Others
	a.repliedDemand, a.arrivalsSince = a.demand, 0
	a.share, a.shareAt = 0, time.Time{}
	return othersTokens
}

// sweep forgets the accounts that have been inactive until their buckets are full.
func (i *Instance) sweep(now time.Time) {
	for name, a := range i.accounts {
		idle := now.Sub(a.lastArrival)
		if idle < minIdleTime || i.active[name] != nil || a.undecided > 0 {
			continue
		}
		if a.level+a.limit.Rate*now.Sub(a.repliedAt).Seconds() >= burstOf(a.limit) {
			delete(i.accounts, name)
		}
	}
}
