package entry

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/bundle"
	corefiles "eelgrassproxy.example/core/files"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/files"
)

const apiKey = "key-of-the-only-caller"

// fakeFiles is a files service with one file. If err is set, its calls return err.
type fakeFiles struct {
	caller  fleet.CallerID
	content []byte
	err     error
	limit   int64
}

func (f *fakeFiles) Upload(_ context.Context, caller fleet.CallerID, r io.Reader) (corefiles.Record, error) {
	if f.err != nil {
		return corefiles.Record{}, f.err
	}
	content, err := io.ReadAll(r)
	if err != nil {
		return corefiles.Record{}, eris.Wrap(err, "read the upload")
	}
	f.caller, f.content = caller, content
	return f.record(), nil
}

func (f *fakeFiles) record() corefiles.Record {
	return corefiles.Record{ID: "file-" + strings.Repeat("a", 64), Caller: f.caller, Lines: 1, Bytes: int64(len(f.content)), Created: time.Unix(7, 0)}
}

func (f *fakeFiles) Get(context.Context, fleet.CallerID, string) (corefiles.Record, error) {
	return f.record(), f.err
}

func (f *fakeFiles) List(context.Context, fleet.CallerID) ([]corefiles.Record, error) {
	return []corefiles.Record{f.record()}, f.err
}

// Content writes the content before it returns the error.
func (f *fakeFiles) Content(_ context.Context, _ fleet.CallerID, _ string, w io.Writer) error {
	if len(f.content) > 0 {
		_, _ = w.Write(f.content)
	}
	return f.err
}

func (f *fakeFiles) Delete(context.Context, fleet.CallerID, string) error { return f.err }
func (f *fakeFiles) MaxBytes() int64                                      { return f.limit }

// serveFiles runs the callers' listener with one caller and a small limit for bodies other than uploads. It returns the base URL.
func serveFiles(t *testing.T, options ...HandlerOption) string {
	t.Helper()
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	sum := sha256.Sum256([]byte(apiKey))
	manifest, sections, err := bundle.Split(&bundle.Document{
		Generation: 1,
		Models:     []bundle.Model{{Name: "m", Base: "b", Version: "1", MaxRunning: 1}},
		Groups:     []bundle.Group{{Name: "g", Models: []string{"m"}}},
		Callers:    []bundle.Caller{{ID: "norrsken", Group: "g", KeySHA256: hex.EncodeToString(sum[:])}},
	})
	require.NoError(t, err)
	signed := bundle.SignedManifest{Manifest: manifest.Bytes()}
	signed.Signatures = []bundle.Signature{bundle.Sign(signed.Manifest, "anna", key)}
	verifier := bundle.Verifier{Keys: map[string]ed25519.PublicKey{"anna": key.Public().(ed25519.PublicKey)}, Required: 1}
	active, err := bundle.Activate(signed, sections, verifier)
	require.NoError(t, err)
	board := blackboard.New()
	board.Bundle.Advance(active)
	server, err := NewServer(NewHandler(board, nil, "a", time.Second, options...), Options{MaxBodyBytes: 1 << 10, MaxInFlight: 4})
	require.NoError(t, err)
	listener := httptest.NewServer(server.Handler)
	t.Cleanup(listener.Close)
	return listener.URL
}

func doRequest(t *testing.T, method, url, contentType, token string, body io.Reader) (int, []byte, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, body)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// buildUpload builds an upload from alternating field names and values. The field "file" is sent as a file with the value as its content.
func buildUpload(t *testing.T, fields ...string) (contentType string, body *bytes.Buffer) {
	t.Helper()
	body = &bytes.Buffer{}
	w := multipart.NewWriter(body)
	for i := 0; i < len(fields); i += 2 {
		var part io.Writer
		var err error
		if fields[i] == fileField {
			part, err = w.CreateFormFile(fileField, "night.jsonl")
		} else {
			part, err = w.CreateFormField(fields[i])
		}
		require.NoError(t, err)
		_, err = io.WriteString(part, fields[i+1])
		require.NoError(t, err)
	}
	require.NoError(t, w.Close())
	return w.FormDataContentType(), body
}

