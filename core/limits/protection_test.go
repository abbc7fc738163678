package limits

import (
	"testing"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/require"
)

// Guards against queueing requests that will miss their deadline, and against a pool that looks slow because few
// requests complete at low demand.
func TestAdmissionPredictsTheFirstTokenBeforeItDecides(t *testing.T) {
	idle := &ServiceRate{}
	busy := &ServiceRate{}
	for i := range 200 {
		idle.ObserveFirstToken(200 * time.Millisecond)
		idle.ObserveCompletion(2*time.Second, false, epoch.Add(time.Duration(i)*time.Minute))
		busy.ObserveFirstToken(200 * time.Millisecond)
		busy.ObserveCompletion(2*time.Second, true, epoch.Add(time.Duration(i)*500*time.Millisecond))
	}
	limits := AdmissionLimits{MaxQueue: 100, MaxWait: 5 * time.Second}
	cases := map[string]struct {
		load     Load
		rate     *ServiceRate
		deadline time.Duration
		want     AdmissionDecision
	}{
		"free capacity admits": {
			Load{Capacity: 10, InFlight: 9}, idle, time.Second,
			AdmissionDecision{Verdict: AdmitNow, Reason: CapacityFree, PredictedFirstToken: 200 * time.Millisecond},
		},
		"a burst on a pool with little demand so far is judged by its service time": {
			Load{Capacity: 10, InFlight: 10, Queued: 1, Ahead: 1}, idle, time.Second,
			AdmissionDecision{Verdict: Queue, Reason: CapacityInUse, PredictedWait: 400 * time.Millisecond,
				PredictedFirstToken: 600 * time.Millisecond},
		},
		"a saturated pool is judged by its measured completions and refuses early": {
			Load{Capacity: 10, InFlight: 10, Queued: 1, Ahead: 1}, busy, time.Second,
			AdmissionDecision{Verdict: Refuse, Reason: MissesDeadline, PredictedWait: time.Second,
				PredictedFirstToken: 1200 * time.Millisecond, RetryAfter: 200 * time.Millisecond},
		},
		"free capacity whose first token comes too late refuses": {
			Load{Capacity: 10}, idle, 150 * time.Millisecond,
			AdmissionDecision{Verdict: Refuse, Reason: MissesDeadline, PredictedFirstToken: 200 * time.Millisecond,
				RetryAfter: minRetryAfter},
		},
		"no usable target refuses": {
			Load{}, idle, time.Second,
			AdmissionDecision{Verdict: Refuse, Reason: NoCapacity, RetryAfter: noCapacityRetryAfter},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := Admit(limits, tc.load, tc.rate, epoch.Add(tc.deadline), epoch)
			const precision = time.Microsecond
			got.PredictedWait = got.PredictedWait.Round(precision)
			got.PredictedFirstToken = got.PredictedFirstToken.Round(precision)
			got.RetryAfter = got.RetryAfter.Round(precision)
			require.Equal(t, tc.want, got)
		})
	}
}

// Guards against retries that double a burst: when 1,000 requests fail within a second, two instances that retry
// through each other must not add more than their budgets.
func TestBurstOfFailuresCannotDoubleItself(t *testing.T) {
	first, second := NewRetryBudget(DefaultRetryPolicy()), NewRetryBudget(DefaultRetryPolicy())
	retries := 0
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		first.RecordArrival(0, now)
		if !first.TryRetry(0, now) {
			continue
		}
		retries++
		second.RecordArrival(1, now)
		if second.TryRetry(1, now) {
			retries++
		}
	}
	require.InDelta(t, 200+5+5, retries, 2, "a fifth, plus the minimum of each instance")
	require.Zero(t, first.Remaining(epoch.Add(time.Second)))
	mixed := NewRetryBudget(DefaultRetryPolicy())
	for i := range 1000 {
		mixed.RecordArrival(i%10/9, epoch) // every tenth request is a retry of another instance
	}
	require.Equal(t, 5+900/5-100, mixed.Remaining(epoch))
	require.Equal(t, 5, first.Remaining(epoch.Add(time.Minute)), "the window has passed")
	require.False(t, first.TryRetry(2, epoch.Add(time.Minute)), "a request has at most three attempts")
	require.Equal(t, 0, ParseAttempt("-1")+ParseAttempt("x"))
}

func pool(n int) (*OutlierDetector, []fleet.TargetID) {
	ids := make([]fleet.TargetID, n)
	for i := range ids {
		ids[i] = fleet.TargetID(rune('a' + i))
	}
	o := NewOutlierDetector(DefaultOutlierPolicy())
	o.SetTargets(ids)
	return o, ids
}

func failInRow(o *OutlierDetector, id fleet.TargetID, now time.Time) {
	for range o.policy.ConsecutiveFailures {
		o.Observe(id, Outcome{Failed: true}, now)
	}
}

