// Package batch holds the state machines of jobs and chunks, the ownership of shards, the order of work and the limit of batch requests
// in flight at each target.
package batch

import "eelgrassproxy.example/core/fleet"

// BlobRef names a blob and the two disk holders that stored it.
type BlobRef struct {
	Digest  string             `json:"digest"` // hexadecimal SHA-256 of the content
	Bytes   int64              `json:"bytes"`
	Holders []fleet.InstanceID `json:"holders"`
}

// InputChunk is a blob with the bodies of some items of a job, one on each line.
type InputChunk struct {
	BlobRef
	Lines int `json:"lines"` // from 1 to ChunkItems; a chunk of large lines ends early
}
