package itemjobs_test

import (
	"context"
	"fmt"
	"net/http"
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

// inWorld runs a test with a fleet in virtual time.
func inWorld(t *testing.T, instances int, test func(*testing.T, *world)) {
	inWorldWith(t, instances, false, test)
}

// inWorldWith is inWorld with a choice of how instances find out that the store is unreachable: with reach from failed calls, as in production;
// otherwise at once.
func inWorldWith(t *testing.T, instances int, reach bool, test func(*testing.T, *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, instances, reach)
		defer w.close()
		test(t, w)
	})
}

// Guards against results that are missing, different or at other positions when they are read at another instance.
func TestJobIsReadableEverywhere(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a", "b", "c")))
		for _, n := range w.nodes {
			page, err := n.service.Read(t.Context(), "j", 0, 0)
			require.NoError(t, err)
			require.Equal(t, 3, page.Total)
			body, err := n.service.Body(t.Context(), "j", "b")
			require.NoError(t, err)
			require.Equal(t, "body of b", string(body))
		}
		time.Sleep(5 * time.Second)
		first := w.readAll(w.nodes[0], "j")
		completed(t, first, "a", "b", "c")
		for _, n := range w.nodes[1:] {
			require.Equal(t, first, w.readAll(n, "j"))
		}
		page, err := w.nodes[1].service.Read(t.Context(), "j", 2, 0)
		require.NoError(t, err)
		require.Equal(t, first[2:], page.Results)
		require.Equal(t, 3, page.Next)
		_, err = w.nodes[1].service.Read(t.Context(), "none", 0, 0)
		require.ErrorIs(t, err, itemjobs.ErrNotFound)
		for _, item := range []string{"a", "b", "c"} {
			require.Len(t, w.runsOf(item), 1)
		}
	})
}

// Guards against readers that have to poll for results, and against a read that waits although there are results.
func TestReaderWaitsForTheNextResult(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		started := time.Now()
		page, err := w.nodes[1].service.Read(t.Context(), "j", 0, 5*time.Second)
		require.NoError(t, err)
		completed(t, page.Results, "a")
		require.Less(t, time.Since(started), 5*time.Second)
		started = time.Now()
		_, err = w.nodes[1].service.Read(t.Context(), "j", 1, 5*time.Second)
		require.NoError(t, err)
		require.Less(t, time.Since(started), time.Second, "the job is complete")
	})
}

// Guards against a job that is accepted twice when its client submits it again at another instance.
func TestRepeatedSubmissionIsTheSameJob(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		for _, n := range []*node{w.nodes[0], w.nodes[1], w.nodes[0]} {
			require.NoError(t, n.service.Submit(t.Context(), submission("j", "a")))
		}
		time.Sleep(5 * time.Second)
		require.Len(t, w.runsOf("a"), 1)
		require.NoError(t, w.nodes[1].service.Submit(t.Context(), submission("j", "a")), "a repeated submission of a complete job")
	})
}

// Guards against a job that is lost, or rejected as not run, when the store's response to its write is lost.
func TestLostAnswerToASubmission(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		lost := 1
		w.store.OnTxn(nil, func(kv.Txn) error {
			if lost--; lost >= 0 {
				return kv.ErrOutcomeUnknown
			}
			return nil
		})
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(5 * time.Second)
		completed(t, w.readAll(w.nodes[1], "j"), "a")
		require.Len(t, w.runsOf("a"), 1)

		w.store.OnTxn(nil, func(txn kv.Txn) error {
			if strings.Contains(txn.Compares[0].Key, "/record/k") {
				return kv.ErrOutcomeUnknown
			}
			return nil
		})
		err := w.nodes[0].service.Submit(t.Context(), submission("k", "b"))
		require.ErrorIs(t, err, itemjobs.ErrOutcomeUnknown, "the job may run, so that the error must not say that it does not")
		w.store.OnTxn(nil, nil)
		time.Sleep(10 * time.Second)
		completed(t, w.readAll(w.nodes[1], "k"), "b")
	})
}

// Guards against results that are recorded twice when the store's response to their write is lost.
func TestLostAnswerToResults(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		lost := 2
		w.store.OnTxn(nil, func(txn kv.Txn) error {
			if len(txn.Compares) == 2 && lost > 0 {
				lost--
				return kv.ErrOutcomeUnknown
			}
			return nil
		})
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		time.Sleep(8 * time.Second)
		completed(t, w.readAll(w.nodes[1], "j"), "a", "b")
		require.Zero(t, lost)
		require.Len(t, w.runsOf("a"), 1)
	})
}

