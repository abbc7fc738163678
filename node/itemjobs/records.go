package itemjobs

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
)

// Keys in the store. A job has one record, one or more parts with its items, and one key for each group of results that was recorded
// together. Until all results are recorded it also has an open mark, by which other instances find it.
const (
	root          = "/eelgrass/item-jobs/"
	recordPrefix  = root + "record/"
	openPrefix    = root + "open/"
	partPrefix    = root + "part/"
	resultPrefix  = root + "result/"
	partialPrefix = root + "partial/"
)

// ErrBadRecord means that a value in the store cannot be decoded.
var ErrBadRecord = eris.New("value of a job cannot be read")

func recordKey(id itemjob.ID) string  { return recordPrefix + string(id) }
func openKey(id itemjob.ID) string    { return openPrefix + string(id) }
func partialKey(id itemjob.ID) string { return partialPrefix + string(id) }

func partKey(id itemjob.ID, n int) string { return fmt.Sprintf("%s%s/%04d", partPrefix, id, n) }

// resultKey returns the key of the group of results whose last result is at position end-1. Keys sort by position. Since a key holds the end of
// its group, the groups with results from some position on are exactly those whose keys sort after the key of that position.
func resultKey(id itemjob.ID, end int) string {
	return fmt.Sprintf("%s%s/%06d", resultPrefix, id, end)
}

// resultEnd returns the end position in the key of a group of results.
func resultEnd(id itemjob.ID, key string) (int, error) {
	end, err := strconv.Atoi(strings.TrimPrefix(key, resultPrefix+string(id)+"/"))
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrBadRecord, err)
	}
	return end, nil
}

// openMark is the value of an open mark. It lets other instances check the owner and the load of a job without reading its record.
type openMark struct {
	Owner   fleet.InstanceID `json:"owner,omitempty"`
	Process uint64           `json:"process,omitempty"`
	Route   string           `json:"route"`
	Account string           `json:"account,omitempty"`
	Tokens  int64            `json:"tokens"`
}

func markOf(r *itemjob.Record) openMark {
	return openMark{Owner: r.Owner, Process: r.Process, Route: r.Route, Account: r.Account, Tokens: r.Tokens}
}

// partial is the output that was received for an unfinished item.
type partial struct {
	Index  int      `json:"index"`
	Last   int64    `json:"last"`
	Events int      `json:"events"`
	Output []string `json:"output"`           // joined by newlines, the data of the events
	Silent int      `json:"silent,omitempty"` // itemjob.Task.SilentRuns; earlier builds do not write it
}

// progress is the state of a job that is not in its recorded results. An owner passes it to the next one.
type progress struct {
	Age      time.Duration    `json:"age,omitempty"`      // that the job had for certain when the progress was sent or written
	DueIn    time.Duration    `json:"due_in,omitempty"`   // time until the job is due; 0 if it is unknown
	Finished []itemjob.Result `json:"finished,omitempty"` // results that are not recorded yet
	Partials []partial        `json:"partials,omitempty"`

	submittedBy time.Time // see itemjob.NewJob; by the clock of the instance that received or read the progress
	release     func()    // returns the memory that is reserved for the outputs; nil if there is none
}

// releaseMemory returns the memory that is reserved for the outputs. It may be called again.
func (p *progress) releaseMemory() {
	if p.release != nil {
		p.release()
		p.release = nil
	}
}

// outputBytes returns the size of all outputs in bytes.
func (p *progress) outputBytes() int64 {
	size := outputBytes(p.Finished)
	for _, q := range p.Partials {
		for _, text := range q.Output {
			size += int64(len(text))
		}
	}
	return size
}

