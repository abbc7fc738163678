package files

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/disk"
	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/files"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/bulk"
)

// memoryStore implements the methods of the store that this package uses, with injected errors.
type memoryStore struct {
	kv.Store
	mu       sync.Mutex // guards items, revision and writes
	items    map[string]kv.KeyValue
	revision kv.Revision
	before   func() error // runs before a transaction, which has no effect if it returns an error
	after    func() error // runs after a transaction; its error replaces the response
	writes   int          // number of transactions
}

func newStore() *memoryStore {
	none := func() error { return nil }
	return &memoryStore{items: map[string]kv.KeyValue{}, before: none, after: none}
}

func (s *memoryStore) Get(_ context.Context, key string) (kv.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item, ok := s.items[key]; ok {
		return item, nil
	}
	return kv.KeyValue{}, kv.ErrNotFound
}

func (s *memoryStore) List(_ context.Context, prefix string) (kv.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := kv.Listing{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			listing.Items = append(listing.Items, s.items[key])
		}
	}
	return listing, nil
}

func (s *memoryStore) Txn(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := s.before(); err != nil {
		return kv.TxnResult{}, err
	}
	s.mu.Lock()
	s.writes++
	compare, op := txn.Compares[0], txn.Then[0]
	item := s.items[compare.Key]
	holds := compare.Target == kv.CompareCreateRevision && item.CreateRevision == compare.Revision ||
		compare.Target == kv.CompareModRevision && item.ModRevision == compare.Revision
	if holds {
		s.revision++
		s.items[op.Key] = kv.KeyValue{Key: op.Key, Value: op.Value, CreateRevision: s.revision, ModRevision: s.revision}
		if op.Kind == kv.OpDelete {
			delete(s.items, op.Key)
		}
	}
	s.mu.Unlock()
	if err := s.after(); err != nil {
		return kv.TxnResult{}, err
	}
	return kv.TxnResult{Succeeded: holds, Revision: s.revision}, nil
}

// memoryBlobs keeps blobs in memory.
type memoryBlobs struct {
	content       map[string][]byte
	holders       []fleet.InstanceID
	err           error // returned by every Put when remainingPuts is used up; may be nil
	remainingPuts int   // number of calls of Put that still succeed
}

func newBlobs() *memoryBlobs {
	return &memoryBlobs{content: map[string][]byte{}, holders: []fleet.InstanceID{"i1", "i2"}}
}

func (b *memoryBlobs) Put(_ context.Context, data []byte) (batch.BlobRef, error) {
	b.remainingPuts--
	if b.err != nil && b.remainingPuts < 0 {
		return batch.BlobRef{}, b.err
	}
	digest := disk.Digest(data)
	b.content[digest] = bytes.Clone(data)
	return batch.BlobRef{Digest: digest, Bytes: int64(len(data)), Holders: b.holders}, nil
}

func (b *memoryBlobs) Get(_ context.Context, ref batch.BlobRef) ([]byte, error) {
	if content, ok := b.content[ref.Digest]; ok {
		return content, nil
	}
	return nil, bulk.ErrNotFound
}

// batchText returns a valid batch file with a number of lines.
func batchText(lines int) string {
	var text strings.Builder
	for i := range lines {
		fmt.Fprintf(&text, `{"custom_id":"r%d","method":"POST","url":"/v1/completions","body":{"model":"m","prompt":"p"}}`+"\n", i)
	}
	return text.String()
}

