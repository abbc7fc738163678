package batch

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// GroupItems is the number of non-repeatable items claimed by one write: with 256 items in a chunk that makes 8 claims and one record,
// 0.035 writes per item.
const GroupItems = 32

// ChunkState is the state of a chunk.
type ChunkState string

// States of a chunk. A pending chunk has no record.
const (
	ChunkPending  ChunkState = ""
	ChunkClaimed  ChunkState = "claimed"  // some items may have been run; results cover the first Covered items
	ChunkRecorded ChunkState = "recorded" // every item has its result; final
)

// Range is a range of items of a chunk, from From up to but not including To.
type Range struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Chunk is the value stored for a chunk, as JSON.
type Chunk struct {
	Epoch   uint64     `json:"epoch"` // of the owner that wrote the record
	State   ChunkState `json:"state"`
	Claimed []Range    `json:"claimed,omitempty"` // items claimed for dispatch, of non-repeatable chunks
	Covered int        `json:"covered"`           // items, from the first, whose results are in Results
	Results *BlobRef   `json:"results,omitempty"` // JSON lines of Result
	Counts  Counts     `json:"counts"`            // of the covered items
}

// Encode returns the record as JSON.
func (c Chunk) Encode() ([]byte, error) { return json.Marshal(c) }

// DecodeChunk reads a stored chunk record, or returns ErrInvalidRecord.
func DecodeChunk(value []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(value, &c); err != nil {
		return Chunk{}, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	if c.State != ChunkClaimed && c.State != ChunkRecorded {
		return Chunk{}, eris.Wrapf(ErrInvalidRecord, "chunk state %q", c.State)
	}
	if c.Covered > 0 && c.Results == nil {
		return Chunk{}, eris.Wrapf(ErrInvalidRecord, "%d covered items without results", c.Covered)
	}
	return c, nil
}

// ClaimedTo returns the end of the claimed items. Claims grow from the first item on.
func (c Chunk) ClaimedTo() int {
	if len(c.Claimed) == 0 {
		return 0
	}
	return c.Claimed[len(c.Claimed)-1].To
}

// Claim returns the record that claims the next group of items for the owner of the epoch. results holds those of all items claimed
// before (nil if there are none), so that a next owner finds them. size is the number of items of the chunk.
func (c Chunk) Claim(epoch uint64, size int, results *BlobRef, counts Counts) (Chunk, Range, error) {
	from := c.ClaimedTo()
	group := Range{From: from, To: min(from+GroupItems, size)}
	switch {
	case c.State == ChunkRecorded:
		return c, Range{}, eris.Wrap(ErrTransition, "claim in a recorded chunk")
	case from >= size:
		return c, Range{}, eris.Wrapf(ErrTransition, "claim behind all %d items", size)
	case counts.Total() != from:
		return c, Range{}, eris.Wrapf(ErrTransition, "claim with results of %d of %d claimed items", counts.Total(), from)
	}
	next := Chunk{
		Epoch:   epoch,
		State:   ChunkClaimed,
		Claimed: []Range{{From: 0, To: group.To}},
		Covered: from,
		Results: results,
		Counts:  counts,
	}
	return next, group, nil
}

// Record returns the final record of the chunk, or ErrTransition if it has one or results are missing.
func (c Chunk) Record(epoch uint64, size int, results BlobRef, counts Counts) (Chunk, error) {
	if c.State == ChunkRecorded {
		return c, eris.Wrap(ErrTransition, "second record of a chunk")
	}
	if counts.Total() != size {
		return c, eris.Wrapf(ErrTransition, "record with results of %d of %d items", counts.Total(), size)
	}
	return Chunk{
		Epoch:   epoch,
		State:   ChunkRecorded,
		Claimed: c.Claimed,
		Covered: size,
		Results: &results,
		Counts:  counts,
	}, nil
}

// Lost returns the claimed items without a result that a next owner finds; they end as outcome_unknown.
func (c Chunk) Lost() Range {
	if c.State != ChunkClaimed {
		return Range{}
	}
	return Range{From: c.Covered, To: c.ClaimedTo()}
}
