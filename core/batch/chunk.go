package batch

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// GroupItems is the number of non-repeatable items that one store write claims. A chunk of 256 items takes 8 claims and one final record,
// 0.035 writes per item.
const GroupItems = 32

// ChunkState is the state of a chunk.
type ChunkState string

// States of a chunk. A pending chunk has no record.
const (
	ChunkPending  ChunkState = ""
	ChunkClaimed  ChunkState = "claimed"  // some items may have run; Results covers the first Covered items
	ChunkRecorded ChunkState = "recorded" // every item has a result; final
)

// Range is the half-open range [From, To) of item positions within a chunk.
type Range struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Chunk is the value stored for a chunk, as JSON.
type Chunk struct {
	Epoch   uint64     `json:"epoch"` // epoch of the owner that wrote the record
	State   ChunkState `json:"state"`
	Claimed []Range    `json:"claimed,omitempty"` // items claimed for dispatch, see Claim; only for chunks of non-repeatable items
	Covered int        `json:"covered"`           // number of leading items whose results are in Results
	Results *BlobRef   `json:"results,omitempty"` // blob of JSON lines, one Result each
	Counts  Counts     `json:"counts"`            // results of the covered items by status
}

// Encode returns the record as JSON.
func (c Chunk) Encode() ([]byte, error) { return json.Marshal(c) }

// DecodeChunk decodes a stored chunk record. It returns ErrInvalidRecord if the record is malformed or inconsistent.
func DecodeChunk(value []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(value, &c); err != nil {
		return Chunk{}, fmt.Errorf("%w: %v", ErrInvalidRecord, err)
	}
	if c.State != ChunkClaimed && c.State != ChunkRecorded {
		return Chunk{}, eris.Wrapf(ErrInvalidRecord, "chunk state %q", c.State)
	}
	if c.Covered > 0 && c.Results == nil {
		return Chunk{}, eris.Wrapf(ErrInvalidRecord, "%d covered items without results", c.Covered)
	}
	return c, nil
}

// ClaimedEnd returns the position after the last claimed item, 0 if none is claimed. Items are claimed in order from the first one.
func (c Chunk) ClaimedEnd() int {
	if len(c.Claimed) == 0 {
		return 0
	}
	return c.Claimed[len(c.Claimed)-1].To
}

// Claim returns the record that claims the next group of up to GroupItems items, and the range of that group. epoch is the epoch of the
// shard's owner and size the number of items in the chunk. results and counts must cover every item claimed before (results is nil for the
// first group), so that the next owner of the shard finds them. It returns ErrTransition if the chunk is already recorded, if all items are
// claimed, or if the total of counts isn't the number of items claimed before. results isn't checked: with nil after the first group the
// record is one that DecodeChunk rejects. The field Claimed of the record is a list, but Claim always writes it as one range that begins at 0.
func (c Chunk) Claim(epoch uint64, size int, results *BlobRef, counts Counts) (Chunk, Range, error) {
	from := c.ClaimedEnd()
	group := Range{From: from, To: min(from+GroupItems, size)}
	switch {
	case c.State == ChunkRecorded:
		return c, Range{}, eris.Wrap(ErrTransition, "claim of items in a recorded chunk")
	case from >= size:
		return c, Range{}, eris.Wrapf(ErrTransition, "claim after all %d items were claimed", size)
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

// Record returns the final record of the chunk. It returns ErrTransition if the chunk is already recorded or if the total of
// counts isn't size. results isn't checked.
func (c Chunk) Record(epoch uint64, size int, results BlobRef, counts Counts) (Chunk, error) {
	if c.State == ChunkRecorded {
		return c, eris.Wrap(ErrTransition, "chunk is already recorded")
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

// Unresolved returns the items that were claimed and have no result. A new owner of the shard can't tell whether they ran, so it ends them as
// outcome_unknown.
func (c Chunk) Unresolved() Range {
	if c.State != ChunkClaimed {
		return Range{}
	}
	return Range{From: c.Covered, To: c.ClaimedEnd()}
}
