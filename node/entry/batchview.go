package entry

import (
	"strings"
	"time"

	"eelgrassproxy.example/api/caller"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/node/jobs"
)

// batchResponse converts the result of a jobs call to the form of the caller API.
func batchResponse(view jobs.JobWithProgress, err error) (*caller.Batch, error) {
	if err != nil {
		return nil, batchProblem(err)
	}
	return toBatch(view), nil
}

func toBatch(view jobs.JobWithProgress) *caller.Batch {
	out := &caller.Batch{
		ID:               batchIDPrefix + string(view.ID),
		Object:           caller.BatchObjectBatch,
		Endpoint:         view.Endpoint,
		InputFileID:      view.FileID,
		CompletionWindow: formatWindow(view.Deadline.Sub(view.Created)),
		Status:           batchStatus(view),
		CreatedAt:        view.Created.Unix(),
		ExpiresAt:        view.Deadline.Unix(),
		RequestCounts:    batchCounts(view),
	}
	switch view.State {
	case batch.JobCompleted:
		out.CompletedAt.SetTo(view.Finished.Unix())
	case batch.JobExpired:
		out.ExpiredAt.SetTo(view.Finished.Unix())
	case batch.JobCancelled:
		out.CancelledAt.SetTo(view.Finished.Unix())
	}
	if len(view.Metadata) > 0 {
		out.Metadata.SetTo(view.Metadata)
	}
	return out
}

// batchStatus returns the job's status in the caller API. The status is finalizing from the record of the last chunk to the end of the job.
func batchStatus(view jobs.JobWithProgress) caller.BatchStatus {
	switch view.State {
	case batch.JobCompleted:
		return caller.BatchStatusCompleted
	case batch.JobExpired:
		return caller.BatchStatusExpired
	case batch.JobCancelled:
		return caller.BatchStatusCancelled
	}
	if view.Progress.Total() == view.Items {
		return caller.BatchStatusFinalizing
	}
	return caller.BatchStatusInProgress
}

func batchCounts(view jobs.JobWithProgress) caller.BatchCounts {
	p := view.Progress
	counts := caller.BatchCounts{
		Total:     view.Items,
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
