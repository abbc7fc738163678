package experiments

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/node/logging"
	"eelgrassproxy.example/standin/engine"
	"eelgrassproxy.example/standin/fleet"
)

// rig is one instance on loopback with engines, reached through the instance or directly.
type rig struct {
	fleet  *fleet.Fleet
	client *http.Client
	next   atomic.Int64
}

const (
	rigStep        = time.Millisecond // each token is an event of its own, as with a real engine
	rigConcurrency = 32
)

func newRig(b *testing.B) *rig {
	// Formats each line as an instance does and drops it.
	require.NoError(b, logging.Setup(io.Discard, 0))
	d := fleet.Draadwerk()
	f, err := fleet.Start(fleet.Options{
		Deployment: d, Network: fleet.NewLoopback(), Instances: 1, Folder: b.TempDir(), Seed: 1,
		Engine: func(int) engine.Options {
			o := engine.DefaultOptions()
			o.StepBase, o.StepPerSequence, o.PrefillPerToken = rigStep, 0, 0
			return o
		},
	})
	require.NoError(b, err)
	b.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	require.NoError(b, f.Roll(ctx, d.Document(1)))
	require.NoError(b, f.AwaitReady(ctx))
	return &rig{fleet: f, client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2 * rigConcurrency}}}
}

// send sends one request directly or through the instance and returns the time to the first event.
func (r *rig) send(direct bool, tokens int) (time.Duration, error) {
	n := r.next.Add(1)
	model, address := r.fleet.Deployment.Model, r.fleet.Instances[0].Settings.Listen.Callers
	if direct {
		model += "@" + r.fleet.Deployment.Version
		address = r.fleet.Addresses[fmt.Sprintf("engine-%d", n%int64(len(r.fleet.Engines))+1)]
	}
	a := Arrival{ID: fmt.Sprintf("b%d", n), Prompt: strings.Fields(strings.Repeat("word ", int(meanPromptTokens))), Tokens: tokens}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(a.body(model)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", a.ID)
	begin := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var first [1]byte
	if _, err := io.ReadFull(resp.Body, first[:]); err != nil {
		return 0, err
	}
	took := time.Since(begin)
	rest, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || !bytes.Contains(rest, []byte("[DONE]"))) {
		err = fmt.Errorf("status %d, answer %q", resp.StatusCode, rest)
	}
	return took, err
}

// usage is what the process used.
type usage struct {
	cpu     time.Duration
	mallocs uint64
}

func used() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // cannot fail with these arguments
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), mallocs: m.Mallocs}
}

// each returns what one of n requests used, rigConcurrency of them at a time.
func (r *rig) each(b *testing.B, n int, direct bool, tokens int) (cpu time.Duration, mallocs float64) {
	before := used()
	var group sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(n))
	for range rigConcurrency {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				if _, err := r.send(direct, tokens); err != nil {
					b.Error(err)
				}
			}
		})
	}
	group.Wait()
	after := used()
	return (after.cpu - before.cpu) / time.Duration(n), float64(after.mallocs-before.mallocs) / float64(n)
}

// Measures what the instance adds to the time to the first event of an engine on loopback, one request at a time. Direct and relayed
// requests alternate, so that both see the same machine.
func BenchmarkAddedLatency(b *testing.B) {
	r := newRig(b)
	var direct, relayed []time.Duration
	for b.Loop() {
		for _, isDirect := range []bool{true, false} {
			took, err := r.send(isDirect, 2)
			require.NoError(b, err)
			if isDirect {
				direct = append(direct, took)
			} else {
				relayed = append(relayed, took)
			}
		}
	}
	for _, p := range []float64{0.5, 0.99} {
		d, x := quantile(direct, p), quantile(relayed, p)
		b.ReportMetric(float64(d.Microseconds()), fmt.Sprintf("direct-p%.0f-µs", p*100))
		b.ReportMetric(float64(x.Microseconds()), fmt.Sprintf("relayed-p%.0f-µs", p*100))
		b.ReportMetric(float64((x - d).Microseconds()), fmt.Sprintf("added-p%.0f-µs", p*100))
	}
}

// Measures the CPU time and allocations that one instance adds to a request and to a token: the use of the process with the instance in
// the path less its use for direct requests, for short and long answers.
func BenchmarkInstanceCost(b *testing.B) {
	const short, long, requests = 2, 202, 1000
	r := newRig(b)
	r.each(b, requests, false, short) // opens the connections
	r.each(b, requests, true, short)
	b.ResetTimer()
	var cpu [2]time.Duration
	var mallocs [2]float64
	for b.Loop() {
		for i, tokens := range []int{short, long} {
			relayedCPU, relayedMallocs := r.each(b, requests, false, tokens)
			directCPU, directMallocs := r.each(b, requests, true, tokens)
			cpu[i] += relayedCPU - directCPU
			mallocs[i] += relayedMallocs - directMallocs
		}
	}
	n := float64(b.N)
	perToken := float64(cpu[1]-cpu[0]) / (long - short) / n
	perRequest := float64(cpu[0])/n - short*perToken
	b.ReportMetric(perToken/1000, "µs/token")
	b.ReportMetric(perRequest/1000, "µs/request")
	b.ReportMetric(float64(time.Second)/perToken, "tokens/s/core")
	b.ReportMetric(float64(time.Second)/(perRequest+short*perToken), "short-requests/s/core")
	b.ReportMetric((mallocs[1]-mallocs[0])/(long-short)/n, "allocs/token")
	b.ReportMetric(mallocs[0]/n, "allocs/short-request")
}
