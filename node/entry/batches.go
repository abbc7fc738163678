package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/jobs"
	"eelgrassproxy.example/node/problem"
)

// Batches manages the batch jobs of callers. jobs.Service implements it.
type Batches interface {
	Create(ctx context.Context, caller fleet.CallerID, submission batch.Submission) (jobs.JobWithProgress, error)
	Get(ctx context.Context, caller fleet.CallerID, id batch.JobID) (jobs.JobWithProgress, error)
	List(ctx context.Context, caller fleet.CallerID, after batch.JobID, limit int) (jobs.Page, error)
	Cancel(ctx context.Context, caller fleet.CallerID, id batch.JobID) (jobs.JobWithProgress, error)
	Output(ctx context.Context, caller fleet.CallerID, id batch.JobID, w io.Writer) error
	Errors(ctx context.Context, caller fleet.CallerID, id batch.JobID, w io.Writer) error
}

// WithBatches makes the handler serve /v1/batches, with jobs whose input is an uploaded file. Without it, these calls fail with not_ready.
func WithBatches(batches Batches, files jobs.Files) HandlerOption {
	return func(h *Handler) { h.batches, h.jobFiles = batches, files }
}

const (
	// batchIDPrefix precedes job ids in the caller API.
	batchIDPrefix = "batch_"
	// serviceEndpoint precedes the names of the service and the operation in an endpoint.
	serviceEndpoint = "/v1/services/"
	// defaultPageSize is the number of jobs in a page if the caller gives no limit.
	defaultPageSize = 20
	// storeRetryAfter is the Retry-After sent to callers while the store is unavailable.
	storeRetryAfter = 5 * time.Second
)

// CreateBatch implements caller.Handler.
func (h *Handler) CreateBatch(ctx context.Context, req *caller.CreateBatchRequest, params caller.CreateBatchParams) (caller.CreateBatchRes, error) {
	if h.batches == nil {
		return nil, batchesNotServed()
	}
	s := sessionOf(ctx)
	window, err := time.ParseDuration(req.CompletionWindow)
	if err != nil {
		return nil, problem.NotRun(problem.CodeInvalidRequest, "completion_window %q is not a duration such as 24h", req.CompletionWindow)
	}
	repeatable, err := repeatableEndpoint(s, req.Endpoint)
	if err != nil {
		return nil, err
	}
	file, err := h.jobFiles.File(ctx, s.caller.ID, req.InputFileID)
	if err != nil {
		return nil, batchProblem(err)
	}
	job, err := h.batches.Create(ctx, s.caller.ID, batch.Submission{
		FileID:         req.InputFileID,
		Items:          file.Items,
		Chunks:         file.Chunks,
		Endpoint:       req.Endpoint,
		Repeatable:     repeatable,
		Window:         window,
		IdempotencyKey: params.IdempotencyKey.Or(""),
		Metadata:       req.Metadata.Or(nil),
	})
	return batchResponse(job, err)
}

// repeatableEndpoint reports whether items for the endpoint may run more than once. It returns an error if the endpoint does not exist or
// the caller may not use it.
func repeatableEndpoint(s session, endpoint string) (bool, error) {
	if endpoint == "/v1/chat/completions" || endpoint == "/v1/completions" {
		return true, nil
	}
	name, isService := strings.CutPrefix(endpoint, serviceEndpoint)
	service, operation, ok := strings.Cut(name, "/")
	if !isService || !ok {
		return false, problem.NotRun(problem.CodeInvalidRequest, "endpoint %q takes no batch jobs", endpoint)
	}
	_, found, err := s.bundle.Service(s.caller, service, operation)
	if err != nil {
		return false, resolveProblem(err, name)
	}
	return found.Idempotent, nil
}

// GetBatch implements caller.Handler.
func (h *Handler) GetBatch(ctx context.Context, params caller.GetBatchParams) (caller.GetBatchRes, error) {
	if h.batches == nil {
		return nil, batchesNotServed()
	}
	job, err := h.batches.Get(ctx, sessionOf(ctx).caller.ID, jobID(params.BatchID))
	return batchResponse(job, err)
}

// CancelBatch implements caller.Handler.
func (h *Handler) CancelBatch(ctx context.Context, params caller.CancelBatchParams) (caller.CancelBatchRes, error) {
	if h.batches == nil {
		return nil, batchesNotServed()
	}
	job, err := h.batches.Cancel(ctx, sessionOf(ctx).caller.ID, jobID(params.BatchID))
	return batchResponse(job, err)
}

