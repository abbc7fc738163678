package disk

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"hash"
	"io"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"
)

// Put stores the content that r gives. It returns nil only after the content was checked against the digest and both the file and
// its folder entry are durable. A blob that exists is written anew: the old file may be torn, and the new one counts as young.
// Errors: ErrBadDigest, ErrDigest, ErrTooLarge, ErrFull, ErrIO, or the error of r.
func (s *Store) Put(digest string, r io.Reader) error {
	if !ValidDigest(digest) {
		return eris.Wrapf(ErrBadDigest, "%q", digest)
	}
	w := &writer{store: s, hash: sha256.New()}
	defer w.discard()
	if err := w.write(r); err != nil {
		return err
	}
	if got := hex.EncodeToString(w.hash.Sum(nil)); got != digest {
		return eris.Wrapf(ErrDigest, "stated %s, received %s", digest, got)
	}
	return s.commit(digest, w)
}

// writer fills one temporary file.
type writer struct {
	store *Store
	hash  hash.Hash
	name  string // empty when there is no temporary file to remove
	bytes int64  // reserved in the store
}

// write copies r to a temporary file and makes its content durable.
func (w *writer) write(r io.Reader) error {
	file, err := w.create()
	if err != nil {
		return err
	}
	err = w.copy(file, r)
	if err == nil {
		err = translate(file.Sync(), "sync a temporary file")
	}
	if closeErr := file.Close(); err == nil {
		err = translate(closeErr, "close a temporary file")
	}
	return err
}

// create opens a temporary file. The folder may have been lost since Open.
func (w *writer) create() (File, error) {
	folder := filepath.Join(w.store.folder, temporaryFolder)
	if err := w.store.fs.MkdirAll(folder); err != nil {
		return nil, translate(err, "create the folder of temporary files")
	}
	name := filepath.Join(folder, strconv.FormatUint(w.store.temporary.Add(1), 10))
	file, err := w.store.fs.Create(name)
	if err != nil {
		return nil, translate(err, "create a temporary file")
	}
	w.name = name
	return file, nil
}

// copyBufferBytes is the memory of one Put.
const copyBufferBytes = 64 << 10

func (w *writer) copy(file File, r io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := r.Read(buffer)
		if err := w.append(file, buffer[:n]); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return eris.Wrap(readErr, "read the content of a blob")
		}
	}
}

func (w *writer) append(file File, part []byte) error {
	n := int64(len(part))
	if w.bytes+n > MaxBlobBytes {
		return eris.Wrapf(ErrTooLarge, "more than %d bytes", MaxBlobBytes)
	}
	if err := w.store.reserve(n); err != nil {
		return err
	}
	w.bytes += n
	_, _ = w.hash.Write(part) // a hash never fails
	_, err := file.Write(part)
	return translate(err, "write a temporary file")
}

// discard removes the temporary file if it was not renamed, and returns the reservation.
func (w *writer) discard() {
	w.store.release(w.bytes)
	if w.name != "" {
		_ = w.store.fs.Remove(w.name) // Open removes what remains
	}
}

// commit gives the temporary file its name and makes the name durable.
func (s *Store) commit(digest string, w *writer) error {
	s.layout.Lock()
	defer s.layout.Unlock()
	target := s.path(digest)
	if err := s.makeFolders(digest); err != nil {
		return err
	}
	old := s.size(target)
	if err := s.fs.Rename(w.name, target); err != nil {
		return translate(err, "rename a temporary file")
	}
	w.name = ""
	s.addStored(w.bytes - old)
	return translate(s.fs.SyncDir(filepath.Dir(target)), "sync the folder of a blob")
}

// makeFolders creates the two folders of a blob and makes their names durable; layout is held. A folder that exists may still be
// volatile, because the sync of an earlier attempt failed.
func (s *Store) makeFolders(digest string) error {
	leaf := filepath.Dir(s.path(digest))
	if _, err := s.fs.Stat(leaf); err == nil && s.durable[leaf] {
		return nil
	}
	delete(s.durable, leaf)
	if err := s.fs.MkdirAll(leaf); err != nil {
		return translate(err, "create the folder of a blob")
	}
	for _, folder := range []string{filepath.Dir(leaf), s.folder} {
		if err := s.fs.SyncDir(folder); err != nil {
			return translate(err, "sync a parent folder")
		}
	}
	s.durable[leaf] = true
	return nil
}

// size returns the size of a file, 0 if it does not exist.
func (s *Store) size(name string) int64 {
	info, err := s.fs.Stat(name)
	if err != nil {
		return 0
	}
	return info.Size()
}
