package batch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxAttempts bounds the attempts in which an item ran or may have run, so that an item that always fails isn't retried forever.
	MaxAttempts = 5
	// minBackoff and maxBackoff are the least and the greatest delay between two attempts of an item.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// ItemStatus is the final state of an item.
type ItemStatus string

// Final states of an item.
const (
	ItemCompleted ItemStatus = "completed"
	ItemFailed    ItemStatus = "failed"
	ItemUnknown   ItemStatus = "outcome_unknown"
	ItemExpired   ItemStatus = "expired"
	ItemCancelled ItemStatus = "cancelled"
)

// Result is the recorded result of one item, stored as one line of a results blob.
type Result struct {
	Index    int             `json:"index"` // position of the item within the job, from 0
	CustomID string          `json:"custom_id,omitempty"`
	Status   ItemStatus      `json:"status"`
	HTTP     int             `json:"http_status,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
	Reason   string          `json:"reason,omitempty"`
}

// CountResults counts results by status.
func CountResults(results []Result) Counts {
	var c Counts
	for _, r := range results {
		switch r.Status {
		case ItemCompleted:
			c.Completed++
		case ItemFailed:
			c.Failed++
		case ItemUnknown:
			c.Unknown++
		case ItemExpired:
			c.Expired++
		case ItemCancelled:
			c.Cancelled++
		}
	}
	return c
}

// EncodeResults returns the results as JSON lines.
func EncodeResults(results []Result) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return nil, eris.Wrapf(ErrInvalidRecord, "result of item %d: %v", r.Index, err)
		}
	}
	return out.Bytes(), nil
}

// DecodeResults decodes JSON lines of results. It returns ErrInvalidRecord if a line is malformed.
func DecodeResults(data []byte) ([]Result, error) {
	var results []Result
	decoder := json.NewDecoder(bytes.NewReader(data))
	for decoder.More() {
		var r Result
		if err := decoder.Decode(&r); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrInvalidRecord, err)
		}
		results = append(results, r)
	}
	return results, nil
}

// OutcomeKind is how one attempt of an item ended.
type OutcomeKind int

// Kinds of outcomes of an attempt.
const (
	AttemptCompleted OutcomeKind = iota
	AttemptInvalid               // the target rejected the item as invalid; a retry would fail in the same way
	AttemptFailed                // the item ran and failed
	AttemptNotRun                // the item certainly didn't run
	AttemptUnknown               // the item may have run
)

// Step is what follows an attempt: a final status, or another attempt after a delay.
type Step struct {
	Final ItemStatus // empty if the item is retried after Delay
	Delay time.Duration
}

// NextStep returns what follows an attempt that ended with kind. ran counts the attempts in which the item ran or may have run, and tries counts
// all attempts; both include the present one. An item that isn't repeatable is retried only if it certainly didn't run.
func NextStep(kind OutcomeKind, repeatable bool, ran, tries int) Step {
	switch kind {
	case AttemptCompleted:
		return Step{Final: ItemCompleted}
	case AttemptInvalid:
		return Step{Final: ItemFailed}
	case AttemptUnknown:
		if !repeatable {
			return Step{Final: ItemUnknown}
		}
	case AttemptFailed:
		if !repeatable {
			return Step{Final: ItemFailed}
		}
	}
	if ran >= MaxAttempts {
		return Step{Final: ItemFailed}
	}
	return Step{Delay: backoff(tries)}
}

// backoff returns the delay before the next attempt. It starts at minBackoff and doubles with each try, up to maxBackoff.
func backoff(tries int) time.Duration {
	const doublings = 6 // enough to reach maxBackoff; bounds the shift
	d := minBackoff << min(max(tries-1, 0), doublings)
	return min(d, maxBackoff)
}
