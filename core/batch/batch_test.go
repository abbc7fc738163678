package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 5, 18, 0, 0, 0, time.UTC)

func submission(items int, holderBytes int) Submission {
	s := Submission{FileID: "file-1", Items: items, Endpoint: "/v1/completions", Window: 24 * time.Hour}
	holder := fleet.InstanceID(strings.Repeat("h", holderBytes))
	for n := 0; n*ChunkItems < items; n++ {
		ref := BlobRef{Digest: fmt.Sprintf("%064x", n), Bytes: 1 << 20, Holders: []fleet.InstanceID{holder, holder}}
		s.Chunks = append(s.Chunks, InputChunk{BlobRef: ref, Lines: min(ChunkItems, items-n*ChunkItems)})
	}
	return s
}

// Guards against a job of the largest allowed size whose record the store rejects after its item bodies were stored.
func TestLargestJobFitsARecordAndALargerOneIsRejected(t *testing.T) {
	largest := submission(MaxItems, 128)
	for i := 0; len(largest.Chunks) < MaxChunks; i++ { // chunks of large lines end early
		largest.Chunks[i].Lines--
		largest.Chunks = append(largest.Chunks, InputChunk{BlobRef: largest.Chunks[i].BlobRef, Lines: 1})
	}
	job, err := NewJob("caller", largest, start)
	require.NoError(t, err)
	value, err := job.Encode()
	require.NoError(t, err)
	t.Logf("record of %d items with holder names of 128 bytes: %d bytes", MaxItems, len(value))
	decoded, err := DecodeJob(value)
	require.NoError(t, err)
	require.Equal(t, job, decoded)

	_, err = NewJob("caller", submission(MaxItems+1, 8), start)
	require.ErrorIs(t, err, ErrInvalidSubmission)
	huge, err := NewJob("caller", submission(MaxItems, 2000), start)
	require.NoError(t, err)
	_, err = huge.Encode()
	require.ErrorIs(t, err, ErrJobTooLarge)
}

// Guards against a resubmission that creates a second job, and against two different submissions that share one job.
func TestJobIDDependsOnCallerAndKeyOrContent(t *testing.T) {
	base := submission(3, 8)
	keyed := base
	keyed.IdempotencyKey = "k"
	other := keyed
	other.FileID = "file-2"
	require.Equal(t, JobIDOf("a", keyed), JobIDOf("a", other), "the idempotency key alone determines the id")
	require.NotEqual(t, JobIDOf("a", keyed), JobIDOf("b", keyed))
	require.NotEqual(t, JobIDOf("a", keyed), JobIDOf("a", base))
	moved := base
	moved.Window = time.Hour
	require.NotEqual(t, JobIDOf("a", base), JobIDOf("a", moved))
	require.NotEqual(t, digestOf("ab", "c"), digestOf("a", "bc"))
	id := JobIDOf("a", base)
	require.True(t, id.Valid())
	require.Equal(t, Shard(0xfe), JobID(strings.Repeat("0", 62)+"fe").Shard())
	shard, name, ok := ParseShardKey(id.Shard().EpochKey())
	require.True(t, ok)
	require.Equal(t, id.Shard(), shard)
	require.Equal(t, "epoch", name)
}

// Guards against a second run of a non-repeatable item: the next group is claimed only when all items claimed before have results.
func TestAChunkOfNonRepeatableItemsIsClaimedInGroups(t *testing.T) {
	const size = 40
	results := &BlobRef{Digest: "d"}
	first, group, err := Chunk{}.Claim(1, size, nil, Counts{})
	require.NoError(t, err)
	require.Equal(t, Range{From: 0, To: GroupItems}, group)
	require.Equal(t, Range{From: 0, To: GroupItems}, first.Unresolved())

	_, _, err = first.Claim(2, size, results, Counts{Completed: GroupItems - 1})
	require.ErrorIs(t, err, ErrTransition)
	second, group, err := first.Claim(2, size, results, Counts{Completed: GroupItems - 1, Unknown: 1})
	require.NoError(t, err)
	require.Equal(t, Range{From: GroupItems, To: size}, group)
	require.Equal(t, group, second.Unresolved())

	_, err = second.Record(2, size, *results, Counts{Completed: size - 1})
	require.ErrorIs(t, err, ErrTransition)
	final, err := second.Record(2, size, *results, Counts{Completed: size})
	require.NoError(t, err)
	_, err = final.Record(2, size, *results, Counts{Completed: size})
	require.ErrorIs(t, err, ErrTransition, "a recorded chunk is final")
	_, _, err = final.Claim(2, size, results, Counts{Completed: size})
	require.ErrorIs(t, err, ErrTransition)

	value, err := second.Encode()
	require.NoError(t, err)
	decoded, err := DecodeChunk(value)
	require.NoError(t, err)
	require.Equal(t, second, decoded)
	_, err = DecodeChunk([]byte(`{"state":"other"}`))
	require.ErrorIs(t, err, ErrInvalidRecord)
}

