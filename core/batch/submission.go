package batch

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Bounds of the completion window of a job.
const (
	MinWindow = time.Minute
	MaxWindow = 7 * 24 * time.Hour
)

// Submission is a caller's request to create a job.
type Submission struct {
	FileID         string
	Items          int
	Chunks         []InputChunk // chunks of the file, in order
	Endpoint       string
	Repeatable     bool // requests to the endpoint may run more than once
	Window         time.Duration
	IdempotencyKey string // if empty, the job's id is derived from the content of the submission
	Metadata       map[string]string
}

// check returns ErrInvalidSubmission if no job can be created from the submission.
func (s Submission) check() error {
	switch {
	case s.FileID == "" || s.Endpoint == "":
		return eris.Wrap(ErrInvalidSubmission, "file and endpoint are required")
	case s.Window < MinWindow || s.Window > MaxWindow:
		return eris.Wrapf(ErrInvalidSubmission, "completion window %s, allowed are %s to %s", s.Window, MinWindow, MaxWindow)
	case len(s.Metadata) > MaxMetadata:
		return eris.Wrapf(ErrInvalidSubmission, "%d metadata entries, allowed are %d", len(s.Metadata), MaxMetadata)
	}
	if err := checkChunks(s.Items, s.Chunks); err != nil {
		return fmt.Errorf("%w: %v", ErrInvalidSubmission, err)
	}
	return nil
}

// JobIDOf returns the id of the job that the submission creates: the digest of caller and idempotency key or, without a key, of caller, file,
// endpoint and window. Each part is hashed with its length, so that different lists of parts don't concatenate to the same input.
func JobIDOf(caller fleet.CallerID, s Submission) JobID {
	if s.IdempotencyKey != "" {
		return JobID(digestOf("key", string(caller), s.IdempotencyKey))
	}
	return JobID(digestOf("content", string(caller), s.FileID, s.Endpoint, s.Window.String()))
}

// NewJob returns the job that the submission creates at now. It returns ErrInvalidSubmission if the submission lacks a required field or
// exceeds a limit.
func NewJob(caller fleet.CallerID, s Submission, now time.Time) (Job, error) {
	if err := s.check(); err != nil {
		return Job{}, err
	}
	return Job{
		ID:            JobIDOf(caller, s),
		Caller:        caller,
		Endpoint:      s.Endpoint,
		FileID:        s.FileID,
		RequestDigest: digestOf("request", s.FileID, s.Endpoint, s.Window.String()),
		Repeatable:    s.Repeatable,
		Items:         s.Items,
		Chunks:        s.Chunks,
		Metadata:      s.Metadata,
		Created:       now.UTC(),
		Deadline:      now.Add(s.Window).UTC(),
		State:         JobAccepted,
	}, nil
}

// CallerDigest returns the hexadecimal SHA-256 that stands for the caller in the store's keys.
func CallerDigest(caller fleet.CallerID) string {
	return digestOf("caller", string(caller))
}

func digestOf(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		_ = binary.Write(h, binary.LittleEndian, uint64(len(part)))
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil))
}
