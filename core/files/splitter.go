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
	// ChunkBytes bounds the memory of an upload. A chunk of long lines that reaches it has fewer than ChunkLines lines.
	ChunkBytes = 8 << 20
)

// Splitter checks the lines of one file and groups them into chunks. It keeps one chunk in memory, and 16 bytes for each custom_id.
// Spaces around a line and empty lines are removed, and each line ends in a line feed; the file's id is computed from this form. A Splitter
// isn't safe for concurrent use.
type Splitter struct {
	caller      fleet.CallerID
	contentHash hash.Hash
	lineOf      map[customIDDigest]int // line number of each custom_id
	chunk       []byte
	chunkLines  int // lines in chunk
	linesRead   int // lines passed to Add, including empty ones
	lines       int
	bytes       int64
	maxBytes    int64
}

// customIDDigest is the first half of a custom_id's SHA-256. Even a caller that tries can't find two custom_ids with the same one in practice.
type customIDDigest [sha256.Size / 2]byte

// NewSplitter returns a splitter for a file of the caller. The file may have up to maxBytes bytes, and never more than MaxBytes.
func NewSplitter(caller fleet.CallerID, maxBytes int64) *Splitter {
	s := &Splitter{caller: caller, contentHash: sha256.New(), lineOf: make(map[customIDDigest]int), maxBytes: min(maxBytes, MaxBytes)}
	_, _ = s.contentHash.Write(append([]byte(caller), 0)) // a hash never returns an error
	return s
}

// Fits reports whether the line fits into the current chunk. If not, call TakeChunk before Add.
func (s *Splitter) Fits(line []byte) bool {
	return s.chunkLines == 0 || s.chunkLines < ChunkLines && len(s.chunk)+len(line)+1 <= ChunkBytes
}

// Add checks a line and adds it to the current chunk. The line is passed without its line feed; empty lines are skipped. Errors are of type
// *LineError, also where a limit of the whole file is exceeded.
func (s *Splitter) Add(line []byte) error {
	s.linesRead++
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return nil
	}
	if err := s.check(line); err != nil {
		return &LineError{Line: s.linesRead, Reason: err.Error()}
	}
	s.lines++
	s.chunkLines++
	start := len(s.chunk)
	s.chunk = append(append(s.chunk, line...), '\n')
	s.bytes += int64(len(s.chunk) - start)
	_, _ = s.contentHash.Write(s.chunk[start:])
	return nil
}

// LineTooLongError returns the error to report if the line after the last one added exceeds MaxLineBytes and wasn't read in full.
func (s *Splitter) LineTooLongError() error {
	return &LineError{Line: s.linesRead + 1, Reason: fmt.Sprintf("longer than %d bytes", MaxLineBytes)}
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
	id := customIDDigest(sum[:len(customIDDigest{})])
	if first, used := s.lineOf[id]; used {
		return fmt.Errorf("custom_id %q is already used by line %d", customID, first)
	}
	s.lineOf[id] = s.linesRead
	return nil
}

// TakeChunk returns the current chunk and its number of lines, and starts a new chunk. The bytes are valid until the next call of Add.
func (s *Splitter) TakeChunk() (chunk []byte, lines int) {
	chunk, lines = s.chunk, s.chunkLines
	s.chunk, s.chunkLines = s.chunk[:0], 0
	return chunk, lines
}

// Finish returns the file's id, its number of lines and its size in bytes. It returns ErrInvalid if the file has no request.
func (s *Splitter) Finish() (id string, lines int, size int64, err error) {
	if s.lines == 0 {
		return "", 0, 0, eris.Wrap(ErrInvalid, "the file has no request")
	}
	return idPrefix + hex.EncodeToString(s.contentHash.Sum(nil)), s.lines, s.bytes, nil
}
