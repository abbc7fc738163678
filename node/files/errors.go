package files

import (
	"errors"
	"fmt"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/node/bulk"
	"github.com/rotisserie/eris"
)

// Errors of this layer, besides those of core/files for the content. Callers compare with errors.Is.
var (
	// ErrNotFound means that the caller has no such file.
	ErrNotFound = eris.New("batch file does not exist")
	// ErrBusy means that this instance is already receiving Options.MaxUploads uploads.
	ErrBusy = eris.New("too many uploads at once")
	// ErrTooSlow means that an upload took longer than UploadTimeout.
	ErrTooSlow = eris.New("upload took too long")
	// ErrRecordUnavailable means that the record could not be read from or written to the store. The call had no effect.
	ErrRecordUnavailable = eris.New("record of a file could not be read or written")
	// ErrOutcomeUnknown means that the call may have taken effect; repeating it is safe.
	ErrOutcomeUnknown = eris.New("outcome of the change of a file is unknown")
	// ErrContentUnavailable means that the content could not be read from or written to the disks.
	ErrContentUnavailable = eris.New("content of a file could not be read or written")
	// ErrContentLost means that no copy of some part of the content is left.
	ErrContentLost = eris.New("content of the file is lost")
)

// errContended means that every attempt to change a record conflicted with another writer.
var errContended = eris.Wrap(ErrRecordUnavailable, "record was changed concurrently at each attempt")

// storeError converts an error of the store to one of this package.
func storeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, kv.ErrNotFound):
		return ErrNotFound
	case errors.Is(err, kv.ErrOutcomeUnknown):
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %v", ErrRecordUnavailable, err)
}

// blobError converts an error of the blobs to one of this package.
func blobError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bulk.ErrNotFound):
		return fmt.Errorf("%w: %v", ErrContentLost, err)
	}
	return fmt.Errorf("%w: %v", ErrContentUnavailable, err)
}
