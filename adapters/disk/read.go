package disk

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Get returns the content of a blob. Errors: ErrNotFound, ErrCorrupt, ErrIO.
func (s *Store) Get(digest string) ([]byte, error) {
	file, info, err := s.open(digest)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var content bytes.Buffer
	content.Grow(int(min(info.Size(), MaxBlobBytes)) + bytes.MinRead) // ReadFrom grows the buffer otherwise
	if _, err := content.ReadFrom(io.LimitReader(file, MaxBlobBytes+1)); err != nil {
		return nil, s.drop(digest, info, err)
	}
	if Digest(content.Bytes()) != digest {
		return nil, s.drop(digest, info, errMismatch)
	}
	return content.Bytes(), nil
}

// Reader returns the content of a blob as a stream, with its size. The file is read twice, so that a corrupt one is found before
// the first byte is returned. Errors: ErrNotFound, ErrCorrupt, ErrIO.
func (s *Store) Reader(digest string) (io.ReadCloser, int64, error) {
	file, info, err := s.open(digest)
	if err != nil {
		return nil, 0, err
	}
	if err := s.check(digest, file, info); err != nil {
		_ = file.Close()
		return nil, 0, err
	}
	return file, info.Size(), nil
}

// check compares the content with the digest and returns to the start of the file.
func (s *Store) check(digest string, file ReadFile, info fs.FileInfo) error {
	sum := sha256.New()
	if _, err := io.Copy(sum, file); err != nil {
		return s.drop(digest, info, err)
	}
	if hex.EncodeToString(sum.Sum(nil)) != digest {
		return s.drop(digest, info, errMismatch)
	}
	_, err := file.Seek(0, io.SeekStart)
	return translate(err, "seek in a blob file")
}

func (s *Store) open(digest string) (ReadFile, fs.FileInfo, error) {
	if !ValidDigest(digest) {
		return nil, nil, eris.Wrapf(ErrBadDigest, "%q", digest)
	}
	file, err := s.fs.Open(s.path(digest))
	if err != nil {
		return nil, nil, translate(err, "open a blob file")
	}
	info, err := file.Stat()
	if err != nil {
		_ = file.Close()
		return nil, nil, translate(err, "inspect a blob file")
	}
	return file, info, nil
}

// errMismatch is the cause of a drop when the file could be read.
var errMismatch = errors.New("content does not have the digest")

// drop removes a file that is corrupt or unreadable, unless a Put has replaced it since it was opened.
func (s *Store) drop(digest string, opened fs.FileInfo, cause error) error {
	s.layout.Lock()
	defer s.layout.Unlock()
	err := eris.Wrapf(ErrCorrupt, "%s: %v", digest, cause)
	now, statErr := s.fs.Stat(s.path(digest))
	if statErr != nil || !os.SameFile(opened, now) {
		return err
	}
	if removeErr := s.remove(digest, now.Size()); removeErr != nil {
		return eris.Wrapf(ErrCorrupt, "%s: %v; removing the file failed: %v", digest, cause, removeErr)
	}
	return err
}

// remove deletes a file; layout is held.
func (s *Store) remove(digest string, size int64) error {
	if err := s.fs.Remove(s.path(digest)); err != nil {
		return translate(err, "remove a blob file")
	}
	s.addStored(-size)
	return nil
}

// Stat describes a blob without reading its content. Errors: ErrNotFound, ErrIO.
func (s *Store) Stat(digest string) (Info, error) {
	if !ValidDigest(digest) {
		return Info{}, eris.Wrapf(ErrBadDigest, "%q", digest)
	}
	info, err := s.fs.Stat(s.path(digest))
	if err != nil {
		return Info{}, translate(err, "inspect a blob file")
	}
	return Info{Digest: digest, Bytes: info.Size(), WrittenAt: info.ModTime()}, nil
}

// Has tells whether a file of the blob exists; its content is not checked.
func (s *Store) Has(digest string) bool {
	_, err := s.Stat(digest)
	return err == nil
}

// Delete removes a blob; a blob that does not exist is no error.
func (s *Store) Delete(digest string) error {
	_, err := s.DeleteWrittenBefore(digest, time.Time{})
	return err
}

// DeleteWrittenBefore removes a blob unless it was written, or written anew, at the limit or later. The zero time means no limit.
// It tells whether a file was removed.
func (s *Store) DeleteWrittenBefore(digest string, limit time.Time) (bool, error) {
	s.layout.Lock()
	defer s.layout.Unlock()
	info, err := s.Stat(digest)
	if errors.Is(err, ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if !limit.IsZero() && !info.WrittenAt.Before(limit) {
		return false, nil
	}
	if err := s.remove(digest, info.Bytes); err != nil {
		return false, err
	}
	return true, nil
}

// Walk calls visit for each blob and counts the space taken anew, as files may have been lost. visit must not call the store.
func (s *Store) Walk(visit func(Info)) error {
	s.layout.Lock()
	defer s.layout.Unlock()
	total := int64(0)
	count := func(i Info) {
		total += i.Bytes
		visit(i)
	}
	if err := s.walkFolder(s.folder, 0, count); err != nil {
		return err
	}
	s.setStored(total)
	return nil
}

// folderLevels is the number of folders between the root and a blob file.
const folderLevels = 2

func (s *Store) walkFolder(folder string, level int, visit func(Info)) error {
	entries, err := s.fs.ReadDir(folder)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return translate(err, "read a folder")
	}
	for _, entry := range entries {
		if err := s.walkEntry(folder, entry, level, visit); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) walkEntry(folder string, entry fs.DirEntry, level int, visit func(Info)) error {
	if level < folderLevels {
		if !entry.IsDir() || entry.Name() == temporaryFolder {
			return nil
		}
		return s.walkFolder(filepath.Join(folder, entry.Name()), level+1, visit)
	}
	if !ValidDigest(entry.Name()) {
		return nil
	}
	info, err := entry.Info()
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return translate(err, "inspect a blob file")
	}
	visit(Info{Digest: entry.Name(), Bytes: info.Size(), WrittenAt: info.ModTime()})
	return nil
}
