// Package itemjob holds the rules of jobs whose items are opaque requests: which item runs next, when an item no longer gives way, when
// it is given up, and how results take their positions.
//
// It answers the load of jobs of about ten items that run for seconds each, are due within tens of seconds, and share targets with online
// requests that come in bursts.
package itemjob

import (
	"slices"
	"strings"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// ID names a job; the client chooses it.
type ID string

// Item is one request of a job. It is immutable.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Tokens  int64             `json:"tokens"` // of the prompt and the longest output
	Body    []byte            `json:"-"`
}

// Record is what the store keeps of a job beside its items and results.
type Record struct {
	ID          ID               `json:"id"`
	Token       string           `json:"token"` // of the submission that created the record
	Route       string           `json:"route"`
	Host        string           `json:"host"`
	Items       int              `json:"items"`
	Parts       int              `json:"parts"` // keys that hold the items
	Tokens      int64            `json:"tokens"`
	Submitted   time.Time        `json:"submitted"`
	Due         time.Time        `json:"due"`
	GiveUp      time.Time        `json:"give_up"` // unfinished items may be dead-lettered from then on
	MaxAttempts int              `json:"max_attempts"`
	Owner       fleet.InstanceID `json:"owner,omitempty"` // empty for a job that waits for an owner
	Process     uint64           `json:"process,omitempty"`
	Ended       bool             `json:"ended,omitempty"` // by the client
	EndedAt     time.Time        `json:"ended_at,omitzero"`
}

// Result is the outcome of an item at its position.
type Result struct {
	Item      string `json:"item"`
	Completed bool   `json:"completed"` // false: dead-lettered
	Output    string `json:"output,omitempty"`
}

// Phase is the state of an item.
type Phase int

// Phases of an item.
const (
	Waiting Phase = iota
	Running
	Finished // has a result that is not recorded yet
	Listed   // has a recorded result
)

// Reason says why an item was dead-lettered.
type Reason string

// Reasons.
const (
	Impossible   Reason = "target says that it can never be done"
	FailedOften  Reason = "it failed at targets as often as its route allows"
	TooLate      Reason = "its time to be given up has come"
	RouteRemoved Reason = "its route was removed"
)

// Task is an item on its way to its result.
type Task struct {
	Item     Item
	Index    int // in the job
	Phase    Phase
	Failures int       // runs that the target answered with a failure
	NotUntil time.Time // pause after a failure
	Last     int64     // id of the last event that was received
	Events   int       // events that were received, over all runs
	Output   []string  // their data
}

// Job is a job at its owner. Guarded by its owner.
type Job struct {
	Record
	Tasks     []*Task
	Results   []Result // recorded, by position
	Immediate bool     // results are recorded without waiting for others
	pending   []Result // finished and not recorded, in the order of their positions
	since     time.Time
	confirmed time.Time // see Confirm
	byItem    map[string]*Task
}

// NewJob returns a job whose recorded results are known.
func NewJob(record Record, items []Item, results []Result) *Job {
	j := &Job{Record: record, Results: results, byItem: make(map[string]*Task, len(items))}
	for i, item := range items {
		task := &Task{Item: item, Index: i}
		j.Tasks = append(j.Tasks, task)
		j.byItem[item.ID] = task
	}
	for _, r := range results {
		if task, ok := j.byItem[r.Item]; ok {
			task.Phase = Listed
		}
	}
	return j
}

// Task returns the task of an item, or nil.
func (j *Job) Task(item string) *Task { return j.byItem[item] }

// Complete tells whether all results are recorded.
func (j *Job) Complete() bool { return len(j.Results) >= len(j.Tasks) }

// WaitingTokens returns the tokens of items without a result.
func (j *Job) WaitingTokens() int64 {
	var sum int64
	if j.Ended {
		return 0
	}
	for _, t := range j.Tasks {
		if t.Phase == Waiting || t.Phase == Running {
			sum += t.Item.Tokens
		}
	}
	return sum
}

// Finish gives a task its result.
func (j *Job) Finish(t *Task, completed bool, now time.Time) {
	if t.Phase == Finished || t.Phase == Listed {
		return
	}
	result := Result{Item: t.Item.ID, Completed: completed}
	if completed {
		result.Output = strings.Join(t.Output, "\n")
	}
	t.Phase, t.Output = Finished, nil
	if len(j.pending) == 0 {
		j.since = now
	}
	j.pending = append(j.pending, result)
}

// Failed records that a target answered a run with a failure, and returns a reason if the item is given up.
func (j *Job) Failed(t *Task, impossible bool, now time.Time) Reason {
	t.Failures++
	t.Phase = Waiting
	t.NotUntil = now.Add(failurePause)
	switch {
	case impossible:
		return Impossible
	case t.Failures >= j.MaxAttempts:
		return FailedOften
	}
	return ""
}

// failurePause keeps an item that failed from taking the next free slot at once.
const failurePause = 200 * time.Millisecond

// Interrupted records that a run ended without the target's word on the item: its events so far are kept.
func (j *Job) Interrupted(t *Task, pause time.Duration, now time.Time) {
	t.Phase = Waiting
	t.NotUntil = now.Add(pause)
}

const (
	// groupDelay is how long finished items wait for others, so that one write records several of them. Items of a
	// job end over some seconds, long before they are due; what is not recorded runs again if the owner is lost.
	groupDelay = 700 * time.Millisecond
	// dueMargin is the time before a job is due from which results are recorded at once.
	dueMargin = 2 * time.Second
	// maxGroupBytes bounds the output in one write; the store takes values of a megabyte, and JSON may escape characters.
	maxGroupBytes = 400 << 10
)

// Group returns the results to record now, which follow the recorded ones. The wait is how long to wait before the next look; 0 means
// that there is nothing to wait for.
func (j *Job) Group(now time.Time) (results []Result, wait time.Duration) {
	if len(j.pending) == 0 {
		return nil, 0
	}
	all := len(j.pending)+len(j.Results) >= len(j.Tasks)
	if left := j.since.Add(groupDelay).Sub(now); !all && !j.Immediate && left > 0 && now.Before(j.Due.Add(-dueMargin)) {
		return nil, left
	}
	size := 0
	for i, r := range j.pending {
		size += len(r.Output)
		if i > 0 && size > maxGroupBytes {
			return j.pending[:i:i], 0
		}
	}
	return j.pending[:len(j.pending):len(j.pending)], 0
}

// Unrecorded returns the results that are not recorded yet.
func (j *Job) Unrecorded() []Result { return slices.Clone(j.pending) }

// Recorded moves the first n pending results to the recorded ones.
func (j *Job) Recorded(n int, now time.Time) {
	for _, r := range j.pending[:n] {
		j.byItem[r.Item].Phase = Listed
	}
	j.Results = append(j.Results, j.pending[:n]...)
	j.pending = j.pending[n:]
	j.since = now
}
