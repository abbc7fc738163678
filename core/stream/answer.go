package stream

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// ErrForeignAnswer means that an answer in one piece is not the answer to the request.
var ErrForeignAnswer = eris.New("answer belongs to another request")

// CheckAnswer checks an answer in one piece: its X-Request-Id header must be the upstream request id, and its body must have the
// length that Content-Length states. Errors: ErrForeignAnswer, ErrTruncated.
func CheckAnswer(requestID string, header http.Header, body []byte) error {
	if got := header.Get("X-Request-Id"); got != requestID {
		return fmt.Errorf("%w: X-Request-Id is %q, expected %q", ErrForeignAnswer, got, requestID)
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