// Guards against a fault common to all targets that ejects the whole pool.
func TestNeverMoreThanHalfOfAPoolIsEjected(t *testing.T) {
	for size, want := range map[int]int{1: 0, 2: 1, 5: 2, 8: 4} {
		o, ids := pool(size)
		for _, id := range ids {
			failInRow(o, id, epoch)
		}
		for _, id := range ids {
			for range 30 {
				o.Observe(id, Outcome{Failed: true}, epoch)
			}
		}
		o.Evaluate(epoch)
		require.Equal(t, want, o.Ejected(), "pool of %d", size)
	}
}

// Guards against many requests at once to a target whose ejection time has just passed, against an ejection that never
// ends because the outcome of a probe was lost, and against repeated short ejections of a target that keeps failing.
func TestEjectedTargetComesBackThroughOneProbeAndStaysOutLongerEachTime(t *testing.T) {
	o, ids := pool(4)
	id, now := ids[0], epoch
	failInRow(o, id, now)
	require.Equal(t, CircuitOpen, o.State(id, now))
	require.False(t, o.Begin(id, now))

	now = now.Add(o.policy.BaseEjection)
	require.Equal(t, CircuitHalfOpen, o.State(id, now))
	require.True(t, o.Begin(id, now))
	require.False(t, o.Begin(id, now), "a second request while the probe is in flight")
	require.True(t, o.Observe(id, Outcome{Failed: true}, now))

	require.Equal(t, CircuitOpen, o.State(id, now.Add(2*o.policy.BaseEjection-1)))
	now = now.Add(2 * o.policy.BaseEjection)
	require.True(t, o.Begin(id, now))
	now = now.Add(o.policy.ProbeTimeout)
	require.True(t, o.Begin(id, now), "the probe without outcome has timed out")
	o.Observe(id, Outcome{Latency: time.Second}, now)
	require.Equal(t, CircuitClosed, o.State(id, now))

	failInRow(o, id, now)
	require.Equal(t, CircuitOpen, o.State(id, now.Add(4*o.policy.BaseEjection-1)))
}

// Guards against targets that are slow or fail often without enough consecutive failures and are not ejected, and
// against ejecting targets that are no slower than their peers because the pool is slow as a whole.
func TestTargetsAreJudgedByFailureShareAndAgainstTheirPeers(t *testing.T) {
	o, ids := pool(6)
	for i, id := range ids {
		for n := range 40 {
			latency := time.Second
			if i == 1 {
				latency = 4 * time.Second
			}
			o.Observe(id, Outcome{Failed: i == 2 && n%2 == 0, Latency: latency}, epoch)
		}
	}
	require.Equal(t, []fleet.TargetID{"b", "c"}, o.Evaluate(epoch))
	require.Equal(t, Slowness, o.Reason("b"))
	require.Equal(t, FailureRate, o.Reason("c"))
}

// Guards against batch traffic that uses the online reserve, or that passes while a large transfer has overdrawn the
// budget.
func TestBatchUsesOnlyWhatOnlineLeavesOfALink(t *testing.T) {
	policy := LinkPolicy{BytesPerSecond: 1000, OnlineReserve: 0.25, Burst: time.Second}
	const step = 10 * time.Millisecond
	sent := func(onlinePerStep int64) (batch int64) {
		b := NewLinkBudget(policy, epoch)
		for i := range 10_000 {
			now := epoch.Add(time.Duration(i) * step)
			b.SpendOnline(onlinePerStep, now)
			if ok, _ := b.TryBatch(50, now); ok {
				batch += 50
			}
		}
		return batch
	}
	require.InDelta(t, 75_000, sent(0), 1000, "the reserve stays unused")
	require.InDelta(t, 75_000, sent(2), 1000, "online traffic within its reserve takes nothing from batch traffic")
	require.InDelta(t, 40_000, sent(6), 1000)
	require.LessOrEqual(t, sent(10), int64(1000), "online traffic uses the whole link")

	b := NewLinkBudget(policy, epoch)
	b.SpendOnline(800, epoch)
	ok, _ := b.TryBatch(1, epoch)
	require.False(t, ok, "an online burst leaves less than the reserve")

	b = NewLinkBudget(policy, epoch)
	ok, _ = b.TryBatch(7500, epoch)
	require.True(t, ok, "a transfer larger than the burst starts when the budget is positive")
	require.EqualValues(t, 6500, b.Overdrawn(epoch))
	_, wait := b.TryBatch(1, epoch)
	require.InDelta(t, 9.0, wait.Seconds(), 0.01)
	ok, _ = b.TryBatch(1, epoch.Add(wait))
	require.True(t, ok)
}