// Guards against content that is read back differently, and against files that other callers can see, read or delete.
func TestAFileIsReadBackByItsCallerOnly(t *testing.T) {
	ctx, s := t.Context(), New(newStore(), newBlobs(), Options{})
	text := batchText(600)
	record, err := s.Upload(ctx, "norrsken", strings.NewReader(text))
	require.NoError(t, err)
	assert.Equal(t, []int{256, 256, 88}, []int{record.Chunks[0].Lines, record.Chunks[1].Lines, record.Chunks[2].Lines})
	var content strings.Builder
	require.NoError(t, s.Content(ctx, "norrsken", record.ID, &content))
	assert.Equal(t, text, content.String())

	_, err = s.Get(ctx, "draadwerk", record.ID)
	assert.ErrorIs(t, err, ErrNotFound)
	assert.ErrorIs(t, s.Content(ctx, "draadwerk", record.ID, &content), ErrNotFound)
	assert.ErrorIs(t, s.Delete(ctx, "draadwerk", record.ID), ErrNotFound)
	others, err := s.List(ctx, "draadwerk")
	require.NoError(t, err)
	assert.Empty(t, others)
	own, err := s.List(ctx, "norrsken")
	require.NoError(t, err)
	assert.Equal(t, []files.Record{record}, own)

	require.NoError(t, s.Delete(ctx, "norrsken", record.ID))
	assert.ErrorIs(t, s.Delete(ctx, "norrsken", record.ID), ErrNotFound)
	_, err = s.Get(ctx, "norrsken", "../x")
	assert.ErrorIs(t, err, ErrNotFound)
}

// Guards against a second file for a repeated upload, and against a record that keeps outdated holders of its chunks.
func TestARepeatedUploadIsTheSameFile(t *testing.T) {
	store, blobs := newStore(), newBlobs()
	s := New(store, blobs, Options{})
	first, err := s.Upload(t.Context(), "c", strings.NewReader(batchText(3)))
	require.NoError(t, err)
	again, err := s.Upload(t.Context(), "c", strings.NewReader(batchText(3)))
	require.NoError(t, err)
	assert.Equal(t, first, again)
	blobs.holders = []fleet.InstanceID{"i2", "i3"}
	moved, err := s.Upload(t.Context(), "c", strings.NewReader(batchText(3)))
	require.NoError(t, err)
	assert.Equal(t, first.ID, moved.ID)
	found, err := s.Get(t.Context(), "c", first.ID)
	require.NoError(t, err)
	assert.Equal(t, blobs.holders, found.Chunks[0].Blob.Holders)
	assert.Len(t, store.items, 1)
}

// Guards against a file that is removed at the end of its retention although it was uploaded again shortly before.
func TestAnUploadRenewsTheTimeFromWhichAFileIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, blobs := newStore(), newBlobs()
		first, err := New(store, blobs, Options{}).Upload(t.Context(), "c", strings.NewReader(batchText(3)))
		require.NoError(t, err)
		time.Sleep(3 * files.RenewAfter)
		again, err := New(store, blobs, Options{}).Upload(t.Context(), "c", strings.NewReader(batchText(3)))
		require.NoError(t, err)
		stored, err := New(store, blobs, Options{}).Get(t.Context(), "c", first.ID)
		require.NoError(t, err)
		assert.Equal(t, again, stored)
		assert.Equal(t, first.Created, stored.Created)
		assert.Equal(t, first.Uploaded.Add(3*files.RenewAfter), stored.Uploaded)
	})
}

// Guards against a file that is acknowledged or listed although the upload failed.
func TestAFailedUploadLeavesNoFile(t *testing.T) {
	cut := errors.New("connection lost")
	full := newBlobs()
	full.err, full.remainingPuts = bulk.ErrNoHolders, 1
	down := newStore()
	down.before = func() error { return kv.ErrUnavailable }
	cases := map[string]struct {
		store  *memoryStore
		blobs  *memoryBlobs
		reader io.Reader
		want   error
	}{
		"the second chunk found one holder only": {newStore(), full, strings.NewReader(batchText(300)), ErrContentUnavailable},
		"the store is down":                      {down, newBlobs(), strings.NewReader(batchText(3)), ErrRecordUnavailable},
		"the connection is lost within a line":   {newStore(), newBlobs(), io.MultiReader(strings.NewReader(batchText(3)+`{"cus`), failingReader{cut}), cut},
		"the connection is lost between lines":   {newStore(), newBlobs(), io.MultiReader(strings.NewReader(batchText(3)), failingReader{cut}), cut},
		"a line is malformed":                    {newStore(), newBlobs(), strings.NewReader(batchText(300) + "{}\n"), files.ErrInvalid},
		"a line is too long":                     {newStore(), newBlobs(), strings.NewReader(batchText(300) + strings.Repeat("x", files.MaxLineBytes+3)), files.ErrInvalid},
		"the file is empty":                      {newStore(), newBlobs(), strings.NewReader("\n\n"), files.ErrInvalid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := New(c.store, c.blobs, Options{}).Upload(t.Context(), "c", c.reader)
			assert.ErrorIs(t, err, c.want)
			assert.Empty(t, c.store.items)
			var bad *files.LineError
			if strings.HasPrefix(name, "a line") {
				require.ErrorAs(t, err, &bad)
				assert.Equal(t, 301, bad.Line)
			}
		})
	}
}

