package batch

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxAttempts bounds the attempts of an item that ran, so that a poison item ends.
	MaxAttempts = 5
	// firstBackoff and longestBackoff bound the wait between two attempts of an item.
	firstBackoff   = 500 * time.Millisecond
	longestBackoff = 30 * time.Second
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

// Result is the recorded result of one item: a line of a results blob.
type Result struct {
	Index    int             `json:"index"` // within the job
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

// DecodeResults reads JSON lines of results, or returns ErrInvalidRecord.
func DecodeResults(data []byte) ([]Result, error) {
	var results []Result
	decoder := json.NewDecoder(bytes.NewReader(data))
	for decoder.More() {
		var r Result
		if err := decoder.Decode(&r); err != nil {
			return nil, eris.Wrap(ErrInvalidRecord, err.Error())
		}
		results = append(results, r)
	}
	return results, nil
}

// OutcomeKind says how one attempt of an item ended.
type OutcomeKind int

// Kinds of outcomes of an attempt.
const (
	AttemptCompleted OutcomeKind = iota
	AttemptInvalid               // the target rejected the item as invalid: another attempt cannot help
	AttemptFailed                // it ran and failed
	AttemptNotRun                // it certainly did not run
	AttemptUnknown               // it may have run
)

// Step says what follows an attempt: a final status, or another attempt after a wait.
type Step struct {
	Final ItemStatus // empty: try again
	Wait  time.Duration
}

// Next decides what follows an attempt. ran counts the attempts so far that ran or may have run, this one included; tries counts all.
func Next(kind OutcomeKind, repeatable bool, ran, tries int) Step {
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
	return Step{Wait: backoff(tries)}
}

// backoff doubles from firstBackoff with each try.
func backoff(tries int) time.Duration {
	const doublings = 6 // reaches longestBackoff
	d := firstBackoff << min(max(tries-1, 0), doublings)
	return min(d, longestBackoff)
}
