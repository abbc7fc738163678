package itemjobs_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
)

// silentPart returns pauses of targets that are all silent for silence of every period.
func silentPart(silence, period time.Duration) pauseFunc {
	return func(string, int, bool) time.Duration {
		pause := 150 * time.Millisecond
		if into := time.Duration(time.Now().Add(pause).UnixNano()) % period; into < silence {
			pause += silence - into
		}
		return pause
	}
}

// pauseSeries returns pauses of 0.2 to 1.5 s before every third event of a run, by the item, the event and the time of day.
func pauseSeries(item string, event int, _ bool) time.Duration {
	if event%3 != 0 {
		return 100 * time.Millisecond
	}
	h := fnv.New32a()
	fmt.Fprint(h, item, event, time.Now().Second())
	return 200*time.Millisecond + time.Duration(h.Sum32()%1300)*time.Millisecond
}

// Guards against items that are given up, listed late or begun again and again because their targets fall silent for about a second at a time.
func TestItemsAtTargetsThatFallSilentComplete(t *testing.T) {
	for name, pauses := range map[string]pauseFunc{"1.2 s of every 3 s": silentPart(1200*time.Millisecond, 3*time.Second), "series of pauses": pauseSeries} {
		for _, targets := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d targets", name, targets), func(t *testing.T) {
				withFleet(t, 2, func(t *testing.T, f *testFleet) {
					list := []slots.Target{testTarget("t1", "s", targetSlots)}
					for i := 2; i <= targets; i++ {
						list = append(list, f.addTarget(fleet.TargetID(fmt.Sprint("t", i)), fmt.Sprintf("10.9.0.%d", i), false))
					}
					for _, n := range f.nodes {
						n.board.SetTargets(list)
					}
					f.setPauses(pauses)
					var items []string
					for i := range 8 {
						items = append(items, fmt.Sprint("a", i))
					}
					sub := submission("j", items...)
					require.NoError(t, f.nodes[0].service.Submit(t.Context(), sub))
					time.Sleep(sub.Route.JobObjective)
					requireCompleted(t, f.readAll(f.nodes[1], "j"), items...)
					for _, item := range items {
						require.LessOrEqual(t, len(f.runsOf(item)), 3, "runs of %s", item)
					}
				})
			})
		}
	}
}

// Guards against jobs that are lost, refused or listed incomplete while the store or the other instances take over a second for each answer: at their
// submission, while they run, and when their owner drains.
func TestJobsOutlastSilentStoresAndPeers(t *testing.T) {
	const silence = 1200 * time.Millisecond
	for name, silent := range map[string]struct{ store, peers bool }{"store": {store: true}, "peers": {peers: true}, "both": {true, true}} {
		t.Run(name, func(t *testing.T) {
			withFleetDetecting(t, 3, true, func(t *testing.T, f *testFleet) {
				fallSilent := func() {
					for _, n := range f.nodes {
						if silent.store {
							n.store.setDelay(silence)
							time.AfterFunc(silence, func() { n.store.setDelay(0) })
						}
						for _, other := range f.nodes {
							if silent.peers && other != n {
								f.network.Partition([]string{n.address}, []string{other.address})
							}
						}
					}
					time.AfterFunc(silence, f.network.Heal)
				}
				fallSilent()
				time.Sleep(100 * time.Millisecond)
				require.NoError(t, f.nodes[0].service.Submit(t.Context(), submission("j", "a", "b", "c")))
				for range 2 {
					time.Sleep(1500 * time.Millisecond)
					fallSilent()
				}
				time.Sleep(100 * time.Millisecond)
				f.nodes[0].service.Drain(t.Context())
				time.Sleep(18 * time.Second)
				for _, n := range f.nodes[1:] {
					requireCompleted(t, f.readAll(n, "j"), "a", "b", "c")
				}
			})
		})
	}
}
