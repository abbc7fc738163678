package itemjobs_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/itemjobs"
)

// withFleet runs a test with a fleet in virtual time.
func withFleet(t *testing.T, instances int, test func(*testing.T, *testFleet)) {
	withFleetDetecting(t, instances, false, test)
}

// withFleetDetecting is withFleet with a choice of how instances find out that the store is unreachable: with detectByCalls from failed calls,
// as in production; otherwise at once.
func withFleetDetecting(t *testing.T, instances int, detectByCalls bool, test func(*testing.T, *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, instances, detectByCalls)
		defer f.close()
		test(t, f)
	})
}

// Guards against results that are missing, different or at other positions when they are read at another instance.
func TestJobIsReadableEverywhere(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b", "c")))
		for _, n := range f.nodes {
			page, err := n.service.Read(t.Context(), itemjob.Caller{}, "j", 0, 0)
			require.NoError(t, err)
			require.Equal(t, 3, page.Total)
			body, _, err := n.service.Body(t.Context(), itemjob.Caller{}, "j", "b")
			require.NoError(t, err)
			require.Equal(t, "body of b", string(body))
		}
		time.Sleep(5 * time.Second)
		first := f.readAll(f.nodes[0], "j")
		requireCompleted(t, first, "a", "b", "c")
		for _, n := range f.nodes[1:] {
			require.Equal(t, first, f.readAll(n, "j"))
		}
		page, err := f.nodes[1].service.Read(t.Context(), itemjob.Caller{}, "j", 2, 0)
		require.NoError(t, err)
		require.Equal(t, first[2:], page.Results)
		require.Equal(t, 3, page.Next)
		_, err = f.nodes[1].service.Read(t.Context(), itemjob.Caller{}, "none", 0, 0)
		require.ErrorIs(t, err, itemjobs.ErrNotFound)
		for _, item := range []string{"a", "b", "c"} {
			require.Len(t, f.runsOf(item), 1)
		}
	})
}

// Guards against readers that have to poll for results, and against a read that waits although there are results.
func TestReaderWaitsForTheNextResult(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		started := time.Now()
		page, err := f.nodes[1].service.Read(t.Context(), itemjob.Caller{}, "j", 0, 5*time.Second)
		require.NoError(t, err)
		requireCompleted(t, page.Results, "a")
		require.Less(t, time.Since(started), 5*time.Second)
		started = time.Now()
		_, err = f.nodes[1].service.Read(t.Context(), itemjob.Caller{}, "j", 1, 5*time.Second)
		require.NoError(t, err)
		require.Less(t, time.Since(started), time.Second, "the job is complete")
	})
}

// Guards against a job that is accepted twice when its client submits it again at another instance.
func TestRepeatedSubmissionIsTheSameJob(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		for _, n := range []*node{f.nodes[0], f.nodes[1], f.nodes[0]} {
			require.NoError(t, n.service.Submit(t.Context(), submission("j", "a")))
		}
		time.Sleep(5 * time.Second)
		require.Len(t, f.runsOf("a"), 1)
		require.NoError(t, f.nodes[1].service.Submit(t.Context(), submission("j", "a")), "a repeated submission of a complete job")
	})
}

// Guards against a job that is lost, or rejected as not run, when the store's response to its write is lost.
func TestLostResponseToASubmission(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		lost := 1
		f.store.OnTxn(nil, func(kv.Txn) error {
			if lost--; lost >= 0 {
				return kv.ErrOutcomeUnknown
			}
			return nil
		})
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(5 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[1], "j"), "a")
		require.Len(t, f.runsOf("a"), 1)

		f.store.OnTxn(nil, func(txn kv.Txn) error {
			if strings.Contains(txn.Compares[0].Key, "/record/k") {
				return kv.ErrOutcomeUnknown
			}
			return nil
		})
		err := f.nodes[0].service.Submit(t.Context(), submission("k", "b"))
		require.ErrorIs(t, err, itemjobs.ErrOutcomeUnknown, "the job may run, so that the error must not say that it does not")
		f.store.OnTxn(nil, nil)
		time.Sleep(10 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[1], "k"), "b")
	})
}

