package bulk

import (
	"context"
	"errors"
	"fmt"
	"io"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/adapters/peer"
	"github.com/rotisserie/eris"
)

// Errors returned by Store. Compare them with errors.Is.
var (
	// ErrNoHolders means that fewer holders than needed stored the blob; the write is not acknowledged.
	ErrNoHolders = eris.New("too few disk holders in different failure domains took the blob")
	// ErrNotFound means that every instance with a disk responded and none has an intact copy of the blob.
	ErrNotFound = eris.New("no disk holder has the blob")
	// ErrUnavailable means that no copy could be read for now; an instance that may have one gave no usable response.
	ErrUnavailable = eris.New("no disk holder of the blob can be reached")
	// ErrInvalid means that a blob is too large or a reference is malformed.
	ErrInvalid = eris.New("blob or its reference is invalid")
)

// Handlers returns the server side of the peers' blob calls. Without a disk (d is nil) the handlers are nil and every call gets a 404
// response.
func Handlers(d *disk.Store) peer.BlobHandlers {
	if d == nil {
		return peer.BlobHandlers{}
	}
	return peer.BlobHandlers{
		Put: func(_ context.Context, digest string, content io.Reader) error {
			return peerError(d.Put(digest, content))
		},
		Get: func(_ context.Context, digest string) (io.Reader, error) {
			content, _, err := d.Reader(digest)
			if err != nil {
				return nil, peerError(err) // a nil io.ReadCloser must not become a non-nil io.Reader
			}
			return content, nil
		},
		Info: func(_ context.Context, digest string) (int64, error) {
			info, err := d.Stat(digest)
			return info.Bytes, peerError(err)
		},
	}
}

// peerError converts an error of the disk to the matching error of package peer. The disk removes a corrupt file, so that the blob
// counts as missing.
func peerError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, disk.ErrNotFound), errors.Is(err, disk.ErrCorrupt):
		return fmt.Errorf("%w: %v", peer.ErrNotFound, err)
	case errors.Is(err, disk.ErrFull):
		return fmt.Errorf("%w: %v", peer.ErrFull, err)
	case errors.Is(err, disk.ErrDigest), errors.Is(err, disk.ErrBadDigest):
		return fmt.Errorf("%w: %v", peer.ErrDigest, err)
	}
	return err
}