// Guards against jobs that do not continue when their owner is lost, and against items that run again although their results were recorded.
func TestJobOfALostInstanceGoesOn(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		time.Sleep(time.Second)
		w.kill(w.nodes[0])
		time.Sleep(8 * time.Second)
		completed(t, w.readAll(w.nodes[1], "j"), "a", "b")
		require.Equal(t, w.readAll(w.nodes[1], "j"), w.readAll(w.nodes[2], "j"))
		require.Len(t, w.runsOf("a"), 2)
	})
}

// Guards against running items that restart from the beginning after the loss of all instances, and against progress that is never deleted from
// the store.
func TestItemsGoOnAfterTheLossOfAllInstances(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a", "b", "c", "d")))
		time.Sleep(3 * time.Second)
		for _, n := range w.nodes {
			w.kill(n)
		}
		next := w.start("i9", "10.0.0.9")
		time.Sleep(10 * time.Second)
		completed(t, w.readAll(next, "j"), "a", "b", "c", "d")
		require.NotEmpty(t, w.runsOf("a")[1].after)
		_, err := w.store.Get(t.Context(), "/eelgrass/item-jobs/partial/j")
		require.ErrorIs(t, err, kv.ErrNotFound)
	})
}

// Guards against a former owner that does not know that it was replaced and runs items of a job after its client ended it at the new owner.
func TestReplacedOwnerIsTold(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		time.Sleep(500 * time.Millisecond)
		_, err := w.nodes[0].client.Do(t.Context(), http.MethodPost, w.nodes[1].address, "/v1/item-jobs/j/adopt", nil, []byte("{}"), time.Second)
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
		_, owned := w.nodes[0].service.ReadOwned(t.Context(), "j", 0, 0)
		require.False(t, owned)
		require.NoError(t, w.nodes[0].service.End(t.Context(), "j"))
		started := len(w.runs)
		time.Sleep(8 * time.Second)
		require.Len(t, w.runs, started)
	})
}

// Guards against a partitioned owner that adds results to a job that another instance has taken over.
func TestReplacedOwnerAddsNothing(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a", "b", "c")))
		others := []string{w.nodes[1].address, w.nodes[2].address}
		w.network.Partition([]string{w.nodes[0].address}, others)
		w.nodes[0].store.set(true)
		time.Sleep(8 * time.Second)
		taken := w.readAll(w.nodes[1], "j")
		completed(t, taken, "a", "b", "c")
		w.nodes[0].store.set(false)
		w.network.Heal()
		time.Sleep(4 * time.Second)
		require.Equal(t, taken, w.readAll(w.nodes[0], "j"))
		require.Equal(t, taken, w.readAll(w.nodes[2], "j"))
	})
}

// Guards against an instance that does not reach the store and keeps its jobs, whose results it cannot record, or rejects new jobs, although a
// peer reaches the store.
func TestJobsMoveToAnInstanceThatReachesTheStore(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(time.Second)
		w.nodes[0].store.set(true)
		time.Sleep(time.Second)
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("k", "b")), "the job is forwarded")
		time.Sleep(8 * time.Second)
		completed(t, w.readAll(w.nodes[1], "j"), "a")
		completed(t, w.readAll(w.nodes[1], "k"), "b")
		runs := w.runsOf("a")
		require.Len(t, runs, 2)
		require.NotEmpty(t, runs[1].after, "it continues from its progress")
	})
}

// Guards against a job that runs although it was rejected as not run because no instance reached the store.
func TestJobIsRefusedWithoutTheStore(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.store.SetDown(true)
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			n.store.set(true)
		}
		time.Sleep(time.Second)
		require.ErrorIs(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a")), itemjobs.ErrUnavailable)
		w.store.SetDown(false)
		for _, n := range w.nodes {
			n.store.set(false)
		}
		time.Sleep(10 * time.Second)
		require.Empty(t, w.runsOf("a"))
	})
}

// Guards against a drain that loses the progress of items, or leaves a job without an owner.
func TestDrainHandsJobsOver(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		time.Sleep(time.Second)
		w.nodes[0].service.Drain(t.Context())
		time.Sleep(6 * time.Second)
		completed(t, w.readAll(w.nodes[1], "j"), "a", "b")
		for _, item := range []string{"a", "b"} {
			runs := w.runsOf(item)
			require.Len(t, runs, 2)
			require.NotEmpty(t, runs[1].after)
		}
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("k", "c")), "the job is forwarded")
		time.Sleep(6 * time.Second)
		completed(t, w.readAll(w.nodes[1], "k"), "c")
	})
}

// Guards against lost progress of items when the only instance drains.
func TestDrainOfTheLastInstanceLeavesProgressInTheStore(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(time.Second)
		w.nodes[0].service.Drain(t.Context())
		w.nodes[0].stop()
		next := w.start("i9", "10.0.0.9")
		time.Sleep(12 * time.Second)
		completed(t, w.readAll(next, "j"), "a")
		require.NotEmpty(t, w.runsOf("a")[1].after)
	})
}

