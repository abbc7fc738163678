package experiments

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/standin/fleet"
)

const (
	// dryShare and rainShare are the online demand outside and inside bursts, as shares of the capacity.
	dryShare  = 0.35
	rainShare = 0.7
	// dryTime and rainTime are the durations of the phases, which alternate.
	dryTime  = 20 * time.Second
	rainTime = 10 * time.Second
	// nightItems and itemTokens are the size of the batch job, which is not finished within the run.
	nightItems = 8000
	itemTokens = 40
	// unlimited is a batch limit that never holds.
	unlimited = 1 << 20
)

// policy is one way of running batch beside online requests.
type policy struct {
	name  string
	batch bool
	yield *batch.YieldPolicy
}

func policies() []policy {
	return []policy{
		{name: "batch-off"},
		{name: "yield", batch: true},
		{name: "static-share", batch: true, yield: &batch.YieldPolicy{StaticLimit: 1}},
		{name: "no-limit", batch: true, yield: &batch.YieldPolicy{StaticLimit: unlimited}},
	}
}

// Measures what batch does to online requests when their demand doubles within seconds, and how much of the capacity that online
// leaves idle batch uses.
func TestRain(t *testing.T) {
	needFlag(t)
	for _, d := range []fleet.Deployment{fleet.Draadwerk(), fleet.Norrsken()} {
		t.Run(d.Name, func(t *testing.T) {
			results := &Results{Experiment: "rain-" + d.Name, Columns: []string{
				"first_p50_ms", "first_p95_ms", "first_p99_ms", "failed", "violations", "requests", "batch_tokens", "of_idle_%", "preempted"}}
			all := policies()
			values := make([][]float64, len(all))
			t.Run("all", func(t *testing.T) {
				for i, p := range all {
					t.Run(p.name, func(t *testing.T) {
						t.Parallel()
						s := setup{deployment: d, engine: EngineOptions(250 * time.Millisecond), seed: 1, yield: p.yield}
						virtual(t, s, func(r *run) { values[i] = measureRain(r, p.batch) })
					})
				}
			})
			for i, p := range all {
				results.Add(p.name, values[i]...)
			}
			report(t, results)
		})
	}
}

func measureRain(r *run, withBatch bool) []float64 {
	if withBatch {
		submitNight(r)
	}
	arrivals := rainArrivals(r.setup)
	cancelled, tokens := r.engineWork()
	begin := time.Now()
	outcomes := r.callers.Run(arrivals)
	took := time.Since(begin)
	cancelledAfter, tokensAfter := r.engineWork()
	online := 0
	for i, o := range outcomes {
		if o.Whole {
			online += arrivals[i].Tokens
		}
	}
	capacity := r.setup.capacity() * meanAnswerTokens * took.Seconds()
	batchTokens := float64(tokensAfter - tokens - online)
	latencies := firstTokens(after(warmUp, outcomes))
	return []float64{
		latencies.Ms(50), latencies.Ms(95), latencies.Ms(99),
		float64(failed(outcomes)), float64(r.violations(outcomes)), float64(len(outcomes)),
		batchTokens, 100 * batchTokens / (capacity - float64(online)), float64(cancelledAfter - cancelled),
	}
}

// rainArrivals alternates dry and rainy phases after the warm-up.
func rainArrivals(s setup) []Arrival {
	var all []Arrival
	at := time.Duration(0)
	phase := func(share float64, d time.Duration, seed uint64) {
		for _, a := range (Load{Seed: seed, Rate: share * s.capacity(), Duration: d}).Arrivals() {
			a.At += at
			a.ID = fmt.Sprintf("p%d-%s", seed, a.ID)
			all = append(all, a)
		}
		at += d
	}
	phase(dryShare, warmUp, s.seed)
	for n := range uint64(3) {
		phase(rainShare, rainTime, s.seed+10*n+1)
		phase(dryShare, dryTime, s.seed+10*n+2)
	}
	return all
}

// engineWork returns the runs cancelled and the tokens generated at all engines.
func (r *run) engineWork() (cancelled, tokens int) {
	for _, e := range r.fleet.Engines {
		cancelled += e.Cancelled()
		tokens += e.Tokens()
	}
	return cancelled, tokens
}

// submitNight uploads the items and creates the job.
func submitNight(r *run) {
	r.network.Place("night-desk", r.setup.deployment.StoreDomain)
	client := r.fleet.HTTPClient("night-desk")
	defer client.CloseIdleConnections()
	base := "http://" + r.fleet.Instances[0].Settings.Listen.Callers
	var file struct{ ID string }
	body, contentType := nightFile(r.setup.deployment.Model)
	post(r, client, base+"/v1/files", contentType, body, &file)
	job, err := json.Marshal(map[string]string{"input_file_id": file.ID, "endpoint": "/v1/chat/completions", "completion_window": "24h"})
	require.NoError(r, err)
	post(r, client, base+"/v1/batches", "application/json", bytes.NewReader(job), &struct{}{})
	time.Sleep(settle)
}

func nightFile(model string) (io.Reader, string) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	_ = form.WriteField("purpose", "batch")
	part, _ := form.CreateFormFile("file", "night.jsonl")
	for n := range nightItems {
		fmt.Fprintf(part, `{"custom_id":"t%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"Quote for repair ticket %d please"}]}}`+"\n", n, model, itemTokens, n)
	}
	_ = form.Close()
	return &body, form.FormDataContentType()
}

func post(r *run, client *http.Client, url, contentType string, body io.Reader, out any) {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, url, body)
	require.NoError(r, err)
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey)
	req.Header.Set("Content-Type", contentType)
	resp, err := client.Do(req)
	require.NoError(r, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(r, err)
	require.Equal(r, http.StatusOK, resp.StatusCode, string(raw))
	require.NoError(r, json.Unmarshal(raw, out))
}
