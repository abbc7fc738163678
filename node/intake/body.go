package intake

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a body that is not read to its end. No part of the request has run.
var (
	// ErrNoMemory means that there is no memory for the body, or that another request needs it more.
	ErrNoMemory = eris.New("there is no memory for the request body")
	// ErrTooSlow means that the body was not complete in time.
	ErrTooSlow = eris.New("request body was not complete in time")
)

// bodyCopies is how often a body is in memory that its handler reads by itself: in a buffer that grows by doubling, and decoded.
const bodyCopies = 3

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *conn
	// uncounted bodies are counted by their reader, or not kept.
	uncounted bool
}

// Read implements io.Reader. Errors: ErrNoMemory, ErrTooSlow, and those of the connection.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF && !b.conn.complete():
		return 0, fmt.Errorf("%w: its connection gave way", ErrNoMemory)
	case err == io.EOF:
	case err != nil:
		err = b.conn.readError(err)
	}
	if !b.uncounted && !b.conn.guard.reserve(b.conn, bodyCopies*int64(n)) {
		return 0, ErrNoMemory
	}
	return n, err
}

// readError returns the error of a request whose body cannot be read.
func (c *conn) readError(err error) error {
	switch why := c.evicted(); {
	case !isTimeout(err):
		return err
	case why == reasonTimeout:
		return fmt.Errorf("%w: %w", ErrTooSlow, err)
	case why != "":
		return fmt.Errorf("%w: %w", ErrNoMemory, err)
	}
	return err
}

// firstBuffer is the size in bytes of the buffer with which ReadBody begins. Most bodies fit.
const firstBuffer = 2 << 10

// ReadBody reads the whole body of a request, of at most limit bytes if that is positive, until deadline. Its memory is counted until the handler returns.
// Errors: ErrNoMemory and ErrTooSlow, after which the connection should be closed; *http.MaxBytesError; and those of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	counted, isCounted := r.Body.(*body)
	if isCounted {
		counted.uncounted = true // this function counts the buffer
		counted.conn.setDeadline(deadline)
	}
	source := r.Body
	if limit > 0 {
		source = http.MaxBytesReader(w, source, limit)
	}
	var buffer []byte
	grow := func() error {
		size := max(2*int64(cap(buffer)), firstBuffer)
		if r.ContentLength >= 0 {
			size = max(min(size, r.ContentLength), int64(cap(buffer))+1)
		}
		if isCounted && !counted.conn.guard.reserve(counted.conn, size) {
			return ErrNoMemory
		}
		old := int64(cap(buffer))
		buffer = append(make([]byte, 0, size), buffer...)
		if isCounted {
			counted.conn.giveBack(old)
		}
		return nil
	}
	var next [1]byte // tells whether more follows when the buffer is full
	for {
		into := buffer[len(buffer):cap(buffer)]
		if len(into) == 0 {
			into = next[:]
		}
		n, err := source.Read(into)
		switch {
		case len(buffer) < cap(buffer):
			buffer = buffer[:len(buffer)+n]
		case n > 0:
			if err := grow(); err != nil {
				return nil, err
			}
			buffer = append(buffer, next[0])
		}
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Uncounted makes the body of a request not count, for handlers that pass it on as it arrives, and bound its time themselves.
func Uncounted(r *http.Request) {
	if b, ok := r.Body.(*body); ok {
		b.uncounted = true
		b.conn.setDeadline(time.Time{})
	}
}

// IsRefusal reports whether an error of a body means that its request is refused and has not run.
func IsRefusal(err error) bool { return errors.Is(err, ErrNoMemory) || errors.Is(err, ErrTooSlow) }
