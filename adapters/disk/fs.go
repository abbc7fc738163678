package disk

import (
	"io"
	"io/fs"
	"os"
)

// FS is the part of the file system that a Store uses. Tests inject failures through it.
type FS interface {
	// Create opens a new file for writing and fails if it exists.
	Create(name string) (File, error)
	Open(name string) (ReadFile, error)
	Rename(from, to string) error
	Remove(name string) error
	// MkdirAll creates the folder and its parents.
	MkdirAll(name string) error
	ReadDir(name string) ([]fs.DirEntry, error)
	Stat(name string) (fs.FileInfo, error)
	// SyncDir makes the entries of a folder durable.
	SyncDir(name string) error
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	Sync() error
}

// ReadFile is a file that is being read.
type ReadFile interface {
	io.ReadSeekCloser
	Stat() (fs.FileInfo, error)
}

// Access rights of folders and files: batch bodies belong to callers.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OS is the file system of the operating system.
type OS struct{}

var _ FS = OS{}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
}

// Open implements FS.
func (OS) Open(name string) (ReadFile, error) { return os.Open(name) }

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// MkdirAll implements FS.
func (OS) MkdirAll(name string) error { return os.MkdirAll(name, folderMode) }

// ReadDir implements FS.
func (OS) ReadDir(name string) ([]fs.DirEntry, error) { return os.ReadDir(name) }

// Stat implements FS.
func (OS) Stat(name string) (fs.FileInfo, error) { return os.Stat(name) }

// SyncDir implements FS.
func (OS) SyncDir(name string) error {
	folder, err := os.Open(name)
	if err != nil {
		return err
	}
	err = folder.Sync()
	if closeErr := folder.Close(); err == nil {
		err = closeErr
	}
	return err
}