// Guards against items of an ended job that continue, start, or get results.
func TestEndedJobStops(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		var items []string
		for i := range 12 { // more items than the target has slots
			items = append(items, fmt.Sprintf("a%d", i))
		}
		sub := submission("j", items...)
		for i := range sub.Items {
			sub.Items[i].Tokens = 1
		}
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), sub))
		time.Sleep(500 * time.Millisecond)
		require.NoError(t, w.nodes[1].service.End(t.Context(), "j"))
		time.Sleep(50 * time.Millisecond)
		_, owned := w.nodes[0].service.ReadOwned(t.Context(), "j", 0, 0)
		require.False(t, owned, "the owner is notified at once")
		started := len(w.runs)
		time.Sleep(10 * time.Second)
		require.Len(t, w.runs, started)
		require.Empty(t, w.readAll(w.nodes[0], "j"))
		require.NoError(t, w.nodes[2].service.End(t.Context(), "j"), "ending an ended job")
		_, err := w.nodes[0].service.Body(t.Context(), "j", "a0")
		require.ErrorIs(t, err, itemjobs.ErrNotFound)
		require.ErrorIs(t, w.nodes[0].service.End(t.Context(), "none"), itemjobs.ErrNotFound)
		require.NoError(t, w.nodes[2].service.Submit(t.Context(), sub), "a repeated submission of an accepted job")
	})
}

// Guards against items that run although their job was ended while an instance took it over: the notice of the end arrives when the record
// already names that instance as the owner, but its items are not loaded yet.
func TestJobThatEndsWhileItIsTakenUpDoesNotRun(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a", "b")))
		time.Sleep(500 * time.Millisecond)
		w.kill(w.nodes[0])
		var ended sync.Once
		w.nodes[1].store.onGet(func(key string) { endOnLoad(t, &ended, key, w.nodes[2]) })
		w.nodes[2].store.onGet(func(key string) { endOnLoad(t, &ended, key, w.nodes[1]) })
		time.Sleep(6 * time.Second)
		for _, n := range w.nodes[1:] {
			_, owned := n.service.ReadOwned(t.Context(), "j", 0, 0)
			require.False(t, owned)
		}
		require.Len(t, w.runsOf("a"), 1, "the run at the lost instance")
		require.Len(t, w.runsOf("b"), 1)
		require.Empty(t, w.readAll(w.nodes[1], "j"))
	})
}

// endOnLoad ends the job j at an instance, once, when key shows that another instance is loading the items of the job.
func endOnLoad(t *testing.T, ended *sync.Once, key string, at *node) {
	if strings.Contains(key, "/part/") {
		ended.Do(func() { require.NoError(t, at.service.End(t.Context(), "j")) })
	}
}

// Guards against items that can never complete and are retried without limit, and against items that are given up before they failed MaxAttempts
// times.
func TestImpossibleItemsAreDeadLettered(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		w.status["bad"], w.status["failing"] = 422, 500
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "bad", "failing", "good")))
		time.Sleep(8 * time.Second)
		results := w.readAll(w.nodes[0], "j")
		require.Contains(t, results, itemjob.Result{Item: "bad"})
		require.Contains(t, results, itemjob.Result{Item: "failing"})
		require.Contains(t, results, itemjob.Result{Item: "good", Completed: true, Output: output("good")})
		require.Len(t, w.runsOf("bad"), 1)
		require.Len(t, w.runsOf("failing"), 3)
	})
}

// Guards against more waiting tokens on a route, summed over all instances, than its limit, and against a repeated submission that is rejected.
func TestTokenLimitHoldsOverAllInstances(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		items := func(prefix string, n int) []string {
			var list []string
			for i := range n {
				list = append(list, fmt.Sprintf("%s%d", prefix, i))
			}
			return list
		}
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", items("a", 6)...)))
		time.Sleep(time.Second)
		require.ErrorIs(t, w.nodes[1].service.Submit(t.Context(), submission("k", items("b", 6)...)), itemjobs.ErrNoRoom)
		require.NoError(t, w.nodes[1].service.Submit(t.Context(), submission("l", items("c", 4)...)))
		require.NoError(t, w.nodes[1].service.Submit(t.Context(), submission("j", items("a", 6)...)), "a repeated submission")
		time.Sleep(10 * time.Second)
		require.NoError(t, w.nodes[1].service.Submit(t.Context(), submission("k", items("b", 6)...)))
	})
}

