package shards_test

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/core/batch"
	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/require"
)

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
			_ = c.nodes[id].keeper.Reconcile(t.Context())
		}
		synctest.Wait()
		most = max(most, c.store.Calls()-before)
	}
	return c.store.Calls() - first, most
}

// Reports the store calls of shard ownership in quiet state, and the highest second after a store outage of a minute; guards against
// a fleet whose shards do not all come back.
func TestCapacityOfShardOwnership(t *testing.T) {
	for _, n := range []int{8, 50, 370} {
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
				owned := 0
				for _, id := range ids {
					owned += c.count(id)
				}
				require.Equal(t, batch.Shards, owned)
				t.Logf("start: %d calls in the highest second; quiet: %.2f calls/s, %.0f us of processor time per node and second; recovery: %d calls in the highest second, %d in a minute",
					mostStart, float64(calls)/120, float64(used.Microseconds())/120/float64(n), most, recovery)
			})
		})
	}
}