// Guards against results that are recorded twice when the store's response to their write is lost.
func TestLostResponseToResults(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		lost := 2
		f.store.OnTxn(nil, func(txn kv.Txn) error {
			if len(txn.Compares) == 2 && lost > 0 {
				lost--
				return kv.ErrOutcomeUnknown
			}
			return nil
		})
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		time.Sleep(8 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[1], "j"), "a", "b")
		require.Zero(t, lost)
		require.Len(t, f.runsOf("a"), 1)
	})
}

// Guards against jobs that do not continue when their owner is lost, and against items that run again although their results were recorded.
func TestJobOfALostInstanceContinues(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		time.Sleep(time.Second)
		f.kill(f.nodes[0])
		time.Sleep(8 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[1], "j"), "a", "b")
		require.Equal(t, f.readAll(f.nodes[1], "j"), f.readAll(f.nodes[2], "j"))
		require.Len(t, f.runsOf("a"), 2)
	})
}

// Guards against running items that restart from the beginning after the loss of all instances, and against progress that is never deleted from
// the store.
func TestItemsContinueAfterTheLossOfAllInstances(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b", "c", "d")))
		time.Sleep(3 * time.Second)
		for _, n := range f.nodes {
			f.kill(n)
		}
		next := f.start("i9", "10.0.0.9")
		time.Sleep(10 * time.Second)
		requireCompleted(t, f.readAll(next, "j"), "a", "b", "c", "d")
		require.NotEmpty(t, f.runsOf("a")[1].after)
		_, err := f.store.Get(t.Context(), "/eelgrass/item-jobs/partial/j")
		require.ErrorIs(t, err, kv.ErrNotFound)
	})
}

// Guards against a former owner that does not know that it was replaced and runs items of a job after its client ended it at the new owner.
func TestReplacedOwnerIsNotified(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		time.Sleep(500 * time.Millisecond)
		_, err := f.nodes[0].client.Do(t.Context(), http.MethodPost, f.nodes[1].address, "/v1/item-jobs/j/adopt", nil, []byte("{}"), time.Second)
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
		_, owned := f.nodes[0].service.ReadOwned(t.Context(), itemjob.Caller{}, "j", 0, 0)
		require.False(t, owned)
		require.NoError(t, f.nodes[0].service.End(t.Context(), itemjob.Caller{}, "j"))
		started := len(f.runs)
		time.Sleep(8 * time.Second)
		require.Len(t, f.runs, started)
	})
}

// Guards against a partitioned owner that adds results to a job that another instance has taken over.
func TestReplacedOwnerAddsNothing(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b", "c")))
		others := []string{f.nodes[1].address, f.nodes[2].address}
		f.network.Partition([]string{f.nodes[0].address}, others)
		f.nodes[0].store.setUnreachable(true)
		time.Sleep(8 * time.Second)
		taken := f.readAll(f.nodes[1], "j")
		requireCompleted(t, taken, "a", "b", "c")
		f.nodes[0].store.setUnreachable(false)
		f.network.Heal()
		time.Sleep(4 * time.Second)
		require.Equal(t, taken, f.readAll(f.nodes[0], "j"))
		require.Equal(t, taken, f.readAll(f.nodes[2], "j"))
	})
}

// Guards against an instance that does not reach the store and keeps its jobs, whose results it cannot record, or rejects new jobs, although a
// peer reaches the store.
func TestJobsMoveToAnInstanceThatReachesTheStore(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(time.Second)
		f.nodes[0].store.setUnreachable(true)
		time.Sleep(time.Second)
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("k", "b")), "the job is forwarded")
		time.Sleep(8 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[1], "j"), "a")
		requireCompleted(t, f.readAll(f.nodes[1], "k"), "b")
		runs := f.runsOf("a")
		require.Len(t, runs, 2)
		require.NotEmpty(t, runs[1].after, "it continues from its progress")
	})
}

