package disk

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// faultFS injects write and sync failures, and models what a crash of the machine does to data that was not synced.
type faultFS struct {
	OS
	writeErr   error // returned after writeLimit bytes of a file
	writeLimit int
	syncErr    error
	dirErr     error
	unsynced   map[string]bool   // files with content that a crash loses
	renamed    map[string]string // new names that a crash loses, with their folder
}

func newFaultFS() *faultFS {
	return &faultFS{unsynced: map[string]bool{}, renamed: map[string]string{}}
}

type faultFile struct {
	File
	fs      *faultFS
	name    string
	written int
}

func (f *faultFS) Create(name string) (File, error) {
	file, err := f.OS.Create(name)
	f.unsynced[name] = true
	return &faultFile{File: file, fs: f, name: name}, err
}

func (f *faultFile) Write(p []byte) (int, error) {
	if f.fs.writeErr != nil && f.written+len(p) > f.fs.writeLimit {
		n, _ := f.File.Write(p[:f.fs.writeLimit-f.written])
		return n, f.fs.writeErr
	}
	f.written += len(p)
	return f.File.Write(p)
}

func (f *faultFile) Sync() error {
	if f.fs.syncErr != nil {
		return f.fs.syncErr
	}
	delete(f.fs.unsynced, f.name)
	return f.File.Sync()
}

func (f *faultFS) Rename(from, to string) error {
	if f.unsynced[from] {
		delete(f.unsynced, from)
		f.unsynced[to] = true
	}
	f.renamed[to] = filepath.Dir(to)
	return f.OS.Rename(from, to)
}

func (f *faultFS) SyncDir(name string) error {
	if f.dirErr != nil {
		return f.dirErr
	}
	for file, folder := range f.renamed {
		if folder == name {
			delete(f.renamed, file)
		}
	}
	return f.OS.SyncDir(name)
}

// crash loses names that were not synced, and half of the content that was not synced.
func (f *faultFS) crash() {
	for name := range f.renamed {
		_ = os.Remove(name)
	}
	for name := range f.unsynced {
		if info, err := os.Stat(name); err == nil {
			_ = os.Truncate(name, info.Size()/2)
		}
	}
}

func open(t *testing.T, folder string, o Options) *Store {
	t.Helper()
	s, err := Open(folder, o)
	require.NoError(t, err)
	return s
}

func put(s *Store, content []byte) (string, error) {
	digest := Digest(content)
	return digest, s.Put(digest, bytes.NewReader(content))
}

func temporaryFiles(t *testing.T, folder string) int {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join(folder, temporaryFolder))
	require.NoError(t, err)
	return len(entries)
}

var sample = bytes.Repeat([]byte("one line of a batch\n"), 10_000)

// Guards against an acknowledgement before the content and its name are durable.
func TestAnAcknowledgedBlobSurvivesACrash(t *testing.T) {
	folder, faults := t.TempDir(), newFaultFS()
	s := open(t, folder, Options{FS: faults})
	digest, err := put(s, sample)
	require.NoError(t, err)
	faults.crash()
	s = open(t, folder, Options{})
	content, err := s.Get(digest)
	require.NoError(t, err)
	assert.Equal(t, sample, content)
	assert.Equal(t, int64(len(sample)), s.Usage().Bytes)
}

// Guards against acknowledgements and left-over space after failed writes, and against full disks that look like broken ones.
func TestAFailedPutAcknowledgesNothingAndLeavesNothing(t *testing.T) {
	cases := map[string]struct {
		inject func(*faultFS)
		want   error
	}{
		"the disk is full after half of the bytes": {func(f *faultFS) { f.writeErr, f.writeLimit = syscall.ENOSPC, len(sample)/2 }, ErrFull},
		"the disk quota of the user is used up":    {func(f *faultFS) { f.writeErr = syscall.EDQUOT }, ErrFull},
		"a write fails":                            {func(f *faultFS) { f.writeErr, f.writeLimit = syscall.EIO, 10 }, ErrIO},
		"the sync of the file fails":               {func(f *faultFS) { f.syncErr = syscall.EIO }, ErrIO},
		"the sync of the folder fails":             {func(f *faultFS) { f.dirErr = syscall.EIO }, ErrIO},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			folder, faults := t.TempDir(), newFaultFS()
			s := open(t, folder, Options{FS: faults})
			c.inject(faults)
			digest, err := put(s, sample)
			assert.ErrorIs(t, err, c.want)
			assert.False(t, s.Has(digest))
			assert.Zero(t, temporaryFiles(t, folder))
			assert.Zero(t, s.Usage().Bytes)
		})
	}
}

