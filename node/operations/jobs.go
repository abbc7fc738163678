package operations

import (
	"context"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/operator"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/node/jobs"
)

// Jobs gives operators access to the jobs of all callers. jobs.Service implements it.
type Jobs interface {
	ListOpen(ctx context.Context, after batch.JobID, limit int) (jobs.Page, error)
	GetAny(ctx context.Context, id batch.JobID) (jobs.JobWithProgress, error)
	CancelAny(ctx context.Context, id batch.JobID) (jobs.JobWithProgress, error)
}

// errNoJobs is returned by the job calls of an instance without Jobs.
var errNoJobs = eris.Wrap(ErrNotFound, "this instance knows no batch jobs")

// ListJobs implements operator.Handler: it returns a page of the open jobs, with the progress that their records hold.
func (h *Handler) ListJobs(ctx context.Context, params operator.ListJobsParams) (*operator.JobList, error) {
	if h.Jobs == nil {
		return nil, errNoJobs
	}
	page, err := h.Jobs.ListOpen(ctx, batch.JobID(params.After.Or("")), int(params.Limit.Or(jobs.MaxPage)))
	if err != nil {
		return nil, err
	}
	list := &operator.JobList{Jobs: []operator.Job{}, More: page.More}
	for _, job := range page.Jobs {
		list.Jobs = append(list.Jobs, *jobOf(jobs.JobWithProgress{Job: job, Progress: job.Counts}))
	}
	return list, nil
}

// GetJob implements operator.Handler.
func (h *Handler) GetJob(ctx context.Context, params operator.GetJobParams) (*operator.Job, error) {
	if h.Jobs == nil {
		return nil, errNoJobs
	}
	job, err := h.Jobs.GetAny(ctx, batch.JobID(params.Job))
	if err != nil {
		return nil, err
	}
	return jobOf(job), nil
}

// CancelJob implements operator.Handler.
func (h *Handler) CancelJob(ctx context.Context, params operator.CancelJobParams) (*operator.Job, error) {
	if h.Jobs == nil {
		return nil, errNoJobs
	}
	job, err := h.Jobs.CancelAny(ctx, batch.JobID(params.Job))
	if err != nil {
		return nil, err
	}
	return jobOf(job), nil
}

func jobOf(job jobs.JobWithProgress) *operator.Job {
	out := &operator.Job{
		ID:        string(job.ID),
		Caller:    string(job.Caller),
		Endpoint:  job.Endpoint,
		File:      job.FileID,
		State:     string(job.State),
		Shard:     int(job.ID.Shard()),
		Items:     job.Items,
		Completed: job.Progress.Completed,
		Failed:    job.Progress.Failed,
		Unknown:   job.Progress.Unknown,
		Expired:   job.Progress.Expired,
		Created:   job.Created,
		Deadline:  job.Deadline,
	}
	if !job.Finished.IsZero() {
		out.Finished.SetTo(job.Finished)
	}
	return out
}

// describeJob sets the status and the code of the response to an error of the package jobs. It reports whether err is one.
func describeJob(err error, out *operator.ErrorStatusCode) bool {
	switch {
	case errors.Is(err, jobs.ErrNotFound):
		out.StatusCode, out.Response.Error.Code = http.StatusNotFound, "not_found"
	case errors.Is(err, jobs.ErrFinished):
		out.StatusCode, out.Response.Error.Code = http.StatusConflict, "job_ended"
	case errors.Is(err, jobs.ErrUnavailable):
		out.StatusCode, out.Response.Error.Code = http.StatusServiceUnavailable, "store_unavailable"
	case errors.Is(err, jobs.ErrUnconfirmed):
		out.StatusCode, out.Response.Error.Code = http.StatusBadGateway, "outcome_unknown"
	default:
		return false
	}
	return true
}