// Guards against a job that runs although it was rejected as not run because no instance reached the store.
func TestJobIsRefusedWithoutTheStore(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		f.store.SetDown(true)
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			n.store.setUnreachable(true)
		}
		time.Sleep(time.Second)
		require.ErrorIs(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a")), itemjobs.ErrUnavailable)
		f.store.SetDown(false)
		for _, n := range f.nodes {
			n.store.setUnreachable(false)
		}
		time.Sleep(10 * time.Second)
		require.Empty(t, f.runsOf("a"))
	})
}

// Guards against a drain that loses the progress of items, or leaves a job without an owner.
func TestDrainHandsJobsOver(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		time.Sleep(time.Second)
		f.nodes[0].service.Drain(t.Context())
		time.Sleep(6 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[1], "j"), "a", "b")
		for _, item := range []string{"a", "b"} {
			runs := f.runsOf(item)
			require.Len(t, runs, 2)
			require.NotEmpty(t, runs[1].after)
		}
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("k", "c")), "the job is forwarded")
		time.Sleep(6 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[1], "k"), "c")
	})
}

// Guards against lost progress of items when the only instance drains.
func TestDrainOfTheLastInstanceLeavesProgressInTheStore(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(time.Second)
		f.nodes[0].service.Drain(t.Context())
		f.nodes[0].stop()
		next := f.start("i9", "10.0.0.9")
		time.Sleep(12 * time.Second)
		requireCompleted(t, f.readAll(next, "j"), "a")
		require.NotEmpty(t, f.runsOf("a")[1].after)
	})
}

// Guards against items of an ended job that continue, start, or get results.
func TestEndedJobStops(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		var items []string
		for i := range 12 { // more items than the target has slots
			items = append(items, fmt.Sprintf("a%d", i))
		}
		sub := submission("j", items...)
		for i := range sub.Items {
			sub.Items[i].Tokens = 1
		}
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), sub))
		time.Sleep(500 * time.Millisecond)
		require.NoError(t, f.nodes[1].service.End(t.Context(), itemjob.Caller{}, "j"))
		time.Sleep(50 * time.Millisecond)
		_, owned := f.nodes[0].service.ReadOwned(t.Context(), itemjob.Caller{}, "j", 0, 0)
		require.False(t, owned, "the owner is notified at once")
		started := len(f.runs)
		time.Sleep(10 * time.Second)
		require.Len(t, f.runs, started)
		require.Empty(t, f.readAll(f.nodes[0], "j"))
		require.NoError(t, f.nodes[2].service.End(t.Context(), itemjob.Caller{}, "j"), "ending an ended job")
		_, _, err := f.nodes[0].service.Body(t.Context(), itemjob.Caller{}, "j", "a0")
		require.ErrorIs(t, err, itemjobs.ErrNotFound)
		require.ErrorIs(t, f.nodes[0].service.End(t.Context(), itemjob.Caller{}, "none"), itemjobs.ErrNotFound)
		require.NoError(t, f.nodes[2].service.Submit(t.Context(), sub), "a repeated submission of an accepted job")
	})
}

// Guards against items that run although their job was ended while an instance took it over: the notice of the end arrives when the record
// already names that instance as the owner, but its items are not loaded yet.
func TestJobThatEndsWhileItIsTakenOverDoesNotRun(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		time.Sleep(500 * time.Millisecond)
		f.kill(f.nodes[0])
		var ended sync.Once
		f.nodes[1].store.onGet(func(key string) { endOnLoad(t, &ended, key, f.nodes[2]) })
		f.nodes[2].store.onGet(func(key string) { endOnLoad(t, &ended, key, f.nodes[1]) })
		time.Sleep(6 * time.Second)
		for _, n := range f.nodes[1:] {
			_, owned := n.service.ReadOwned(t.Context(), itemjob.Caller{}, "j", 0, 0)
			require.False(t, owned)
		}
		require.Len(t, f.runsOf("a"), 1, "the run at the lost instance")
		require.Len(t, f.runsOf("b"), 1)
		require.Empty(t, f.readAll(f.nodes[1], "j"))
	})
}

