package itemjobs_test

import (
	"bytes"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/node/itemjobs"
)

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

// captureLog collects the log lines until the test ends.
func captureLog(t *testing.T) *logBuffer {
	b := &logBuffer{}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(b, nil)))
	t.Cleanup(klog.ClearLogger)
	return b
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// submissions returns the lines about answers to submissions.
func (b *logBuffer) submissions() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range bytes.Lines(b.buffer.Bytes()) {
		if bytes.Contains(line, []byte(`"msg":"Submission answered"`)) {
			found = append(found, string(line))
		}
	}
	return found
}

// submissionsCounted returns the number of submissions that an instance counted with an outcome.
func (n *node) submissionsCounted(outcome string) int64 {
	counter, ok := n.metrics.Snapshot().Counters()["item_jobs.submissions+outcome="+outcome]
	if !ok {
		return 0
	}
	return counter.Value()
}

// Guards against a rejected job whose log does not say what each instance that was to record it answered.
func TestAnswerToASubmissionIsLoggedAndCounted(t *testing.T) {
	log := captureLog(t)
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		first, second := f.nodes[0], f.nodes[1]
		require.NoError(t, first.service.Submit(t.Context(), submission("j", "a")))
		require.Empty(t, log.submissions(), "an accepted job is logged by its owner")
		require.Equal(t, int64(1), first.submissionsCounted("accepted"))

		first.store.setOnCreate(refuseCreation)
		second.store.setOnCreate(refuseCreation)
		require.ErrorIs(t, first.service.Submit(t.Context(), submission("k", "b")), itemjobs.ErrUnavailable)
		require.Equal(t, int64(1), first.submissionsCounted("unavailable"))
		lines := log.submissions()
		require.Len(t, lines, 1)
		require.Contains(t, lines[0], `"job":"k","route":"jobs","outcome":"unavailable","may_be_recorded":false`)
		require.Contains(t, lines[0], `["this instance in 0 ms: unavailable: store is unavailable: status 503"`)
		require.Contains(t, lines[0], `"`+second.address+` in 0 ms: `)

		big := submission("l", "c")
		big.Items[0].Tokens = 2000
		require.ErrorIs(t, first.service.Submit(t.Context(), big), itemjobs.ErrTokenLimit)
		require.Equal(t, int64(1), first.submissionsCounted("token_limit"))
		time.Sleep(5 * time.Second) // until the items have ended
	})
}
