package files

import (
	"errors"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/node/bulk"
	"github.com/rotisserie/eris"
)

// Errors of this layer, besides those of core/files for the content. Callers compare with errors.Is.
var (
	// ErrNotFound means that the caller has no such file.
	ErrNotFound = eris.New("file does not exist")
	// ErrBusy means that this instance receives as many uploads as it has memory for.
	ErrBusy = eris.New("too many uploads at once")
	// ErrTooSlow means that an upload took longer than UploadTimeout.
	ErrTooSlow = eris.New("upload took too long")
	// ErrStore means that the store did not take or give the record. The call had no effect.
	ErrStore = eris.New("store did not answer for the record of a file")
	// ErrOutcomeUnknown means that the call may have taken effect; repeating it is safe.
	ErrOutcomeUnknown = eris.New("outcome of the change of a file is unknown")
	// ErrDisks means that the disks did not take or give the content.
	ErrDisks = eris.New("disks did not take or give the content of a file")
	// ErrContentLost means that no copy of a part of the content is left.
	ErrContentLost = eris.New("content of the file is lost")
)

// errChanging is the error when every try of a change met another writer.
var errChanging = eris.Wrap(ErrStore, "the record changes all the time")

func fromStore(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, kv.ErrNotFound):
		return ErrNotFound
	case errors.Is(err, kv.ErrOutcomeUnknown):
		return eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return eris.Wrap(ErrStore, err.Error())
}

func fromBulk(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bulk.ErrNotFound):
		return eris.Wrap(ErrContentLost, err.Error())
	}
	return eris.Wrap(ErrDisks, err.Error())
}