// endOnLoad ends the job j at an instance, once, when key shows that another instance is loading the items of the job.
func endOnLoad(t *testing.T, ended *sync.Once, key string, at *node) {
	if strings.Contains(key, "/part/") {
		ended.Do(func() { require.NoError(t, at.service.End(t.Context(), itemjob.Caller{}, "j")) })
	}
}

// Guards against items that can never complete and are retried without limit, and against items that are given up before they failed MaxAttempts
// times.
func TestImpossibleItemsAreDeadLettered(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *testFleet) {
		f.status["bad"], f.status["failing"] = 422, 500
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "bad", "failing", "good")))
		time.Sleep(8 * time.Second)
		results := f.readAll(f.nodes[0], "j")
		require.Contains(t, results, itemjob.Result{Item: "bad"})
		require.Contains(t, results, itemjob.Result{Item: "failing"})
		require.Contains(t, results, itemjob.Result{Item: "good", Completed: true, Output: output("good")})
		require.Len(t, f.runsOf("bad"), 1)
		require.Len(t, f.runsOf("failing"), 3)
	})
}

// Guards against items that are given up because of responses which are neither a failure of the item nor say that it can never succeed, such as those
// of a target that is overloaded or of one that is no target of the service.
func TestOtherStatusesAreNoFailuresOfAnItem(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *testFleet) {
		statuses := map[string]int{"timeout": 504, "gateway": 502, "absent": 404, "nostream": 200}
		items := slices.Sorted(maps.Keys(statuses))
		f.setStatuses(statuses)
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", items...)))
		time.Sleep(20 * time.Second)
		require.Empty(t, f.readAll(f.nodes[0], "j"))
		for _, item := range items {
			require.Greater(t, len(f.runsOf(item)), 3, item)
			require.LessOrEqual(t, len(f.runsOf(item)), 21, item)
		}
		f.setStatuses(nil)
		time.Sleep(8 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[0], "j"), items...)
	})
}

// Guards against more waiting tokens on a route, summed over all instances, than its limit, and against a repeated submission that is rejected.
func TestTokenLimitHoldsOverAllInstances(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		items := func(prefix string, n int) []string {
			var list []string
			for i := range n {
				list = append(list, fmt.Sprintf("%s%d", prefix, i))
			}
			return list
		}
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", items("a", 6)...)))
		time.Sleep(time.Second)
		require.ErrorIs(t, f.nodes[1].service.Submit(t.Context(), submission("k", items("b", 6)...)), itemjobs.ErrTokenLimit)
		require.NoError(t, f.nodes[1].service.Submit(t.Context(), submission("l", items("c", 4)...)))
		require.NoError(t, f.nodes[1].service.Submit(t.Context(), submission("j", items("a", 6)...)), "a repeated submission")
		time.Sleep(10 * time.Second)
		require.NoError(t, f.nodes[1].service.Submit(t.Context(), submission("k", items("b", 6)...)))
	})
}

// Guards against items that keep their slots when online requests arrive, and against items that lose their events when they yield.
func TestItemsYieldToOnlineRequests(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		var items []string
		for i := range 7 {
			items = append(items, fmt.Sprintf("a%d", i))
		}
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", items...)))
		time.Sleep(time.Second)
		var online []interface{ Release() }
		for range 6 { // at the other instance
			reservation, _ := f.nodes[1].board.ReserveOnline("s", "q", nil)
			require.NotNil(t, reservation)
			online = append(online, reservation)
		}
		time.Sleep(100 * time.Millisecond)
		own := f.nodes[0].board.OwnCounts()
		require.Equal(t, slots.Count{Yieldable: 2}, own["t1"], "six of eight slots are used by online requests")
		time.Sleep(2 * time.Second)
		for _, reservation := range online {
			reservation.Release()
		}
		time.Sleep(8 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[0], "j"), items...)
		for _, item := range items {
			for _, again := range f.runsOf(item)[1:] {
				require.NotEmpty(t, again.after)
			}
		}
	})
}

