package peer

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/adapters/detach"
	peerapi "eelgrassproxy.example/api/peer"
)

// MaxBlobBytes is the largest blob that travels between instances.
const MaxBlobBytes = 64 << 20

const (
	blobPath = "/peer/v1/blobs/"
	// blobBytesPerSecond is the slowest transfer that is waited for: a share of a region link of a few tens of Mbit/s.
	blobBytesPerSecond = 1 << 20
)

// BlobTimeout covers the transfer of a blob and the syncs of the receiver's disk, unless that one is slow.
func BlobTimeout(bytes int64) time.Duration {
	return FetchTimeout + time.Duration(bytes)*time.Second/blobBytesPerSecond
}

// slowPutFactor is how many times BlobTimeout a write of a blob may take. Another holder is tried after BlobTimeout, but if all disks are slow, a
// late copy is better than none.
const slowPutFactor = 3

// PutBlobTimeout bounds a write of a blob, also to a disk that is slow.
func PutBlobTimeout(bytes int64) time.Duration { return slowPutFactor * BlobTimeout(bytes) }

// BlobHandlers are what the server needs of the instance's disk. All are nil on an instance without a disk, which answers every call
// with 404. Errors: ErrNotFound, ErrFull, ErrDigest.
type BlobHandlers struct {
	// Put stores a blob durably.
	Put func(ctx context.Context, digest string, content io.Reader) error
	// Get returns the checked content of a blob; a reader that is an io.Closer is closed.
	Get func(ctx context.Context, digest string) (io.Reader, error)
	// Info returns the size of a blob.
	Info func(ctx context.Context, digest string) (bytes int64, err error)
}

func (h BlobHandlers) complete() bool {
	return h.Put != nil && h.Get != nil && h.Info != nil
}

func (h BlobHandlers) consistent() bool {
	return h.complete() || h.Put == nil && h.Get == nil && h.Info == nil
}

// PutBlob stores a blob on the peer's disk; nil means that it survives a crash of the peer. Errors: ErrFull, ErrNotFound if the peer
// has no disk, and those of every call. content is not read after the return.
func (c *Client) PutBlob(ctx context.Context, address, digest string, content []byte) error {
	ctx, cancel := prepare(ctx, address, PutBlobTimeout(int64(len(content))), maxControlResponse)
	defer cancel()
	body := detach.NewReader(content)
	defer body.Detach()
	return translate(c.api.PutBlob(ctx, peerapi.PutBlobReq{Data: body}, peerapi.PutBlobParams{Digest: digest}))
}

// GetBlob returns a blob of the stated size, or ErrNotFound. The caller verifies the digest.
func (c *Client) GetBlob(ctx context.Context, address, digest string, bytes int64) ([]byte, error) {
	if bytes < 0 || bytes > MaxBlobBytes {
		return nil, eris.Wrapf(ErrMessageTooLarge, "blob of %d bytes", bytes)
	}
	ctx, cancel := prepare(ctx, address, BlobTimeout(bytes), max(bytes, maxControlResponse))
	defer cancel()
	wire, err := c.api.GetBlob(ctx, peerapi.GetBlobParams{Digest: digest})
	if err != nil {
		return nil, translate(err)
	}
	content := make([]byte, bytes)
	if _, err := io.ReadFull(wire, content); err != nil {
		return nil, translate(err)
	}
	return content, nil
}

// BlobInfo returns the size of the peer's file of a blob, or ErrNotFound. The file may be corrupt.
func (c *Client) BlobInfo(ctx context.Context, address, digest string) (bytes int64, err error) {
	ctx, cancel := prepare(ctx, address, FetchTimeout, maxControlResponse)
	defer cancel()
	wire, err := c.api.GetBlobInfo(ctx, peerapi.GetBlobInfoParams{Digest: digest})
	if err != nil {
		return 0, translate(err)
	}
	return wire.Bytes, nil
}

// boundBody limits the size of request bodies, and the time to receive a blob.
func boundBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := int64(maxRequestBody)
		if r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, blobPath) {
			limit = MaxBlobBytes
			// The server clears the deadline before the next request of the connection.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(BlobTimeout(MaxBlobBytes)))
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		next.ServeHTTP(w, r)
	})
}

// PutBlob implements PUT /peer/v1/blobs/{digest}.
func (s *service) PutBlob(ctx context.Context, req peerapi.PutBlobReq, params peerapi.PutBlobParams) error {
	if s.handlers.Blobs.Put == nil {
		return eris.Wrap(ErrNotFound, "instance has no disk")
	}
	return s.handlers.Blobs.Put(ctx, params.Digest, req)
}

// GetBlob implements GET /peer/v1/blobs/{digest}.
func (s *service) GetBlob(ctx context.Context, params peerapi.GetBlobParams) (peerapi.GetBlobOK, error) {
	if s.handlers.Blobs.Get == nil {
		return peerapi.GetBlobOK{}, eris.Wrap(ErrNotFound, "instance has no disk")
	}
	content, err := s.handlers.Blobs.Get(ctx, params.Digest)
	if err != nil {
		return peerapi.GetBlobOK{}, err
	}
	return peerapi.GetBlobOK{Data: content}, nil
}

// GetBlobInfo implements GET /peer/v1/blobs/{digest}/info.
func (s *service) GetBlobInfo(ctx context.Context, params peerapi.GetBlobInfoParams) (*peerapi.BlobInfo, error) {
	if s.handlers.Blobs.Info == nil {
		return nil, eris.Wrap(ErrNotFound, "instance has no disk")
	}
	bytes, err := s.handlers.Blobs.Info(ctx, params.Digest)
	if err != nil {
		return nil, err
	}
	return &peerapi.BlobInfo{Bytes: bytes}, nil
}
