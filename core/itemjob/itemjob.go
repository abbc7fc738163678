// Package itemjob holds the rules of jobs whose items are opaque requests: which item runs next, when an item no longer yields to online
// requests, when it is given up, and how results are grouped and get their positions. It does no I/O.
//
// The position of a result is its index in the job's list of results, which is in the order of storing; it isn't the index of the item in
// the job. An event is one event of the event stream that a target sends while it runs an item. An item is dead-lettered if it is given up
// and gets a result without output.
//
// It is designed for jobs of about ten items that run for seconds each, are due within tens of seconds, and share targets with online
// requests that arrive in bursts.
package itemjob

import (
	"slices"
	"time"

	"eelgrassproxy.example/core/fleet"
)

// ID identifies a job. The client chooses it.
type ID string

// Item is one request of a job. It is immutable.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Tokens  int64             `json:"tokens"` // of the prompt plus the maximum output
	// OutputTokens is the number of tokens that the output may have at most; 0 if the client does not state it apart from the prompt.
	OutputTokens int64  `json:"output_tokens,omitempty"`
	Body         []byte `json:"-"`
}

const (
	// itemBytes is the memory of an item and its task in bytes, beside its texts, headers and body, and fieldBytes that of a header.
	itemBytes  = 400
	fieldBytes = 100
)

// FieldSize returns the memory that a header of an item takes up, in bytes.
func FieldSize(name, value string) int64 { return int64(len(name) + len(value) + fieldBytes) }

// Size returns the memory that the item takes up, in bytes.
func (i *Item) Size() int64 {
	size := int64(itemBytes + len(i.ID) + len(i.Path) + len(i.Body))
	for name, value := range i.Headers {
		size += FieldSize(name, value)
	}
	return size
}

// MaxOutputTokens returns the number of tokens that the output may have at most, or an upper bound of it; 0 if nothing is stated.
func (i *Item) MaxOutputTokens() int64 {
	if i.OutputTokens > 0 && (i.Tokens == 0 || i.OutputTokens < i.Tokens) {
		return i.OutputTokens
	}
	return i.Tokens
}

// Record is the stored record of a job. Its items and results are stored under other keys.
//
// Submitted, Due and GiveUp are times of day at the instance that recorded the job. Clocks of instances differ and may be set, so that no promise
// depends on a comparison of these times with another instance's time of day; see Job.Age. The differences between them hold anywhere.
type Record struct {
	ID        ID        `json:"id"`
	Token     string    `json:"token"` // identifies the submission that created the record
	Route     string    `json:"route"`
	Host      string    `json:"host"`
	Items     int       `json:"items"`
	Parts     int       `json:"parts"` // number of keys that hold the items
	Tokens    int64     `json:"tokens"`
	Submitted time.Time `json:"submitted"`
	Due       time.Time `json:"due"`
	GiveUp    time.Time `json:"give_up"` // from this time on, unfinished items may be dead-lettered
	// KnownAge is an age that the job had for certain when the record was written or sent to a peer.
	KnownAge    time.Duration `json:"known_age,omitempty"`
	MaxAttempts int           `json:"max_attempts"`      // number of failures of an item after which it is dead-lettered, from the route
	Version     int64         `json:"version,omitempty"` // of the routing table by which the job was accepted; 0 if an earlier build wrote the record
	// AcceptedBy is the instance that the client submitted the job to; empty if an earlier build wrote the record.
	AcceptedBy fleet.InstanceID `json:"accepted_by,omitempty"`
	Owner      fleet.InstanceID `json:"owner,omitempty"`   // empty while the job has no owner
	Process    uint64           `json:"process,omitempty"` // incarnation of the owner, which identifies its process; 0 without an owner
	// Account is the name of the client account that submitted the job; empty if it was submitted without one.
	Account string    `json:"account,omitempty"`
	Ended   bool      `json:"ended,omitempty"` // the client ended the job
	EndedAt time.Time `json:"ended_at,omitzero"`
}

// Caller is who submits a job or makes a call about one. The zero value is a caller without an account.
type Caller struct {
	Account string // name of the client account; empty without one
	// Unrestricted means that the configuration has no accounts, so that all callers may use all jobs.
	Unrestricted bool
}

