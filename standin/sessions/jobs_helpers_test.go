package sessions

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
	callerapi "eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/core/batch"
	corefleet "eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/decisionlog"
	"eelgrassproxy.example/node/items"
	"eelgrassproxy.example/standin/fleet"
)

const (
	completions = "/v1/completions"
	issuing     = "/v1/services/quotes/issue"
	// ownersSettle is virtual time in which every shard has found its desired owner.
	ownersSettle = time.Minute
	// jobLimit bounds the wait for a job, in virtual time.
	jobLimit = 2 * time.Hour
)

// jobSession is a session of batch jobs. Its golden file holds what happened and the end of each job, without times, since goroutines
// that run at the same virtual time have no order.
type jobSession struct {
	*session
	golden bytes.Buffer
	store  *kv.Client
	spoken int // index of the instance that the caller speaks to
	lost   int // index of the instance that was lost, -1 if none was
}

func newJobSession(t *testing.T, adjust func(*fleet.Options)) *jobSession {
	s := newSession(t, adjust)
	time.Sleep(ownersSettle)
	observer := s.fleet.HTTPClient("observer")
	store, err := kv.NewClient("http://"+s.fleet.Addresses["store"], observer, kv.Options{})
	require.NoError(t, err)
	t.Cleanup(func() {
		s.fleet.Stop()
		s.client.CloseIdleConnections()
		observer.CloseIdleConnections()
		time.Sleep(time.Minute) // lets closed connections and retries end; time stands still once the bubble's function returns
	})
	return &jobSession{session: s, store: store, lost: -1}
}

// line adds a line to the golden file.
func (j *jobSession) line(format string, args ...any) { fmt.Fprintf(&j.golden, format+"\n", args...) }

// call sends a request of the caller to the instance that it speaks to.
func (j *jobSession) call(method, path, contentType string, header http.Header, body io.Reader) (int, []byte, error) {
	url := "http://" + j.fleet.Instances[j.spoken].Settings.Listen.Callers + path
	req, err := http.NewRequestWithContext(j.t.Context(), method, url, body)
	require.NoError(j.t, err)
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := j.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// item is one line of a file: a completion, or a call of the quotes service.
func item(n int, endpoint, fields string) string {
	return fmt.Sprintf(`{"custom_id":"ticket-%d","method":"POST","url":%q,"body":{%s}}`+"\n", n, endpoint, fields)
}

// completionItems returns n lines whose answers have the number of tokens, which take about 10 ms each.
func completionItems(n, tokens int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(item(i, completions, fmt.Sprintf(`"model":"bench-assist","max_tokens":%d,"prompt":"Quote for lamp %d"`, tokens, i)))
	}
	return text.String()
}

func issueItems(n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(item(i, issuing, fmt.Sprintf(`"lamp":%d`, i)))
	}
	return text.String()
}

// upload stores a file and records its chunks and their holders.
func (j *jobSession) upload(content string) string {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	require.NoError(j.t, form.WriteField("purpose", "batch"))
	part, err := form.CreateFormFile("file", "items.jsonl")
	require.NoError(j.t, err)
	_, err = part.Write([]byte(content))
	require.NoError(j.t, err)
	require.NoError(j.t, form.Close())
	status, answer, err := j.call(http.MethodPost, "/v1/files", form.FormDataContentType(), nil, &body)
	require.NoError(j.t, err)
	require.Equal(j.t, http.StatusOK, status, string(answer))
	var file struct {
		ID string `json:"id"`
	}
	require.NoError(j.t, json.Unmarshal(answer, &file))
	j.line("instance-%d accepts a file of %d lines", j.spoken+1, strings.Count(content, "\n"))
	return file.ID
}

// submit creates a job and returns the answer's status and the job.
func (j *jobSession) submit(file, endpoint, key string) (int, callerapi.Batch) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":"24h"}`, file, endpoint)
	status, answer, err := j.call(http.MethodPost, "/v1/batches", "application/json", header, strings.NewReader(body))
	require.NoError(j.t, err)
	j.line("instance-%d answers a submission with status %d", j.spoken+1, status)
	return status, j.decode(status, answer)
}

