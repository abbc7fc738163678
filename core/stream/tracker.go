package stream

import "fmt"

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// maxSequenceDigits bounds the digits of a sequence number, so that it fits into an int64.
const maxSequenceDigits = 18

// Verdict is how a Tracker classifies an event.
type Verdict int

// Verdicts of Check.
const (
	// InOrder means that the event is the expected next one: forward it.
	InOrder Verdict = iota
	// Duplicate means that the event was seen before: drop it.
	Duplicate
	// Gap means that events are missing: resume from Tracker.Next on a new connection.
	Gap
	// Foreign means that the event belongs to another request, has no valid id, or is new after the end of the stream: close the
	// connection and use nothing more from it.
	Foreign
	// End means that the event is the expected next one and ends the stream.
	End
)

// String returns the name of the verdict for logs.
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

// Tracker checks the events of one stream, which may arrive over several connections. The sequence numbers of the events are consecutive and
// start at 0. A Tracker isn't safe for concurrent use.
type Tracker struct {
	requestID string
	next      int64
	ended     bool
}

// NewTracker returns a tracker for the stream of the request that was sent upstream under requestID.
func NewTracker(requestID string) *Tracker {
	return &Tracker{requestID: requestID}
}

// Check classifies an event and, if it is InOrder or End, expects the next one from then on. After the end it returns only Duplicate and
// Foreign.
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

// sequence returns the sequence number of an event id. It returns false if the id belongs to another request or isn't in canonical form.
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

// Next returns the sequence number of the event that is expected next. A stream is resumed from it.
func (t *Tracker) Next() int64 { return t.next }

// Ended reports whether the event that ends the stream was seen.
func (t *Tracker) Ended() bool { return t.ended }

// Finish returns ErrTruncated unless the event that ends the stream was seen. Call it when no more bytes follow.
func (t *Tracker) Finish() error {
	if t.ended {
		return nil
	}
	return fmt.Errorf("%w before event %d", ErrTruncated, t.next)
}
