package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var blobDigest = strings.Repeat("a", 64)

// keep returns handlers that keep one blob in memory.
func keep(held *[]byte) BlobHandlers {
	return BlobHandlers{
		Put: func(_ context.Context, _ string, content io.Reader) error {
			var err error
			*held, err = io.ReadAll(content)
			return err
		},
		Get: func(context.Context, string) (io.Reader, error) { return bytes.NewReader(*held), nil },
		Info: func(context.Context, string) (int64, error) {
			return int64(len(*held)), nil
		},
	}
}

// Guards against the small bound of other calls being applied to blobs, and against blobs without a bound.
func TestBlobsTravelUpToTheirOwnLimit(t *testing.T) {
	var held []byte
	calls := 0
	handlers := echo(&calls)
	handlers.Blobs = keep(&held)
	address, _ := serve(t, handlers)
	client := clientWith(t, testToken)
	content := bytes.Repeat([]byte("0123456789abcdef"), MaxBlobBytes/16)
	require.NoError(t, client.PutBlob(t.Context(), address, blobDigest, content))
	size, err := client.BlobInfo(t.Context(), address, blobDigest)
	require.NoError(t, err)
	assert.Equal(t, int64(MaxBlobBytes), size)
	got, err := client.GetBlob(t.Context(), address, blobDigest, size)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(content, got))

	assert.Error(t, client.PutBlob(t.Context(), address, blobDigest, append(content, 'x')), "one byte over the limit")
	_, err = client.GetBlob(t.Context(), address, blobDigest, size-1)
	assert.ErrorIs(t, err, ErrMessageTooLarge, "more than the reference states")
	_, err = client.GetBlob(t.Context(), address, blobDigest, MaxBlobBytes+1)
	assert.ErrorIs(t, err, ErrMessageTooLarge)
	probe := strings.Repeat(" ", maxRequestBody) + `{"f":"i1","g":1}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/peer/v1/probe", strings.NewReader(probe))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode, "other calls keep their bound")
	assert.Zero(t, calls)
}

// Guards against full disks, missing disks and strangers that a writer cannot tell apart.
func TestBlobCallsHaveTheirOwnErrors(t *testing.T) {
	calls := 0
	noDisk, _ := serve(t, echo(&calls))
	full := echo(&calls)
	full.Blobs = keep(new([]byte))
	full.Blobs.Put = func(context.Context, string, io.Reader) error { return eris.Wrap(ErrFull, "quota") }
	fullAddress, _ := serve(t, full)
	client := clientWith(t, testToken)

	assert.ErrorIs(t, client.PutBlob(t.Context(), noDisk, blobDigest, []byte("x")), ErrNotFound)
	_, err := client.GetBlob(t.Context(), noDisk, blobDigest, 1)
	assert.ErrorIs(t, err, ErrNotFound)
	_, err = client.BlobInfo(t.Context(), noDisk, blobDigest)
	assert.ErrorIs(t, err, ErrNotFound)
	assert.ErrorIs(t, client.PutBlob(t.Context(), fullAddress, blobDigest, []byte("x")), ErrFull)
	stranger := clientWith(t, "wrong")
	assert.ErrorIs(t, stranger.PutBlob(t.Context(), fullAddress, blobDigest, []byte("x")), ErrUnauthorized)
}
