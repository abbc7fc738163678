package experiments

import (
	"fmt"
	"testing"
	"time"

	"eelgrassproxy.example/standin/fleet"
)

// deadline is the objective for the time to first token, which the callers state.
const deadline = 1300 * time.Millisecond

// Measures goodput, time until refusal, truth of not-run and retries at the peak and in overload.
func TestOverload(t *testing.T) {
	needFlag(t)
	results := &Results{Experiment: "overload", Columns: []string{
		"load_%", "goodput_rps", "of_peak_%", "answered_%", "refused_%", "other_%", "refusal_p50_ms", "refusal_p99_ms", "late_%", "first_p99_ms",
		"false_not_run", "violations", "retries_%", "requests"}}
	shares := []float64{0.95, 1.5, 2}
	deployments := []fleet.Deployment{fleet.Draadwerk(), fleet.Norrsken()}
	values := make([][]float64, len(shares)*len(deployments))
	t.Run("all", func(t *testing.T) {
		for i := range values {
			d, share := deployments[i/len(shares)], shares[i%len(shares)]
			t.Run(fmt.Sprintf("%s%.0f", d.Name, share*100), func(t *testing.T) {
				t.Parallel()
				s := setup{deployment: d, engine: EngineOptions(250 * time.Millisecond), seed: 1, timeout: deadline}
				virtual(t, s, func(r *run) { values[i] = measureOverload(r, share) })
			})
		}
	})
	for i, v := range values {
		peak := values[i/len(shares)*len(shares)][1]
		v[2] = 100 * v[1] / peak
		results.Add(fmt.Sprintf("%s@%.0f", deployments[i/len(shares)].Name, v[0]), v...)
	}
	report(t, results)
}

func measureOverload(r *run, share float64) []float64 {
	outcomes := r.load(share, measure)
	refusals, answers := NewLatencies(), NewLatencies()
	good, answered, refused, late, other, falseNotRun, retries := 0, 0, 0, 0, 0, 0, 0
	for _, o := range outcomes {
		retries += max(r.attempts.Of(o.ID)-1, 0)
		switch {
		case o.Whole:
			answered++
			answers.Record(o.FirstToken)
			if o.FirstToken <= deadline {
				good++
			} else {
				late++
			}
		case o.Refused():
			refused++
			refusals.Record(o.Ended)
			if r.attempts.Of(o.ID) > 0 {
				falseNotRun++
			}
		default:
			other++
		}
	}
	r.logFailures(outcomes)
	n := float64(len(outcomes))
	percent := func(k int) float64 { return 100 * float64(k) / n }
	return []float64{share * 100, float64(good) / measure.Seconds(), 0, percent(answered), percent(refused), percent(other), refusals.Ms(50), refusals.Ms(99),
		percent(late), answers.Ms(99), float64(falseNotRun), float64(r.violations(outcomes)), percent(retries), n}
}
