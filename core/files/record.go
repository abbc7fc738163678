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

// Errors of records.
var (
	// ErrRecord means that a value in the store is no record of a file.
	ErrRecord = eris.New("record of a file is malformed")
	// ErrRecordTooLarge means that a record exceeds MaxRecordBytes.
	ErrRecordTooLarge = eris.New("record of a file is too large")
)

const (
	idPrefix  = "file-"
	keyPrefix = "/eelgrass/files/"

	// MaxRecordBytes is the store's limit of a value. The largest record has 694 chunks of about 85 bytes (547 that end after 256
	// lines and 147 that end after 7 MiB) and at most two holders for each, about 250 KB.
	MaxRecordBytes = 1 << 20
)

// Record describes one file.
type Record struct {
	ID      string // "file-" and the digest of caller and content
	Caller  fleet.CallerID
	Created time.Time // in seconds
	// Uploaded is the time of the last upload of the content, in seconds, up to RenewAfter too early. The retention time counts from it.
	Uploaded time.Time
	Lines    int
	Bytes    int64
	Chunks   []Chunk
}

// RenewAfter is the age at which a further upload of the same content renews Uploaded.
const RenewAfter = time.Hour

// Chunk is a part of a file.
type Chunk struct {
	Lines int // at most ChunkLines
	Blob  batch.BlobRef
}

// Prefix returns the prefix of the keys of the caller's files.
func Prefix(caller fleet.CallerID) string {
	digest := sha256.Sum256([]byte(caller))
	return keyPrefix + hex.EncodeToString(digest[:]) + "/"
}

// ShardPrefix returns the prefix of the keys of files whose caller's digest begins with the shard's number.
func ShardPrefix(shard batch.Shard) string { return fmt.Sprintf("%s%02x", keyPrefix, int(shard)) }

// Key returns the key of a file.
func Key(caller fleet.CallerID, id string) string { return Prefix(caller) + id }

// ValidID tells whether the text has the form of a file's id.
func ValidID(id string) bool {
	digest, ok := strings.CutPrefix(id, idPrefix)
	return ok && len(digest) == 2*sha256.Size && strings.Trim(digest, "0123456789abcdef") == ""
}

// wireRecord is the stored form. Holders are listed once and named by their position, and digests are in base64, so that the listing
// of a caller with many files stays small.
type wireRecord struct {
	ID      string             `json:"id"`
	Caller  fleet.CallerID     `json:"caller"`
	Created int64              `json:"created"`           // seconds since 1970
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

// Encode returns the stored form, or ErrRecordTooLarge.
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

// Decode returns the record of a stored value, or ErrRecord.
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

// SameHolders tells whether both records name the same holders for each chunk.
func (r Record) SameHolders(other Record) bool {
	return slices.EqualFunc(r.Chunks, other.Chunks, func(a, b Chunk) bool {
		return a.Blob.Digest == b.Blob.Digest && slices.Equal(a.Blob.Holders, b.Blob.Holders)
	})
}
