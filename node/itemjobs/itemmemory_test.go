package itemjobs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/itemjob"
)

const megabyte = 1 << 20

// itemService returns a service that has memory for three megabytes of items.
func itemService() *Service {
	return &Service{memory: newMemory(DefaultMemoryBytes, 3*megabyte+megabyte/2, 6*megabyte), jobs: make(map[itemjob.ID]*ownedJob)}
}

// own adds a job with one item of a megabyte.
func own(s *Service, id itemjob.ID) *ownedJob {
	j := &ownedJob{Job: itemjob.NewJob(itemjob.Record{ID: id, Items: 1}, itemsOf(megabyte), nil, time.Unix(1000, 0))}
	s.jobs[id] = j
	s.chargeItems(j)
	return j
}

func itemsOf(size int) []itemjob.Item {
	return []itemjob.Item{{ID: "a", Path: "/p", Body: make([]byte, size)}}
}

func complete(s *Service, j *ownedJob, evictAt time.Time) {
	j.Finish(j.Task("a"), true, time.Unix(1000, 0))
	j.MarkStored(1, time.Unix(1000, 0))
	j.evictAt = evictAt
	s.chargeItems(j)
}

// Guards against accepted jobs that add up without a bound, and against memory that is not returned.
func TestItemsOfOpenJobsHaveABound(t *testing.T) {
	s := itemService()
	first, second := own(s, "1"), own(s, "2")
	release, ok := s.reserveItems(itemsOf(megabyte))
	require.True(t, ok)
	_, ok = s.reserveItems(itemsOf(megabyte))
	require.False(t, ok, "a job that is being accepted counts")
	release()
	third := own(s, "3")
	_, ok = s.reserveItems(itemsOf(megabyte))
	require.False(t, ok)
	complete(s, first, time.Unix(2000, 0))
	_, ok = s.reserveItems(itemsOf(megabyte))
	require.True(t, ok, "the items of a complete job are forgotten")
	s.releaseItems(second)
	s.releaseItems(third)
	s.releaseItems(first)
	require.Less(t, s.memory.items.Used(), int64(megabyte+1000), "the reserved one")
}

// Guards against complete jobs whose remains keep others from being accepted.
func TestCompleteJobsAreEvictedForOthers(t *testing.T) {
	s := itemService()
	for _, id := range []itemjob.ID{"old", "new"} {
		complete(s, own(s, id), map[itemjob.ID]time.Time{"old": time.Unix(2000, 0), "new": time.Unix(3000, 0)}[id])
	}
	items := itemsOf(megabyte)
	s.memory.items.Adjust(s.memory.items.Limit() - s.memory.items.Used() - items[0].Size() + 1) // one byte less than the items need
	_, ok := s.reserveItems(items)
	require.True(t, ok)
	require.NotContains(t, s.jobs, itemjob.ID("old"))
	require.Contains(t, s.jobs, itemjob.ID("new"))
}

// Guards against a lone job that is refused for its size.
func TestALoneJobIsAccepted(t *testing.T) {
	_, ok := itemService().reserveItems(itemsOf(10 * megabyte))
	require.True(t, ok)
}

// Guards against jobs that are decoded all at once, and against one that waits for ever.
func TestSubmissionsTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := itemService()
		done, err := s.BeginSubmission(t.Context(), 100*megabyte)
		require.NoError(t, err, "one that needs more than all takes all")
		_, err = s.BeginSubmission(context.Background(), 1)
		require.ErrorIs(t, err, ErrUnavailable)
		done()
		_, err = s.BeginSubmission(t.Context(), megabyte)
		require.NoError(t, err)
	})
}
