package files

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Limits of a chunk.
const (
	ChunkLines = 256
	// ChunkBytes bounds the memory of an upload when lines are long; such a chunk has fewer than 256 lines.
	ChunkBytes = 8 << 20
)

// Splitter checks the lines of one file and groups them into chunks. It holds one chunk, and 16 bytes for each custom_id.
// Lines are kept as they are, without empty lines and with a line feed after each; this normal form is the content of the file.
type Splitter struct {
	caller   fleet.CallerID
	content  hash.Hash
	seen     map[idDigest]int // line of each custom_id
	chunk    []byte
	inChunk  int // lines in chunk
	read     int // lines given, empty ones included
	lines    int
	bytes    int64
	maxBytes int64
}

// idDigest is half of a SHA-256, in which no two custom_ids can be made to collide in practice.
type idDigest [sha256.Size / 2]byte

// NewSplitter returns a splitter for a file of the caller. maxBytes is at most MaxBytes.
func NewSplitter(caller fleet.CallerID, maxBytes int64) *Splitter {
	s := &Splitter{caller: caller, content: sha256.New(), seen: make(map[idDigest]int), maxBytes: min(maxBytes, MaxBytes)}
	_, _ = s.content.Write(append([]byte(caller), 0)) // a hash never fails
	return s
}

// Fits tells whether the line can be added to the chunk; if not, Take the chunk first.
func (s *Splitter) Fits(line []byte) bool {
	return s.inChunk == 0 || s.inChunk < ChunkLines && len(s.chunk)+len(line)+1 <= ChunkBytes
}

// Add checks the line, without its line feed, and adds it to the chunk. Empty lines are passed over. Errors are *LineError, or
// ErrInvalid for the whole file.
func (s *Splitter) Add(line []byte) error {
	s.read++
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return nil
	}
	if err := s.check(line); err != nil {
		return &LineError{Line: s.read, Reason: err.Error()}
	}
	s.lines++
	s.inChunk++
	start := len(s.chunk)
	s.chunk = append(append(s.chunk, line...), '\n')
	s.bytes += int64(len(s.chunk) - start)
	_, _ = s.content.Write(s.chunk[start:])
	return nil
}

// TooLong returns the error for a line after the last one added that exceeds MaxLineBytes.
func (s *Splitter) TooLong() error {
	return &LineError{Line: s.read + 1, Reason: fmt.Sprintf("longer than %d bytes", MaxLineBytes)}
}

func (s *Splitter) check(line []byte) error {
	switch {
	case len(line) > MaxLineBytes:
		return fmt.Errorf("longer than %d bytes", MaxLineBytes)
	case s.lines == MaxLines:
		return fmt.Errorf("the file has more than %d requests", MaxLines)
	case s.bytes+int64(len(line))+1 > s.maxBytes:
		return fmt.Errorf("the file has more than %d bytes", s.maxBytes)
	}
	parsed, err := ParseLine(line)
	if err != nil {
		return err
	}
	return s.checkUnique(parsed.CustomID)
}

func (s *Splitter) checkUnique(customID string) error {
	sum := sha256.Sum256([]byte(customID))
	id := idDigest(sum[:len(idDigest{})])
	if first, used := s.seen[id]; used {
		return fmt.Errorf("custom_id %q is already used by line %d", customID, first)
	}
	s.seen[id] = s.read
	return nil
}

// Take returns the chunk and its number of lines, and starts a new one. The bytes are valid until the next Add.
func (s *Splitter) Take() (chunk []byte, lines int) {
	chunk, lines = s.chunk, s.inChunk
	s.chunk, s.inChunk = s.chunk[:0], 0
	return chunk, lines
}

// Finish returns the id, the number of lines and the bytes of the whole file. A file without a request is ErrInvalid.
func (s *Splitter) Finish() (id string, lines int, size int64, err error) {
	if s.lines == 0 {
		return "", 0, 0, eris.Wrap(ErrInvalid, "the file has no request")
	}
	return idPrefix + hex.EncodeToString(s.content.Sum(nil)), s.lines, s.bytes, nil
}
