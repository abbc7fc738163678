package stream

import (
	"bytes"
	"strconv"
)

// AppendEvent appends an event with the id `<request id>/<sequence>` and the data to dst. Each line of the data becomes a field.
func AppendEvent(dst []byte, requestID string, sequence int64, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = append(dst, requestID...)
	dst = append(dst, '/')
	dst = strconv.AppendInt(dst, sequence, 10)
	dst = append(dst, '\n')
	return AppendData(dst, data)
}

// AppendData appends an event without an id.
func AppendData(dst, data []byte) []byte {
	for more := true; more; {
		var line []byte
		line, data, more = bytes.Cut(data, []byte("\n"))
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
	}
	return append(dst, '\n')
}
