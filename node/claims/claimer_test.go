package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassproxy.example/core/claims"
	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/require"
)

var ctx = context.Background()

func allAlive(fleet.InstanceID, uint64) claims.Liveness { return claims.Alive }

func newTestClaimer(store *memStore, id fleet.InstanceID) *Claimer {
	return New(store, Config{Self: claims.Owner{Instance: id, Incarnation: 1}, Liveness: allAlive})
}

func requestFor(key string) Request {
	return Request{Caller: "caller", IdempotencyKey: key, Operation: "orders/create", Digest: "digest"}
}

func acquire(t *testing.T, c *Claimer, key string) Result {
	result, err := c.Acquire(ctx, requestFor(key))
	require.NoError(t, err)
	return result
}

var answer = claims.Response{Status: 201, ContentType: "application/json", Body: []byte(`{"order":7}`)}

// Guards against additional store calls per request: the store handles only several hundred writes per second for the
// whole fleet.
func TestStoreCallsForEachRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore(1)
		c, other := newTestClaimer(store, "i1"), newTestClaimer(store, "i2")
		require.NoError(t, c.Controller().Reconcile(ctx))
		require.NoError(t, other.Controller().Reconcile(ctx))

		require.NoError(t, c.Complete(ctx, acquire(t, c, "new").Claim, answer))
		require.Equal(t, StoreCalls{Writes: 2, Leases: 1}, c.StoreCalls(), "a new request")

		require.Equal(t, Result{Kind: Replay, Answer: answer}, acquire(t, other, "new"))
		require.Equal(t, StoreCalls{Writes: 1, Leases: 1}, other.StoreCalls(), "a resend after the response")

		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				result := acquire(t, c, "same")
				if result.Kind == Run {
					time.Sleep(time.Second)
					require.NoError(t, c.Complete(ctx, result.Claim, answer))
					return
				}
				require.Equal(t, Result{Kind: Replay, Answer: answer}, result)
			})
		}
		group.Wait()
		require.Equal(t, StoreCalls{Writes: 4, Leases: 1}, c.StoreCalls(), "fifty concurrent requests with one key")

		held := acquire(t, c, "elsewhere").Claim
		time.AfterFunc(10*time.Second, func() { _ = c.Complete(ctx, held, answer) })
		short, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		result, err := other.Acquire(short, requestFor("elsewhere"))
		require.NoError(t, err)
		require.Equal(t, Result{Kind: InProgress, RetryAfter: retryAfter}, result)
		require.Equal(t, Replay, acquire(t, other, "elsewhere").Kind)
		calls := other.StoreCalls()
		require.EqualValues(t, 3, calls.Writes)
		require.LessOrEqual(t, calls.Reads, int64(20), "polls during two waits of up to 10 s")
	})
}

// Guards against responses that are lost and requests that run again when the store fails after the claim, and against
// unbounded memory use during an outage.
func TestOutcomesAreKeptThroughAnOutageWithinABound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore(1)
		c := New(store, Config{
			Self:           claims.Owner{Instance: "i1", Incarnation: 1},
			Liveness:       allAlive,
			MaxOutstanding: 2,
		})
		first, second := acquire(t, c, "first").Claim, acquire(t, c, "second").Claim
		store.outages = []window{{0, time.Hour}}
		require.NoError(t, c.Complete(ctx, first, answer))
		require.ErrorIs(t, c.Complete(ctx, first, answer), ErrClaimEnded)
		require.NoError(t, c.Abandon(ctx, second))
		calls := c.StoreCalls()
		require.Equal(t, Result{Kind: Replay, Answer: answer}, acquire(t, c, "first"))
		require.Equal(t, Result{Kind: Unknown}, acquire(t, c, "second"))
		require.Equal(t, calls, c.StoreCalls(), "results come from memory")

		_, err := c.Acquire(ctx, requestFor("third"))
		require.ErrorIs(t, err, ErrNotRun)
		require.Equal(t, calls, c.StoreCalls(), "refused before any store call, because there is no room for its outcome")
		require.Error(t, c.Controller().Reconcile(ctx))
		require.Equal(t, 2, c.Pending())

		store.endFaults()
		require.NoError(t, c.Controller().Reconcile(ctx))
		require.Zero(t, c.Pending())
		other := newTestClaimer(store, "i2")
		require.Equal(t, Result{Kind: Replay, Answer: answer}, acquire(t, other, "first"))
		require.Equal(t, Result{Kind: Unknown}, acquire(t, other, "second"))
	})
}

