package stream

import "fmt"

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// maxSequenceDigits bounds the digits of a sequence, so that it fits an int64.
const maxSequenceDigits = 18

// Verdict is what the Tracker thinks of an event.
type Verdict int

// Verdicts.
const (
	// InOrder is the next event: forward it.
	InOrder Verdict = iota
	// Duplicate was seen before: drop it.
	Duplicate
	// Gap means that events are missing: resume from Tracker.Next on a new connection.
	Gap
	// Foreign means that the event belongs to another request or has no valid id: close the connection and trust nothing on it.
	Foreign
	// End is the end of the stream, in order.
	End
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	switch v {
	case InOrder:
		return "in order"
	case Duplicate:
		return "duplicate"
	case Gap:
		return "gap"
	case Foreign:
		return "foreign"
	case End:
		return "end"
	}
	return "invalid"
}

// Tracker checks the events of one stream, over any number of connections. The sequences of the events are consecutive from 0.
type Tracker struct {
	requestID string
	next      int64
	ended     bool
}

// NewTracker returns a tracker for the stream of the upstream request id.
func NewTracker(requestID string) *Tracker {
	return &Tracker{requestID: requestID}
}

// Check classifies an event and moves on if it is InOrder or End. After the end only Duplicate and Foreign remain.
func (t *Tracker) Check(e Event) Verdict {
	sequence, ok := t.sequence(e.ID)
	switch {
	case !ok:
		return Foreign
	case sequence < t.next:
		return Duplicate
	case t.ended:
		return Foreign
	case sequence > t.next:
		return Gap
	}
	t.next++
	if string(e.Data) == Done {
		t.ended = true
		return End
	}
	return InOrder
}

// sequence returns the sequence of an id that belongs to the request and is in canonical form.
func (t *Tracker) sequence(id []byte) (int64, bool) {
	n := len(t.requestID)
	if len(id) < n+2 || string(id[:n]) != t.requestID || id[n] != '/' {
		return 0, false
	}
	digits := id[n+1:]
	if len(digits) > maxSequenceDigits || len(digits) > 1 && digits[0] == '0' {
		return 0, false
	}
	var sequence int64
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		sequence = sequence*10 + int64(c-'0')
	}
	return sequence, true
}

// Next returns the sequence of the event that is expected next, from which to resume.
func (t *Tracker) Next() int64 { return t.next }

// Ended tells whether the end of the stream was seen.
func (t *Tracker) Ended() bool { return t.ended }

// Finish reports the end of the bytes. It returns ErrTruncated unless the end of the stream was seen.
func (t *Tracker) Finish() error {
	if t.ended {
		return nil
	}
	return fmt.Errorf("%w before event %d", ErrTruncated, t.next)
}