// Permits reports whether a caller may read and end the job, and submit it again.
func (r *Record) Permits(c Caller) bool {
	return c.Unrestricted || r.Account == "" || r.Account == c.Account
}

// Objective returns the time from the submission of the job to its due time.
func (r *Record) Objective() time.Duration { return r.Due.Sub(r.Submitted) }

// LimitKey identifies the limit of waiting tokens that a job counts for. A route's limit applies to each client account by itself; account is empty
// for a job without one.
func LimitKey(route, account string) string {
	if account == "" {
		return route
	}
	return route + "\x00" + account
}

// LimitKey returns the LimitKey of the job.
func (r *Record) LimitKey() string { return LimitKey(r.Route, r.Account) }

// Retention returns the age of the job from which on its unfinished items may be dead-lettered.
func (r *Record) Retention() time.Duration { return r.GiveUp.Sub(r.Submitted) }

// SetSubmitted moves the times of the record so that the job was submitted at a time.
func (r *Record) SetSubmitted(at time.Time) {
	r.Submitted, r.Due, r.GiveUp = at, at.Add(r.Objective()), at.Add(r.Retention())
}

// Result is the outcome of an item. Its index in the job's list of results is its position.
type Result struct {
	Item      string `json:"item"`
	Completed bool   `json:"completed"` // false if the item was dead-lettered
	Output    string `json:"output,omitempty"`
}

// Phase is the state of an item.
type Phase int

// Phases of an item, in order. An item returns from Running to Waiting if its run fails or is interrupted.
const (
	Waiting Phase = iota
	Running
	Finished // has a result that isn't stored yet
	Stored   // has a stored result
)

// Reason is why an item was dead-lettered.
type Reason string

// Reasons for dead-lettering an item.
const (
	CannotSucceed    Reason = "target reported that the item can never succeed"
	TooManyFailures  Reason = "it failed at targets as often as its route allows"
	GiveUpTimePassed Reason = "the time to give it up has passed"
	RouteRemoved     Reason = "its route was removed"
)

// Task is an item with the state of its execution.
type Task struct {
	Item        Item // without its headers and body once its result is stored: nobody runs it again
	Index       int  // index of the item in the submitted job, which isn't the position of its result
	Phase       Phase
	Failures    int       // runs for which the target returned a failure
	NotBefore   time.Time // the item doesn't start before this time
	LastEventID int64     // id of the last event received
	Events      int       // number of events received in all runs
	SilentRuns  int       // runs that were ended because their target sent nothing for too long
	EmptyRuns   int       // runs in a row that broke off before an event
	Output      Output    // of the received events
}

// Job is the state of a job in the instance that owns it. It isn't safe for concurrent use.
type Job struct {
	Record
	Tasks        []*Task
	Results      []Result  // stored results, by position; see ForgetOutputs
	forgotten    int       // number of first results whose outputs were forgotten
	Immediate    bool      // results are stored at once instead of in groups
	submittedBy  time.Time // by this instance's clock: the job was submitted then or earlier
	due          time.Time // by this instance's clock
	pending      []Result  // results that aren't stored yet, in the order of their future positions
	pendingSince time.Time // when the wait for more pending results began
	confirmed    time.Time // when the call was sent that last confirmed the job; see Confirm
	byItem       map[string]*Task
}

// NewJob returns the job of a record with the given items. results are the results stored so far, by position; their items don't run again.
// submittedBy is a time by this instance's clock, with a reading of the monotonic clock, that is no earlier than the submission of the job.
func NewJob(record Record, items []Item, results []Result, submittedBy time.Time) *Job {
	j := &Job{
		Record: record, Results: results, submittedBy: submittedBy, due: submittedBy.Add(record.Objective()), byItem: make(map[string]*Task, len(items)),
	}
	for i, item := range items {
		task := &Task{Item: item, Index: i}
		j.Tasks = append(j.Tasks, task)
		j.byItem[item.ID] = task
	}
	for _, r := range results {
		if task, ok := j.byItem[r.Item]; ok {
			task.setStored()
		}
	}
	return j
}