// Guards against uploads that lose bytes, that are cut off at the size limit of online requests, or that depend on the order of the fields.
func TestAnUploadReachesTheServiceAsItWasSent(t *testing.T) {
	text := strings.Repeat("0123456789\n", 20_000)
	for _, fields := range [][]string{{"purpose", "batch", "file", text}, {"file", text, "purpose", "batch", "expires_after[seconds]", "9"}} {
		f := &fakeFiles{limit: int64(len(text))}
		url := serveFiles(t, WithFiles(f))
		contentType, body := buildUpload(t, fields...)
		status, response, err := doRequest(t, http.MethodPost, url+"/v1/files", contentType, apiKey, body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, string(response))
		assert.Equal(t, text, string(f.content))
		assert.Equal(t, fleet.CallerID("norrsken"), f.caller)
		want := `{"id":"` + f.record().ID + `","object":"file","bytes":220000,"created_at":7,"filename":"batch.jsonl","purpose":"batch","status":"processed","lines":1}`
		assert.JSONEq(t, want, string(response))
		status, response, err = doRequest(t, http.MethodGet, url+"/v1/files/"+f.record().ID+"/content", "", apiKey, nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, text, string(response))
	}
}

// Guards against files created from incomplete or invalid uploads.
func TestAnUploadThatIsNotABatchFileIsRefused(t *testing.T) {
	cases := map[string]struct {
		fields []string
		cut    int // number of bytes removed from the end
		status int
	}{
		"another purpose before the file": {[]string{"purpose", "fine-tune", "file", "x"}, 0, http.StatusBadRequest},
		"another purpose after the file":  {[]string{"file", "x", "purpose", "fine-tune"}, 0, http.StatusBadRequest},
		"no purpose":                      {[]string{"file", "x"}, 0, http.StatusBadRequest},
		"no file":                         {[]string{"purpose", "batch"}, 0, http.StatusBadRequest},
		"two files":                       {[]string{"purpose", "batch", "file", "x", "file", "y"}, 0, http.StatusBadRequest},
		"an end within the file":          {[]string{"purpose", "batch", "file", strings.Repeat("x", 1000)}, 500, http.StatusBadRequest},
		"an end within the last boundary": {[]string{"purpose", "batch", "file", "x"}, 6, http.StatusBadRequest},
		"a large field":                   {[]string{"purpose", strings.Repeat("batch", 100), "file", "x"}, 0, http.StatusBadRequest},
		"a file over the limit":           {[]string{"purpose", "batch", "file", strings.Repeat("x", 1<<20)}, 0, http.StatusRequestEntityTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &fakeFiles{limit: 4096}
			contentType, body := buildUpload(t, c.fields...)
			body.Truncate(body.Len() - c.cut)
			status, response, err := doRequest(t, http.MethodPost, serveFiles(t, WithFiles(f))+"/v1/files", contentType, apiKey, body)
			require.NoError(t, err)
			assert.Equal(t, c.status, status, string(response))
			assert.Contains(t, string(response), `"not_run":true`)
			assert.Empty(t, f.content)
		})
	}
}

// Guards against internal errors for bodies that are not multipart uploads.
func TestABodyThatIsNotMultipartIsRefused(t *testing.T) {
	url := serveFiles(t, WithFiles(&fakeFiles{limit: 4096})) + "/v1/files"
	for _, body := range []string{"", "garbage", "--b\r\nbroken header\r\n\r\n", "--b\r\nContent-Disposition: form-data; name=\"file\"\r\n\r\nx\r\n--b junk"} {
		status, response, err := doRequest(t, http.MethodPost, url, "multipart/form-data; boundary=b", apiKey, strings.NewReader(body))
		require.NoError(t, err)
		assert.Equal(t, http.StatusBadRequest, status, "%q: %s", body, response)
	}
	for _, contentType := range []string{"multipart/form-data", "multipart/mixed; boundary=b", "application/json"} {
		status, _, err := doRequest(t, http.MethodPost, url, contentType, apiKey, strings.NewReader("{}"))
		require.NoError(t, err)
		assert.Equal(t, http.StatusBadRequest, status, contentType)
	}
}

