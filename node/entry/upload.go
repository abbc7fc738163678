package entry

import (
	"errors"
	"io"
	"mime"
	"mime/multipart"
	"net/http"

	"eelgrassproxy.example/node/problem"
	"github.com/rotisserie/eris"
)

// Fields of an upload.
const (
	purposeField = "purpose"
	fileField    = "file"
	// maxFieldBytes bounds the value of each field other than the file.
	maxFieldBytes = 256
)

// filePart reads the file of a multipart upload while it arrives. Since the fields may come in any order, it reads the fields after the
// file at the end of the file, and Read returns io.EOF only for a complete upload with the purpose batch.
type filePart struct {
	parts   *multipart.Reader
	file    *multipart.Part
	purpose string
}

// openFilePart reads the fields before the file and returns the file.
func openFilePart(body io.Reader, contentType string) (*filePart, error) {
	mediaType, params, err := mime.ParseMediaType(contentType)
	if err != nil || mediaType != "multipart/form-data" || params["boundary"] == "" {
		return nil, problem.NotRun(problem.CodeInvalidRequest, "Content-Type must be multipart/form-data with a boundary")
	}
	p := &filePart{parts: multipart.NewReader(body, params["boundary"])}
	for {
		part, err := p.parts.NextPart()
		if errors.Is(err, io.EOF) {
			return nil, problem.NotRun(problem.CodeInvalidRequest, "the upload has no field %q", fileField)
		}
		if err != nil {
			return nil, uploadProblem(err)
		}
		if part.FormName() == fileField {
			p.file = part
			return p, nil
		}
		if err := p.readField(part); err != nil {
			return nil, err
		}
	}
}

// Read implements io.Reader.
func (p *filePart) Read(buffer []byte) (int, error) {
	n, err := p.file.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = p.finish()
	}
	return n, err
}

// finish reads the fields after the file and returns io.EOF if the upload is complete and its purpose is batch.
func (p *filePart) finish() error {
	for {
		part, err := p.parts.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return uploadProblem(err)
		}
		if part.FormName() == fileField {
			return problem.NotRun(problem.CodeInvalidRequest, "the upload has more than one field %q", fileField)
		}
		if err := p.readField(part); err != nil {
			return err
		}
	}
	if p.purpose != filePurpose {
		return problem.NotRun(problem.CodeInvalidRequest, "field %q must be %q", purposeField, filePurpose)
	}
	return io.EOF
}

// readField reads a field other than the file. It keeps the value of the purpose and ignores the others.
func (p *filePart) readField(part *multipart.Part) error {
	value, err := io.ReadAll(io.LimitReader(part, maxFieldBytes+1))
	if err != nil {
		return uploadProblem(err)
	}
	if len(value) > maxFieldBytes {
		return problem.NotRun(problem.CodeInvalidRequest, "field %q has more than %d bytes", part.FormName(), maxFieldBytes)
	}
	if part.FormName() == purposeField {
		p.purpose = string(value)
	}
	return nil
}

// uploadProblem converts an error of parsing the multipart body. An error other than a limit or a deadline means that the body is
// malformed, or that the connection is lost, and then the caller receives no response.
func uploadProblem(err error) error {
	converted := fileProblem(eris.Wrap(err, "read the upload"))
	var known *problem.Error
	var tooLarge *http.MaxBytesError
	if errors.As(converted, &known) || errors.As(converted, &tooLarge) {
		return converted
	}
	return problem.NotRun(problem.CodeInvalidRequest, "the upload is not valid multipart/form-data: %v", err)
}
