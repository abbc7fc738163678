package stream

import (
	"bytes"
	"strconv"
)

// AppendEvent appends to dst an event with the id `<request id>/<sequence>` and the data, and returns the extended slice. Each line of the
// data becomes a data field.
func AppendEvent(dst []byte, requestID string, sequence int64, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = append(dst, requestID...)
	dst = append(dst, '/')
	dst = strconv.AppendInt(dst, sequence, 10)
	dst = append(dst, '\n')
	return AppendData(dst, data)
}

// AppendData appends to dst an event with the data and no id, and returns the extended slice.
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
