package itemjob_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/itemjob"
)

var now = time.Unix(1000, 0)

func newJob(id itemjob.ID, due time.Duration, items ...string) *itemjob.Job {
	record := itemjob.Record{ID: id, Items: len(items), MaxAttempts: 3, Submitted: now, Due: now.Add(due), GiveUp: now.Add(time.Minute)}
	var list []itemjob.Item
	for _, item := range items {
		list = append(list, itemjob.Item{ID: item, Tokens: 10})
	}
	return itemjob.NewJob(record, list, nil, now)
}

// firstTask returns the task that a new round starts first, if all services have room.
func firstTask(jobs []*itemjob.Job, pace *itemjob.Pace, now time.Time) (itemjob.Choice, bool) {
	return itemjob.NewRound(func(*itemjob.Job) string { return "s" }).Next(jobs, pace, now)
}

func finish(j *itemjob.Job, item string, output ...string) {
	task := j.Task(item)
	task.Output = itemjob.NewOutput(strings.Join(output, "\n"), len(output))
	j.Finish(task, true, now)
}

// Guards against one store write per item, and against results that wait although all items have finished or the job is nearly due.
func TestResultsAreGrouped(t *testing.T) {
	j := newJob("j", 20*time.Second, "a", "b", "c")
	group, wait := j.ResultsToStore(now)
	require.Empty(t, group)
	require.Zero(t, wait)
	finish(j, "b", "x", "y")
	group, wait = j.ResultsToStore(now)
	require.Empty(t, group)
	require.Positive(t, wait)
	group, _ = j.ResultsToStore(now.Add(wait))
	require.Equal(t, []itemjob.Result{{Item: "b", Completed: true, Output: "x\ny"}}, group)
	group, _ = j.ResultsToStore(now.Add(19 * time.Second))
	require.Len(t, group, 1, "the job is nearly due")
	finish(j, "a")
	finish(j, "c")
	group, _ = j.ResultsToStore(now)
	require.Len(t, group, 3, "all items have finished")
}

// Guards against a group that exceeds the store's limit on the size of a value.
func TestGroupsAreBounded(t *testing.T) {
	j := newJob("j", 0, "a", "b", "c")
	large := string(make([]byte, 300<<10))
	for _, item := range []string{"a", "b", "c"} {
		finish(j, item, large)
	}
	group, _ := j.ResultsToStore(now)
	require.Len(t, group, 1)
	j.MarkStored(1, now)
	group, _ = j.ResultsToStore(now)
	require.Equal(t, "b", group[0].Item)
}

// Guards against an item that gets two positions, and against a result that changes after it got its position.
func TestResultGetsOnePosition(t *testing.T) {
	j := newJob("j", 0, "a", "b")
	finish(j, "b", "first")
	finish(j, "b", "second")
	j.MarkStored(1, now)
	finish(j, "b", "third")
	group, _ := j.ResultsToStore(now)
	require.Empty(t, group)
	require.Equal(t, []itemjob.Result{{Item: "b", Completed: true, Output: "first"}}, j.Results)
	require.False(t, j.AllStored())
	require.Equal(t, int64(10), j.WaitingTokens())
}

// Guards against a new owner that repeats items whose results a former owner stored.
func TestRecordedItemsDoNotRunAgain(t *testing.T) {
	record := itemjob.Record{ID: "j", Items: 2, Due: now.Add(time.Second)}
	j := itemjob.NewJob(record, []itemjob.Item{{ID: "a"}, {ID: "b"}}, []itemjob.Result{{Item: "a", Completed: true}}, now)
	choice, ok := firstTask([]*itemjob.Job{j}, &itemjob.Pace{}, now)
	require.True(t, ok)
	require.Equal(t, "b", choice.Task.Item.ID)
	choice.Task.Phase = itemjob.Running
	_, ok = firstTask([]*itemjob.Job{j}, &itemjob.Pace{}, now)
	require.False(t, ok)
}

