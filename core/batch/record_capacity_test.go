package batch

import (
	"fmt"
	"testing"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/require"
)

// capacityRef returns a blob reference whose holders have names of typical length.
func capacityRef() BlobRef {
	const digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	return BlobRef{Digest: digest, Bytes: 524_288, Holders: []fleet.InstanceID{"instance-101", "instance-202"}}
}

// BenchmarkCapacityRecord reports the size in bytes of a job's record and of all its chunk records.
func BenchmarkCapacityRecord(b *testing.B) {
	for _, items := range []int{256, 1_300, 10_000, MaxItems} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			submission := Submission{
				FileID: capacityRef().Digest, Items: items, Endpoint: "/v1/chat/completions", Repeatable: true,
				Window: 24 * time.Hour, IdempotencyKey: "night-programme",
			}
			chunks := (items + ChunkItems - 1) / ChunkItems
			for n := range chunks {
				input := InputChunk{BlobRef: capacityRef(), Lines: min(ChunkItems, items-n*ChunkItems)}
				submission.Chunks = append(submission.Chunks, input)
			}
			job, err := NewJob("caller-000001", submission, time.Unix(1_800_000_000, 0))
			require.NoError(b, err)
			value, err := job.Encode()
			require.NoError(b, err)
			chunk, err := Chunk{}.Record(3, ChunkItems, capacityRef(), Counts{Completed: ChunkItems})
			require.NoError(b, err)
			record, err := chunk.Encode()
			require.NoError(b, err)
			for b.Loop() {
			}
			b.ReportMetric(float64(len(value)), "job-bytes")
			b.ReportMetric(float64((len(record)+len(job.ID.ChunksPrefix())+4)*chunks), "chunks-bytes")
		})
	}
}
