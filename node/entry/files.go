package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"eelgrassproxy.example/api/caller"
	corefiles "eelgrassproxy.example/core/files"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/files"
	"eelgrassproxy.example/node/problem"
)

// Files stores the callers' batch files. files.Service implements it.
type Files interface {
	Upload(ctx context.Context, caller fleet.CallerID, r io.Reader) (corefiles.Record, error)
	Get(ctx context.Context, caller fleet.CallerID, id string) (corefiles.Record, error)
	List(ctx context.Context, caller fleet.CallerID) ([]corefiles.Record, error)
	Content(ctx context.Context, caller fleet.CallerID, id string, w io.Writer) error
	Delete(ctx context.Context, caller fleet.CallerID, id string) error
	// MaxBytes returns the size limit of a file.
	MaxBytes() int64
}

var _ Files = (*files.Service)(nil)

// WithFiles makes the handler serve /v1/files. Without it, these calls fail with not_ready.
func WithFiles(f Files) HandlerOption {
	return func(h *Handler) { h.files = f }
}

// Constant fields of a file in the caller API.
const (
	fileObject        = "file"
	fileName          = "batch.jsonl"
	filePurpose       = "batch"
	fileStatus        = "processed"
	storageRetryAfter = time.Second // Retry-After if the store, the disks or the instance cannot serve the call now
)

// CreateFile implements caller.Handler.
func (h *Handler) CreateFile(ctx context.Context, req *caller.CreateFileReqWithContentType) (caller.CreateFileRes, error) {
	if h.files == nil {
		return nil, filesNotServed()
	}
	contentType, _ := ctx.Value(contentTypeKey{}).(string)
	part, err := openFilePart(req.Content, contentType)
	if err != nil {
		return nil, err
	}
	record, err := h.files.Upload(ctx, sessionOf(ctx).caller.ID, part)
	if err != nil {
		return nil, fileProblem(err)
	}
	return toFile(record), nil
}

// ListFiles implements caller.Handler.
func (h *Handler) ListFiles(ctx context.Context) (caller.ListFilesRes, error) {
	if h.files == nil {
		return nil, filesNotServed()
	}
	records, err := h.files.List(ctx, sessionOf(ctx).caller.ID)
	if err != nil {
		return nil, fileProblem(err)
	}
	list := &caller.FileList{Object: "list", Data: make([]caller.File, 0, len(records))}
	for _, record := range records {
		list.Data = append(list.Data, *toFile(record))
	}
	return list, nil
}

// GetFile implements caller.Handler.
func (h *Handler) GetFile(ctx context.Context, params caller.GetFileParams) (caller.GetFileRes, error) {
	if h.files == nil {
		return nil, filesNotServed()
	}
	record, err := h.files.Get(ctx, sessionOf(ctx).caller.ID, params.FileID)
	if err != nil {
		return nil, fileProblem(err)
	}
	return toFile(record), nil
}

// DeleteFile implements caller.Handler.
func (h *Handler) DeleteFile(ctx context.Context, params caller.DeleteFileParams) (caller.DeleteFileRes, error) {
	if h.files == nil {
		return nil, filesNotServed()
	}
	if err := h.files.Delete(ctx, sessionOf(ctx).caller.ID, params.FileID); err != nil {
		return nil, fileProblem(err)
	}
	return &caller.FileDeleted{ID: params.FileID, Object: fileObject, Deleted: true}, nil
}

// GetFileContent implements caller.RawHandler. If the content cannot be read to its end, it aborts the connection, so that the caller does
// not take the response for complete.
func (h *Handler) GetFileContent(ctx context.Context, params caller.GetFileContentParams, w http.ResponseWriter) error {
	if h.files == nil {
		return filesNotServed()
	}
	body := &contentWriter{w: w, control: http.NewResponseController(w)}
	defer body.clearDeadline()
	err := h.files.Content(ctx, sessionOf(ctx).caller.ID, params.FileID, body)
	if err != nil && body.started {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return fileProblem(err)
	}
	return nil
}

// contentWriter sets the content type before the first byte. A write fails if the caller does not accept it within transferTimeout.
type contentWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
}

// Write implements io.Writer.
func (c *contentWriter) Write(p []byte) (int, error) {
	if !c.started {
		c.started = true
		c.w.Header().Set("Content-Type", "application/octet-stream")
	}
	_ = c.control.SetWriteDeadline(time.Now().Add(transferTimeout))
	return c.w.Write(p)
}

