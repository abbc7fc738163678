package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// line is one line of an output or error file.
type line struct {
	ID       string        `json:"id"`
	CustomID string        `json:"custom_id,omitempty"`
	Response *lineResponse `json:"response"`
	Error    *lineError    `json:"error"`
}

type lineResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body,omitempty"`
}

type lineError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Output writes the results of completed items that are recorded so far as JSON lines, in the order of the items. It holds at most one
// chunk in memory. Errors: ErrNotFound, also for the job of another caller; ErrUnavailable; and those of w. If anything was written
// before an error, the output is incomplete.
func (s *Service) Output(ctx context.Context, caller fleet.CallerID, id batch.JobID, w io.Writer) error {
	return s.stream(ctx, caller, id, w, func(r batch.Result) bool { return r.Status == batch.ItemCompleted })
}

// Errors is Output for the items that have a recorded result and are not completed.
func (s *Service) Errors(ctx context.Context, caller fleet.CallerID, id batch.JobID, w io.Writer) error {
	return s.stream(ctx, caller, id, w, func(r batch.Result) bool { return r.Status != batch.ItemCompleted })
}

// stream writes the wanted results of a caller's job.
func (s *Service) stream(ctx context.Context, caller fleet.CallerID, id batch.JobID, w io.Writer, wanted func(batch.Result) bool) error {
	ctx = kv.WithPurpose(ctx, storePurpose)
	job, _, err := s.read(ctx, id)
	if err != nil {
		return err
	}
	if job.Caller != caller {
		return eris.Wrapf(ErrNotFound, "job %q", id)
	}
	chunks, err := s.chunks(ctx, id)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(w)
	for _, chunk := range chunks {
		if err := s.streamChunk(ctx, id, chunk, encoder, wanted); err != nil {
			return err
		}
	}
	return nil
}

// streamChunk writes the wanted results of a chunk, if they are recorded.
func (s *Service) streamChunk(ctx context.Context, id batch.JobID, chunk batch.Chunk, encoder *json.Encoder, wanted func(batch.Result) bool) error {
	if chunk.Results == nil {
		return nil
	}
	data, err := s.bulk.Get(ctx, *chunk.Results)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "read results %s: %v", chunk.Results.Digest, err)
	}
	results, err := batch.DecodeResults(data)
	if err != nil {
		return eris.Wrapf(err, "results %s", chunk.Results.Digest)
	}
	for _, r := range results {
		if !wanted(r) {
			continue
		}
		if err := encoder.Encode(lineOf(id, r)); err != nil {
			return eris.Wrap(err, "write a result")
		}
	}
	return nil
}

// lineOf converts a recorded result to a line. The request id consists of the job's id and the item's index, so that a line is the
// same each time it is read.
func lineOf(id batch.JobID, r batch.Result) line {
	request := fmt.Sprintf("%s-%d", id, r.Index)
	out := line{ID: "batch_req_" + request, CustomID: r.CustomID}
	if r.HTTP != 0 {
		out.Response = &lineResponse{StatusCode: r.HTTP, RequestID: request, Body: r.Body}
	}
	if r.Status != batch.ItemCompleted {
		out.Error = &lineError{Code: string(r.Status), Message: r.Reason}
	}
	return out
}
