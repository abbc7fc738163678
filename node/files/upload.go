package files

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"time"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/files"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/bulk"
	"github.com/rotisserie/eris"
)

// UploadTimeout bounds one upload. Chunks that no record refers to are garbage-collected after bulk.MinRetention at the earliest. An upload
// may use half of that time, so that its first chunks are still there when the record is written in the other half.
const UploadTimeout = bulk.MinRetention / 2

// Upload stores the lines of r and returns the file's record. It returns without an error only after every chunk is on two disks and
// the record is in the store. The same content from the same caller is the same file, so that repeating an upload is safe. It holds at
// most one chunk in memory. Errors: *files.LineError and files.ErrInvalid for the content; ErrBusy, ErrTooSlow, ErrContentUnavailable,
// ErrRecordUnavailable, ErrOutcomeUnknown; the error of r.
func (s *Service) Upload(ctx context.Context, caller fleet.CallerID, r io.Reader) (files.Record, error) {
	select {
	case s.uploadSlots <- struct{}{}:
		defer func() { <-s.uploadSlots }()
	default:
		return files.Record{}, ErrBusy
	}
	ctx, cancel := context.WithTimeout(ctx, UploadTimeout)
	defer cancel()
	u := &upload{blobs: s.blobs, splitter: files.NewSplitter(caller, s.maxBytes)}
	if err := u.store(ctx, r); err != nil {
		return files.Record{}, err
	}
	id, lines, size, err := u.splitter.Finish()
	if err != nil {
		return files.Record{}, err
	}
	now := time.Unix(time.Now().Unix(), 0).UTC()
	return s.create(ctx, files.Record{ID: id, Caller: caller, Created: now, Uploaded: now, Lines: lines, Bytes: size, Chunks: u.chunks})
}

// upload is an upload in progress.
type upload struct {
	blobs    Blobs
	splitter *files.Splitter
	chunks   []files.Chunk
}

// initialLineBuffer is the initial size of the buffer for lines, in bytes. The buffer grows up to the longest line.
const initialLineBuffer = 64 << 10

// store stores all lines of r in chunks.
func (u *upload) store(ctx context.Context, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, initialLineBuffer), files.MaxLineBytes+len("\r\n"))
	for lines.Scan() {
		if lines.Err() != nil {
			break // the line is incomplete, because the reader failed
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return ErrTooSlow
		}
		if err := u.add(ctx, lines.Bytes()); err != nil {
			return err
		}
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) {
		return u.splitter.LineTooLongError()
	}
	if lines.Err() != nil {
		return eris.Wrap(lines.Err(), "read the upload")
	}
	return u.flush(ctx)
}

// add adds a line, and first stores the current chunk if the line does not fit into it.
func (u *upload) add(ctx context.Context, line []byte) error {
	if !u.splitter.Fits(line) {
		if err := u.flush(ctx); err != nil {
			return err
		}
	}
	return u.splitter.Add(line)
}

// flush stores the lines of the current chunk, if there are any.
func (u *upload) flush(ctx context.Context) error {
	data, lines := u.splitter.TakeChunk()
	if lines == 0 {
		return nil
	}
	ref, err := u.blobs.Put(ctx, data)
	if err != nil {
		return blobError(err)
	}
	u.chunks = append(u.chunks, files.Chunk{Lines: lines, Blob: ref})
	return nil
}

// create writes the record of an upload. The key is derived from the content, so that an existing record under it is one of the same
// file, also after a write whose outcome is unknown. Only the holders of its chunks, which are the instances whose disks have them, and the
// time of its last upload may differ. If
// they do, the record is replaced and keeps its creation time; a time that is less than files.RenewAfter older is not replaced.
func (s *Service) create(ctx context.Context, record files.Record) (files.Record, error) {
	key := files.Key(record.Caller, record.ID)
	absent := kv.Compare{Key: key, Target: kv.CompareCreateRevision}
	condition := absent
	var unknown error // of an earlier write that may have taken effect
	for range maxStoreAttempts {
		written, err := s.put(ctx, condition, record)
		switch {
		case written:
			return record, nil
		case errors.Is(err, ErrOutcomeUnknown):
			unknown = err
		case err != nil:
			return files.Record{}, cmp.Or(unknown, err)
		}
		found, err := s.read(ctx, record.Caller, record.ID)
		switch {
		case err == nil && found.record.SameHolders(record) && record.Uploaded.Sub(found.record.Uploaded) < files.RenewAfter:
			return found.record, nil
		case err == nil:
			record.Created = found.record.Created
			condition = kv.Compare{Key: key, Target: kv.CompareModRevision, Revision: found.revision}
		case errors.Is(err, ErrNotFound): // deleted in the meantime, or the write did not take effect
			condition = absent
		default:
			return files.Record{}, cmp.Or(unknown, err)
		}
	}
	return files.Record{}, cmp.Or(unknown, errContended)
}

// put writes a record if the condition holds, and reports whether it did.
func (s *Service) put(ctx context.Context, condition kv.Compare, record files.Record) (bool, error) {
	value, err := record.Encode()
	if err != nil {
		return false, err
	}
	return s.swap(ctx, condition, kv.Op{Kind: kv.OpPut, Key: condition.Key, Value: value})
}
