package batch

import "eelgrassproxy.example/core/fleet"

// BlobRef identifies a blob and the instances with disks that store it, at most two.
type BlobRef struct {
	Digest  string             `json:"digest"` // hexadecimal SHA-256 of the content
	Bytes   int64              `json:"bytes"`
	Holders []fleet.InstanceID `json:"holders"`
}

// InputChunk is a blob that holds the bodies of consecutive items of a job, one per line.
type InputChunk struct {
	BlobRef
	Lines int `json:"lines"` // number of items, 1 to ChunkItems; fewer than ChunkItems if the lines are large
}
