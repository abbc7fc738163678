// Package stream decodes server-sent events, encodes them, and checks that the events of an answer are those of the expected
// request, in order and complete. It does no I/O: the caller moves bytes.
package stream

import (
	"bytes"
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of the decoder. After an error the decoder stays failed.
var (
	// ErrEventTooLarge means that an event exceeds the decoder's bound.
	ErrEventTooLarge = eris.New("event is larger than the bound")
	// ErrMalformedEvent means that an event cannot be told apart reliably: it has two ids, or an id with a NUL character.
	ErrMalformedEvent = eris.New("event is malformed")
	// ErrTruncated means that the bytes ended inside an event or before the end of the stream.
	ErrTruncated = eris.New("event stream is truncated")
)

// initialBuffer is the size in bytes of a new decoder's buffer. It holds a typical event of one token several times.
const initialBuffer = 4 << 10

// Event is one server-sent event. The slices are valid until the next call of a method of the decoder.
type Event struct {
	ID   []byte // value of the id field of this event; empty if it has none
	Data []byte // values of the data fields, joined by newlines
}

// Decoder splits bytes into events. The caller reads into Buffer, reports the number of bytes with Advance, and calls Next until
// it returns false:
//
//	n, err := body.Read(decoder.Buffer())
//	decoder.Advance(n)
//	for event, ok, err := decoder.Next(); ok; event, ok, err = decoder.Next() { ... }
//
// Differences to the event stream format of the HTML standard: an id belongs to its event only, and an event with an id but
// without data is returned, since it takes a position. Event names, retry times and comments are skipped.
type Decoder struct {
	maxEvent int
	buffer   []byte // bytes from begin to end are not yet consumed
	begin    int    // start of the current event
	line     int    // start of the current line
	scanned  int    // up to here, the current line has no line end
	end      int
	skipLF   bool // the last line ended in CR; an LF that follows belongs to it
	started  bool // a byte order mark at the start was looked for

	id       []byte
	hasID    bool
	hasData  bool
	dataFrom int // data is gathered inside the buffer
	dataTo   int
	done     bool // the current event was returned
	err      error
}

// NewDecoder returns a decoder that fails on events of more than maxEvent bytes, line ends and field names included.
func NewDecoder(maxEvent int) *Decoder {
	return &Decoder{maxEvent: maxEvent, buffer: make([]byte, min(initialBuffer, maxEvent))}
}

// Reset prepares the decoder for another stream and keeps its buffers.
func (d *Decoder) Reset() {
	*d = Decoder{maxEvent: d.maxEvent, buffer: d.buffer, id: d.id[:0]}
}

// Buffer returns the free space to read into, at least one byte unless the decoder has failed. It invalidates the last event.
func (d *Decoder) Buffer() []byte {
	d.discard()
	if d.begin > 0 {
		d.shift()
	}
	if d.end == len(d.buffer) {
		d.grow()
	}
	return d.buffer[d.end:]
}

// Advance reports that n bytes were read into Buffer.
func (d *Decoder) Advance(n int) { d.end += n }

// shift moves the current event to the start of the buffer.
func (d *Decoder) shift() {
	copy(d.buffer, d.buffer[d.begin:d.end])
	d.line -= d.begin
	d.scanned -= d.begin
	d.end -= d.begin
	d.dataFrom -= d.begin
	d.dataTo -= d.begin
	d.begin = 0
}

func (d *Decoder) grow() {
	if len(d.buffer) >= d.maxEvent {
		d.err = fmt.Errorf("%w of %d bytes", ErrEventTooLarge, d.maxEvent)
		return
	}
	larger := make([]byte, min(2*len(d.buffer), d.maxEvent))
	copy(larger, d.buffer[:d.end])
	d.buffer = larger
}

// Next returns the next event. It returns false when more bytes are needed or after an error.
func (d *Decoder) Next() (Event, bool, error) {
	d.discard()
	for d.err == nil {
		line, ok := d.nextLine()
		if !ok {
			return Event{}, false, d.err
		}
		if len(line) > 0 {
			d.field(line)
			continue
		}
		if !d.hasID && !d.hasData {
			d.done = true
			d.discard()
			continue
		}
		d.done = true
		return Event{ID: d.id, Data: d.buffer[d.dataFrom:d.dataTo]}, true, nil
	}
	return Event{}, false, d.err
}

// discard forgets the event that was returned.
func (d *Decoder) discard() {
	if !d.done {
		return
	}
	d.begin = d.line
	d.id = d.id[:0]
	d.hasID, d.hasData, d.done = false, false, false
	d.dataFrom, d.dataTo = d.begin, d.begin
}

// nextLine returns the next whole line without its end.
func (d *Decoder) nextLine() ([]byte, bool) {
	if !d.skipStart() {
		return nil, false
	}
	if d.skipLF && d.line < d.end {
		d.skipLF = false
		if d.buffer[d.line] == '\n' {
			d.skipByte()
		}
	}
	i := lineEnd(d.buffer[d.scanned:d.end])
	if i < 0 {
		d.scanned = d.end
		return nil, false
	}
	at := d.scanned + i
	line := d.buffer[d.line:at]
	d.skipLF = d.buffer[at] == '\r'
	d.line, d.scanned = at+1, at+1
	return line, true
}

// lineEnd returns the index of the first CR or LF, or -1.
func lineEnd(b []byte) int {
	lf := bytes.IndexByte(b, '\n')
	if lf >= 0 {
		b = b[:lf]
	}
	if cr := bytes.IndexByte(b, '\r'); cr >= 0 {
		return cr
	}
	return lf
}

// skipByte drops the first byte of the current line. Between events, the byte belongs to no event.
func (d *Decoder) skipByte() {
	if d.begin == d.line {
		d.begin++
		d.dataFrom, d.dataTo = d.begin, d.begin
	}
	d.line++
	d.scanned = max(d.scanned, d.line)
}

// skipStart drops a byte order mark. It returns false while it cannot be told whether there is one.
func (d *Decoder) skipStart() bool {
	const mark = "\xef\xbb\xbf"
	if d.started {
		return true
	}
	head := d.buffer[d.begin:d.end]
	if len(head) < len(mark) && string(head) == mark[:len(head)] {
		return false
	}
	d.started = true
	if bytes.HasPrefix(head, []byte(mark)) {
		d.begin += len(mark)
		d.line, d.scanned, d.dataFrom, d.dataTo = d.begin, d.begin, d.begin, d.begin
	}
	return true
}

// Ready tells whether Next can return another event without more bytes. It may miss one whose lines end in CR.
func (d *Decoder) Ready() bool {
	return d.err == nil && bytes.Contains(d.buffer[d.line:d.end], []byte("\n\n"))
}

// Close reports the end of the bytes. It returns ErrTruncated if they ended inside an event.
func (d *Decoder) Close() error {
	d.discard()
	if d.err != nil {
		return d.err
	}
	if d.hasID || d.hasData || d.line < d.end && !(d.skipLF && d.end-d.line == 1 && d.buffer[d.line] == '\n') {
		return fmt.Errorf("%w inside an event", ErrTruncated)
	}
	return nil
}
