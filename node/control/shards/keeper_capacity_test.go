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

// whole adds the design size, which takes 20 s.
var whole = flag.Bool("capacity", false, "measure 370 instances as well")

func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// quietPasses makes passes without the checks of cluster.run, which cost more than the passes at 370 instances.
func (c *cluster) quietPasses(t *testing.T, d time.Duration) (calls, most int) {
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

// owned returns the number of shards that the instances own together.
func (c *cluster) owned(ids []fleet.InstanceID) int {
	total := 0
	for _, id := range ids {
		total += c.count(id)
	}
	return total
}

// Reports the store calls of shard ownership in quiet state, and the highest second after a store outage of a minute
// and after the loss of a failure domain; guards against a fleet whose shards do not all come back.
func TestCapacityOfShardOwnership(t *testing.T) {
	sizes := []int{8, 50}
	if *whole {
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
				_, mostStart := c.quietPasses(t, time.Minute)
				started := processorTime(t)
				calls, _ := c.quietPasses(t, 2*time.Minute)
				used := processorTime(t) - started
				c.store.SetDown(true)
				c.quietPasses(t, time.Minute)
				c.store.SetDown(false)
				recovery, most := c.quietPasses(t, time.Minute)
				require.Equal(t, batch.Shards, c.owned(ids))
				lost := max(n/9, 1)
				for _, id := range ids[:lost] {
					c.nodes[id].paused = true
				}
				c.alive = ids[lost:]
				takeover, mostLost := 0, 0
				for takeover < 90 && c.owned(ids[lost:]) < batch.Shards {
					_, calls := c.quietPasses(t, time.Second)
					mostLost = max(mostLost, calls)
					takeover++
				}
				require.Equal(t, batch.Shards, c.owned(ids[lost:]))
				t.Logf("loss of %d instances: every shard is owned again after %d s, %d calls in the highest second", lost, takeover, mostLost)
				t.Logf("start: %d calls in the highest second; quiet: %.2f calls/s, %.0f us of processor time per node and second; recovery: %d calls in the highest second, %d in a minute",
					mostStart, float64(calls)/120, float64(used.Microseconds())/120/float64(n), most, recovery)
			})
		})
	}
}
