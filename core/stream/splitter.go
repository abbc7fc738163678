package stream

import (
	"bytes"
	"fmt"
	"strconv"
)

// RawEvent is one complete event as it was received, with the fields that a relay needs. Its slices are valid until the next call of a
// method of the splitter.
type RawEvent struct {
	Raw   []byte // all bytes of the event, including the blank line
	ID    int64
	HasID bool
	Data  []byte // values of the data fields, joined by newlines
	// Comment tells that there is no field but only comments or blank lines, which receivers skip.
	Comment bool
}

// Splitter splits a byte stream into complete events and keeps their bytes unchanged, so that an opaque stream can be relayed without passing
// on part of an event. Pass it bytes with Add and call Next until it returns false. A Splitter isn't safe for concurrent use.
type Splitter struct {
	maxEvent int
	buffer   []byte
	begin    int // start of the first event not yet returned
	scanned  int // no event ends between begin and here
}

// NewSplitter returns a splitter that fails on events of more than maxEvent bytes.
func NewSplitter(maxEvent int) *Splitter { return &Splitter{maxEvent: maxEvent} }

// Add appends bytes of the stream, which are copied. It invalidates the events returned before.
func (s *Splitter) Add(p []byte) {
	if s.begin > 0 {
		s.buffer = append(s.buffer[:0], s.buffer[s.begin:]...)
		s.scanned -= s.begin
		s.begin = 0
	}
	s.buffer = append(s.buffer, p...)
}

// Pending returns the number of bytes that haven't been returned in an event yet.
func (s *Splitter) Pending() int { return len(s.buffer) - s.begin }

// Next returns the next complete event. It returns false if more bytes are needed or on an error: ErrEventTooLarge, ErrMalformedEvent.
func (s *Splitter) Next() (RawEvent, bool, error) {
	from := max(s.begin, s.scanned-3) // the blank line may be split between two calls of Add
	end := eventEnd(s.buffer[from:])
	if end < 0 {
		s.scanned = len(s.buffer)
		if s.Pending() > s.maxEvent {
			return RawEvent{}, false, fmt.Errorf("%w of %d bytes", ErrEventTooLarge, s.maxEvent)
		}
		return RawEvent{}, false, nil
	}
	raw := s.buffer[s.begin : from+end]
	s.begin = from + end
	s.scanned = s.begin
	event, err := parseRaw(raw)
	return event, err == nil, err
}

// eventEnd returns the index after the first blank line, or -1 if there is none.
func eventEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || lf >= 0 && lf < crlf:
		return lf + 2
	default:
		return crlf + 3
	}
}

func parseRaw(raw []byte) (RawEvent, error) {
	event := RawEvent{Raw: raw, Comment: true}
	first := true
	for line := range bytes.Lines(raw) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if len(name) == 0 {
			continue
		}
		if !isFieldName(name) {
			return event, fmt.Errorf("%w: field %.40q", ErrMalformedEvent, name)
		}
		event.Comment = false
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil || event.HasID {
				return event, fmt.Errorf("%w: id %q", ErrMalformedEvent, value)
			}
			event.ID, event.HasID = id, true
		case "data":
			if !first {
				event.Data = append(append(bytes.Clone(event.Data), '\n'), value...)
				continue
			}
			event.Data, first = value, false
		}
	}
	return event, nil
}

// isFieldName reports whether name can be that of a field. Names that the format does not define are allowed, but they have only lower-case letters,
// digits and hyphens, so that the header or the text of an error is not taken for a part of an event.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
