package batch

import (
	"encoding/json"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

const (
	// ChunkItems is the largest number of items of a chunk.
	ChunkItems = 256
	// MaxItems is the largest number of items of a job.
	MaxItems = 140_000
	// MaxChunks bounds the chunks of a job. A file of the largest size has at most 694: 547 that end after 256 lines and 147 that end
	// after 7 MiB.
	MaxChunks = 700
	// MaxJobBytes bounds the encoded job record; the store takes values up to 1 MB.
	MaxJobBytes = 1_000_000
	// MaxMetadata bounds the metadata entries of a job.
	MaxMetadata = 16
)

// JobState is the state of a job.
type JobState string

// States of a job. All but accepted are final.
const (
	JobAccepted  JobState = "accepted"
	JobCancelled JobState = "cancelled"
	JobCompleted JobState = "completed"
	JobExpired   JobState = "expired"
)

// JobID is the hexadecimal SHA-256 that names a job.
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
type Job struct {
	ID            JobID             `json:"id"`
	Caller        fleet.CallerID    `json:"caller"`
	Endpoint      string            `json:"endpoint"`
	FileID        string            `json:"file"`
	RequestDigest string            `json:"request_digest"` // tells a resubmission from another use of the same key
	Repeatable    bool              `json:"repeatable"`     // items may run more than once
	Items         int               `json:"items"`
	Chunks        []InputChunk      `json:"chunks"` // bodies in order
	Metadata      map[string]string `json:"metadata,omitempty"`
	Created       time.Time         `json:"created"`
	Deadline      time.Time         `json:"deadline"`
	State         JobState          `json:"state"`
	Finished      time.Time         `json:"finished,omitzero"`
	Counts        Counts            `json:"counts"` // set when the job finishes
}

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

// Encode returns the record as JSON, or ErrJobTooLarge.
func (j Job) Encode() ([]byte, error) {
	value, err := json.Marshal(j)
	if err != nil {
		return nil, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	if len(value) > MaxJobBytes {
		return nil, eris.Wrapf(ErrJobTooLarge, "%d bytes for %d items", len(value), j.Items)
	}
	return value, nil
}

// DecodeJob reads a stored job record, or returns ErrInvalidRecord.
func DecodeJob(value []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(value, &j); err != nil {
		return Job{}, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	switch j.State {
	case JobAccepted, JobCancelled, JobCompleted, JobExpired:
	default:
		return Job{}, eris.Wrapf(ErrInvalidRecord, "job state %q", j.State)
	}
	if err := checkChunks(j.Items, j.Chunks); err != nil {
		return Job{}, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	return j, nil
}

// Cancel returns the cancelled job. Cancelling a cancelled job changes nothing; a finished one gives ErrTransition.
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

// Finish returns the finished job once the counts of its chunk records cover every item; ErrTransition otherwise.
func (j Job) Finish(counts Counts, now time.Time) (Job, error) {
	if j.State != JobAccepted {
		return j, eris.Wrapf(ErrTransition, "finish of a job in state %s", j.State)
	}
	if counts.Total() != j.Items {
		return j, eris.Wrapf(ErrTransition, "finish with results of %d of %d items", counts.Total(), j.Items)
	}
	j.State = JobCompleted
	if counts.Expired > 0 {
		j.State = JobExpired
	}
	j.Counts = counts
	j.Finished = now.UTC()
	return j, nil
}

// checkChunks tells whether the chunks hold exactly the items.
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
