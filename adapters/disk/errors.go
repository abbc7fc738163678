package disk

import (
	"errors"
	"io/fs"
	"syscall"

	"github.com/rotisserie/eris"
)

// Errors of this layer. Callers compare with errors.Is.
var (
	// ErrNotFound means that the blob is not on this disk.
	ErrNotFound = eris.New("blob is not on this disk")
	// ErrCorrupt means that a file did not have the content of its digest. The file was dropped.
	ErrCorrupt = eris.New("blob file was corrupt and has been dropped")
	// ErrDigest means that the content given to Put does not have the digest.
	ErrDigest = eris.New("content does not have the stated digest")
	// ErrBadDigest means that a digest is not 64 lower-case hexadecimal digits.
	ErrBadDigest = eris.New("digest is not 64 lower-case hexadecimal digits")
	// ErrTooLarge means that a blob exceeds MaxBlobBytes.
	ErrTooLarge = eris.New("blob exceeds the size limit")
	// ErrFull means that the quota or the disk has no room for the blob.
	ErrFull = eris.New("disk is full")
	// ErrIO means any other failure of the disk.
	ErrIO = eris.New("disk failed")
)

// translate turns an error of the file system into one of this layer. The cause is kept in the text.
func translate(err error, action string) error {
	if err == nil {
		return nil
	}
	return eris.Wrapf(kindOf(err), "%s: %v", action, err)
}

func kindOf(err error) error {
	switch {
	case errors.Is(err, ErrFull), errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return ErrFull
	case errors.Is(err, fs.ErrNotExist):
		return ErrNotFound
	}
	return ErrIO
}