// ListBatches implements caller.Handler.
func (h *Handler) ListBatches(ctx context.Context, params caller.ListBatchesParams) (caller.ListBatchesRes, error) {
	if h.batches == nil {
		return nil, batchesNotServed()
	}
	page, err := h.batches.List(ctx, sessionOf(ctx).caller.ID, jobID(params.After.Or("")), int(params.Limit.Or(defaultPageSize)))
	if err != nil {
		return nil, batchProblem(err)
	}
	list := &caller.BatchList{Object: caller.BatchListObjectList, Data: []caller.Batch{}, HasMore: page.More}
	for _, job := range page.Jobs {
		list.Data = append(list.Data, *toBatch(jobs.JobWithProgress{Job: job, Progress: job.Counts}))
	}
	if n := len(list.Data); n > 0 {
		list.FirstID.SetTo(list.Data[0].ID)
		list.LastID.SetTo(list.Data[n-1].ID)
	}
	return list, nil
}

// GetBatchOutput implements caller.RawHandler.
func (h *Handler) GetBatchOutput(ctx context.Context, params caller.GetBatchOutputParams, w http.ResponseWriter) error {
	if h.batches == nil {
		return batchesNotServed()
	}
	return streamLines(ctx, w, jobID(params.BatchID), h.batches.Output)
}

// GetBatchErrors implements caller.RawHandler.
func (h *Handler) GetBatchErrors(ctx context.Context, params caller.GetBatchErrorsParams, w http.ResponseWriter) error {
	if h.batches == nil {
		return batchesNotServed()
	}
	return streamLines(ctx, w, jobID(params.BatchID), h.batches.Errors)
}

// streamLines writes JSON lines. If an error occurs after the first byte, it aborts the connection, so that the caller does not take the
// response for complete.
func streamLines(ctx context.Context, w http.ResponseWriter, id batch.JobID, lines func(context.Context, fleet.CallerID, batch.JobID, io.Writer) error) error {
	out := &linesWriter{to: w}
	err := lines(ctx, sessionOf(ctx).caller.ID, id, out)
	switch {
	case err == nil:
		out.start()
		return nil
	case !out.started:
		return batchProblem(err)
	}
	klog.ErrorS(err, "Results of a batch job could not be written completely", "job", id)
	panic(http.ErrAbortHandler)
}

// linesWriter writes the response header before the first byte, and records that it did.
type linesWriter struct {
	to      http.ResponseWriter
	started bool
}

func (w *linesWriter) start() {
	if !w.started {
		w.started = true
		w.to.Header().Set("Content-Type", "application/jsonl")
		w.to.WriteHeader(http.StatusOK)
	}
}

// Write implements io.Writer.
func (w *linesWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	w.start()
	return w.to.Write(p)
}

func jobID(batchID string) batch.JobID {
	return batch.JobID(strings.TrimPrefix(batchID, batchIDPrefix))
}

func batchesNotServed() error {
	return problem.NotRun(problem.CodeNotReady, "this instance takes no batch jobs")
}

// batchProblem converts errors of the jobs service to problems. The problem is marked as not run unless the call may have taken effect.
func batchProblem(err error) error {
	message := eris.Cause(err).Error()
	switch {
	case errors.Is(err, jobs.ErrInvalid):
		return problem.NotRun(problem.CodeInvalidRequest, "%v", err)
	case errors.Is(err, jobs.ErrNotFound), errors.Is(err, jobs.ErrFileNotFound):
		return problem.NotRun(problem.CodeNotFound, "%s", message)
	case errors.Is(err, jobs.ErrKeyMismatch):
		return problem.NotRun(problem.CodeKeyMismatch, "%s", message)
	case errors.Is(err, jobs.ErrFinished):
		return problem.NotRun(problem.CodeJobEnded, "%s", message)
	case errors.Is(err, jobs.ErrNotAccepted), errors.Is(err, jobs.ErrUnavailable):
		return problem.NotRun(problem.CodeStoreUnavailable, "%s", message).WithRetryAfter(storeRetryAfter)
	case errors.Is(err, jobs.ErrUnconfirmed):
		return problem.MayHaveRun(problem.CodeOutcomeUnknown, "%s", message).WithRetryAfter(storeRetryAfter)
	}
	return err
}
