package itemjob

import "unicode/utf8"

// resultOverhead is the size in bytes of a result in JSON without its item and output, rounded up.
const resultOverhead = 64

// maxEscape is the maximum size in bytes of one byte of text in a JSON string.
const maxEscape = len(`\u0000`)

// EncodedSize returns the size in bytes of the contents of a JSON string. Characters of markup are not escaped.
func EncodedSize(s string) int {
	size := 0
	for i := 0; i < len(s); {
		if b := s[i]; b < utf8.RuneSelf {
			size += encodedByteSize(b)
			i++
			continue
		}
		r, n := utf8.DecodeRuneInString(s[i:])
		switch {
		case r == utf8.RuneError && n == 1, r == '\u2028', r == '\u2029':
			size += maxEscape
		default:
			size += n
		}
		i += n
	}
	return size
}

// encodedByteSize returns the size in bytes of an ASCII character in a JSON string.
func encodedByteSize(b byte) int {
	switch b {
	case '"', '\\', '\b', '\f', '\n', '\r', '\t':
		return 2
	}
	if b < ' ' {
		return maxEscape
	}
	return 1
}

// FittingResults returns how many of the results, from the first one on, fit into a number of bytes of JSON.
func FittingResults(results []Result, maxBytes int) int {
	upperBound := 0
	for _, r := range results {
		upperBound += resultOverhead + maxEscape*(len(r.Item)+len(r.Output))
	}
	if upperBound <= maxBytes {
		return len(results) // most often, without a look at each character
	}
	for i, r := range results {
		if maxBytes -= resultOverhead + EncodedSize(r.Item) + EncodedSize(r.Output); maxBytes < 0 {
			return i
		}
	}
	return len(results)
}
