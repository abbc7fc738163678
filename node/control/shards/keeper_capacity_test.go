package shards_test

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/require"
)

// designSize adds a run at the design size, which takes 20 s.
var designSize = flag.Bool("capacity", false, "also measure 370 instances")

func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// runUnchecked runs passes for the given time without the checks of cluster.run, which at 370 instances take longer than the passes. It
// returns the number of store calls and the most in one second.
func (c *cluster) runUnchecked(t *testing.T, d time.Duration) (calls, most int) {
	first := c.store.Calls()
	for range int(d / time.Second) {
		before := c.store.Calls()
		time.Sleep(time.Second)
		for _, id := range c.order {
			if n := c.nodes[id]; !n.paused {
				_ = n.keeper.Reconcile(t.Context())
			}
		}
		synctest.Wait()
		most = max(most, c.store.Calls()-before)
	}
	return c.store.Calls() - first, most
}

// totalOwned returns the total number of shards that the instances own.
func (c *cluster) totalOwned(ids []fleet.InstanceID) int {
	total := 0
	for _, id := range ids {
		total += c.ownedCount(id)
	}
	return total
}

// Reports the store calls of shard ownership in the steady state, and the highest number of calls in one second after a store outage of
// one minute and after the loss of a failure domain. Guards against shards that stay without an owner afterwards.
func TestCapacityOfShardOwnership(t *testing.T) {
	sizes := []int{8, 50}
	if *designSize {
		sizes = append(sizes, 370)
	}
	for _, n := range sizes {
		t.Run(fmt.Sprintf("instances=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ids []fleet.InstanceID
				for i := range n {
					ids = append(ids, fleet.InstanceID(fmt.Sprintf("instance-%03d", i)))
				}
				c := newCluster(t, ids...)
				_, mostStart := c.runUnchecked(t, time.Minute)
				started := processorTime(t)
				calls, _ := c.runUnchecked(t, 2*time.Minute)
				used := processorTime(t) - started
				c.store.SetDown(true)
				c.runUnchecked(t, time.Minute)
				c.store.SetDown(false)
				recovery, most := c.runUnchecked(t, time.Minute)
				require.Equal(t, batch.Shards, c.totalOwned(ids))
				lost := max(n/9, 1)
				for _, id := range ids[:lost] {
					c.nodes[id].paused = true
				}
				c.alive = ids[lost:]
				takeover, mostLost := 0, 0
				for takeover < 90 && c.totalOwned(ids[lost:]) < batch.Shards {
					_, calls := c.runUnchecked(t, time.Second)
					mostLost = max(mostLost, calls)
					takeover++
				}
				require.Equal(t, batch.Shards, c.totalOwned(ids[lost:]))
				t.Logf("loss of %d instances: every shard is owned again after %d s, at most %d calls in one second", lost, takeover, mostLost)
				t.Logf("start: at most %d calls in one second; steady state: %.2f calls/s, %.0f us of processor time per node and second; recovery: at most %d calls in one second, %d in a minute",
					mostStart, float64(calls)/120, float64(used.Microseconds())/120/float64(n), most, recovery)
			})
		})
	}
}
