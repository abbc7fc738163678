package entry

import (
	"strings"
	"time"

	"eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/node/jobs"
)

// batchResponse converts the result of a jobs call to the form of the caller API.
func batchResponse(job jobs.JobWithProgress, err error) (*caller.Batch, error) {
	if err != nil {
		return nil, batchProblem(err)
	}
	return toBatch(job), nil
}

func toBatch(job jobs.JobWithProgress) *caller.Batch {
	out := &caller.Batch{
		ID:               batchIDPrefix + string(job.ID),
		Object:           caller.BatchObjectBatch,
		Endpoint:         job.Endpoint,
		InputFileID:      job.FileID,
		CompletionWindow: formatWindow(job.Deadline.Sub(job.Created)),
		Status:           batchStatus(job),
		CreatedAt:        job.Created.Unix(),
		ExpiresAt:        job.Deadline.Unix(),
		RequestCounts:    batchCounts(job),
	}
	switch job.State {
	case batch.JobCompleted:
		out.CompletedAt.SetTo(job.Finished.Unix())
	case batch.JobExpired:
		out.ExpiredAt.SetTo(job.Finished.Unix())
	case batch.JobCancelled:
		out.CancelledAt.SetTo(job.Finished.Unix())
	}
	if len(job.Metadata) > 0 {
		out.Metadata.SetTo(job.Metadata)
	}
	return out
}

// batchStatus returns the job's status in the caller API. The status is finalizing from the record of the last chunk to the end of the job.
func batchStatus(job jobs.JobWithProgress) caller.BatchStatus {
	switch job.State {
	case batch.JobCompleted:
		return caller.BatchStatusCompleted
	case batch.JobExpired:
		return caller.BatchStatusExpired
	case batch.JobCancelled:
		return caller.BatchStatusCancelled
	}
	if job.Progress.Total() == job.Items {
		return caller.BatchStatusFinalizing
	}
	return caller.BatchStatusInProgress
}

func batchCounts(job jobs.JobWithProgress) caller.BatchCounts {
	p := job.Progress
	counts := caller.BatchCounts{
		Total:     job.Items,
		Completed: p.Completed,
		Failed:    p.Total() - p.Completed,
	}
	counts.OutcomeUnknown.SetTo(p.Unknown)
	counts.Expired.SetTo(p.Expired)
	return counts
}

// formatWindow formats a duration as callers write it: 24h, not 24h0m0s.
func formatWindow(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
