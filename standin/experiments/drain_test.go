package experiments

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	corefleet "eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/standin/fleet"
)

const (
	rolls     = 20
	rollEvery = 2 * time.Second
	rollPoll  = 10 * time.Millisecond
	drainFor  = 8 * 30 * time.Second // longest time for draining eight instances one by one
)

// Measures requests cut off while all instances are drained and started again one by one.
func TestDrain(t *testing.T) {
	needFlag(t)
	results := &Results{Experiment: "drain", Columns: []string{"failed", "violations", "p99_ms", "drain_mean_s", "requests"}}
	deployments := []fleet.Deployment{fleet.Draadwerk(), fleet.Norrsken()}
	values := make([][]float64, len(deployments))
	t.Run("all", func(t *testing.T) {
		for i, d := range deployments {
			t.Run(d.Name, func(t *testing.T) {
				t.Parallel()
				virtual(t, setup{deployment: d, engine: EngineOptions(250 * time.Millisecond), seed: 1}, func(r *run) { values[i] = measureDrain(r) })
			})
		}
	})
	for i, d := range deployments {
		results.Add(d.Name, values[i]...)
	}
	report(t, results)
}

func measureDrain(r *run) []float64 {
	var group sync.WaitGroup
	var took time.Duration
	group.Go(func() {
		time.Sleep(warmUp)
		for _, i := range r.fleet.Instances {
			begin := time.Now()
			i.Drain()
			require.NoError(r, i.Wait())
			took += time.Since(begin)
			require.NoError(r, r.fleet.Launch(i))
			for i.Daemon.Ready() != nil {
				time.Sleep(rollPoll)
			}
			time.Sleep(settle)
		}
	})
	l := Load{Seed: r.setup.seed, Rate: faultShare * r.setup.capacity(), Duration: warmUp + drainFor}
	outcomes := after(warmUp, r.callers.Run(l.Arrivals()))
	group.Wait()
	for _, o := range outcomes {
		if o.Failed() {
			r.Logf("cut off: %s at %v by %s: status %d %s told=%v %v (seed %d)", o.ID, o.At, o.Instance, o.Status, o.Code, o.Told, o.Err, r.setup.seed)
		}
	}
	mean := took.Seconds() / float64(len(r.fleet.Instances))
	return []float64{float64(failed(outcomes)), float64(r.violations(outcomes)), firstTokens(outcomes).Ms(99), mean, float64(len(outcomes))}
}

// Measures the time from a roll until the bundle is in force at all instances, and requests that fail meanwhile.
func TestRoll(t *testing.T) {
	needFlag(t)
	results := &Results{Experiment: "roll", Columns: []string{"in_force_p50_s", "in_force_max_s", "failed", "violations", "p99_ms", "requests"}}
	deployments := []fleet.Deployment{fleet.Draadwerk(), fleet.Norrsken()}
	values := make([][]float64, len(deployments))
	t.Run("all", func(t *testing.T) {
		for i, d := range deployments {
			t.Run(d.Name, func(t *testing.T) {
				t.Parallel()
				virtual(t, setup{deployment: d, engine: EngineOptions(250 * time.Millisecond), seed: 1}, func(r *run) { values[i] = measureRoll(r) })
			})
		}
	})
	for i, d := range deployments {
		results.Add(d.Name, values[i]...)
	}
	report(t, results)
}

func measureRoll(r *run) []float64 {
	var group sync.WaitGroup
	inForce := NewLatencies()
	group.Go(func() {
		time.Sleep(warmUp)
		for n := range rolls {
			doc := r.setup.deployment.Document(2 + corefleet.Generation(n))
			doc.Groups[0].Weight = 1 + n%3
			begin := time.Now()
			require.NoError(r, r.fleet.Roll(r.Context(), doc))
			for _, i := range r.fleet.Instances {
				for i.Daemon.Board().Bundle.Generation() < doc.Generation {
					time.Sleep(rollPoll)
				}
			}
			inForce.Record(time.Since(begin))
			time.Sleep(rollEvery)
		}
	})
	outcomes := r.load(faultShare, measure)
	group.Wait()
	return []float64{inForce.Ms(50) / 1000, inForce.Ms(100) / 1000, float64(failed(outcomes)), float64(r.violations(outcomes)), firstTokens(outcomes).Ms(99), float64(len(outcomes))}
}
