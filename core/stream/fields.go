package stream

import (
	"bytes"
	"fmt"
)

// parseField adds one line to the current event. Fields other than id and data are ignored, but a line that has no name of a field is an error.
func (d *Decoder) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		d.setID(value)
	case "data":
		d.appendData(value)
	default:
		if !isFieldName(name) {
			d.err = fmt.Errorf("%w: field %.40q", ErrMalformedEvent, name)
		}
	}
}

func (d *Decoder) setID(value []byte) {
	switch {
	case d.hasID:
		d.err = fmt.Errorf("%w: it has two ids", ErrMalformedEvent)
	case bytes.IndexByte(value, 0) >= 0:
		d.err = fmt.Errorf("%w: its id has a NUL character", ErrMalformedEvent)
	}
	d.hasID = true
	d.id = append(d.id[:0], value...)
}

// appendData appends the value to the event's data. It does so in place in the buffer, which is safe because the data of the earlier lines is
// always shorter than the lines.
func (d *Decoder) appendData(value []byte) {
	from := d.line - 1 - len(value) // the value ends just before the line end
	if !d.hasData {
		d.hasData = true
		d.dataFrom, d.dataTo = from, from+len(value)
		return
	}
	d.buffer[d.dataTo] = '\n'
	d.dataTo++
	d.dataTo += copy(d.buffer[d.dataTo:], value)
}
