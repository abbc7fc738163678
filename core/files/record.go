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
	// ErrRecord means that a stored value isn't a valid record of a file, or that a record can't be encoded.
	ErrRecord = eris.New("record of a file is malformed")
	// ErrRecordTooLarge means that a record exceeds MaxRecordBytes.
	ErrRecordTooLarge = eris.New("record of a file is too large")
)

const (
	idPrefix  = "file-"
	keyPrefix = "/eelgrass/files/"

	// MaxRecordBytes is the store's limit on a value. The largest record has 694 chunks of about 85 bytes (547 that are full at 256
	// lines and 147 that end after 7 MiB) and at most two holders for each chunk, about 250 KB in total.
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

// ShardPrefix returns the key prefix of all files in the shard: those whose caller's digest begins with the shard's number.
func ShardPrefix(shard batch.Shard) string { return fmt.Sprintf("%s%02x", keyPrefix, int(shard)) }

// Key returns the key of a file's record.
func Key(caller fleet.CallerID, id string) string { return Prefix(caller) + id }

// ValidID reports whether id is well-formed: "file-" followed by a SHA-256 in lower-case hexadecimal.
func ValidID(id string) bool {
	digest, ok := strings.CutPrefix(id, idPrefix)
	return ok && len(digest) == 2*sha256.Size && strings.Trim(digest, "0123456789abcdef") == ""
}

// wireRecord is the stored form of a Record. Each holder is listed once and referred to by its index, and digests are in base64, which
// keeps the listing of a caller with many files small.
type wireRecord struct {
	ID      string             `json:"id"`
	Caller  fleet.CallerID     `json:"caller"`
	Created int64              `json:"created"`           // Unix time in seconds
	Renewed int64              `json:"renewed,omitempty"` // seconds from Created to Uploaded
	Lines   int                `json:"lines"`
	Bytes   int64              `json:"bytes"`
	Holders []fleet.InstanceID `json:"holders"`
	Chunks  []wireChunk        `json:"chunks"`
}

type wireChunk struct {
	Digest  []byte `json:"d"`
	Bytes   int64  `json:"b"`
	Lines   int    `json:"n"`
	Holders []int  `json:"h"`
}

// Encode returns the stored form of the record. It returns ErrRecordTooLarge if that exceeds MaxRecordBytes, and ErrRecord if a digest isn't
// hexadecimal.
func (r Record) Encode() ([]byte, error) {
	wire := wireRecord{ID: r.ID, Caller: r.Caller, Created: r.Created.Unix(), Renewed: r.Uploaded.Unix() - r.Created.Unix(), Lines: r.Lines, Bytes: r.Bytes, Chunks: make([]wireChunk, len(r.Chunks))}
	positions := make(map[fleet.InstanceID]int)
	for i, c := range r.Chunks {
		digest, err := hex.DecodeString(c.Blob.Digest)
		if err != nil {
			return nil, eris.Wrapf(ErrRecord, "digest of chunk %d: %v", i, err)
		}
		wire.Chunks[i] = wireChunk{Digest: digest, Bytes: c.Blob.Bytes, Lines: c.Lines}
		for _, holder := range c.Blob.Holders {
			if _, known := positions[holder]; !known {
				positions[holder] = len(wire.Holders)
				wire.Holders = append(wire.Holders, holder)
			}
			wire.Chunks[i].Holders = append(wire.Chunks[i].Holders, positions[holder])
		}
	}
	value, err := json.Marshal(wire)
	if err != nil {
		return nil, eris.Wrap(ErrRecord, err.Error())
	}
	if len(value) > MaxRecordBytes {
		return nil, eris.Wrapf(ErrRecordTooLarge, "%d bytes", len(value))
	}
	return value, nil
}

// Decode decodes a stored record. It returns ErrRecord if the value is malformed.
func Decode(value []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(value, &wire); err != nil {
		return Record{}, eris.Wrap(ErrRecord, err.Error())
	}
	r := Record{ID: wire.ID, Caller: wire.Caller, Created: time.Unix(wire.Created, 0).UTC(), Lines: wire.Lines, Bytes: wire.Bytes}
	r.Uploaded = r.Created.Add(time.Duration(wire.Renewed) * time.Second)
	r.Chunks = make([]Chunk, len(wire.Chunks))
	for i, c := range wire.Chunks {
		r.Chunks[i] = Chunk{Lines: c.Lines, Blob: batch.BlobRef{Digest: hex.EncodeToString(c.Digest), Bytes: c.Bytes}}
		for _, position := range c.Holders {
			if position < 0 || position >= len(wire.Holders) {
				return Record{}, eris.Wrapf(ErrRecord, "chunk %d names holder %d of %d", i, position, len(wire.Holders))
			}
			r.Chunks[i].Blob.Holders = append(r.Chunks[i].Blob.Holders, wire.Holders[position])
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
