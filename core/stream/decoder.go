// Package stream decodes and encodes server-sent events, and checks that the events of a response belong to the expected request, are in
// order and complete. It does no I/O: the user of the package reads and writes the bytes.
package stream

import (
	"bytes"
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of this package. After an error a Decoder returns no more events until it is reset.
var (
	// ErrEventTooLarge means that an event exceeds the size limit of the Decoder or Splitter.
	ErrEventTooLarge = eris.New("event is larger than the bound")
	// ErrMalformedEvent means that an event has no usable id: two ids, or one that contains a NUL character or, for a Splitter, isn't
	// a number. It also means that a line does not begin with the name of a field.
	ErrMalformedEvent = eris.New("event is malformed")
	// ErrTruncated means that the bytes ended within an event or before the event that ends the stream.
	ErrTruncated = eris.New("event stream is truncated")
)

// initialBuffer is the size in bytes of a new decoder's buffer. It holds several typical events of one token each.
const initialBuffer = 4 << 10

// Event is one server-sent event. Its slices are valid until the next call of a method of the decoder.
type Event struct {
	ID   []byte // value of the id field; empty if the event has none
	Data []byte // values of the data fields, joined by newlines
}

// Decoder decodes a byte stream into events. Read into Buffer, report the number of bytes with Advance, and call Next until it returns
// false:
//
//	n, err := body.Read(decoder.Buffer())
//	decoder.Advance(n)
//	for event, ok, err := decoder.Next(); ok; event, ok, err = decoder.Next() { ... }
//
// It differs from the event stream format of the HTML standard in three points: an id applies only to its own event, an event with an id but no
// data is returned, because it has a sequence number, and names of fields have only lower-case letters, digits and hyphens. Event names, retry times and comments are skipped. A Decoder isn't safe for
// concurrent use.
type Decoder struct {
	maxEvent int
	buffer   []byte // bytes from begin to end are not consumed yet
	begin    int    // start of the current event
	line     int    // start of the current line
	scanned  int    // the bytes from line to here contain no line end
	end      int
	skipLF   bool // the last line ended in CR; if LF follows, it is part of that line end
	started  bool // the start of the stream was checked for a byte order mark

	id       []byte
	hasID    bool
	hasData  bool
	dataFrom int // the data fields are joined in place: buffer[dataFrom:dataTo]
	dataTo   int
	done     bool // the current event was returned or skipped
	err      error
}

// NewDecoder returns a decoder that fails with ErrEventTooLarge on events of more than maxEvent bytes, including line ends and field names.
func NewDecoder(maxEvent int) *Decoder {
	return &Decoder{maxEvent: maxEvent, buffer: make([]byte, min(initialBuffer, maxEvent))}
}

// Reset prepares the decoder for another stream. It keeps the allocated buffers.
func (d *Decoder) Reset() {
	*d = Decoder{maxEvent: d.maxEvent, buffer: d.buffer, id: d.id[:0]}
}

// Buffer returns the space to read into: at least one byte, unless the decoder has failed. It invalidates the last event.
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

// Advance records that n bytes were read into Buffer.
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

// Next returns the next event. It returns false if more bytes are needed, or with an error if the decoder has failed.
func (d *Decoder) Next() (Event, bool, error) {
	d.discard()
	for d.err == nil {
		line, ok := d.nextLine()
		if !ok {
			return Event{}, false, d.err
		}
		if len(line) > 0 {
			d.parseField(line)
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

// discard consumes the event that was returned last.
func (d *Decoder) discard() {
	if !d.done {
		return
	}
	d.begin = d.line
	d.id = d.id[:0]
	d.hasID, d.hasData, d.done = false, false, false
	d.dataFrom, d.dataTo = d.begin, d.begin
}

// nextLine returns the next complete line without its line end, or false if more bytes are needed.
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

// skipByte skips the first byte of the current line. If the line starts an event, the byte isn't part of the event.
func (d *Decoder) skipByte() {
	if d.begin == d.line {
		d.begin++
		d.dataFrom, d.dataTo = d.begin, d.begin
	}
	d.line++
	d.scanned = max(d.scanned, d.line)
}

// skipStart skips a byte order mark at the start of the stream. It returns false while too few bytes are there to recognize one.
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

// Ready reports whether Next can return another event without more bytes. It may return false although there is one, if lines end in CR.
func (d *Decoder) Ready() bool {
	return d.err == nil && bytes.Contains(d.buffer[d.line:d.end], []byte("\n\n"))
}

// Close records that the stream has no more bytes. It returns ErrTruncated if they end within an event, or an earlier error of the decoder.
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
