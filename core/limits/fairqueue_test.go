package limits

import (
	"fmt"
	"testing"
	"time"

	"eelgrassproxy.example/core/fleet"
	"github.com/stretchr/testify/require"
)

func push(t *testing.T, q *FairQueue[int], caller fleet.CallerID, weight float64) *Waiting[int] {
	e := &Waiting[int]{Caller: caller, Weight: weight}
	_, err := q.Push(e, 0, epoch)
	require.NoError(t, err)
	return e
}

func popCallers(q *FairQueue[int], n int) []fleet.CallerID {
	var order []fleet.CallerID
	for range n {
		if e, _ := q.Pop(epoch); e != nil {
			order = append(order, e.Caller)
		}
	}
	return order
}

// Guards against a caller with many entries that delays the entries of others or fills the queue.
func TestOneHeavyCallerDoesNotDelayOrShutOutTheOthers(t *testing.T) {
	q := NewFairQueue[int](100, time.Minute)
	for range 100 {
		push(t, q, "heavy", 1)
	}
	_, err := q.Push(&Waiting[int]{Caller: "heavy"}, 0, epoch)
	require.ErrorIs(t, err, ErrQueueFull)
	for i := range 5 {
		displaced, err := q.Push(&Waiting[int]{Caller: fleet.CallerID(fmt.Sprint("light", i))}, 0, epoch)
		require.NoError(t, err)
		require.Equal(t, fleet.CallerID("heavy"), displaced.Caller)
	}
	require.Equal(t, 100, q.Len())
	order := popCallers(q, 6)
	require.Subset(t, order, []fleet.CallerID{"light0", "light1", "light2", "light3", "light4"})
	require.Equal(t, 95, len(popCallers(q, 200))+1)
}

// Guards against weights that do not affect the callers' shares.
func TestCallersAreServedInProportionToTheirWeights(t *testing.T) {
	q := NewFairQueue[int](200, time.Minute)
	for range 60 {
		push(t, q, "three", 3)
		push(t, q, "one", 1)
	}
	served := map[fleet.CallerID]int{}
	for _, caller := range popCallers(q, 40) {
		served[caller]++
	}
	require.InDelta(t, 30, served["three"], 1)
	require.InDelta(t, 10, served["one"], 1)
}

// Guards against entries that are refused only after they waited, entries that run after their deadline, and cancelled
// entries that still run or still count against their caller.
func TestQueueRefusesOnEntryDropsExpiredAndForgetsCancelled(t *testing.T) {
	q := NewFairQueue[int](10, 2*time.Second)
	_, err := q.Push(&Waiting[int]{Caller: "a", Deadline: epoch.Add(time.Second)}, time.Second, epoch)
	require.ErrorIs(t, err, ErrWouldMissDeadline)
	_, err = q.Push(&Waiting[int]{Caller: "a"}, 2*time.Second, epoch)
	require.ErrorIs(t, err, ErrWouldMissDeadline, "the queue's longest wait applies without a deadline")

	cancelled := push(t, q, "a", 1)
	require.True(t, q.Cancel(cancelled))
	require.False(t, q.Cancel(cancelled))
	expiring := &Waiting[int]{Caller: "a", Deadline: epoch.Add(time.Second)}
	_, err = q.Push(expiring, 0, epoch)
	require.NoError(t, err)
	require.Equal(t, 1, q.Ahead("b"), "the earlier entry has the same virtual start")
	kept := push(t, q, "b", 1)

	next, expired := q.Pop(epoch.Add(1500 * time.Millisecond))
	require.Same(t, kept, next)
	require.Equal(t, []*Waiting[int]{expiring}, expired)
	require.False(t, q.Cancel(kept))
	require.Zero(t, q.Len())
}
