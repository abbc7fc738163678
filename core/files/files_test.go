package files

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
)

func line(id int) string {
	return fmt.Sprintf(`{"custom_id":"r%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[]}}`, id)
}

// Guards against an invalid line that is found only when the batch runs hours later, and against messages that don't give its line number.
func TestErrorNamesTheInvalidLine(t *testing.T) {
	cases := map[string]string{
		`{"custom_id":"r1"`: "not a JSON object",
		`["custom_id"]`:     "not a JSON object",
		`{"method":"POST","url":"/v1/completions","body":{}}`:                                                               "custom_id is missing",
		`{"custom_id":"x","method":"GET","url":"/v1/completions","body":{}}`:                                                "method is",
		`{"custom_id":"x","method":"POST","url":"/v1/models","body":{}}`:                                                    "url",
		`{"custom_id":"x","method":"POST","url":"/v1/services/print","body":{}}`:                                            "url",
		`{"custom_id":"x","method":"POST","url":"/v1/services/print/a/b","body":{}}`:                                        "url",
		`{"custom_id":"x","method":"POST","url":"/v1/completions"}`:                                                         "body is missing",
		`{"custom_id":"x","method":"POST","url":"/v1/completions","body":null}`:                                             "body is missing",
		`{"custom_id":"x","method":"POST","url":"/v1/completions","body":[]}`:                                               "not a JSON object",
		`{"custom_id":"` + strings.Repeat("x", maxCustomIDBytes+1) + `","method":"POST","url":"/v1/completions","body":{}}`: "custom_id has",
		line(1): `custom_id "r1" is already used by line 1`,
	}
	for text, reason := range cases {
		s := NewSplitter("c", MaxBytes)
		require.NoError(t, s.Add([]byte(line(1))))
		require.NoError(t, s.Add(nil))
		err := s.Add([]byte(text))
		assert.ErrorIs(t, err, ErrInvalid)
		assert.ErrorContains(t, err, "line 3: ")
		assert.ErrorContains(t, err, reason)
	}
	s := NewSplitter("c", MaxBytes)
	assert.NoError(t, s.Add([]byte(`{"custom_id":"x","method":"POST","url":"/v1/services/print/proof","body":[1]}`)))
}

// Guards against files without limits on bytes, line length and number of lines.
func TestFileLimits(t *testing.T) {
	s := NewSplitter("c", int64(2*len(line(1))+2))
	require.NoError(t, s.Add([]byte(line(1))))
	require.NoError(t, s.Add([]byte(line(2))))
	assert.ErrorContains(t, s.Add([]byte(line(3))), "bytes")
	assert.ErrorContains(t, NewSplitter("c", MaxBytes).Add([]byte(strings.Repeat("x", MaxLineBytes+1))), "longer than")
	s = NewSplitter("c", MaxBytes)
	s.lines = MaxLines
	assert.ErrorContains(t, s.Add([]byte(line(1))), "140000")
	_, _, _, err := NewSplitter("c", MaxBytes).Finish()
	assert.ErrorIs(t, err, ErrInvalid)
}

// Guards against chunks that exceed the memory of an upload or the size of a blob.
func TestChunksEndAfterTheirLinesOrTheirBytes(t *testing.T) {
	s := NewSplitter("c", MaxBytes)
	for i := range ChunkLines {
		require.True(t, s.Fits([]byte(line(i))))
		require.NoError(t, s.Add([]byte(line(i))))
	}
	assert.False(t, s.Fits([]byte(line(ChunkLines))))
	chunk, lines := s.TakeChunk()
	assert.Equal(t, ChunkLines, lines)
	assert.Equal(t, ChunkLines, strings.Count(string(chunk), "\n"))
	s.chunk, s.chunkLines = make([]byte, ChunkBytes-len(line(0))), 1
	assert.False(t, s.Fits([]byte(line(0))))
	assert.True(t, s.Fits([]byte(line(0))[1:]))
}

// Guards against two ids for the same content of one caller, and against one id for two callers.
func TestIDDependsOnCallerAndContent(t *testing.T) {
	id := func(caller fleet.CallerID, lines ...string) string {
		s := NewSplitter(caller, MaxBytes)
		for _, l := range lines {
			require.NoError(t, s.Add([]byte(l)))
		}
		id, _, _, err := s.Finish()
		require.NoError(t, err)
		require.True(t, ValidID(id))
		return id
	}
	assert.Equal(t, id("c", line(1), line(2)), id("c", line(1)+"\r", "", line(2)))
	assert.NotEqual(t, id("c", line(1)), id("d", line(1)))
	assert.NotEqual(t, id("c", line(1), line(2)), id("c", line(2), line(1)))
	assert.NotEqual(t, Prefix("c"), Prefix("d"))
}

// Guards against an upload whose record exceeds the store's limit after its chunks were stored.
func TestLargestRecordFitsIntoTheStore(t *testing.T) {
	chunks := MaxLines/ChunkLines + 1 + MaxBytes/(ChunkBytes-MaxLineBytes) + 1
	r := Record{ID: idPrefix + strings.Repeat("a", 64), Caller: fleet.CallerID(strings.Repeat("c", 256)), Created: time.Unix(1_800_000_000, 0).UTC(), Uploaded: time.Unix(1_800_100_000, 0).UTC(), Lines: MaxLines, Bytes: MaxBytes}
	for i := range chunks {
		holders := []fleet.InstanceID{}
		for j := range 2 {
			holders = append(holders, fleet.InstanceID(fmt.Sprintf("%0128d", 2*i+j)))
		}
		r.Chunks = append(r.Chunks, Chunk{Lines: ChunkLines, Blob: batch.BlobRef{Digest: fmt.Sprintf("%064x", i), Bytes: ChunkBytes, Holders: holders}})
	}
	value, err := r.Encode()
	require.NoError(t, err)
	assert.Less(t, len(value), MaxRecordBytes/3)
	decoded, err := Decode(value)
	require.NoError(t, err)
	assert.Equal(t, r, decoded)
	assert.True(t, r.SameHolders(decoded))
	_, err = Decode([]byte(`{"chunks":[{"h":[0]}]}`))
	assert.ErrorIs(t, err, ErrInvalidRecord)
}
