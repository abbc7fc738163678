package membership

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/internal/memkv"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"
)

// Reports the store calls for membership records without changes and after an outage of the store. Guards against records that are not
// restored.
func TestCapacityOfMembershipRecords(t *testing.T) {
	klog.LogToStderr(false) // each of 370 instances logs a lost lease
	klog.SetOutput(io.Discard)
	t.Cleanup(func() { klog.LogToStderr(true) })
	for _, n := range []int{8, 50, 370} {
		t.Run(fmt.Sprintf("instances=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memkv.New()
				registrars := make([]*Registrar, n)
				for i := range registrars {
					self := fleet.Member{ID: fleet.InstanceID(fmt.Sprintf("instance-%03d", i)), Incarnation: 1, FailureDomain: "a",
						PeerAddress: "10.0.0.1:1", CallerAddress: "10.0.0.1:2"}
					view := NewView(self, membership.Options{}, rand.New(rand.NewPCG(uint64(i), 1)), blackboard.New(), nil)
					registrars[i] = NewRegistrar(view, store)
				}
				// passes runs each registrar every 5 s, at its own offset, and returns the store calls in total and in the busiest second.
				passes := func(seconds int) (calls, most int) {
					first := store.Calls()
					for second := range seconds {
						before := store.Calls()
						time.Sleep(time.Second)
						for i, r := range registrars {
							if (second+i)%int(RegisterInterval/time.Second) == 0 {
								_ = r.Reconcile(t.Context())
							}
						}
						most = max(most, store.Calls()-before)
					}
					return store.Calls() - first, most
				}
				passes(30)
				quiet, _ := passes(60)
				store.SetDown(true)
				passes(120)
				store.SetDown(false)
				_, most := passes(120)
				listing, err := store.List(t.Context(), MembersPrefix)
				require.NoError(t, err)
				require.Len(t, listing.Items, n)
				bytes := 0
				for _, item := range listing.Items {
					bytes += len(item.Key) + len(item.Value)
				}
				t.Logf("quiet: %.2f calls/s; recovery: %d calls in the highest second; a listing has %d bytes of keys and values", float64(quiet)/60, most, bytes)
			})
		})
	}
}
