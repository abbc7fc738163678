// Package files holds the rules of callers' batch files: the format of a line, the grouping of lines into chunks, and the record of a file
// in the store. It does no I/O.
package files

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrInvalid means that a file is not a valid batch file. The error is a *LineError if a single line is invalid.
var ErrInvalid = eris.New("batch file is invalid")

// LineError is the error for an invalid line. It wraps ErrInvalid.
type LineError struct {
	Line   int // counted from 1, empty lines included
	Reason string
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Unwrap makes errors.Is(err, ErrInvalid) true.
func (e *LineError) Unwrap() error { return ErrInvalid }

// Limits of a file.
const (
	MaxLines         = 140_000
	MaxLineBytes     = 1 << 20
	MaxBytes         = 1 << 30 // 140,000 lines of 7.5 KiB
	maxCustomIDBytes = 512
)

// Paths that a line may request.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	servicePrefix  = "/v1/services/"
)

// Line is one request of a batch file.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// ParseLine parses and checks one line. The error is the reason only, without a line number, and doesn't wrap ErrInvalid.
func ParseLine(raw []byte) (Line, error) {
	var line Line
	if err := json.Unmarshal(raw, &line); err != nil {
		return Line{}, fmt.Errorf("not a JSON object with custom_id, method, url and body: %w", err)
	}
	return line, line.check()
}

func (l Line) check() error {
	switch {
	case l.CustomID == "":
		return eris.New("custom_id is missing")
	case len(l.CustomID) > maxCustomIDBytes:
		return fmt.Errorf("custom_id has %d bytes, the limit is %d", len(l.CustomID), maxCustomIDBytes)
	case l.Method != http.MethodPost:
		return fmt.Errorf("method is %q, only POST is allowed", l.Method)
	case len(l.Body) == 0 || string(l.Body) == "null":
		return eris.New("body is missing")
	}
	return l.checkURL()
}

func (l Line) checkURL() error {
	if l.URL == chatPath || l.URL == completionPath {
		if l.Body[0] != '{' {
			return eris.New("body is not a JSON object")
		}
		return nil
	}
	if _, _, ok := l.Service(); ok {
		return nil
	}
	return fmt.Errorf("url %q is none of %s, %s and %s{service}/{operation}", l.URL, chatPath, completionPath, servicePrefix)
}

// Service returns the plain service and the operation that the line calls. ok is false if the URL isn't that of a service, for example a
// model's.
func (l Line) Service() (service, operation string, ok bool) {
	rest, found := strings.CutPrefix(l.URL, servicePrefix)
	if !found {
		return "", "", false
	}
	service, operation, found = strings.Cut(rest, "/")
	return service, operation, found && service != "" && operation != "" && !strings.ContainsAny(operation, "/?#")
}