// Guards against errors with a wrong code or not_run value.
func TestErrorsOfFilesHaveTheirCodes(t *testing.T) {
	cases := []struct {
		err    error
		status int
		code   string
		notRun bool
		text   string
	}{
		{&corefiles.LineError{Line: 7, Reason: "custom_id is missing"}, http.StatusBadRequest, "invalid_request", true, "line 7: custom_id is missing"},
		{eris.Wrap(corefiles.ErrInvalid, "the file has no request"), http.StatusBadRequest, "invalid_request", true, "no request"},
		{files.ErrNotFound, http.StatusNotFound, "not_found", true, ""},
		{files.ErrTooSlow, http.StatusGatewayTimeout, "deadline_exceeded", true, ""},
		{eris.Wrap(os.ErrDeadlineExceeded, "read the upload"), http.StatusGatewayTimeout, "deadline_exceeded", true, ""},
		{files.ErrBusy, http.StatusServiceUnavailable, "overloaded", true, ""},
		{eris.Wrap(files.ErrRecordUnavailable, "x"), http.StatusServiceUnavailable, "store_unavailable", true, ""},
		{eris.Wrap(files.ErrContentUnavailable, "x"), http.StatusServiceUnavailable, "storage_unavailable", true, ""},
		{eris.Wrap(files.ErrContentLost, "x"), http.StatusServiceUnavailable, "storage_unavailable", true, ""},
		{eris.Wrap(files.ErrOutcomeUnknown, "x"), http.StatusBadGateway, "outcome_unknown", false, ""},
	}
	for _, c := range cases {
		url := serveFiles(t, WithFiles(&fakeFiles{err: c.err, limit: 4096}))
		file := url + "/v1/files/file-" + strings.Repeat("a", 64)
		contentType, body := buildUpload(t, "purpose", "batch", "file", "x")
		calls := map[string][]string{
			"upload": {http.MethodPost, url + "/v1/files", contentType}, "list": {http.MethodGet, url + "/v1/files", ""},
			"get": {http.MethodGet, file, ""}, "content": {http.MethodGet, file + "/content", ""}, "delete": {http.MethodDelete, file, ""},
		}
		for name, a := range calls {
			status, response, err := doRequest(t, a[0], a[1], a[2], apiKey, bytes.NewReader(body.Bytes()))
			require.NoError(t, err)
			var got struct {
				Error struct {
					Code, Message string
					NotRun        bool `json:"not_run"`
				}
			}
			require.NoError(t, json.Unmarshal(response, &got), string(response))
			assert.Equal(t, c.status, status, name)
			assert.Equal(t, c.code, got.Error.Code, name)
			assert.Equal(t, c.notRun, got.Error.NotRun, name)
			assert.Contains(t, got.Error.Message, c.text)
		}
	}
}

// Guards against content that looks complete although it ends early.
func TestContentThatCannotBeCompletedIsCut(t *testing.T) {
	f := &fakeFiles{content: []byte("first chunk\n"), err: eris.Wrap(files.ErrContentLost, "chunk 1")}
	_, _, err := doRequest(t, http.MethodGet, serveFiles(t, WithFiles(f))+"/v1/files/"+f.record().ID+"/content", "", apiKey, nil)
	assert.Error(t, err)
}

// Guards against access without a valid API key, and against a crash of instances without the files service.
func TestFilesNeedACallerAndTheService(t *testing.T) {
	f := &fakeFiles{limit: 4096}
	contentType, body := buildUpload(t, "purpose", "batch", "file", "x")
	status, _, err := doRequest(t, http.MethodPost, serveFiles(t, WithFiles(f))+"/v1/files", contentType, "wrong", bytes.NewReader(body.Bytes()))
	require.NoError(t, err)
	assert.Equal(t, http.StatusUnauthorized, status)
	assert.Empty(t, f.content)
	url := serveFiles(t)
	file := url + "/v1/files/" + f.record().ID
	for _, a := range [][3]string{{http.MethodPost, url + "/v1/files", contentType}, {http.MethodGet, url + "/v1/files"}, {http.MethodGet, file}, {http.MethodDelete, file}, {http.MethodGet, file + "/content"}} {
		status, _, err := doRequest(t, a[0], a[1], a[2], apiKey, bytes.NewReader(body.Bytes()))
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, status)
	}
}
