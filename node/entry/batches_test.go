package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/jobs"
	"eelgrassproxy.example/node/problem"
)

// fakeBatches returns the job or the error and records the last submission.
type fakeBatches struct {
	job       jobs.JobWithProgress
	err       error
	lines     string
	submitted batch.Submission
}

func (f *fakeBatches) Create(_ context.Context, _ fleet.CallerID, s batch.Submission) (jobs.JobWithProgress, error) {
	f.submitted = s
	return f.job, f.err
}
func (f *fakeBatches) Get(context.Context, fleet.CallerID, batch.JobID) (jobs.JobWithProgress, error) {
	return f.job, f.err
}
func (f *fakeBatches) Cancel(context.Context, fleet.CallerID, batch.JobID) (jobs.JobWithProgress, error) {
	return f.job, f.err
}
func (f *fakeBatches) List(context.Context, fleet.CallerID, batch.JobID, int) (jobs.Page, error) {
	return jobs.Page{Jobs: []batch.Job{f.job.Job}, More: true}, f.err
}
func (f *fakeBatches) Output(_ context.Context, _ fleet.CallerID, _ batch.JobID, w io.Writer) error {
	_, _ = io.WriteString(w, f.lines)
	return f.err
}
func (f *fakeBatches) Errors(ctx context.Context, c fleet.CallerID, id batch.JobID, w io.Writer) error {
	return f.Output(ctx, c, id, w)
}
func (f *fakeBatches) File(context.Context, fleet.CallerID, string) (jobs.File, error) {
	return jobs.File{Items: 3, Chunks: []batch.InputChunk{{BlobRef: batch.BlobRef{Digest: "d"}, Lines: 3}}}, nil
}

func batchHandler(f *fakeBatches) (*Handler, context.Context) {
	ctx := context.WithValue(context.Background(), sessionKey{}, session{caller: &bundle.ResolvedCaller{ID: "a"}})
	return NewHandler(nil, nil, "", 0, WithBatches(f, f)), ctx
}

// Guards against jobs that are created without the window, the key or the repeatability of the submission.
func TestASubmissionReachesTheJobsWithAllItsFields(t *testing.T) {
	created := time.Unix(1000, 0)
	f := &fakeBatches{job: jobs.JobWithProgress{Job: batch.Job{ID: "j", Items: 3, State: batch.JobAccepted, Created: created, Deadline: created.Add(24 * time.Hour)}}}
	h, ctx := batchHandler(f)
	req := &caller.CreateBatchRequest{InputFileID: "f", Endpoint: "/v1/completions", CompletionWindow: "24h"}
	res, err := h.CreateBatch(ctx, req, caller.CreateBatchParams{IdempotencyKey: caller.NewOptString("k")})
	require.NoError(t, err)
	want := batch.Submission{
		FileID: "f", Items: 3, Chunks: []batch.InputChunk{{BlobRef: batch.BlobRef{Digest: "d"}, Lines: 3}}, Endpoint: "/v1/completions",
		Repeatable: true, Window: 24 * time.Hour, IdempotencyKey: "k",
	}
	require.Equal(t, want, f.submitted)
	out := res.(*caller.Batch)
	require.Equal(t, "batch_j", out.ID)
	require.Equal(t, "24h", out.CompletionWindow)
	require.Equal(t, caller.BatchStatusInProgress, out.Status)

	for _, bad := range []caller.CreateBatchRequest{{Endpoint: "/v1/models", CompletionWindow: "24h"}, {Endpoint: "/v1/completions", CompletionWindow: "soon"}} {
		_, err = h.CreateBatch(ctx, &bad, caller.CreateBatchParams{})
		require.Equal(t, problem.CodeInvalidRequest, toProblem(err).Code)
	}
	_, err = NewHandler(nil, nil, "", 0).CreateBatch(ctx, req, caller.CreateBatchParams{})
	require.Equal(t, problem.CodeNotReady, toProblem(err).Code)
}

// Guards against errors marked "not run" for a job that may have been accepted.
func TestErrorsOfJobsSayWhetherSomethingWasAccepted(t *testing.T) {
	cases := []struct {
		name   string
		err    error
		code   problem.Code
		notRun bool
	}{
		{"a refused submission", jobs.ErrInvalid, problem.CodeInvalidRequest, true},
		{"a store that is down", jobs.ErrNotAccepted, problem.CodeStoreUnavailable, true},
		{"a write of unknown outcome", jobs.ErrUnconfirmed, problem.CodeOutcomeUnknown, false},
		{"a key of another request", jobs.ErrKeyMismatch, problem.CodeKeyMismatch, true},
		{"a job of another caller", jobs.ErrNotFound, problem.CodeNotFound, true},
		{"a job that has ended", jobs.ErrFinished, problem.CodeJobEnded, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, ctx := batchHandler(&fakeBatches{err: c.err})
			_, err := h.CancelBatch(ctx, caller.CancelBatchParams{BatchID: "batch_j"})
			require.Equal(t, c.code, toProblem(err).Code)
			require.Equal(t, c.notRun, toProblem(err).NotRun)
		})
	}
}

// Guards against output that looks complete although reading it failed half way.
func TestBrokenOutputIsNotTakenForComplete(t *testing.T) {
	h, ctx := batchHandler(&fakeBatches{lines: "{}\n"})
	w := httptest.NewRecorder()
	require.NoError(t, h.GetBatchOutput(ctx, caller.GetBatchOutputParams{}, w))
	require.Equal(t, "application/jsonl", w.Header().Get("Content-Type"))
	require.Equal(t, "{}\n", w.Body.String())
	h, ctx = batchHandler(&fakeBatches{lines: "{}\n", err: errors.New("holder is gone")})
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		_ = h.GetBatchErrors(ctx, caller.GetBatchErrorsParams{}, httptest.NewRecorder())
	})
	h, ctx = batchHandler(&fakeBatches{err: jobs.ErrUnavailable})
	err := h.GetBatchOutput(ctx, caller.GetBatchOutputParams{}, httptest.NewRecorder())
	require.Equal(t, problem.CodeStoreUnavailable, toProblem(err).Code)
}
