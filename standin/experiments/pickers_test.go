package experiments

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/standin/fleet"
)

// rawLoadScorer rates by the engine's last sample alone, without this instance's own requests since.
type rawLoadScorer struct{ run *run }

func (rawLoadScorer) Name() string { return "raw-load" }

func (s rawLoadScorer) Score(_ *routing.Request, c *routing.Candidate, _ *routing.Pool) float64 {
	w := httptest.NewRecorder()
	s.run.fleet.Engines[c.Target].ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/load", nil))
	var load struct{ Running, Waiting int }
	_ = json.Unmarshal(w.Body.Bytes(), &load) // a failure shows as equal scores and in the figures
	return 1 / (1 + float64(load.Running+load.Waiting)/maxRunning)
}

type variant struct {
	name   string
	router func(*run) *routing.Router
}

func withPicker(p routing.Picker) *routing.Router {
	return routing.NewRouter(routing.DefaultFilters(), routing.DefaultScorers(), p)
}

func variants() []variant {
	return []variant{
		{"default", nil},
		{"random", func(*run) *routing.Router { return withPicker(routing.RandomPicker{}) }},
		{"round-robin", func(*run) *routing.Router { return withPicker(&routing.RoundRobinPicker{}) }},
		{"raw-reports", func(r *run) *routing.Router {
			return routing.NewRouter(routing.DefaultFilters(), []routing.WeightedScorer{{Scorer: rawLoadScorer{r}, Weight: 1}}, routing.BestPicker{})
		}},
		{"two-choices", func(*run) *routing.Router { return withPicker(routing.TwoChoicesPicker{}) }},
	}
}

var loadShares = []float64{0.7, 0.8, 0.9, 0.95}

// Compares the time to first token of the default router with other pickers and with a single queue that knows everything.
func TestPickers(t *testing.T) {
	needFlag(t)
	for _, d := range []fleet.Deployment{fleet.Draadwerk(), fleet.Norrsken()} {
		for _, lag := range []time.Duration{250 * time.Millisecond, time.Second} {
			name := fmt.Sprintf("pickers-%s-lag%dms", d.Name, lag.Milliseconds())
			t.Run(name, func(t *testing.T) {
				results := &Results{Experiment: name, Columns: []string{"load_%", "p50_ms", "p95_ms", "p99_ms", "answered_p99_ms", "failed", "violations", "requests"}}
				for _, share := range loadShares {
					s := setup{deployment: d, engine: EngineOptions(lag), seed: 1}
					comparePickers(t, s, share, results)
				}
				report(t, results)
				plotPickers(t, results)
			})
		}
	}
}

func comparePickers(t *testing.T, s setup, share float64, results *Results) {
	arrivals := Load{Seed: s.seed, Rate: share * s.capacity(), Duration: warmUp + measure}.Arrivals()
	for _, push := range []bool{false, true} {
		name := map[bool]string{false: "bound-pull", true: "bound-push"}[push]
		l := bound(arrivals, s.deployment.Replicas, s.engine, push)
		results.Add(atLoad(name, share), share*100, l.Ms(50), l.Ms(95), l.Ms(99), l.Ms(99), 0, 0, float64(l.Count()))
	}
	values := make([][]float64, len(variants()))
	t.Run(fmt.Sprintf("load%.0f", share*100), func(t *testing.T) {
		for i, v := range variants() {
			own := s
			own.router = v.router
			t.Run(v.name, func(t *testing.T) {
				t.Parallel()
				values[i] = measurePicker(t, own, share)
			})
		}
	})
	for i, v := range variants() {
		results.Add(atLoad(v.name, share), values[i]...)
	}
}

func measurePicker(t *testing.T, s setup, share float64) (values []float64) {
	virtual(t, s, func(r *run) {
		outcomes := r.load(share, measure)
		l := firstTokens(outcomes)
		r.logFailures(outcomes)
		values = []float64{share * 100, l.Ms(50), l.Ms(95), l.Ms(99), answeredP99(outcomes), float64(failed(outcomes)), float64(r.violations(outcomes)), float64(len(outcomes))}
	})
	return values
}

func atLoad(name string, share float64) string { return fmt.Sprintf("%s@%.0f", name, share*100) }
