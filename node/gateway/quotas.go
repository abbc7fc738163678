package gateway

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/core/accounts"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/quota"
	"eelgrassproxy.example/node/control/membership"
	"eelgrassproxy.example/node/internal/wait"
)

const (
	// quotaTick is the interval at which reports are sent while accounts are active, and quotaIdleTick that of all other work.
	quotaTick     = 20 * time.Millisecond
	quotaIdleTick = 100 * time.Millisecond
	// quotaRoundPause is the minimum pause between two rounds of reports, so that requests that wait at the same time share datagrams.
	quotaRoundPause = 2 * time.Millisecond
	// quotaLogInterval is the interval of log lines about refused requests. maxLoggedAccounts bounds the accounts in each.
	quotaLogInterval  = 10 * time.Second
	maxLoggedAccounts = 5
	// maxQuotaName is the longest account name, in bytes, that messages have. Longer ones are replaced by a digest.
	maxQuotaName = 128
)

// Quotas enforces the fleet-wide rate limits of accounts. It is safe for concurrent use.
type Quotas struct {
	peers     *Peers
	limits    func(account string) (accounts.Quota, bool)
	storeLost func() bool

	changed chan struct{} // a request waits for a coordinator, or an account became active

	mu          sync.Mutex // guards the fields below; p.mu of peers may be taken while it is held
	fleet       *quota.Fleet
	instance    *quota.Instance
	coordinator *quota.Coordinator
	sequence    uint64
	inContact   time.Time                  // when the store or most of the peers were last reached
	waiting     map[string][]chan struct{} // requests by account; closed when a reply arrives
	refused     map[string]int             // since the latest log line, by account
	othersSpent map[string]int64           // tokens by account that are still to be passed to onSpent
	onSpent     func(tokens map[string]int64)
	loggedAt    time.Time

	admitted, rejected, onShare, waited tally.Counter
	sent, received, malformed, unsent   tally.Counter
	activeAccounts, buckets, reachable  tally.Gauge
}

// NewQuotas returns the quotas of an instance. limits returns the limit of an account in the configuration in force, storeLost whether the store is
// unreachable. It must be called before peers.Run.
func NewQuotas(peers *Peers, limits func(account string) (accounts.Quota, bool), storeLost func() bool, metrics tally.Scope) *Quotas {
	scope := metrics.SubScope("quota")
	now := time.Now()
	self := quota.NewFleet(string(peers.self.ID), false, nil, nil, nil)
	q := &Quotas{
		peers: peers, limits: limits, storeLost: storeLost,
		changed:     make(chan struct{}, 1),
		fleet:       self,
		instance:    quota.NewInstance(self),
		coordinator: quota.NewCoordinator(self, now),
		waiting:     make(map[string][]chan struct{}),
		refused:     make(map[string]int),
		othersSpent: make(map[string]int64),
		onSpent:     func(map[string]int64) {},
		loggedAt:    now,
		admitted:    scope.Counter("admitted"), rejected: scope.Counter("refused"), onShare: scope.Counter("on_share"), waited: scope.Counter("waited"),
		sent: scope.Counter("datagrams_sent"), received: scope.Counter("datagrams_received"), malformed: scope.Counter("datagrams_malformed"),
		unsent:         scope.Counter("datagrams_unsent"),
		activeAccounts: scope.Gauge("accounts"), buckets: scope.Gauge("buckets"), reachable: scope.Gauge("reachable_share"),
	}
	peers.handleDatagrams(q.receive)
	return q
}

// quotaName returns the name of an account in messages.
func quotaName(account string) string {
	if len(account) <= maxQuotaName {
		return account
	}
	digest := sha256.Sum256([]byte(account))
	return hex.EncodeToString(digest[:])
}

