// Package disk keeps immutable blobs, named by the SHA-256 of their content, in plain files under one folder. A blob that Put has
// acknowledged survives a crash of the machine, and a file with other content than its name says is never returned.
//
// The file of a blob is <folder>/<digits 1-2>/<digits 3-4>/<digest>. Files are written as <folder>/tmp/<n> first.
package disk

import (
	"crypto/sha256"
	"encoding/hex"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// MaxBlobBytes is the largest blob.
const MaxBlobBytes = 64 << 20

const (
	temporaryFolder = "tmp"
	digestDigits    = 2 * sha256.Size
	levelDigits     = 2 // hexadecimal digits of the digest in the name of a folder; 65,536 folders at most
)

// Options of a Store.
type Options struct {
	QuotaBytes int64 // bytes that all blobs together may take; 0 means no quota
	FS         FS    // nil means OS
}

// Info describes a stored blob.
type Info struct {
	Digest    string
	Bytes     int64
	WrittenAt time.Time
}

// Usage is the space that blobs take.
type Usage struct {
	Bytes      int64
	QuotaBytes int64 // 0 means no quota
}

// Store is a set of blobs. All methods are safe for concurrent use.
type Store struct {
	fs     FS
	folder string
	quota  int64

	temporary atomic.Uint64 // number of the next temporary file

	// layout guards the names under folder. Renames and removals of blobs hold it, so that a blob is not collected
	// between its rename and the acknowledgement, and so that Walk counts exactly what is there.
	layout  sync.Mutex
	durable map[string]bool // folders of blobs whose own names are durable; guarded by layout

	// mu guards the fields below; it is taken after layout.
	mu       sync.Mutex
	stored   int64 // bytes of all blobs
	reserved int64 // bytes of blobs that are being written
}

// Open opens the folder, creates it if necessary, and removes the temporary files of an earlier process.
func Open(folder string, o Options) (*Store, error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	s := &Store{fs: o.FS, folder: folder, quota: o.QuotaBytes, durable: make(map[string]bool)}
	if err := s.removeTemporary(); err != nil {
		return nil, err
	}
	if err := s.Walk(func(Info) {}); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Store) removeTemporary() error {
	folder := filepath.Join(s.folder, temporaryFolder)
	if err := s.fs.MkdirAll(folder); err != nil {
		return translate(err, "create the folder of temporary files")
	}
	entries, err := s.fs.ReadDir(folder)
	if err != nil {
		return translate(err, "read the folder of temporary files")
	}
	for _, entry := range entries {
		if err := s.fs.Remove(filepath.Join(folder, entry.Name())); err != nil {
			return translate(err, "remove a temporary file")
		}
	}
	return nil
}

// Usage returns the space taken, blobs that are being written included.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{Bytes: s.stored + s.reserved, QuotaBytes: s.quota}
}

// Digest returns the name of a blob with the content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// ValidDigest tells whether the text is 64 lower-case hexadecimal digits.
func ValidDigest(digest string) bool {
	return len(digest) == digestDigits && strings.Trim(digest, "0123456789abcdef") == ""
}

// path returns the file of a blob.
func (s *Store) path(digest string) string {
	return filepath.Join(s.folder, digest[:levelDigits], digest[levelDigits:2*levelDigits], digest)
}

// reserve takes n bytes of the quota, or fails with ErrFull.
func (s *Store) reserve(n int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quota > 0 && s.stored+s.reserved+n > s.quota {
		return ErrFull
	}
	s.reserved += n
	return nil
}

func (s *Store) release(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved -= n
}

func (s *Store) addStored(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored += n
}

func (s *Store) setStored(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = n
}
