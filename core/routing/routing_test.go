package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
)

func engineCandidate(i int, load float64) Candidate {
	return Candidate{
		Target:     fleet.TargetID(fmt.Sprintf("e%d", i)),
		Kind:       fleet.KindEngine,
		State:      fleet.TargetLive,
		Residency:  Resident,
		Load:       load,
		MaxRunning: 16,
	}
}

func engineRequest() *Request {
	return &Request{ID: "r1", Kind: fleet.KindEngine, Base: "bench-assist", Version: "1"}
}

func defaultRouter() *Router {
	return NewRouter(DefaultFilters(), DefaultScorers(), SpreadPicker{})
}

// Guards against a filter that keeps an unusable target or records the wrong reason, which the explain output shows.
func TestFiltersRejectWithReason(t *testing.T) {
	cases := map[string]struct {
		change func(*Candidate)
		want   Reason
	}{
		"a leaving target gets no new work":          {func(c *Candidate) { c.State = fleet.TargetLeaving }, "leaving"},
		"an ejected target is avoided":               {func(c *Candidate) { c.CircuitOpen = true }, "circuit open"},
		"a target without the version is avoided":    {func(c *Candidate) { c.Residency = ModelAbsent }, "model version not loaded"},
		"a target that still loads is avoided":       {func(c *Candidate) { c.Residency = ModelLoading }, "model version loading"},
		"a plain service does not serve models":      {func(c *Candidate) { c.Kind = fleet.KindService }, "other kind"},
		"a target that was tried is not tried again": {func(c *Candidate) { c.Target = "tried" }, "tried already"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			candidates := []Candidate{engineCandidate(0, 0), engineCandidate(1, 15)}
			c.change(&candidates[0])
			req := engineRequest()
			req.Excluded = []fleet.TargetID{"tried"}
			decision := defaultRouter().Decide(req, candidates, rand.New(rand.NewPCG(1, 1)))
			require.NotNil(t, decision.Chosen)
			require.Equal(t, fleet.TargetID("e1"), decision.Chosen.Target)
			require.Equal(t, c.want, decision.Candidates[0].Rejected)
		})
	}
}

// Guards against a panic or an arbitrary choice when every candidate is rejected.
func TestNoCandidateLeft(t *testing.T) {
	candidate := engineCandidate(0, 0)
	candidate.State = fleet.TargetLeaving
	decision := defaultRouter().Decide(engineRequest(), []Candidate{candidate}, rand.New(rand.NewPCG(1, 1)))
	require.Nil(t, decision.Chosen)
	require.Equal(t, Reason("no candidate left"), decision.Reason)
}

// Guards against herding: instances with the same lagging loads must not all choose the same one of equal targets.
func TestEqualTargetsAreSpread(t *testing.T) {
	candidates := make([]Candidate, 12)
	for i := range candidates {
		candidates[i] = engineCandidate(i, 4)
	}
	counts := map[fleet.TargetID]int{}
	rng := rand.New(rand.NewPCG(7, 7))
	for range 1200 {
		counts[defaultRouter().Decide(engineRequest(), candidates, rng).Chosen.Target]++
	}
	for id, n := range counts {
		require.InDelta(t, 100, n, 50, "share of %s", id)
	}
	require.Len(t, counts, len(candidates))
}

// Guards against prefix affinity that overloads the target of a hot prefix.
func TestPrefixAffinityYieldsToLoad(t *testing.T) {
	req := engineRequest()
	req.Prefix = PrefixOf("bench-assist@1", []byte("You advise lamp workshops."))
	candidates := make([]Candidate, 8)
	for i := range candidates {
		candidates[i] = engineCandidate(i, 4)
	}
	rng := rand.New(rand.NewPCG(3, 3))
	favourite := defaultRouter().Decide(req, candidates, rng).Chosen.Target
	for range 20 {
		require.Equal(t, favourite, defaultRouter().Decide(req, candidates, rng).Chosen.Target, "a prefix keeps its target while loads are even")
	}
	for i := range candidates {
		if candidates[i].Target == favourite {
			candidates[i].Load = 16
		}
	}
	require.NotEqual(t, favourite, defaultRouter().Decide(req, candidates, rng).Chosen.Target)
}

// Guards against estimates that leave out own requests sent after the sample of a lagging report, or that count requests twice once
// a report includes them.
func TestLoadEstimateCombinesReportAndOwnRequests(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var tracker LoadTracker
	tracker.Started(at(0))
	require.Equal(t, 1.0, tracker.Estimate(at(1), 4), "before the first report, the estimate is the number of own requests")

	tracker.Report(fleet.LoadReport{Running: 5, Waiting: 1, SampledAt: at(10)})
	require.Equal(t, 6.0, tracker.Estimate(at(11), 4), "a report includes the requests sent before its sample")

	tracker.Started(at(20))
	require.Equal(t, 10.0, tracker.Estimate(at(21), 4), "peers are assumed to have sent as many requests since the sample")

	tracker.Report(fleet.LoadReport{Running: 1, SampledAt: at(5)})
	require.Equal(t, 10.0, tracker.Estimate(at(22), 4), "an older sample that arrives late is ignored")

	tracker.Ended(at(30))
	tracker.Ended(at(31))
	require.Equal(t, 2.0, tracker.Estimate(at(32), 4))
	require.Zero(t, tracker.InFlight())
	require.Zero(t, tracker.Estimate(at(60_000), 4), "a stale report does not count")
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 24, 100, 1000, 3900} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			candidates := make([]Candidate, n)
			for i := range candidates {
				candidates[i] = engineCandidate(i, float64(i%16))
			}
			req := engineRequest()
			req.Prefix = 42
			rng := rand.New(rand.NewPCG(1, 1))
			router := defaultRouter()
			b.ReportAllocs()
			for b.Loop() {
				router.Decide(req, candidates, rng)
			}
		})
	}
}
