// Package batch holds the state machines of batch jobs and their chunks, the records of shard owners, the order in which jobs start items,
// and the limit of batch requests in flight at each target. It does no I/O.
package batch

import (
	"encoding/json"
	"fmt"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

const (
	// ChunkItems is the largest number of items of a chunk.
	ChunkItems = 256
	// MaxItems is the largest number of items of a job.
	MaxItems = 140_000
	// MaxChunks bounds the chunks of a job. A file of the largest size has at most 694 chunks: 547 that are full at 256 lines and 147
	// that end after 7 MiB, because the next line, of up to 1 MiB, would exceed the 8 MiB of a chunk.
	MaxChunks = 700
	// MaxJobBytes bounds the encoded job record in bytes; the store accepts values of up to 1 MB.
	MaxJobBytes = 1_000_000
	// MaxMetadata bounds the number of metadata entries of a job.
	MaxMetadata = 16
)

// JobState is the state of a job.
type JobState string

// States of a job. All except JobAccepted are final.
const (
	JobAccepted  JobState = "accepted"
	JobCancelled JobState = "cancelled"
	JobCompleted JobState = "completed"
	JobExpired   JobState = "expired"
)

// JobID identifies a job. It is a SHA-256 in lower-case hexadecimal; see JobIDOf.
type JobID string

// Counts counts items by their final result.
type Counts struct {
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
	Expired   int `json:"expired"`
	Cancelled int `json:"cancelled"`
}

// Total returns the number of items that have a result.
func (c Counts) Total() int {
	return c.Completed + c.Failed + c.Unknown + c.Expired + c.Cancelled
}

// Plus returns the sum of two counts.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Completed: c.Completed + other.Completed,
		Failed:    c.Failed + other.Failed,
		Unknown:   c.Unknown + other.Unknown,
		Expired:   c.Expired + other.Expired,
		Cancelled: c.Cancelled + other.Cancelled,
	}
}

// Job is the value stored for a job, as JSON.
//
// Created and Deadline are times of day at the instance that accepted the job. Clocks of instances differ and may be set, so that the end of the job
// does not depend on a comparison of Deadline with another time of day; see Window.
type Job struct {
	ID            JobID             `json:"id"`
	Caller        fleet.CallerID    `json:"caller"`
	Endpoint      string            `json:"endpoint"`
	FileID        string            `json:"file"`
	RequestDigest string            `json:"request_digest"` // distinguishes a resubmission from a different request under the same idempotency key
	Repeatable    bool              `json:"repeatable"`     // items may run more than once
	Items         int               `json:"items"`
	Chunks        []InputChunk      `json:"chunks"` // item bodies, in the order of the items
	Metadata      map[string]string `json:"metadata,omitempty"`
	Created       time.Time         `json:"created"`
	Deadline      time.Time         `json:"deadline"`
	State         JobState          `json:"state"`
	Finished      time.Time         `json:"finished,omitzero"`
	Counts        Counts            `json:"counts"` // set by Finish; Cancel doesn't set it
}

// Window returns the age of the job from which on its items expire.
func (j Job) Window() time.Duration { return j.Deadline.Sub(j.Created) }

// ItemsIn returns the number of items in chunk n.
func (j Job) ItemsIn(n int) int { return j.Chunks[n].Lines }

// FirstItem returns the index within the job of the first item in chunk n.
func (j Job) FirstItem(n int) int {
	first := 0
	for _, chunk := range j.Chunks[:n] {
		first += chunk.Lines
	}
	return first
}

// Encode returns the record as JSON. It returns ErrJobTooLarge if that exceeds MaxJobBytes.
func (j Job) Encode() ([]byte, error) {
	value, err := json.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidRecord, err)
	}
	if len(value) > MaxJobBytes {
		return nil, eris.Wrapf(ErrJobTooLarge, "%d bytes for %d items", len(value), j.Items)
	}
	return value, nil
}

// DecodeJob decodes a stored job record. It returns ErrInvalidRecord if the record is malformed or its chunks don't match its items.
func DecodeJob(value []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(value, &j); err != nil {
		return Job{}, fmt.Errorf("%w: %v", ErrInvalidRecord, err)
	}
	switch j.State {
	case JobAccepted, JobCancelled, JobCompleted, JobExpired:
	default:
		return Job{}, eris.Wrapf(ErrInvalidRecord, "job state %q", j.State)
	}
	if err := checkChunks(j.Items, j.Chunks); err != nil {
		return Job{}, fmt.Errorf("%w: %v", ErrInvalidRecord, err)
	}
	return j, nil
}

// Cancel returns the job in the state JobCancelled. A job that is already cancelled is returned unchanged; for a completed or expired job
// Cancel returns ErrTransition.
func (j Job) Cancel(now time.Time) (Job, error) {
	switch j.State {
	case JobCancelled:
		return j, nil
	case JobAccepted:
		j.State = JobCancelled
		j.Finished = now.UTC()
		return j, nil
	}
	return j, eris.Wrapf(ErrTransition, "cancel of a job in state %s", j.State)
}

// Finish returns the finished job: expired if any item expired, otherwise completed. counts is the sum over the job's chunk records. Finish
// returns ErrTransition if the job isn't in the state JobAccepted or if counts doesn't cover every item.
func (j Job) Finish(counts Counts, now time.Time) (Job, error) {
	if j.State != JobAccepted {
		return j, eris.Wrapf(ErrTransition, "finish of a job in state %s", j.State)
	}
	if counts.Total() != j.Items {
		return j, eris.Wrapf(ErrTransition, "finish with results for %d of %d items", counts.Total(), j.Items)
	}
	j.State = JobCompleted
	if counts.Expired > 0 {
		j.State = JobExpired
	}
	j.Counts = counts
	j.Finished = now.UTC()
	return j, nil
}

// checkChunks returns an error unless the sizes are within their limits and the chunks together hold exactly the given number of items.
func checkChunks(items int, chunks []InputChunk) error {
	if items < 1 || items > MaxItems || len(chunks) > MaxChunks {
		return eris.Errorf("%d items in %d chunks, allowed are 1 to %d in up to %d", items, len(chunks), MaxItems, MaxChunks)
	}
	lines := 0
	for n, chunk := range chunks {
		if chunk.Lines < 1 || chunk.Lines > ChunkItems {
			return eris.Errorf("chunk %d has %d items, allowed are 1 to %d", n, chunk.Lines, ChunkItems)
		}
		lines += chunk.Lines
	}
	if lines != items {
		return eris.Errorf("chunks of %d items in all for %d items", lines, items)
	}
	return nil
}
