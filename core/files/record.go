package files

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Errors of Encode and Decode.
var (
	// ErrInvalidRecord means that a stored value isn't a valid record of a file, or that a record can't be encoded.
	ErrInvalidRecord = eris.New("record of a file is malformed")
	// ErrRecordTooLarge means that a record exceeds MaxRecordBytes.
	ErrRecordTooLarge = eris.New("record of a file is too large")
)

const (
	idPrefix  = "file-"
	keyPrefix = "/eelgrass/files/"

	// MaxRecordBytes is the store's limit on a value. The largest record has 694 chunks of about 85 bytes (547 that are full at 256
	// lines and 147 that end after 7 MiB, because the next line, of up to 1 MiB, would exceed ChunkBytes)
	// and at most two holders for each chunk, about 250 KB in total.
	MaxRecordBytes = 1 << 20
)

// Record describes one file.
type Record struct {
	ID      string // "file-" followed by the hexadecimal SHA-256 of caller and content
	Caller  fleet.CallerID
	Created time.Time // of the first upload, in whole seconds
	// Uploaded is the time of the last upload of the content, in whole seconds. It may be up to RenewAfter too early, because an upload
	// renews it only after that time. The retention of the file counts from it.
	Uploaded time.Time
	Lines    int
	Bytes    int64
	Chunks   []Chunk
}

// RenewAfter is the age of Uploaded from which another upload of the same content renews it.
const RenewAfter = time.Hour

// Chunk is a part of a file.
type Chunk struct {
	Lines int // at most ChunkLines
	Blob  batch.BlobRef
}

// Prefix returns the key prefix of the records of the caller's files.
func Prefix(caller fleet.CallerID) string {
	digest := sha256.Sum256([]byte(caller))
	return keyPrefix + hex.EncodeToString(digest[:]) + "/"
}

// ShardPrefix returns the key prefix of all files in the shard: those for which the first byte of the SHA-256 of the caller's id, as in Prefix
// (not batch.CallerDigest), is the shard's number. Keys have it as two hexadecimal digits, unlike batch.Shard.String. The files are divided
// into the shards of batch jobs so that the owner of a shard also removes expired files and repairs the copies of their blobs. The shard of a
// job is another byte, the last one of its id, so a file and the jobs that use it are usually in different shards.
func ShardPrefix(shard batch.Shard) string { return fmt.Sprintf("%s%02x", keyPrefix, int(shard)) }

// Key returns the key of a file's record.
func Key(caller fleet.CallerID, id string) string { return Prefix(caller) + id }

// ValidID reports whether id is well-formed: "file-" followed by a SHA-256 in lower-case hexadecimal.
func ValidID(id string) bool {
	digest, ok := strings.CutPrefix(id, idPrefix)
	return ok && len(digest) == 2*sha256.Size && strings.Trim(digest, "0123456789abcdef") == ""
}

// storedRecord is the stored form of a Record. Each holder is listed once and referred to by its index, and digests are in base64, which
// keeps the listing of a caller with many files small.
type storedRecord struct {
	ID      string             `json:"id"`
	Caller  fleet.CallerID     `json:"caller"`
	Created int64              `json:"created"`           // Unix time in seconds
	Renewed int64              `json:"renewed,omitempty"` // seconds from Created to Uploaded
	Lines   int                `json:"lines"`
	Bytes   int64              `json:"bytes"`
	Holders []fleet.InstanceID `json:"holders"`
	Chunks  []storedChunk      `json:"chunks"`
}

type storedChunk struct {
	Digest  []byte `json:"d"`
	Bytes   int64  `json:"b"`
	Lines   int    `json:"n"`
	Holders []int  `json:"h"`
}

// Encode returns the stored form of the record. It returns ErrRecordTooLarge if that exceeds MaxRecordBytes, and ErrInvalidRecord if a digest isn't
// hexadecimal.
func (r Record) Encode() ([]byte, error) {
	stored := storedRecord{ID: r.ID, Caller: r.Caller, Created: r.Created.Unix(), Renewed: r.Uploaded.Unix() - r.Created.Unix(), Lines: r.Lines, Bytes: r.Bytes, Chunks: make([]storedChunk, len(r.Chunks))}
	positions := make(map[fleet.InstanceID]int)
	for i, c := range r.Chunks {
		digest, err := hex.DecodeString(c.Blob.Digest)
		if err != nil {
			return nil, eris.Wrapf(ErrInvalidRecord, "digest of chunk %d: %v", i, err)
		}
		stored.Chunks[i] = storedChunk{Digest: digest, Bytes: c.Blob.Bytes, Lines: c.Lines}
		for _, holder := range c.Blob.Holders {
			if _, listed := positions[holder]; !listed {
				positions[holder] = len(stored.Holders)
				stored.Holders = append(stored.Holders, holder)
			}
			stored.Chunks[i].Holders = append(stored.Chunks[i].Holders, positions[holder])
		}
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidRecord, err)
	}
	if len(value) > MaxRecordBytes {
		return nil, eris.Wrapf(ErrRecordTooLarge, "%d bytes", len(value))
	}
	return value, nil
}

// Decode decodes a stored record. It returns ErrInvalidRecord if the value is malformed.
func Decode(value []byte) (Record, error) {
	var stored storedRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		return Record{}, fmt.Errorf("%w: %v", ErrInvalidRecord, err)
	}
	r := Record{ID: stored.ID, Caller: stored.Caller, Created: time.Unix(stored.Created, 0).UTC(), Lines: stored.Lines, Bytes: stored.Bytes}
	r.Uploaded = r.Created.Add(time.Duration(stored.Renewed) * time.Second)
	r.Chunks = make([]Chunk, len(stored.Chunks))
	for i, c := range stored.Chunks {
		r.Chunks[i] = Chunk{Lines: c.Lines, Blob: batch.BlobRef{Digest: hex.EncodeToString(c.Digest), Bytes: c.Bytes}}
		for _, position := range c.Holders {
			if position < 0 || position >= len(stored.Holders) {
				return Record{}, eris.Wrapf(ErrInvalidRecord, "chunk %d names holder %d of %d", i, position, len(stored.Holders))
			}
			r.Chunks[i].Blob.Holders = append(r.Chunks[i].Blob.Holders, stored.Holders[position])
		}
	}
	return r, nil
}

// SameHolders reports whether both records have the same chunks, by digest, with the same holders in the same order.
func (r Record) SameHolders(other Record) bool {
	return slices.EqualFunc(r.Chunks, other.Chunks, func(a, b Chunk) bool {
		return a.Blob.Digest == b.Blob.Digest && slices.Equal(a.Blob.Holders, b.Blob.Holders)
	})
}
