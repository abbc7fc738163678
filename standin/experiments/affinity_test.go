package experiments

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/standin/fleet"
)

const (
	hotShare     = 0.4 // of the requests start with the one hot prefix
	coldPrefixes = 400 // the others share one of these, which are more than the engines' caches hold
	prefixWords  = 256 // tokens, 16 blocks
	// pureAffinityWeight lets the prefix outweigh all other scores.
	pureAffinityWeight = 1000
)

// prefixes draws the hot prefix or one of the cold ones.
func prefixes(random *rand.Rand) []string {
	name := "hot"
	if random.Float64() >= hotShare {
		name = fmt.Sprintf("cold%d", random.IntN(coldPrefixes))
	}
	words := make([]string, prefixWords)
	for i := range words {
		words[i] = fmt.Sprintf("%s-%d", name, i)
	}
	return words
}

// ownAffinityScorer rates the preferred target of a prefix 1 whatever its load.
type ownAffinityScorer struct{}

func (ownAffinityScorer) Name() string { return "pure-prefix" }

func (ownAffinityScorer) Score(req *routing.Request, c *routing.Candidate, pool *routing.Pool) float64 {
	level := *pool
	level.MeanLoad = c.Utilisation() // takes the bound on load away
	return routing.PrefixScorer{}.Score(req, c, &level)
}

// Compares the hit ratio of the engines' prefix caches and the time to first token under a hot prefix and many cold ones.
func TestAffinity(t *testing.T) {
	needFlag(t)
	cases := []variant{
		{"default", nil},
		{"random", func(*run) *routing.Router { return withPicker(routing.RandomPicker{}) }},
		{"pure-affinity", func(*run) *routing.Router {
			scorers := append([]routing.WeightedScorer{{Scorer: ownAffinityScorer{}, Weight: pureAffinityWeight}}, routing.DefaultScorers()...)
			return routing.NewRouter(routing.DefaultFilters(), scorers, routing.SpreadPicker{})
		}},
	}
	results := &Results{Experiment: "affinity", Columns: []string{"hit_%", "p50_ms", "p95_ms", "p99_ms", "failed", "violations", "requests"}}
	var names []string
	var values [][]float64
	t.Run("all", func(t *testing.T) {
		for _, d := range []fleet.Deployment{fleet.Draadwerk(), fleet.Norrsken()} {
			for _, v := range cases {
				i := len(names)
				names = append(names, d.Name+" "+v.name)
				values = append(values, nil)
				t.Run(names[i], func(t *testing.T) {
					t.Parallel()
					o := EngineOptions(250 * time.Millisecond)
					o.PrefillPerToken = time.Millisecond // a prompt of 256 cold tokens takes as long as four steps
					virtual(t, setup{deployment: d, engine: o, router: v.router, seed: 1}, func(r *run) { values[i] = measureAffinity(r) })
				})
			}
		}
	})
	for i, name := range names {
		results.Add(name, values[i]...)
	}
	report(t, results)
}

// affinityShare is a share of the capacity with cold prompts of this experiment's length.
const affinityShare = 0.5

func measureAffinity(r *run) []float64 {
	l := Load{Seed: r.setup.seed, Rate: affinityShare * r.setup.capacity(), Duration: warmUp + measure, Prefix: prefixes}
	outcomes := after(warmUp, r.callers.Run(l.Arrivals()))
	cached, prompt := 0, 0
	for _, o := range outcomes {
		cached += o.Cached
		prompt += o.Prompt
	}
	f := firstTokens(outcomes)
	hit := 100 * float64(cached) / float64(max(prompt, 1))
	return []float64{hit, f.Ms(50), f.Ms(95), f.Ms(99), float64(failed(outcomes)), float64(r.violations(outcomes)), float64(len(outcomes))}
}