// failingReader is a reader that always fails.
type failingReader struct{ err error }

func (b failingReader) Read([]byte) (int, error) { return 0, b.err }

// Guards against an error for a change that took effect, and against success for a change that did not, when the response of the store
// is lost.
func TestALostResponseOfTheStoreIsReadBack(t *testing.T) {
	store := newStore()
	s := New(store, newBlobs(), Options{})
	lose := func(times int) func() error {
		return func() error {
			times--
			if times >= 0 {
				return kv.ErrOutcomeUnknown
			}
			return nil
		}
	}
	store.after = lose(1)
	record, err := s.Upload(t.Context(), "c", strings.NewReader(batchText(3)))
	require.NoError(t, err)
	assert.Equal(t, 1, store.writes, "the record of the first write was found")
	store.after = lose(1)
	require.NoError(t, s.Delete(t.Context(), "c", record.ID))
	store.after, store.before = lose(0), lose(1)
	_, err = s.Upload(t.Context(), "c", strings.NewReader(batchText(3)))
	require.NoError(t, err, "the write had no effect and is repeated")

	store.items = map[string]kv.KeyValue{}
	attempts := 0
	store.before = func() error {
		attempts++
		if attempts == 1 {
			return kv.ErrOutcomeUnknown
		}
		return kv.ErrUnavailable
	}
	_, err = s.Upload(t.Context(), "c", strings.NewReader(batchText(3)))
	assert.ErrorIs(t, err, ErrOutcomeUnknown, "the first write may still take effect")
}

// Guards against concurrent uploads that together need more memory than an instance has.
func TestUploadsAtOnceAreBounded(t *testing.T) {
	s := New(newStore(), newBlobs(), Options{MaxUploads: 1})
	reader, writer := io.Pipe()
	done := make(chan error)
	go func() {
		_, err := s.Upload(t.Context(), "c", reader)
		done <- err
	}()
	_, err := io.WriteString(writer, batchText(1))
	require.NoError(t, err)
	_, err = s.Upload(t.Context(), "c", strings.NewReader(batchText(1)))
	assert.ErrorIs(t, err, ErrBusy)
	require.NoError(t, writer.Close())
	require.NoError(t, <-done)
	_, err = s.Upload(t.Context(), "c", strings.NewReader(batchText(1)))
	assert.NoError(t, err)
}

// Guards against chunks that are garbage-collected before their record exists, and against callers that occupy an upload slot by
// sending lines slowly.
func TestAnUploadThatTakesTooLongIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		start := time.Now()
		_, err := New(store, newBlobs(), Options{}).Upload(t.Context(), "c", slowReader{strings.NewReader(batchText(1000))})
		assert.ErrorIs(t, err, ErrTooSlow)
		assert.LessOrEqual(t, time.Since(start), UploadTimeout+time.Minute)
		assert.Empty(t, store.items)
	})
}

// slowReader is a reader that returns one line a minute.
type slowReader struct{ lines *strings.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Minute)
	return s.lines.Read(p[:min(len(p), len(batchText(1)))])
}