// Guards against jobs that finish before every item has a result, and against jobs that change after they finished.
func TestAJobFinishesOnceWithAllResults(t *testing.T) {
	job, err := NewJob("caller", submission(300, 8), start)
	require.NoError(t, err)
	require.Equal(t, []int{256, 44}, []int{job.ItemsIn(0), job.ItemsIn(1)})
	require.Equal(t, []int{0, 256}, []int{job.FirstItem(0), job.FirstItem(1)})
	wrong := submission(300, 8)
	wrong.Chunks[0].Lines--
	_, err = NewJob("caller", wrong, start)
	require.ErrorIs(t, err, ErrInvalidSubmission, "one item has no line in any chunk")
	_, err = job.Finish(Counts{Completed: 299}, start)
	require.ErrorIs(t, err, ErrTransition)
	done, err := job.Finish(Counts{Completed: 298, Failed: 1, Unknown: 1}, start)
	require.NoError(t, err)
	require.Equal(t, JobCompleted, done.State)
	late, err := job.Finish(Counts{Completed: 299, Expired: 1}, start)
	require.NoError(t, err)
	require.Equal(t, JobExpired, late.State)
	_, err = done.Cancel(start)
	require.ErrorIs(t, err, ErrTransition)
	cancelled, err := job.Cancel(start)
	require.NoError(t, err)
	again, err := cancelled.Cancel(start.Add(time.Hour))
	require.NoError(t, err)
	require.Equal(t, cancelled, again)
	_, err = cancelled.Finish(Counts{Completed: 300}, start)
	require.ErrorIs(t, err, ErrTransition)
}

// Guards against an item that fails at every attempt and is retried forever, and against retries of items that must not run twice.
func TestAttemptsAreBoundedAndOnlyRepeatableItemsAreRetried(t *testing.T) {
	cases := []struct {
		name       string
		kind       OutcomeKind
		repeatable bool
		ran        int
		want       ItemStatus
	}{
		{"a completed item ends", AttemptCompleted, true, 1, ItemCompleted},
		{"an invalid item fails at once", AttemptInvalid, true, 1, ItemFailed},
		{"a failed repeatable item is retried", AttemptFailed, true, MaxAttempts - 1, ""},
		{"an item that always fails ends after MaxAttempts", AttemptFailed, true, MaxAttempts, ItemFailed},
		{"a repeatable item of unknown outcome is retried", AttemptUnknown, true, 1, ""},
		{"a failed non-repeatable item is not retried", AttemptFailed, false, 1, ItemFailed},
		{"a non-repeatable item of unknown outcome ends as unknown", AttemptUnknown, false, 1, ItemUnknown},
		{"an attempt that did not run is not counted", AttemptNotRun, false, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			step := NextStep(c.kind, c.repeatable, c.ran, 100)
			require.Equal(t, c.want, step.Final)
			if c.want == "" {
				require.Equal(t, maxBackoff, step.Delay)
			}
		})
	}
}

// Guards against a huge job that starves a small one with the same deadline, and against a job that misses its deadline because it is
// started after jobs that are not at risk.
func TestOrderIsByRiskThenDeadlineThenFairness(t *testing.T) {
	scheduler := NewScheduler()
	candidates := []Candidate{
		{Job: "huge", Caller: "a", Deadline: start.Add(8 * time.Hour), Remaining: 140_000},
		{Job: "small", Caller: "b", Deadline: start.Add(8 * time.Hour), Remaining: 1024},
		{Job: "later", Caller: "c", Deadline: start.Add(10 * time.Hour), Remaining: 10},
	}
	started := map[JobID]int{}
	for range 8 {
		i := scheduler.Next(candidates, start)
		scheduler.Started(candidates[i].Caller, ChunkItems)
		started[candidates[i].Job]++
	}
	require.Equal(t, map[JobID]int{"huge": 4, "small": 4}, started)

	candidates[2].Remaining, candidates[2].Rate = 100_000, 1
	require.True(t, candidates[2].AtRisk(start))
	require.Equal(t, 2, scheduler.Next(candidates, start))
	require.Equal(t, -1, scheduler.Next(nil, start))
}

// Guards against a new caller that is served alone until it has as many started items as the callers before it.
func TestNewCallerStartsWithTheLowestCount(t *testing.T) {
	scheduler := NewScheduler()
	old := Candidate{Job: "old", Caller: "a", Deadline: start.Add(time.Hour), Remaining: 10}
	joining := Candidate{Job: "new", Caller: "b", Deadline: start.Add(time.Hour), Remaining: 10}
	scheduler.Next([]Candidate{old}, start)
	scheduler.Started("a", 100_000)
	started := map[JobID]int{}
	for range 10 {
		both := []Candidate{old, joining}
		i := scheduler.Next(both, start)
		scheduler.Started(both[i].Caller, 1)
		started[both[i].Job]++
	}
	require.Equal(t, map[JobID]int{"old": 5, "new": 5}, started)
}
