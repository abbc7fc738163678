package experiments

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/routing"
	"eelgrassproxy.example/standin/engine"
	"eelgrassproxy.example/standin/fleet"
)

var (
	enabled   = flag.Bool("experiments", false, "run the experiments")
	outFolder = flag.String("out", "", "folder for the results as JSON, one file for each experiment")
	baseline  = flag.String("baseline", "", "folder with earlier results to compare with")
	plots     = flag.String("plots", "", "folder for plots as SVG")
)

const (
	warmUp  = 15 * time.Second // not measured
	measure = 60 * time.Second
	settle  = 5 * time.Second
)

func needFlag(t *testing.T) {
	if !*enabled {
		t.Skip("runs with -experiments only")
	}
}

// tolerance is the relative difference between two runs below which a figure counts as unchanged.
const tolerance = 0.1

// report prints and saves the results of an experiment, and prints what differs from the baseline.
func report(t *testing.T, r *Results) {
	require.NoError(t, r.Write(os.Stdout))
	if *baseline != "" {
		before, err := LoadResults(filepath.Join(*baseline, r.Experiment+".json"))
		require.NoError(t, err)
		for _, c := range Compare(before, r, tolerance) {
			fmt.Printf("%s %s: %.5g before, %.5g now\n", c.Row, c.Column, c.Before, c.After)
		}
	}
	if *outFolder != "" {
		require.NoError(t, os.MkdirAll(*outFolder, 0o755))
		require.NoError(t, r.Save(filepath.Join(*outFolder, r.Experiment+".json")))
	}
}

// setup describes one run on virtual time.
type setup struct {
	deployment fleet.Deployment
	engine     engine.Options
	router     func(*run) *routing.Router // nil means the default
	yield      *batch.YieldPolicy         // nil means the default
	seed       uint64
	timeout    time.Duration // first-token deadline of the callers
}

// run is a fleet with its callers inside a synctest bubble.
type run struct {
	*testing.T
	setup    setup
	fleet    *fleet.Fleet
	network  *fleet.Virtual
	callers  *Callers
	attempts *Attempts
}

// capacity is the deployment's in requests per second.
func (s setup) capacity() float64 { return Capacity(s.deployment.Replicas, s.engine) }

// silenceLog drops the instances' log once, before any of them runs.
var silenceLog = sync.OnceFunc(func() { klog.SetLogger(logr.Discard()) })

// virtual runs play before a fleet that serves.
func virtual(t *testing.T, s setup, play func(*run)) {
	silenceLog()
	synctest.Test(t, func(t *testing.T) {
		r := &run{T: t, setup: s, network: fleet.NewVirtual(s.deployment), attempts: NewAttempts()}
		options := fleet.Options{
			Deployment: s.deployment,
			Network:    r.network,
			Folder:     t.TempDir(),
			Engine:     func(int) engine.Options { return s.engine },
			Seed:       s.seed,
			Observe:    r.attempts.Observe,
			Yield:      s.yield,
		}
		if s.router != nil {
			options.Router = s.router(r)
		}
		f, err := fleet.Start(options)
		require.NoError(t, err)
		r.fleet = f
		r.network.Place("operator", s.deployment.StoreDomain)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.NoError(t, f.Roll(ctx, s.deployment.Document(1)))
		require.NoError(t, f.AwaitReady(ctx))
		time.Sleep(settle)
		r.callers = NewCallers(f, r.network)
		r.callers.Timeout = s.timeout
		play(r)
		f.Stop()
		r.callers.Close()
		time.Sleep(2 * time.Minute) // lets closed connections and retries end; time stands still once the bubble's function returns
	})
}

// load runs the share of the capacity and returns the outcomes after the warm-up.
func (r *run) load(share float64, duration time.Duration) []Outcome {
	l := Load{Seed: r.setup.seed, Rate: share * r.setup.capacity(), Duration: warmUp + duration}
	return after(warmUp, r.callers.Run(l.Arrivals()))
}

func after(start time.Duration, outcomes []Outcome) []Outcome {
	for i, o := range outcomes {
		if o.At >= start {
			return outcomes[i:]
		}
	}
	return nil
}

// firstTokens returns the times to first token. Requests without one count as the longest time.
func firstTokens(outcomes []Outcome) *Latencies {
	l := NewLatencies()
	for _, o := range outcomes {
		if o.FirstToken > 0 {
			l.Record(o.FirstToken)
		} else {
			l.Record(latencyMost)
		}
	}
	return l
}

// violations counts answers that are wrong, and refusals that say not-run although an engine saw the request.
func (r *run) violations(outcomes []Outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.Violation != "" {
			n++
			r.Logf("VIOLATION %s: %s (seed %d)", o.ID, o.Violation, r.setup.seed)
		}
		if o.NotRun && r.attempts.Of(o.ID) > 0 {
			n++
			r.Logf("VIOLATION %s: not_run but an engine saw it, code %s (seed %d)", o.ID, o.Code, r.setup.seed)
		}
	}
	return n
}

func failed(outcomes []Outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.Failed() {
			n++
		}
	}
	return n
}

// answeredP99 returns the p99 of the requests that were answered, in milliseconds.
func answeredP99(outcomes []Outcome) float64 {
	l := NewLatencies()
	for _, o := range outcomes {
		if o.FirstToken > 0 {
			l.Record(o.FirstToken)
		}
	}
	return l.Ms(99)
}

// logFailures logs how often each kind of failure came.
func (r *run) logFailures(outcomes []Outcome) {
	kinds := map[string]int{}
	for _, o := range outcomes {
		if o.Failed() {
			kinds[fmt.Sprintf("%d %s told=%v %s %s", o.Status, o.Code, o.Told, tail(o.Message), short(o.Err))]++
		}
	}
	for kind, n := range kinds {
		r.Logf("%d failures: %s", n, kind)
	}
}

// tail returns the end of a message, which has the reason of a refusal.
func tail(message string) string { return message[max(0, len(message)-60):] }

// short returns the end of an error's text, which has the cause.
func short(err error) string {
	if err == nil {
		return ""
	}
	return tail(err.Error())
}
