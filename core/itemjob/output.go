package itemjob

// Output is the output of an item as far as it was received: the data of its events, joined by newlines. It is kept as one text, since the headers of
// many small strings take up more memory than the strings. The zero value is empty. It isn't safe for concurrent use.
type Output struct {
	text    []byte
	events  int
	encoded int
}

// NewOutput returns the output of a number of events, of which text is the data joined by newlines.
func NewOutput(text string, events int) Output {
	return Output{text: []byte(text), events: events, encoded: EncodedSize(text)}
}

// Append adds the data of an event, which is copied. A caller that accounts for the memory calls Growth and Grow before.
func (o *Output) Append(data []byte) { o.append(data, 1) }

// AppendOutput adds the events of another output. An empty output takes over the memory of the other one.
func (o *Output) AppendOutput(other Output) {
	switch {
	case other.events == 0:
	case o.events == 0:
		*o = other
	default:
		o.Grow(max(len(o.text)+len("\n")+len(other.text)-cap(o.text), 0)) // not by doubling, as append does
		o.append(other.text, other.events)
	}
}

func (o *Output) append(text []byte, events int) {
	if o.events > 0 {
		o.text = append(o.text, '\n')
		o.encoded += len(`\n`)
	}
	o.text = append(o.text, text...)
	o.events += events
	o.encoded += EncodedSize(string(text))
}

// Growth returns the number of bytes by which the memory of the output has to grow before an event with size bytes of data can be appended, or 0 if it
// has room.
func (o *Output) Growth(size int) int {
	need := len(o.text) + len("\n") + size
	if need <= cap(o.text) {
		return 0
	}
	return max(2*cap(o.text), need, minOutputBytes) - cap(o.text)
}

// Grow grows the memory of the output by n bytes.
func (o *Output) Grow(n int) {
	o.text = append(make([]byte, 0, cap(o.text)+n), o.text...)
}

// minOutputBytes is the initial size in bytes of the memory of an output.
const minOutputBytes = 512

// Events returns the number of events.
func (o *Output) Events() int { return o.events }

// EncodedSize returns the size of the output in a JSON string, in bytes.
func (o *Output) EncodedSize() int { return o.encoded }

// Bytes returns the memory that the output takes up, in bytes.
func (o *Output) Bytes() int64 { return int64(cap(o.text)) }

// Text returns a copy of the output.
func (o *Output) Text() string { return string(o.text) }