// Guards against old jobs that fill the store.
func TestOldJobsAreRemoved(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(2 * time.Minute)
		requireCompleted(t, f.readAll(f.nodes[1], "j"), "a")
		time.Sleep(4 * time.Minute)
		listing, err := f.store.List(context.Background(), "/eelgrass/item-jobs/")
		require.NoError(t, err)
		require.Empty(t, listing.Items)
		_, err = f.nodes[1].service.Read(t.Context(), itemjob.Caller{}, "j", 0, 0)
		require.ErrorIs(t, err, itemjobs.ErrNotFound)
	})
}

// Guards against a job that two instances take over, and against the choice of a new owner that is not alive, when the owner restarts as a new
// process.
func TestNextProcessOfAnInstanceDoesNotOwnItsFormerJobs(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(500 * time.Millisecond)
		f.kill(f.nodes[0])
		f.network.Revive(f.nodes[0].address)
		f.start(fleet.InstanceID("i0"), "10.0.0.1")
		time.Sleep(10 * time.Second)
		requireCompleted(t, f.readAll(f.nodes[1], "j"), "a")
		requireCompleted(t, f.readAll(f.nodes[2], "j"), "a")
		require.Len(t, f.runsOf("a"), 2)
	})
}

// Guards against reads of a job without an owner that transfer all of its results each time. With many readers such reads filled the link
// between regions, so that no instance could take the jobs over.
func TestReadOfAJobWithoutAnOwnerTransfersOnlyLaterResults(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *testFleet) {
		sub := submission("j", manyItems()...) // has several groups of results, most of them with more than one result
		for i := range sub.Items {
			sub.Items[i].Tokens = 1
		}
		require.NoError(t, f.nodes[0].service.Submit(t.Context(), sub))
		time.Sleep(30 * time.Second)
		f.kill(f.nodes[0])
		next := f.start("i9", "10.0.0.9")
		all := f.readAll(next, "j")
		requireCompleted(t, all, manyItems()...)
		whole := next.store.resetListedBytes()
		require.NotZero(t, whole)
		groups := 0
		for after := range all {
			page, err := next.service.Read(t.Context(), itemjob.Caller{}, "j", after, 0)
			require.NoError(t, err)
			require.Equal(t, all[after:], page.Results, "from position %d", after)
			require.Equal(t, len(all), page.Next)
			require.Equal(t, len(all), page.Total)
			transferred := next.store.resetListedBytes()
			require.LessOrEqual(t, transferred, whole)
			if transferred < whole {
				groups, whole = groups+1, transferred
			}
		}
		require.Greater(t, groups, 1, "results before the position are not transferred")
		for _, after := range []int{len(all), len(all) + 5} {
			page, err := next.service.Read(t.Context(), itemjob.Caller{}, "j", after, 0)
			require.NoError(t, err)
			require.Empty(t, page.Results)
			require.Equal(t, after, page.Next)
			require.Zero(t, next.store.resetListedBytes(), "there are no results from position %d on", after)
		}
	})
}

// Guards against jobs that no instance takes over while the store is slow, because the calls for one job take longer than the scan of all open
// jobs.
func TestJobsAreTakenOverWithASlowStore(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		owner, successor := f.nodes[0], f.nodes[1]
		for _, job := range []string{"j", "k", "l"} {
			require.NoError(t, owner.service.Submit(t.Context(), submission(itemjob.ID(job), "a"+job)))
		}
		time.Sleep(500 * time.Millisecond)
		successor.store.setDelay(time.Second) // within the 1.5 s timeout of the client of the platform's store
		f.kill(owner)
		time.Sleep(30 * time.Second)
		for _, job := range []string{"j", "k", "l"} {
			page, owned := successor.service.ReadOwned(t.Context(), itemjob.Caller{}, itemjob.ID(job), 0, 0)
			require.True(t, owned, "job %s", job)
			requireCompleted(t, page.Results, "a"+job)
		}
	})
}
