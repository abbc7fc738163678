package stream

import (
	"bytes"
	"fmt"
)

// field takes one line of an event.
func (d *Decoder) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		d.takeID(value)
	case "data":
		d.takeData(value)
	}
}

func (d *Decoder) takeID(value []byte) {
	switch {
	case d.hasID:
		d.err = fmt.Errorf("%w: it has two ids", ErrMalformedEvent)
	case bytes.IndexByte(value, 0) >= 0:
		d.err = fmt.Errorf("%w: its id has a NUL character", ErrMalformedEvent)
	}
	d.hasID = true
	d.id = append(d.id[:0], value...)
}

// takeData appends the value to the data, in place: the data of earlier lines is always shorter than the lines themselves.
func (d *Decoder) takeData(value []byte) {
	from := d.line - 1 - len(value) // the value ends before the line end
	if !d.hasData {
		d.hasData = true
		d.dataFrom, d.dataTo = from, from+len(value)
		return
	}
	d.buffer[d.dataTo] = '\n'
	d.dataTo++
	d.dataTo += copy(d.buffer[d.dataTo:], value)
}