// Admit takes a token for a request of an account, which may be nil. If there is none, it returns the time until a request fits. It waits for the
// account's coordinator, for at most quota.MaxWait, if this instance has not heard of the account lately.
func (q *Quotas) Admit(ctx context.Context, account *accounts.Account) (retryAfter time.Duration, ok bool) {
	if account == nil || !account.Quota.Limited() {
		return 0, true
	}
	name := quotaName(account.Name)
	q.mu.Lock()
	active := q.instance.Active()
	d := q.instance.Take(name, account.Quota, time.Now(), false)
	if d.Ask {
		reply := make(chan struct{})
		q.waiting[name] = append(q.waiting[name], reply)
		q.mu.Unlock()
		q.waited.Inc(1)
		wait.Wake(q.changed)
		q.await(ctx, name, reply)
		q.mu.Lock()
		d = q.instance.Take(name, account.Quota, time.Now(), true)
	} else if !active {
		wait.Wake(q.changed)
	}
	if !d.Admitted {
		q.refused[name]++
	}
	q.mu.Unlock()
	if d.OnShare {
		q.onShare.Inc(1)
	}
	if !d.Admitted {
		q.rejected.Inc(1)
		return d.RetryAfter, false
	}
	q.admitted.Inc(1)
	return 0, true
}