// Guards against a resend that has to wait for the controller although this instance has recorded that the request was not
// run, and against a resend that takes over a claim whose request may be running.
func TestResendTakesOverAnUnconfirmedClaimThatWasRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore(1)
		c, other := newTestClaimer(store, "i1"), newTestClaimer(store, "i2")
		store.failNext = true
		_, err := c.Acquire(ctx, requestFor("k"))
		require.ErrorIs(t, err, ErrNotRun)
		require.Equal(t, 1, c.Pending())
		time.Sleep(2 * time.Second)

		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		result, err := other.Acquire(short, requestFor("k"))
		require.NoError(t, err)
		require.Equal(t, InProgress, result.Kind, "only the claiming instance has the information that the request was not run")
		claim := acquire(t, c, "k").Claim
		require.NotNil(t, claim)
		require.NoError(t, c.Controller().Reconcile(ctx))
		require.Zero(t, c.Pending(), "the second claim makes the release of the first attempt unnecessary")
		require.NoError(t, c.Complete(ctx, claim, answer))
		require.Equal(t, Replay, acquire(t, other, "k").Kind)
	})
}

// Guards against a request that runs after a caller was told that its outcome is unknown: the outcome must be recorded as
// unknown in the store first, and an owner that recovers must not undo this with a release.
func TestOutcomeIsReportedUnknownOnlyAfterItIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore(1)
		owner := newTestClaimer(store, "i1")
		outage := time.Second
		dead := func(fleet.InstanceID, uint64) claims.Liveness {
			now := time.Since(store.started)
			store.outages = []window{{now, now + outage}} // between the read and the write of the unknown outcome
			return claims.Dead
		}
		peer := New(store, Config{Self: claims.Owner{Instance: "i2", Incarnation: 1}, Liveness: dead})

		claim := acquire(t, owner, "k").Claim
		require.Equal(t, InProgress, acquire(t, peer, "k").Kind)
		time.Sleep(2 * time.Second)
		require.NoError(t, owner.Release(ctx, claim))
		claim = acquire(t, peer, "k").Claim
		require.NotNil(t, claim, "released")
		require.NoError(t, peer.Release(ctx, claim))

		outage = 0
		claim = acquire(t, owner, "k").Claim
		require.Equal(t, Unknown, acquire(t, peer, "k").Kind)
		require.NoError(t, owner.Release(ctx, claim))
		require.Equal(t, Unknown, acquire(t, owner, "k").Kind)
	})
}

// Guards against claims that expire early, and against a lease grant for each claim.
func TestOneLeaseServesAnHourAndLongerWhileTheStoreGrantsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore(1)
		c := newTestClaimer(store, "i1")
		run := func(key string) error {
			result, err := c.Acquire(ctx, requestFor(key))
			if err != nil {
				return err
			}
			return c.Release(ctx, result.Claim)
		}
		for i := range 3 * 60 {
			require.NoError(t, c.Controller().Reconcile(ctx))
			require.NoError(t, run(fmt.Sprint(i)))
			time.Sleep(time.Minute)
		}
		require.Equal(t, []time.Duration{48 * time.Hour, 48 * time.Hour, 48 * time.Hour}, store.ttls)
		require.NoError(t, run("an old lease serves on"))
		time.Sleep(maxLeaseAge)
		require.NoError(t, run("a lease that is too old is replaced first"))
		require.Len(t, store.ttls, 4)
	})
}
