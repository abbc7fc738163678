package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/standin/fleet"
)

// call sends a request of the caller to instance i and returns the body of an answer with status 200.
func (p *processes) call(i int, method, path, contentType string, body io.Reader) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+p.fleet.Instances[i].Settings.Listen.Callers+path, body)
	require.NoError(p.t, err)
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	return answer, err
}

// submit uploads n items at instance i and creates a job of them; it returns when the job is acknowledged.
func (p *processes) submit(i, n int, endpoint, body string) batch.JobID {
	var upload bytes.Buffer
	form := multipart.NewWriter(&upload)
	require.NoError(p.t, form.WriteField("purpose", "batch"))
	part, err := form.CreateFormFile("file", "items.jsonl")
	require.NoError(p.t, err)
	for item := range n {
		_, err := fmt.Fprintf(part, `{"custom_id":"ticket-%d","method":"POST","url":%q,"body":%s}`+"\n", item, endpoint, body)
		require.NoError(p.t, err)
	}
	require.NoError(p.t, form.Close())
	answer, err := p.call(i, http.MethodPost, "/v1/files", form.FormDataContentType(), &upload)
	require.NoError(p.t, err)
	var file, job struct{ ID string }
	require.NoError(p.t, json.Unmarshal(answer, &file))
	submission := fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":"1h"}`, file.ID, endpoint)
	answer, err = p.call(i, http.MethodPost, "/v1/batches", "application/json", strings.NewReader(submission))
	require.NoError(p.t, err)
	require.NoError(p.t, json.Unmarshal(answer, &job))
	return batch.JobID(strings.TrimPrefix(job.ID, "batch_"))
}

// completed returns when instance i says that the job has ended.
func (p *processes) completed(i int, id batch.JobID) {
	p.t.Helper()
	p.eventually("the job completes", func() bool {
		answer, err := p.call(i, http.MethodGet, "/v1/batches/batch_"+string(id), "", nil)
		return err == nil && strings.Contains(string(answer), `"status":"completed"`)
	})
}

// results returns the job's result lines, checked to be one for each of n items.
func (p *processes) results(i int, id batch.JobID, n int) (output, failures string) {
	p.t.Helper()
	lines := [2]string{}
	seen := map[string]int{}
	for k, kind := range []string{"output", "errors"} {
		answer, err := p.call(i, http.MethodGet, "/v1/batches/batch_"+string(id)+"/"+kind, "", nil)
		require.NoError(p.t, err)
		lines[k] = string(answer)
		for text := range strings.Lines(lines[k]) {
			var line struct {
				CustomID string `json:"custom_id"`
			}
			require.NoError(p.t, json.Unmarshal([]byte(text), &line))
			seen[line.CustomID]++
		}
	}
	require.Len(p.t, seen, n)
	for name, times := range seen {
		require.Equal(p.t, 1, times, name)
	}
	return lines[0], lines[1]
}

// owner returns the index of the instance that owns the job's shard, -1 if none does.
func (p *processes) owner(id batch.JobID) int {
	store, err := kv.NewClient("http://"+p.fleet.Addresses["store"], &http.Client{Transport: &http.Transport{}}, kv.Options{})
	require.NoError(p.t, err)
	found, err := store.Get(p.t.Context(), id.Shard().OwnerKey())
	if err != nil {
		return -1
	}
	owner, err := batch.DecodeOwner(found.Value)
	require.NoError(p.t, err)
	return slices.IndexFunc(p.fleet.Instances, func(i *fleet.Instance) bool { return i.ID == owner.Instance })
}

// Guards against a job that is lost with the instance that acknowledged it.
func TestAJobSurvivesTheKillOfTheInstanceThatAcknowledgedIt(t *testing.T) {
	p := startProcesses(t, 3)
	const items = 300
	id := p.submit(0, items, "/v1/completions", `{"model":"bench-assist","max_tokens":4,"prompt":"A quote."}`)
	p.signal(0, syscall.SIGKILL)
	p.completed(1, id)
	output, _ := p.results(2, id, items)
	require.Equal(t, items, strings.Count(output, "\n"))
}

// Guards against an owner that wakes after its lease has ended and runs items again, or changes recorded results.
func TestAnOwnerThatWakesAfterItsLeaseDoesNoHarm(t *testing.T) {
	p := startProcesses(t, 3)
	const items = 2000
	id := p.submit(0, items, issuePath, `{"lamp":"brass"}`)
	p.eventually("the job has an owner that runs items", func() bool { return len(p.fleet.Ledger.Executions()) > 50 })
	frozen := p.owner(id)
	require.GreaterOrEqual(t, frozen, 0)
	p.signal(frozen, syscall.SIGSTOP)
	atStop := len(p.fleet.Ledger.Executions())
	require.Less(t, atStop, items, "the job was over before its owner was frozen")
	other := (frozen + 1) % len(p.fleet.Instances)
	p.eventually("another instance owns the shard", func() bool { o := p.owner(id); return o >= 0 && o != frozen })
	p.completed(other, id)
	output, failures := p.results(other, id, items)
	require.Contains(t, failures, "outcome_unknown", "items were in flight when the owner was frozen")
	atEnd := len(p.fleet.Ledger.Executions())

	p.signal(frozen, syscall.SIGCONT)
	p.eventually("the owner that woke is in use again", func() bool { return p.state(other, frozen) == "alive" })
	p.completed(frozen, id)
	again, failuresAgain := p.results(frozen, id, items)
	require.Equal(t, output, again)
	require.Equal(t, failures, failuresAgain)
	times := map[string]int{}
	for _, e := range p.fleet.Ledger.Executions() {
		times[e.IdempotencyKey]++
		require.Equal(t, 1, times[e.IdempotencyKey], "item %s ran twice", e.IdempotencyKey)
	}
	// Only requests that were already on their way when the owner was frozen may still run.
	require.LessOrEqual(t, len(p.fleet.Ledger.Executions())-atEnd, batch.GroupItems, "items that were told as unknown ran after the owner woke")
	t.Logf("executions: %d when the owner was frozen, %d at the end of the job, %d after it woke", atStop, atEnd, len(p.fleet.Ledger.Executions()))
}
