package claims

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/core/claims"
	"github.com/stretchr/testify/require"
)

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Reports the store calls and record bytes of claimed requests. Guards against store calls per request that grow with the
// number of requests.
func TestCapacityOfClaims(t *testing.T) {
	for _, n := range []int{10, 100, 1_000} {
		t.Run(fmt.Sprintf("requests=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemStore(1)
				c := newTestClaimer(store, "instance-001")
				other := newTestClaimer(store, "instance-002")
				response := claims.Response{Status: 200, Body: []byte(strings.Repeat("a", 1_000))}
				before := heapBytes()
				held := make([]*Claim, n)
				for i := range held {
					held[i] = acquire(t, c, fmt.Sprint("key", i)).Claim
				}
				perClaim := float64(heapBytes()-before) / float64(n)
				for _, claim := range held {
					require.NoError(t, c.Complete(ctx, claim, response))
				}
				calls := c.StoreCalls()
				for i := range n {
					require.Equal(t, Replay, acquire(t, other, fmt.Sprint("key", i)).Kind)
				}
				resend := other.StoreCalls()
				bytes := 0
				for key, item := range store.items {
					bytes += len(key) + len(item.Value)
				}
				t.Logf("%d requests: %.3f writes, %.3f reads each; a resend %.3f writes, %.3f reads; %d bytes stored and %.0f bytes held each (the fake's own record included)",
					n, float64(calls.Writes)/float64(n), float64(calls.Reads)/float64(n), float64(resend.Writes)/float64(n),
					float64(resend.Reads)/float64(n), bytes/n, perClaim)
				require.EqualValues(t, 2*n, calls.Writes)
				require.EqualValues(t, n, resend.Writes)
				time.Sleep(time.Minute)
			})
		})
	}
}