func (j *jobSession) decode(status int, answer []byte) callerapi.Batch {
	var found callerapi.Batch
	if status == http.StatusOK {
		require.NoError(j.t, json.Unmarshal(answer, &found))
	}
	return found
}

// accept creates a job that must be accepted, and records its holders and its owner.
func (j *jobSession) accept(file, endpoint, key string) batch.JobID {
	status, job := j.submit(file, endpoint, key)
	require.Equal(j.t, http.StatusOK, status)
	id := batch.JobID(strings.TrimPrefix(job.ID, "batch_"))
	j.line("job: %d items in %d chunks, input held by %v", job.RequestCounts.Total, len(j.record(id).Chunks), j.inputHolders(id))
	return id
}

func (j *jobSession) get(id batch.JobID) (callerapi.Batch, error) {
	status, answer, err := j.call(http.MethodGet, "/v1/batches/batch_"+string(id), "", nil, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return j.decode(status, answer), err
}

// await returns when the job has one of the final statuses, and records it.
func (j *jobSession) await(id batch.JobID) callerapi.Batch {
	for end := time.Now().Add(jobLimit); time.Now().Before(end); time.Sleep(time.Second) {
		found, err := j.get(id)
		if err == nil && found.Status != callerapi.BatchStatusInProgress && found.Status != callerapi.BatchStatusFinalizing {
			j.end(id, found)
			return found
		}
	}
	require.FailNow(j.t, "the job does not end", "%+v", j.record(id).State)
	return callerapi.Batch{}
}

// end records how a job ended: its counts, and the result lines by kind with their custom_ids each seen once.
func (j *jobSession) end(id batch.JobID, found callerapi.Batch) {
	c := found.RequestCounts
	j.line("job: %s; total %d, completed %d, failed %d, outcome_unknown %d, expired %d",
		found.Status, c.Total, c.Completed, c.Failed, c.OutcomeUnknown.Or(0), c.Expired.Or(0))
	seen := map[string]int{}
	for _, kind := range []string{"output", "errors"} {
		j.results(id, kind, seen)
	}
	for name, times := range seen {
		require.Equal(j.t, 1, times, "results of %s", name)
	}
}

// results records the number of result lines for each code and the first few reasons.
func (j *jobSession) results(id batch.JobID, kind string, seen map[string]int) {
	status, answer, err := j.call(http.MethodGet, "/v1/batches/batch_"+string(id)+"/"+kind, "", nil, nil)
	require.NoError(j.t, err)
	require.Equal(j.t, http.StatusOK, status, string(answer))
	codes := map[string]int{}
	last := -1
	for text := range strings.Lines(string(answer)) {
		var line struct {
			ID       string `json:"id"`
			CustomID string `json:"custom_id"`
			Response *struct {
				StatusCode int `json:"status_code"`
			} `json:"response"`
			Error *struct{ Code, Message string } `json:"error"`
		}
		require.NoError(j.t, json.Unmarshal([]byte(text), &line))
		seen[line.CustomID]++
		index, err := strconv.Atoi(line.ID[strings.LastIndexByte(line.ID, '-')+1:])
		require.NoError(j.t, err)
		require.Greater(j.t, index, last, "results are not in the order of the items")
		last = index
		code := "completed"
		if line.Error != nil {
			code = line.Error.Code + ": " + addresses.ReplaceAllString(line.Error.Message, "ADDRESS")
		}
		if line.Response != nil {
			code = fmt.Sprintf("%d %s", line.Response.StatusCode, code)
		}
		codes[code]++
	}
	for _, code := range sortedKeys(codes) {
		j.line("    %s: %d times %s", kind, codes[code], code)
	}
}

func sortedKeys(m map[string]int) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// record reads a job's record from the store.
func (j *jobSession) record(id batch.JobID) batch.Job {
	found, err := j.store.Get(j.t.Context(), id.Key())
	require.NoError(j.t, err)
	job, err := batch.DecodeJob(found.Value)
	require.NoError(j.t, err)
	return job
}

// chunks reads a job's chunk records from the store.
func (j *jobSession) chunks(id batch.JobID) []batch.Chunk {
	listing, err := j.store.List(j.t.Context(), id.ChunksPrefix())
	require.NoError(j.t, err)
	var chunks []batch.Chunk
	for _, item := range listing.Items {
		chunk, err := batch.DecodeChunk(item.Value)
		require.NoError(j.t, err)
		chunks = append(chunks, chunk)
	}
	return chunks
}

// inputHolders returns the instances that hold chunks of the job's input.
func (j *jobSession) inputHolders(id batch.JobID) []corefleet.InstanceID {
	var holders []corefleet.InstanceID
	for _, chunk := range j.record(id).Chunks {
		holders = append(holders, chunk.Holders...)
	}
	slices.Sort(holders)
	return slices.Compact(holders)
}

// resultHolders returns the instances that hold results of the job.
func (j *jobSession) resultHolders(id batch.JobID) []corefleet.InstanceID {
	var holders []corefleet.InstanceID
	for _, chunk := range j.chunks(id) {
		holders = append(holders, chunk.Results.Holders...)
	}
	slices.Sort(holders)
	return slices.Compact(holders)
}

// outcomes records the decisions about items that did not complete, counted by their text. What a lost instance saw of its end is left
// out, since it has no order.
func (j *jobSession) outcomes(id batch.JobID) {
	counts := map[string]int{}
	for index := range j.record(id).Items {
		for n, i := range j.fleet.Instances {
			if n == j.lost {
				continue
			}
			for _, line := range i.Daemon.Board().Decisions.Find(items.RequestID(id, index)) {
				var e decisionlog.Entry
				require.NoError(j.t, json.Unmarshal([]byte(line), &e))
				if e.Kind == decisionlog.KindOutcome {
					counts[fmt.Sprintf("attempt %d: %s", e.Attempt, addresses.ReplaceAllString(e.Reason, "ADDRESS"))]++
				}
			}
		}
	}
	for _, text := range sortedKeys(counts) {
		j.line("    decision log: %d times %s", counts[text], text)
	}
}

// owner returns the index of the instance that owns the job's shard, and the epoch.
func (j *jobSession) owner(id batch.JobID) (int, uint64) {
	for end := time.Now().Add(time.Minute); ; time.Sleep(time.Second) {
		found, err := j.store.Get(context.Background(), id.Shard().OwnerKey())
		if err == nil {
			owner, err := batch.DecodeOwner(found.Value)
			require.NoError(j.t, err)
			return j.index(owner.Instance), owner.Epoch
		}
		require.True(j.t, time.Now().Before(end), "the shard has no owner")
	}
}

func (j *jobSession) index(id corefleet.InstanceID) int {
	return slices.IndexFunc(j.fleet.Instances, func(i *fleet.Instance) bool { return i.ID == id })
}

// awaitCalls returns when targets have seen the number of calls of items.
func (j *jobSession) awaitCalls(n int) {
	for end := time.Now().Add(jobLimit); ; time.Sleep(time.Millisecond) {
		calls := j.calls(http.MethodPost)
		if calls >= n {
			return
		}
		require.True(j.t, time.Now().Before(end), "%d calls of items", calls)
	}
}

// awaitRecorded returns when the job has the number of recorded chunks.
func (j *jobSession) awaitRecorded(id batch.JobID, n int) {
	for end := time.Now().Add(jobLimit); len(j.chunks(id)) < n; time.Sleep(100 * time.Millisecond) {
		require.True(j.t, time.Now().Before(end), "%d chunks recorded", len(j.chunks(id)))
	}
}

// calls counts the calls of a method at targets.
func (j *jobSession) calls(method string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, e := range j.events {
		if strings.Contains(e.text, " <- "+method+" ") {
			n++
		}
	}
	return n
}

// crashOwner ends the owner of a job's shard. The caller then speaks to another instance.
func (j *jobSession) crashOwner(id batch.JobID) {
	owner, _ := j.owner(id)
	j.line("instance-%d, the owner of the job's shard, is lost", owner+1)
	require.NoError(j.t, j.fleet.Crash(j.fleet.Instances[owner]))
	j.lost = owner
	j.spoken = (owner + 1) % len(j.fleet.Instances)
}