// apply sets the progress on the unfinished items of a job, and returns the number of items that continue from it.
func (p *progress) apply(job *itemjob.Job, now time.Time) int {
	continued := 0
	for _, r := range p.Finished {
		if t := job.Task(r.Item); t != nil && t.Phase == itemjob.Waiting {
			t.Output = itemjob.NewOutput(r.Output, 1)
			job.Finish(t, r.Completed, now)
			continued++
		}
	}
	for _, q := range p.Partials {
		if q.Index < 0 || q.Index >= len(job.Tasks) || job.Tasks[q.Index].Phase != itemjob.Waiting {
			continue
		}
		t := job.Tasks[q.Index]
		t.LastEventID, t.Events, t.SilentRuns = q.Last, q.Events, max(q.Silent, 0)
		t.Output = itemjob.NewOutput(strings.Join(q.Output, "\n"), q.Events)
		if t.Events > 0 {
			continued++
		}
	}
	return continued
}

const (
	// partOverhead is the number of bytes that JSON adds to each string of partial.Output.
	partOverhead = 4
	// maxFinishedBytes bounds the JSON of the finished results in the progress of a job; items whose results do not fit run again.
	maxFinishedBytes = 300 << 10
	// maxProgressBytes bounds the JSON of the outputs of unfinished items in the progress of a job; those that do not fit restart from the beginning.
	maxProgressBytes = 600 << 10
)

func decode(value []byte, into any) error {
	if err := json.Unmarshal(value, into); err != nil {
		return fmt.Errorf("%w: %v", ErrBadRecord, err)
	}
	return nil
}

// maxPartBytes bounds the items in one key; the store accepts values of up to a megabyte.
const maxPartBytes = 900 << 10

// encodeParts packs items into values of at most maxPartBytes. A value holds, for each item, the length of its JSON, the length of its body,
// the JSON and the body. The body is kept out of the JSON because it is binary, and base64 would make it a third larger. An item that does not
// fit into one value is an error.
func encodeParts(items []itemjob.Item) ([][]byte, error) {
	var parts [][]byte
	var current []byte
	for i := range items {
		head, err := json.Marshal(&items[i])
		if err != nil {
			return nil, err
		}
		size := len(head) + len(items[i].Body) + 2*binary.MaxVarintLen32
		if size > maxPartBytes {
			return nil, fmt.Errorf("item %q has %d bytes, at most %d can be kept", items[i].ID, size, maxPartBytes)
		}
		if len(current) > 0 && len(current)+size > maxPartBytes {
			parts = append(parts, current)
			current = nil
		}
		current = binary.AppendUvarint(current, uint64(len(head)))
		current = binary.AppendUvarint(current, uint64(len(items[i].Body)))
		current = append(current, head...)
		current = append(current, items[i].Body...)
	}
	return append(parts, current), nil
}

// decodePart unpacks one value of encodeParts. Errors: ErrBadRecord.
func decodePart(value []byte) ([]itemjob.Item, error) {
	var items []itemjob.Item
	reader := bytes.NewReader(value)
	for reader.Len() > 0 {
		fields, err := readByteStrings(reader, 2)
		if err != nil {
			return nil, err
		}
		var item itemjob.Item
		if err := decode(fields[0], &item); err != nil {
			return nil, err
		}
		item.Body = fields[1]
		items = append(items, item)
	}
	return items, nil
}

// readByteStrings reads n lengths and then n byte strings of these lengths. Errors: ErrBadRecord.
func readByteStrings(reader *bytes.Reader, n int) ([][]byte, error) {
	lengths := make([]uint64, n)
	for i := range lengths {
		length, err := binary.ReadUvarint(reader)
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrBadRecord, err)
		}
		lengths[i] = length
	}
	values := make([][]byte, n)
	for i, length := range lengths {
		if length > uint64(reader.Len()) {
			return nil, eris.Wrapf(ErrBadRecord, "%d bytes stated, %d left", length, reader.Len())
		}
		values[i] = make([]byte, length)
		_, _ = reader.Read(values[i]) // cannot fail, the length was checked
	}
	return values, nil
}

// jobIDFromKey returns the id of the job in a key under a prefix.
func jobIDFromKey(key, prefix string) itemjob.ID {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	return itemjob.ID(id)
}
