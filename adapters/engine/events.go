package engine

import (
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/core/stream"
)

// ErrBroken means that the connection of a stream ended or failed before the end of the stream.
var ErrBroken = eris.New("connection of the event stream broke")

// Bounds of what Close reads after the end of a stream. What is left then is the last chunk of the HTTP body, a few bytes that
// the engine sends together with the end of the stream.
const (
	drainTimeout = 50 * time.Millisecond
	drainBytes   = 4 << 10
)

// Events reads the events of one connection of a stream and checks them with the stream's tracker.
type Events struct {
	body    io.ReadCloser
	decoder *stream.Decoder
	tracker *stream.Tracker
}

// NewEvents returns the events of an answer's body. The decoder is reset. The tracker belongs to the stream and lives on when the
// stream is resumed on another connection.
func NewEvents(body io.ReadCloser, decoder *stream.Decoder, tracker *stream.Tracker) *Events {
	decoder.Reset()
	return &Events{body: body, decoder: decoder, tracker: tracker}
}

// Next returns the next event with its verdict: InOrder, Gap, Foreign or End. Duplicates are dropped. The event is valid until the
// next call. Errors: ErrBroken (resume from the tracker's position), and the decoder's errors, after which the connection is
// unusable too.
func (e *Events) Next() (stream.Event, stream.Verdict, error) {
	for {
		event, ok, err := e.decoder.Next()
		if err != nil {
			return stream.Event{}, stream.Foreign, err
		}
		if ok {
			if verdict := e.tracker.Check(event); verdict != stream.Duplicate {
				return event, verdict, nil
			}
			continue
		}
		if err := e.read(); err != nil {
			return stream.Event{}, stream.Gap, err
		}
	}
}

// Ready tells whether Next returns without waiting for the connection, so that a flush can wait too.
func (e *Events) Ready() bool { return e.decoder.Ready() }

// Abort closes the connection. It may be called while Next waits on another goroutine, which then returns ErrBroken.
func (e *Events) Abort() { _ = e.body.Close() }

// Close ends the reading. After the end of the stream it reads the rest of the body, for at most drainTimeout, so that the
// connection can be used again.
func (e *Events) Close() {
	defer e.body.Close()
	if !e.tracker.Ended() {
		return
	}
	timer := time.AfterFunc(drainTimeout, e.Abort)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(e.body, drainBytes))
}

func (e *Events) read() error {
	buffer := e.decoder.Buffer()
	if len(buffer) == 0 {
		return nil // the decoder reports why
	}
	n, err := e.body.Read(buffer)
	e.decoder.Advance(n)
	if n > 0 || err == nil {
		return nil // an error comes again with the next read
	}
	if err == io.EOF {
		err = e.tracker.Finish()
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