// await waits until a reply closes the channel, quota.MaxWait has passed, or ctx ends.
func (q *Quotas) await(ctx context.Context, account string, reply chan struct{}) {
	timer := time.NewTimer(quota.MaxWait)
	defer timer.Stop()
	select {
	case <-reply:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[account] = slices.DeleteFunc(q.waiting[account], func(c chan struct{}) bool { return c == reply })
	if len(q.waiting[account]) == 0 {
		delete(q.waiting, account)
	}
}

// Spend records the work of targets for a request of an account, in tokens.
func (q *Quotas) Spend(account string, tokens int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.instance.Spend(account, tokens)
}

// OnSpent sets the callback that gets the tokens, by account, which other instances have spent since the call before. It is called without a lock
// held. Call OnSpent before Run.
func (q *Quotas) OnSpent(callback func(tokens map[string]int64)) { q.onSpent = callback }

// passSpent calls the callback of OnSpent.
func (q *Quotas) passSpent() {
	q.mu.Lock()
	spent := q.othersSpent
	if len(spent) == 0 {
		q.mu.Unlock()
		return
	}
	q.othersSpent = make(map[string]int64)
	q.mu.Unlock()
	q.onSpent(spent)
}

// Refund returns the token of a request that Admit admitted and that provably did not run.
func (q *Quotas) Refund(account *accounts.Account) {
	if account == nil || !account.Quota.Limited() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.instance.Refund(quotaName(account.Name))
}

// Run sends reports to the coordinators until ctx ends.
func (q *Quotas) Run(ctx context.Context) {
	timer := time.NewTimer(quotaIdleTick)
	defer timer.Stop()
	var updated time.Time
	for {
		now := time.Now()
		if now.Sub(updated) >= quotaIdleTick {
			updated = now
			q.updateFleet(now)
			q.observe(now)
		}
		q.report(now)
		if !wait.For(ctx, quotaRoundPause) {
			return
		}
		q.mu.Lock()
		next := quotaIdleTick
		if q.instance.Active() {
			next = quotaTick
		}
		q.mu.Unlock()
		timer.Reset(next)
		select {
		case <-q.changed:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// updateFleet applies the present state of the peers.
func (q *Quotas) updateFleet(now time.Time) {
	registered, reachable, candidates, listed := q.peers.quotaMembers(now)
	storeReached := listed && !q.storeLost()
	q.mu.Lock()
	defer q.mu.Unlock()
	if listed && (storeReached || 2*len(reachable) > len(registered)) {
		q.inContact = now
	}
	// An instance out of contact for longer than the lease is no longer registered, so that no share is reserved for it.
	known := listed && !q.inContact.IsZero() && now.Sub(q.inContact) < membership.RecordTTL
	next := quota.NewFleet(string(q.peers.self.ID), known, registered, reachable, candidates)
	if next.Equal(q.fleet) {
		return
	}
	if known != q.fleet.Known() {
		klog.InfoS("Quotas: knowledge of the fleet changed", "known", known, "registered", len(registered), "reachable", len(reachable))
	}
	q.fleet = next
	q.instance.SetFleet(next)
	q.coordinator.SetFleet(next, now)
}

// quotaMembers returns the serving instances that are registered, or heard from; those of them that are heard from; and those that may be
// coordinators. listed is false if the membership records have not been read.
func (p *Peers) quotaMembers(now time.Time) (registered, reachable, candidates []string, listed bool) {
	listed = p.records.Revision() > 0
	ready := p.syncState().Version > 0
	p.mu.Lock()
	defer p.mu.Unlock()
	self := string(p.self.ID)
	registered, reachable = append(registered, self), append(reachable, self)
	if ready && !p.draining {
		candidates = append(candidates, self)
	}
	for id, s := range p.peers {
		silent := s.isSuspected(now)
		// A silent instance is in no working set, but may still serve callers.
		if silent && !s.listed || !silent && !p.serves(id) && !s.active {
			continue
		}
		registered = append(registered, string(id))
		if silent {
			continue
		}
		reachable = append(reachable, string(id))
		if s.member.State == fleet.MemberAlive && s.syncState.Version > 0 && p.serves(id) {
			candidates = append(candidates, string(id))
		}
	}
	return registered, reachable, candidates, listed
}

// observe updates the gauges, and logs which accounts were refused requests.
func (q *Quotas) observe(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.activeAccounts.Update(float64(q.instance.Len()))
	q.buckets.Update(float64(q.coordinator.Len()))
	if registered, reachable := q.fleet.Size(); registered > 0 {
		q.reachable.Update(float64(reachable) / float64(registered))
	}
	if len(q.refused) == 0 || now.Sub(q.loggedAt) < quotaLogInterval {
		return
	}
	names := slices.SortedFunc(maps.Keys(q.refused), func(a, b string) int {
		return cmp.Or(cmp.Compare(q.refused[b], q.refused[a]), cmp.Compare(a, b))
	})
	total := 0
	for _, n := range q.refused {
		total += n
	}
	most := make(map[string]int)
	for _, name := range names[:min(len(names), maxLoggedAccounts)] {
		most[name] = q.refused[name]
	}
	klog.InfoS("Requests over quota were refused", "requests", total, "accounts", len(names), "most", most,
		"seconds", int(now.Sub(q.loggedAt).Seconds()))
	clear(q.refused)
	q.loggedAt = now
}

// report sends the reports that are due. Those to this instance itself are applied at once.
func (q *Quotas) report(now time.Time) {
	q.mu.Lock()
	var outgoing []quotaDatagram
	for _, batch := range q.instance.Reports(now) {
		if batch.To != string(q.peers.self.ID) {
			outgoing = append(outgoing, q.encodeReports(batch)...)
			continue
		}
		q.sequence++
		for _, r := range batch.Reports {
			if reply, ok := q.applyReport(batch.To, q.peers.self.Incarnation, q.sequence, r, now); ok {
				q.applyReply(batch.To, q.sequence, reply, now)
			}
		}
	}
	q.mu.Unlock()
	q.passSpent()
	q.send(outgoing)
}

// applyReport applies a report as the coordinator; q.mu is held.
func (q *Quotas) applyReport(from string, process, sequence uint64, r quota.Report, now time.Time) (quota.Reply, bool) {
	limit, _ := q.limits(r.Account)
	return q.coordinator.ApplyReport(from, process, sequence, r, limit, now)
}

// applyReply applies a reply of a coordinator, and continues the requests that wait for it; q.mu is held.
func (q *Quotas) applyReply(from string, sequence uint64, r quota.Reply, now time.Time) {
	if tokens := q.instance.ApplyReply(from, sequence, r, now); tokens > 0 {
		q.othersSpent[r.Account] += tokens
	}
	for _, reply := range q.waiting[r.Account] {
		close(reply)
	}
	delete(q.waiting, r.Account)
}

// Coordinates reports whether this instance is the coordinator of an account, as far as it knows.
func (q *Quotas) Coordinates(account *accounts.Account) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fleet.Coordinator(quotaName(account.Name)) == string(q.peers.self.ID)
}
