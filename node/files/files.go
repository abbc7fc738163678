// Package files stores the batch files of callers: the content in chunks on the disks of instances, and the record in the store.
package files

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/files"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

const (
	// storePurpose labels the store calls of this package.
	storePurpose = "files"
	// defaultMaxUploads bounds the memory of uploads: each takes up to 8 MiB for a chunk, 1 MiB for a line and about 6 MiB for the
	// custom_ids, and an instance has 128 MiB.
	defaultMaxUploads = 4
	// maxStoreAttempts bounds the attempts to make one change of a record.
	maxStoreAttempts = 4
	// storeTimeout bounds each call to the store.
	storeTimeout = 5 * time.Second
)

// Blobs stores the content of files; bulk.Store implements it. Put must not read data after it has returned.
type Blobs interface {
	Put(ctx context.Context, data []byte) (batch.BlobRef, error)
	Get(ctx context.Context, ref batch.BlobRef) ([]byte, error)
}

// Options of a Service.
type Options struct {
	MaxBytes   int64 // largest size of one file; 0 means files.MaxBytes
	MaxUploads int   // largest number of concurrent uploads; 0 means 4
}

// Service stores files. It is safe for concurrent use. Without retries, an upload costs one write to the store, one read more if the
// file exists, and a second write if its chunks are now on the disks of other instances than the record says or its last upload is at least
// files.RenewAfter ago; Get, Content and List cost one read; Delete costs one read and one write.
type Service struct {
	store       kv.Store
	blobs       Blobs
	maxBytes    int64
	uploadSlots chan struct{} // holds one element for each upload in progress
}

// New returns a service over the store and the blobs.
func New(store kv.Store, blobs Blobs, o Options) *Service {
	if o.MaxBytes == 0 {
		o.MaxBytes = files.MaxBytes
	}
	if o.MaxUploads == 0 {
		o.MaxUploads = defaultMaxUploads
	}
	return &Service{store: store, blobs: blobs, maxBytes: o.MaxBytes, uploadSlots: make(chan struct{}, o.MaxUploads)}
}

// MaxBytes returns the largest size of one file.
func (s *Service) MaxBytes() int64 { return s.maxBytes }

// Get returns the record of a file. Errors: ErrNotFound, also for the file of another caller; ErrRecordUnavailable.
func (s *Service) Get(ctx context.Context, caller fleet.CallerID, id string) (files.Record, error) {
	stored, err := s.read(ctx, caller, id)
	return stored.record, err
}

// stored is a record as read from the store, with its revision.
type stored struct {
	record   files.Record
	revision kv.Revision
}

func (s *Service) read(ctx context.Context, caller fleet.CallerID, id string) (stored, error) {
	if !files.ValidID(id) {
		return stored{}, ErrNotFound
	}
	ctx, cancel := storeContext(ctx)
	defer cancel()
	found, err := s.store.Get(ctx, files.Key(caller, id))
	if err != nil {
		return stored{}, storeError(err)
	}
	record, err := files.Decode(found.Value)
	return stored{record: record, revision: found.ModRevision}, err
}

// List returns the records of the caller's files, oldest first. Errors: ErrRecordUnavailable.
func (s *Service) List(ctx context.Context, caller fleet.CallerID) ([]files.Record, error) {
	ctx, cancel := storeContext(ctx)
	defer cancel()
	listing, err := s.store.List(ctx, files.Prefix(caller))
	if err != nil {
		return nil, storeError(err)
	}
	records := make([]files.Record, 0, len(listing.Items))
	for _, item := range listing.Items {
		record, err := files.Decode(item.Value)
		if err != nil {
			return nil, fmt.Errorf("key %q: %w", item.Key, err)
		}
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b files.Record) int {
		return cmp.Or(a.Created.Compare(b.Created), cmp.Compare(a.ID, b.ID))
	})
	return records, nil
}

// Content writes the lines of a file to w and holds one chunk in memory at a time. An error before the first write may be returned to
// the caller. An error after it means that the content is incomplete; a response that was begun must then be aborted. Errors:
// ErrNotFound, ErrRecordUnavailable, ErrContentUnavailable, ErrContentLost, and those of w.
func (s *Service) Content(ctx context.Context, caller fleet.CallerID, id string, w io.Writer) error {
	record, err := s.Get(ctx, caller, id)
	if err != nil {
		return err
	}
	for i, chunk := range record.Chunks {
		data, err := s.blobs.Get(ctx, chunk.Blob)
		if err != nil {
			return eris.Wrapf(blobError(err), "chunk %d", i)
		}
		if _, err := w.Write(data); err != nil {
			return eris.Wrap(err, "write the content of a file")
		}
	}
	return nil
}

// Delete removes the record of a file. Jobs that were accepted with the file refer to its chunks in their own records. Chunks that no
// record refers to are garbage-collected later. Errors: ErrNotFound, ErrRecordUnavailable, ErrOutcomeUnknown.
func (s *Service) Delete(ctx context.Context, caller fleet.CallerID, id string) error {
	key := files.Key(caller, id)
	var unknown error // of an earlier attempt that may have taken effect
	for range maxStoreAttempts {
		found, err := s.read(ctx, caller, id)
		if errors.Is(err, ErrNotFound) && unknown != nil {
			return nil
		}
		if err != nil {
			return cmp.Or(unknown, err)
		}
		condition := kv.Compare{Key: key, Target: kv.CompareModRevision, Revision: found.revision}
		deleted, err := s.swap(ctx, condition, kv.Op{Kind: kv.OpDelete, Key: key})
		switch {
		case deleted:
			return nil
		case errors.Is(err, ErrOutcomeUnknown):
			unknown = err
		case err != nil:
			return cmp.Or(unknown, err)
		}
	}
	return cmp.Or(unknown, errContended)
}

// swap makes one conditional change and reports whether the condition held. Errors: ErrRecordUnavailable, ErrOutcomeUnknown.
func (s *Service) swap(ctx context.Context, condition kv.Compare, change kv.Op) (bool, error) {
	ctx, cancel := storeContext(ctx)
	defer cancel()
	result, err := s.store.Txn(ctx, kv.Txn{Compares: []kv.Compare{condition}, Then: []kv.Op{change}})
	return err == nil && result.Succeeded, storeError(err)
}

// storeContext returns the context for one call to the store.
func storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(kv.WithPurpose(ctx, storePurpose), storeTimeout)
}
