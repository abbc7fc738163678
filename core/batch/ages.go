package batch

import (
	"encoding/json"
	"fmt"
	"time"
)

// AgesPrefix is the prefix of the keys of the ages of open jobs. It lies outside ShardsPrefix, which every instance watches.
const AgesPrefix = "/eelgrass/job-ages/"

// AgesKey returns the key of the ages of the shard's open jobs.
func (s Shard) AgesKey() string { return AgesPrefix + s.String() }

// Ages is the value stored for the ages of a shard's open jobs, as JSON: the age in whole seconds that each job had for certain when the value was
// made, by the create revision of the job's record. The revision distinguishes a job from an earlier one with the same id.
type Ages map[int64]int64

// Set sets the age of a job, rounded down.
func (a Ages) Set(created int64, age time.Duration) { a[created] = int64(age / time.Second) }

// Of returns the age of a job, and whether it is known.
func (a Ages) Of(created int64) (time.Duration, bool) {
	seconds, ok := a[created]
	return time.Duration(seconds) * time.Second, ok
}

// Encode returns the ages as JSON.
func (a Ages) Encode() ([]byte, error) { return json.Marshal(a) }

// DecodeAges decodes stored ages. It returns ErrInvalidRecord if they are malformed.
func DecodeAges(value []byte) (Ages, error) {
	var a Ages
	if err := json.Unmarshal(value, &a); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidRecord, err)
	}
	return a, nil
}