// Guards against corrupt content that reaches a caller or stays in place of a good copy.
func TestACorruptFileIsDroppedAndNeverReturned(t *testing.T) {
	damage := map[string]func(name string) error{
		"a torn file":    func(name string) error { return os.Truncate(name, 100) },
		"an empty file":  func(name string) error { return os.Truncate(name, 0) },
		"a changed byte": func(name string) error { return os.WriteFile(name, append([]byte{'X'}, sample[1:]...), fileMode) },
		"a longer file": func(name string) error {
			return os.WriteFile(name, append(sample[:len(sample):len(sample)], 'x'), fileMode)
		},
	}
	reads := map[string]func(*Store, string) error{
		"get":    func(s *Store, digest string) error { _, err := s.Get(digest); return err },
		"stream": func(s *Store, digest string) error { _, _, err := s.Reader(digest); return err },
	}
	for name, spoil := range damage {
		for how, read := range reads {
			t.Run(name+" by "+how, func(t *testing.T) {
				s := open(t, t.TempDir(), Options{})
				digest, err := put(s, sample)
				require.NoError(t, err)
				require.NoError(t, spoil(s.path(digest)))
				assert.ErrorIs(t, read(s, digest), ErrCorrupt)
				assert.ErrorIs(t, read(s, digest), ErrNotFound)
				_, err = put(s, sample)
				require.NoError(t, err)
				assert.NoError(t, read(s, digest))
			})
		}
	}
}

// Guards against content stored under a wrong name.
func TestPutChecksTheDigest(t *testing.T) {
	s := open(t, t.TempDir(), Options{})
	assert.ErrorIs(t, s.Put(Digest([]byte("other")), bytes.NewReader(sample)), ErrDigest)
	assert.ErrorIs(t, s.Put("../../../etc/passwd", bytes.NewReader(sample)), ErrBadDigest)
	lost := errors.New("connection lost")
	assert.ErrorIs(t, s.Put(Digest(sample), io.MultiReader(bytes.NewReader(sample), failing{lost})), lost)
	assert.Zero(t, s.Usage().Bytes)
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// Guards against a disk that grows beyond its quota or stays full after blobs were removed.
func TestTheQuotaBoundsTheSpaceOfAllBlobs(t *testing.T) {
	s := open(t, t.TempDir(), Options{QuotaBytes: 100})
	first, err := put(s, []byte(strings.Repeat("a", 60)))
	require.NoError(t, err)
	_, err = put(s, []byte(strings.Repeat("b", 41)))
	assert.ErrorIs(t, err, ErrFull)
	assert.Equal(t, Usage{Bytes: 60, QuotaBytes: 100}, s.Usage())
	require.NoError(t, s.Delete(first))
	_, err = put(s, []byte(strings.Repeat("b", 41)))
	assert.NoError(t, err)
}

// Guards against a store that stops working, or stays full, after its folder was lost.
func TestTheStoreSurvivesTheLossOfItsFolder(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	s := open(t, folder, Options{QuotaBytes: int64(len(sample))})
	digest, err := put(s, sample)
	require.NoError(t, err)
	require.NoError(t, os.RemoveAll(folder))
	_, err = s.Get(digest)
	assert.ErrorIs(t, err, ErrNotFound)
	require.NoError(t, s.Walk(func(Info) { t.Error("no blob is left") }))
	_, err = put(s, sample)
	require.NoError(t, err)
	_, err = s.Get(digest)
	assert.NoError(t, err)
}

// Guards against space taken forever by the temporary files of a crashed process.
func TestOpenRemovesTemporaryFiles(t *testing.T) {
	folder := t.TempDir()
	open(t, folder, Options{})
	require.NoError(t, os.WriteFile(filepath.Join(folder, temporaryFolder, "7"), sample, fileMode))
	open(t, folder, Options{})
	assert.Zero(t, temporaryFiles(t, folder))
}

// Guards against the collection of a blob that was written anew between the decision and the removal.
func TestABlobWrittenAnewIsNotOld(t *testing.T) {
	s := open(t, t.TempDir(), Options{})
	digest, err := put(s, sample)
	require.NoError(t, err)
	old := time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	require.NoError(t, os.Chtimes(s.path(digest), old, old))
	_, err = put(s, sample)
	require.NoError(t, err)
	removed, err := s.DeleteWrittenBefore(digest, old.Add(time.Hour))
	require.NoError(t, err)
	assert.False(t, removed)
	require.NoError(t, os.Chtimes(s.path(digest), old, old))
	removed, err = s.DeleteWrittenBefore(digest, old.Add(time.Hour))
	require.NoError(t, err)
	assert.True(t, removed)
	assert.Zero(t, s.Usage().Bytes)
}