// Guards against items that keep their slots when online requests arrive, and against items that lose their events when they yield.
func TestItemsGiveWayToOnlineRequests(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		var items []string
		for i := range 7 {
			items = append(items, fmt.Sprintf("a%d", i))
		}
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", items...)))
		time.Sleep(time.Second)
		var online []interface{ Release() }
		for range 6 { // at the other instance
			held, _ := w.nodes[1].board.Online("s", "q", nil)
			require.NotNil(t, held)
			online = append(online, held)
		}
		time.Sleep(100 * time.Millisecond)
		own := w.nodes[0].board.Own()
		require.Equal(t, slots.Count{Yieldable: 2}, own["t1"], "six of eight slots are used by online requests")
		time.Sleep(2 * time.Second)
		for _, held := range online {
			held.Release()
		}
		time.Sleep(8 * time.Second)
		completed(t, w.readAll(w.nodes[0], "j"), items...)
		for _, item := range items {
			for _, again := range w.runsOf(item)[1:] {
				require.NotEmpty(t, again.after)
			}
		}
	})
}

// Guards against old jobs that fill the store.
func TestOldJobsAreRemoved(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(2 * time.Minute)
		completed(t, w.readAll(w.nodes[1], "j"), "a")
		time.Sleep(4 * time.Minute)
		listing, err := w.store.List(context.Background(), "/eelgrass/item-jobs/")
		require.NoError(t, err)
		require.Empty(t, listing.Items)
		_, err = w.nodes[1].service.Read(t.Context(), "j", 0, 0)
		require.ErrorIs(t, err, itemjobs.ErrNotFound)
	})
}

// Guards against a job that two instances take over, and against the choice of a new owner that is not alive, when the owner restarts as a new
// process.
func TestNextProcessOfAnInstanceDoesNotOwnItsJobsUnasked(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), submission("j", "a")))
		time.Sleep(500 * time.Millisecond)
		w.kill(w.nodes[0])
		w.network.Revive(w.nodes[0].address)
		w.start(fleet.InstanceID("i0"), "10.0.0.1")
		time.Sleep(10 * time.Second)
		completed(t, w.readAll(w.nodes[1], "j"), "a")
		completed(t, w.readAll(w.nodes[2], "j"), "a")
		require.Len(t, w.runsOf("a"), 2)
	})
}

// Guards against reads of a job without an owner that transfer all of its results each time. With many readers such reads filled the link
// between regions, so that no instance could take the jobs over.
func TestReadOfAJobWithoutAnOwnerTransfersOnlyWhatFollows(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		sub := submission("j", severalTimesTheSlots()...) // has several groups of results, most of them with more than one result
		for i := range sub.Items {
			sub.Items[i].Tokens = 1
		}
		require.NoError(t, w.nodes[0].service.Submit(t.Context(), sub))
		time.Sleep(30 * time.Second)
		w.kill(w.nodes[0])
		next := w.start("i9", "10.0.0.9")
		all := w.readAll(next, "j")
		completed(t, all, severalTimesTheSlots()...)
		whole := next.store.bytesListed()
		require.NotZero(t, whole)
		groups := 0
		for after := range all {
			page, err := next.service.Read(t.Context(), "j", after, 0)
			require.NoError(t, err)
			require.Equal(t, all[after:], page.Results, "from position %d", after)
			require.Equal(t, len(all), page.Next)
			require.Equal(t, len(all), page.Total)
			transferred := next.store.bytesListed()
			require.LessOrEqual(t, transferred, whole)
			if transferred < whole {
				groups, whole = groups+1, transferred
			}
		}
		require.Greater(t, groups, 1, "results before the position are not transferred")
		for _, after := range []int{len(all), len(all) + 5} {
			page, err := next.service.Read(t.Context(), "j", after, 0)
			require.NoError(t, err)
			require.Empty(t, page.Results)
			require.Equal(t, after, page.Next)
			require.Zero(t, next.store.bytesListed(), "there are no results from position %d on", after)
		}
	})
}

// Guards against jobs that no instance takes over while the store is slow, because the calls for one job take longer than the scan of all open
// jobs.
func TestJobsAreTakenUpFromASlowStore(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		owner, successor := w.nodes[0], w.nodes[1]
		for _, job := range []string{"j", "k", "l"} {
			require.NoError(t, owner.service.Submit(t.Context(), submission(itemjob.ID(job), "a"+job)))
		}
		time.Sleep(500 * time.Millisecond)
		successor.store.slow(time.Second) // within the 1.5 s timeout of the client of the platform's store
		w.kill(owner)
		time.Sleep(30 * time.Second)
		for _, job := range []string{"j", "k", "l"} {
			page, owned := successor.service.ReadOwned(t.Context(), itemjob.ID(job), 0, 0)
			require.True(t, owned, "job %s", job)
			completed(t, page.Results, "a"+job)
		}
	})
}
