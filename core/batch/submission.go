package batch

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Bounds of the completion window of a job.
const (
	MinWindow = time.Minute
	MaxWindow = 7 * 24 * time.Hour
)

// Submission is what a caller submits as a job.
type Submission struct {
	FileID         string
	Items          int
	Chunks         []InputChunk // of the file, in order
	Endpoint       string
	Repeatable     bool // items of the endpoint may run more than once
	Window         time.Duration
	IdempotencyKey string // empty: the job is named by its content
	Metadata       map[string]string
}

// check returns ErrInvalidSubmission for a submission that cannot become a job.
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
		return eris.Wrap(ErrInvalidSubmission, err.Error())
	}
	return nil
}

// JobIDOf returns the id of the job that a submission makes: the digest of caller and idempotency key, or of caller, file, endpoint and
// window. Each part is hashed with its length, so that no two lists of parts share an id by concatenation.
func JobIDOf(caller fleet.CallerID, s Submission) JobID {
	if s.IdempotencyKey != "" {
		return JobID(digestOf("key", string(caller), s.IdempotencyKey))
	}
	return JobID(digestOf("content", string(caller), s.FileID, s.Endpoint, s.Window.String()))
}

// NewJob returns the job of a submission at the time now, or ErrInvalidSubmission.
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

// CallerDigest returns the hexadecimal SHA-256 that names a caller in keys of the store.
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