func (t *Task) setStored() {
	t.Phase = Stored
	t.Item.Headers, t.Item.Body = nil, nil
}

// ItemBytes returns the memory that the items take up, in bytes.
func (j *Job) ItemBytes() int64 {
	var sum int64
	for _, t := range j.Tasks {
		sum += t.Item.Size()
	}
	return sum
}

// SubmittedBy returns a time by this instance's clock that is no earlier than the submission of the job.
func (j *Job) SubmittedBy() time.Time { return j.submittedBy }

// Age returns the age that the job has for certain. It is measured by the monotonic clocks of the owners: that of the time in which nobody
// measured it is missing, and setting a clock doesn't change it.
func (j *Job) Age(now time.Time) time.Duration { return now.Sub(j.submittedBy) }

// DueTime returns when the job is due, by this instance's clock.
func (j *Job) DueTime() time.Time { return j.due }

// SetDueIn sets the due time of a job for whose age there is a better estimate than Age.
func (j *Job) SetDueIn(left time.Duration, now time.Time) { j.due = now.Add(left) }

// Task returns the task of the item with the given id, or nil if the job has no such item.
func (j *Job) Task(item string) *Task { return j.byItem[item] }

// AllStored reports whether the results of all items are stored.
func (j *Job) AllStored() bool { return len(j.Results) >= len(j.Tasks) }

// WaitingTokens returns the sum of the tokens of the unfinished items, which are the waiting and the running ones. It is 0 for an ended job.
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

// Finish sets the result of a task: its output if completed is true, otherwise dead-lettered. It has no effect if the task has a result.
func (j *Job) Finish(t *Task, completed bool, now time.Time) {
	if t.Phase == Finished || t.Phase == Stored {
		return
	}
	result := Result{Item: t.Item.ID, Completed: completed}
	if completed {
		result.Output = t.Output.Text()
	}
	t.Phase, t.Output = Finished, Output{}
	if len(j.pending) == 0 {
		j.pendingSince = now
	}
	j.pending = append(j.pending, result)
}

// RecordFailure records that a target returned a failure for a run, and pauses the item. It returns the reason if the item must be given up,
// otherwise an empty string. impossible means that the target reported that the item can never succeed.
func (j *Job) RecordFailure(t *Task, impossible bool, now time.Time) Reason {
	t.Failures++
	t.Phase = Waiting
	t.NotBefore = now.Add(failureDelay)
	switch {
	case impossible:
		return CannotSucceed
	case t.Failures >= j.MaxAttempts:
		return TooManyFailures
	}
	return ""
}

// failureDelay is the delay before a failed item may start again, so that it doesn't take the next free slot at once.
const failureDelay = 200 * time.Millisecond

// RecordInterruption records that a run ended before the target reported success or failure. The item waits again for at least pause, keeps the
// events received so far, and no failure is counted.
func (j *Job) RecordInterruption(t *Task, pause time.Duration, now time.Time) {
	t.Phase = Waiting
	t.NotBefore = now.Add(pause)
}

const (
	// brokenRunDelay is the delay before an item may start again whose run broke off, so that it does not take the next free slot.
	brokenRunDelay = 50 * time.Millisecond
	// emptyRunDelay is the delay after the second run in a row that broke off before an event; it doubles with each further one up to maxEmptyRunDelay.
	// An item that crashes each target which begins to answer it ends a few of them within its retention, and not one every 50 ms.
	emptyRunDelay    = time.Second
	maxEmptyRunDelay = 5 * time.Minute
)

// RecordBreak records that a run broke off after it received a number of events. The item waits again and keeps the events, and no failure is counted.
func (j *Job) RecordBreak(t *Task, events int, now time.Time) {
	t.EmptyRuns++
	if events > 0 {
		t.EmptyRuns = 0
	}
	pause := brokenRunDelay
	if t.EmptyRuns > 1 {
		pause = min(emptyRunDelay<<min(t.EmptyRuns-2, maxEmptyRunDoublings), maxEmptyRunDelay)
	}
	j.RecordInterruption(t, pause, now)
}

