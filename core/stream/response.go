package stream

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// ErrForeignResponse means that a response that isn't streamed belongs to a different request.
var ErrForeignResponse = eris.New("answer belongs to another request")

// CheckResponse checks a response that isn't streamed: its X-Request-Id header must equal requestID, the id sent upstream, and its body must
// have the length that the Content-Length header states. Errors: ErrForeignResponse, and ErrTruncated also if the length is missing.
func CheckResponse(requestID string, header http.Header, body []byte) error {
	if id := header.Get("X-Request-Id"); id != requestID {
		return fmt.Errorf("%w: X-Request-Id is %q, expected %q", ErrForeignResponse, id, requestID)
	}
	stated, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
	if err != nil {
		return fmt.Errorf("%w: Content-Length %q is not a number", ErrTruncated, header.Get("Content-Length"))
	}
	if stated != int64(len(body)) {
		return fmt.Errorf("%w: body has %d bytes, Content-Length is %d", ErrTruncated, len(body), stated)
	}
	return nil
}