// clearDeadline clears the write deadline, which would otherwise apply to the next request on the connection.
func (c *contentWriter) clearDeadline() { _ = c.control.SetWriteDeadline(time.Time{}) }

func toFile(r corefiles.Record) *caller.File {
	return &caller.File{
		ID: r.ID, Object: fileObject, Bytes: r.Bytes, CreatedAt: r.Created.Unix(), Filename: fileName, Purpose: filePurpose,
		Status: fileStatus, Lines: int64(r.Lines),
	}
}

func filesNotServed() error {
	return problem.NotRun(problem.CodeNotReady, "this instance does not serve files")
}

// fileProblem converts errors of the files service to problems. Calls for files involve no target, so not_run is false only if the call may
// have taken effect.
func fileProblem(err error) error {
	var known *problem.Error
	var line *corefiles.LineError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &known), errors.As(err, &tooLarge):
		return err // occurred while the upload was read; converted by toProblem
	case errors.As(err, &line):
		return problem.NotRun(problem.CodeInvalidRequest, "%s", line.Error())
	case errors.Is(err, corefiles.ErrInvalid):
		return problem.NotRun(problem.CodeInvalidRequest, "%v", err)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return problem.NotRun(problem.CodeInvalidRequest, "the upload ended before its last boundary")
	case errors.Is(err, files.ErrTooSlow), errors.Is(err, os.ErrDeadlineExceeded):
		return problem.NotRun(problem.CodeDeadline, "the upload made no progress for %v or took longer than %v", transferTimeout, files.UploadTimeout)
	case errors.Is(err, files.ErrNotFound):
		return problem.NotRun(problem.CodeNotFound, "file does not exist")
	case errors.Is(err, files.ErrBusy):
		return problem.NotRun(problem.CodeOverloaded, "instance receives as many uploads as it can").WithRetryAfter(storageRetryAfter)
	case errors.Is(err, files.ErrRecordUnavailable):
		return problem.NotRun(problem.CodeStoreUnavailable, "the record of the file could not be reached").WithRetryAfter(storageRetryAfter)
	case errors.Is(err, files.ErrContentUnavailable):
		return problem.NotRun(problem.CodeStorageUnavailable, "the content of the file could not be reached on two disks").WithRetryAfter(storageRetryAfter)
	case errors.Is(err, files.ErrContentLost):
		return problem.NotRun(problem.CodeStorageUnavailable, "no copy of a part of the file is left")
	case errors.Is(err, files.ErrOutcomeUnknown):
		return problem.MayHaveRun(problem.CodeOutcomeUnknown, "the change may have taken effect; repeating it is safe").WithRetryAfter(storageRetryAfter)
	}
	return err
}

type contentTypeKey struct{}

const (
	filesPath = "/v1/files"
	// transferTimeout is the longest time that an upload or download of a file may take without progress.
	transferTimeout = 30 * time.Second
	// maxMultipartOverhead is the size allowed for the boundaries and fields around the file in an upload.
	maxMultipartOverhead = 64 << 10
)

func isUpload(r *http.Request) bool {
	return r.Method == http.MethodPost && strings.TrimSuffix(r.URL.Path, "/") == filesPath
}

// limitUpload applies the limits of uploads in place of those of other bodies: an upload may be large and take long if it makes progress.
func limitUpload(w http.ResponseWriter, r *http.Request, maxFileBytes int64) *http.Request {
	control := http.NewResponseController(w)
	body := http.MaxBytesReader(w, r.Body, maxFileBytes+maxMultipartOverhead)
	r.Body = &progressBody{ReadCloser: body, control: control, end: time.Now().Add(files.UploadTimeout)}
	// The generated decoder passes the media type to the handler without its boundary parameter.
	return r.WithContext(context.WithValue(r.Context(), contentTypeKey{}, r.Header.Get("Content-Type")))
}

// progressBody sets a new deadline for each read, which is never after end.
type progressBody struct {
	io.ReadCloser
	control *http.ResponseController
	end     time.Time
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	deadline := time.Now().Add(transferTimeout)
	if deadline.After(b.end) {
		deadline = b.end
	}
	_ = b.control.SetReadDeadline(deadline)
	return b.ReadCloser.Read(p)
}