// maxEmptyRunDoublings is enough doublings of emptyRunDelay to reach maxEmptyRunDelay.
const maxEmptyRunDoublings = 10

const (
	// groupDelay is how long a result waits for others, so that one write stores several. The items of a job usually finish within a few
	// seconds of each other and long before they are due. Items whose results aren't stored run again if the owner fails.
	groupDelay = 700 * time.Millisecond
	// dueMargin is the time before a job is due from which results are stored at once.
	dueMargin = 2 * time.Second
	// maxGroupBytes bounds the JSON of the results in one write. The store accepts values of up to 1 MB.
	maxGroupBytes = 900 << 10
)

// MaxOutputBytes is the maximum size of the output of an item, as EncodedSize returns it. A longer one neither fits into a value of the store nor
// into a page of results.
const MaxOutputBytes = 880 << 10

// ResultsToStore returns the pending results to store now, in the order of the positions that follow the stored results. If results are pending
// but should wait for others, it returns none and the time after which to call ResultsToStore again; otherwise wait is 0. One call may return
// only the first of the pending results, so that they fit in one write (maxGroupBytes). After the write succeeded, call
// MarkStored(len(results)); until then, calls return the same results again, possibly followed by more. The returned slice shares memory with
// the job and must not be modified.
func (j *Job) ResultsToStore(now time.Time) (results []Result, wait time.Duration) {
	if len(j.pending) == 0 {
		return nil, 0
	}
	all := len(j.pending)+len(j.Results) >= len(j.Tasks)
	if left := j.pendingSince.Add(groupDelay).Sub(now); !all && !j.Immediate && left > 0 && now.Before(j.due.Add(-dueMargin)) {
		return nil, left
	}
	n := max(FittingResults(j.pending, maxGroupBytes), 1)
	return j.pending[:n:n], 0
}

// HeldBytes returns the memory that the outputs of unfinished items and of results that aren't stored take up, in bytes.
func (j *Job) HeldBytes() int64 {
	var held int64
	for _, t := range j.Tasks {
		held += t.Output.Bytes()
	}
	for _, r := range j.pending {
		held += int64(len(r.Output))
	}
	return held
}

// HasPartialOutputs reports whether an item that waits has a part of its output.
func (j *Job) HasPartialOutputs() bool {
	return slices.ContainsFunc(j.Tasks, func(t *Task) bool { return t.Phase == Waiting && t.Output.Bytes() > 0 })
}

// DiscardPartialOutputs drops the outputs of the items that wait, which run again from the beginning.
func (j *Job) DiscardPartialOutputs() {
	for _, t := range j.Tasks {
		if t.Phase == Waiting {
			t.LastEventID, t.Events, t.Output = 0, 0, Output{}
		}
	}
}

// DiscardOutputs drops the outputs that HeldBytes counts. The items run again from the beginning.
func (j *Job) DiscardOutputs() {
	j.DiscardPartialOutputs()
	var kept []Result
	for _, r := range j.pending {
		if !r.Completed {
			kept = append(kept, r)
			continue
		}
		j.byItem[r.Item].Phase = Waiting
	}
	j.pending = kept
}

// ForgetOutputs drops the outputs of the first n stored results, so that they take up no memory. The results keep their positions.
func (j *Job) ForgetOutputs(n int) {
	for i := j.forgotten; i < min(n, len(j.Results)); i++ {
		j.Results[i].Output = ""
	}
	j.forgotten = max(j.forgotten, min(n, len(j.Results)))
}

// HasOutputs reports whether the outputs of the stored results from a position on are kept.
func (j *Job) HasOutputs(position int) bool { return position >= j.forgotten }

// PendingResults returns a copy of the results that aren't stored yet, in the order of their positions.
func (j *Job) PendingResults() []Result { return slices.Clone(j.pending) }

// MarkStored records that the first n pending results were stored.
func (j *Job) MarkStored(n int, now time.Time) {
	for _, r := range j.pending[:n] {
		j.byItem[r.Item].setStored()
	}
	j.Results = append(j.Results, j.pending[:n]...)
	clear(j.pending[:n]) // the outputs would be kept as long as the slice
	j.pending = j.pending[n:]
	j.pendingSince = now
}