// Guards against items that are given up too early, and against items that are retried forever.
func TestFailedItemsAreGivenUp(t *testing.T) {
	j := newJob("j", 0, "a", "b")
	a, b := j.Task("a"), j.Task("b")
	require.Empty(t, j.RecordFailure(a, false, now))
	require.Empty(t, j.RecordFailure(a, false, now))
	require.Equal(t, itemjob.TooManyFailures, j.RecordFailure(a, false, now))
	require.Equal(t, itemjob.CannotSucceed, j.RecordFailure(b, true, now))
	j.RecordInterruption(b, 0, now)
	require.Equal(t, 1, b.Failures, "an interrupted run is not counted as a failure")
	require.Empty(t, j.Expired(now.Add(59*time.Second)))
	require.Empty(t, j.Expired(now.Add(time.Minute)), "a minute by a clock that is slower has not passed")
	require.Empty(t, j.Expired(now.Add(time.Minute+59*time.Millisecond)))
	require.Len(t, j.Expired(now.Add(time.Minute+60*time.Millisecond)), 2)
}

// Guards against a failed item that takes the next free slot at once, and against a job that waits for one with a later due time.
func TestNextIsTheItemDueFirst(t *testing.T) {
	late, early := newJob("late", 20*time.Second, "l"), newJob("early", 10*time.Second, "e1", "e2", "e3")
	jobs := []*itemjob.Job{late, early}
	next := func() string {
		choice, ok := firstTask(jobs, &itemjob.Pace{}, now)
		require.True(t, ok)
		choice.Task.Phase = itemjob.Running
		return choice.Task.Item.ID
	}
	early.Task("e2").Events = 4
	require.Equal(t, "e2", next(), "an item that has received events goes first")
	require.Equal(t, "e1", next())
	early.RecordFailure(early.Task("e3"), false, now)
	require.Equal(t, "l", next(), "a failed item pauses")
	early.Ended = true
	_, ok := firstTask(jobs, &itemjob.Pace{}, now.Add(time.Second))
	require.False(t, ok, "items of an ended job do not start")
}

// Guards against items that yield until they miss their due time, and against late items that keep slots from online requests.
func TestUrgentOnlyWhileInTimeIsPossible(t *testing.T) {
	var pace itemjob.Pace
	pace.Observe(200, 200, 4*time.Second)
	due := func(d time.Duration) time.Time { return now.Add(d) }
	require.False(t, pace.Urgent(due(15*time.Second), 0, now), "there is enough time")
	require.True(t, pace.Urgent(due(6*time.Second), 0, now))
	require.False(t, pace.Urgent(due(8*time.Second), 190, now), "the item has nearly finished")
	require.False(t, pace.Urgent(due(3*time.Second), 0, now), "it cannot finish in time")
	require.True(t, pace.Urgent(due(time.Second), 190, now), "the remaining events can arrive in time")
	require.False(t, pace.Urgent(due(-time.Second), 190, now), "it is already late")
}

// Guards against a job that exceeds the limit, and against a rejection although no limit is set.
func TestTokensFitUnderTheLimit(t *testing.T) {
	require.True(t, itemjob.Fits(100, 60, 40))
	require.False(t, itemjob.Fits(100, 61, 40))
	require.True(t, itemjob.Fits(0, 1<<40, 1))
}

// Guards against items whose results are stored and that stay in memory as long as their job.
func TestStoredItemsAreForgotten(t *testing.T) {
	items := []itemjob.Item{
		{ID: "a", Path: "/p", Headers: map[string]string{"Model": "m"}, Body: make([]byte, 100_000)}, {ID: "b", Path: "/p", Body: make([]byte, 100_000)},
	}
	j := itemjob.NewJob(itemjob.Record{ID: "j", Items: 2}, items, nil, now)
	require.Greater(t, j.ItemBytes(), int64(200_000))
	j.Finish(j.Task("a"), true, now)
	require.NotEmpty(t, j.Task("a").Item.Body, "it runs again if the result is not stored")
	results, _ := j.ResultsToStore(now.Add(time.Hour))
	j.MarkStored(len(results), now)
	require.Equal(t, itemjob.Item{ID: "a", Path: "/p"}, j.Task("a").Item)
	require.Less(t, j.ItemBytes(), int64(102_000))
	again := itemjob.NewJob(itemjob.Record{ID: "j", Items: 2}, items, []itemjob.Result{{Item: "b", Completed: true}}, now)
	require.Empty(t, again.Task("b").Item.Body)
}
