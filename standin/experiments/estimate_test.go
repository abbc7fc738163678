package experiments

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/standin/fleet"
)

// sampleEvery is the interval between looks at the load estimates.
const sampleEvery = 200 * time.Millisecond

// errorSum gathers the differences between estimated and sampled load.
type errorSum struct{ n, sum, squares, most float64 }

func (e *errorSum) add(x float64) {
	e.n++
	e.sum += x
	e.squares += x * x
	e.most = max(e.most, x)
}

func (e *errorSum) mean() float64 { return e.sum / e.n }
func (e *errorSum) rms() float64  { return math.Sqrt(e.squares / e.n) }

// Measures how far the instances' estimates of the load on all engines, on which admission rests, are from the engines' own samples, in
// requests. The column names state the number of instances that a balance of own requests is multiplied by.
func TestEstimate(t *testing.T) {
	needFlag(t)
	results := &Results{Experiment: "estimate", Columns: []string{
		"load_%", "true_mean", "capacity", "peers8_bias", "peers8_rms", "peers8_most", "peers1_bias", "peers1_rms", "peers1_most", "refused"}}
	values := make([][]float64, len(loadShares))
	t.Run("all", func(t *testing.T) {
		for i, share := range loadShares {
			t.Run(fmt.Sprintf("load%.0f", share*100), func(t *testing.T) {
				t.Parallel()
				s := setup{deployment: fleet.Draadwerk(), engine: EngineOptions(250 * time.Millisecond), seed: 1}
				virtual(t, s, func(r *run) { values[i] = measureEstimate(r, share) })
			})
		}
	})
	for i, share := range loadShares {
		results.Add(atLoad("draadwerk", share), values[i]...)
	}
	report(t, results)
}

func measureEstimate(r *run, share float64) []float64 {
	var group sync.WaitGroup
	var truth, all, one errorSum
	group.Go(func() {
		time.Sleep(warmUp)
		for range int(measure / sampleEvery) {
			time.Sleep(sampleEvery)
			actual := r.sampledLoad()
			truth.add(actual)
			for _, i := range r.fleet.Instances {
				all.add(r.estimate(i, len(r.fleet.Instances)) - actual)
				one.add(r.estimate(i, 1) - actual)
			}
		}
	})
	outcomes := r.load(share, measure)
	group.Wait()
	r.logFailures(outcomes)
	capacity := float64(maxRunning * r.setup.deployment.Replicas)
	return []float64{share * 100, truth.mean(), capacity, all.mean(), all.rms(), all.most, one.mean(), one.rms(), one.most, float64(failed(outcomes))}
}

// sampledLoad returns the requests at all engines by their latest samples.
func (r *run) sampledLoad() float64 {
	total := 0
	for _, e := range r.fleet.Engines {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/load", nil))
		var load struct{ Running, Waiting int }
		_ = json.Unmarshal(w.Body.Bytes(), &load) // a failure shows as a load of zero
		total += load.Running + load.Waiting
	}
	return float64(total)
}

// estimate returns an instance's estimate of the requests at all engines.
func (r *run) estimate(i *fleet.Instance, peers int) float64 {
	candidates := make([]routing.Candidate, 0, len(r.fleet.Engines))
	for id := range r.fleet.Engines {
		candidates = append(candidates, routing.Candidate{Target: id})
	}
	i.Daemon.Board().Loads.Estimate(candidates, time.Now(), peers)
	total := 0.0
	for _, c := range candidates {
		total += c.Load
	}
	return total
}
