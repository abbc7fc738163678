package itemjobs_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/node/itemjobs"
)

// storeCallTimeout is the time after which the client of the platform's store gives a call up.
const storeCallTimeout = 1500 * time.Millisecond

// Guards against a job that runs although its client was told that it never will, when the peer that recorded it did not answer in time and
// the other instances were refused by the store.
func TestJobRecordedByASilentPeerIsNotRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeTestFleet(t, false)
		defer f.close()
		called, silent, other := f.nodes[0], f.nodes[1], f.nodes[2]
		require.NoError(t, called.service.Submit(t.Context(), submission("load", "x", "y")))
		time.Sleep(time.Second) // until the peers know that they are less loaded
		silent.store.setOnCreate(func(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
			_, err := f.store.Txn(ctx, txn)
			require.NoError(t, err)
			silent.store.setUnreachable(true) // the other instances do not forward the job to it again
			<-time.After(storeCallTimeout)
			return kv.TxnResult{}, kv.ErrOutcomeUnknown
		})
		called.store.setOnCreate(refuseCreation)
		other.store.setOnCreate(refuseCreation)

		err := called.service.Submit(t.Context(), submission("j", "a"))
		time.Sleep(2 * time.Second)
		silent.store.setUnreachable(false)
		time.Sleep(15 * time.Second)
		require.NotEmpty(t, f.runsOf("a"), "the job was recorded")
		require.ErrorIs(t, err, itemjobs.ErrOutcomeUnknown)
		require.NotErrorIs(t, err, itemjobs.ErrUnavailable, "the job ran")
		require.Equal(t, int64(1), called.submissionsCounted("unknown"))
	})
}

// Guards against an answer that promises nothing although no instance was sent the job, since the peer that should own it has just stopped.
func TestJobThatWasSentToNoInstanceIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeTestFleet(t, false)
		defer f.close()
		called := f.nodes[0]
		require.NoError(t, called.service.Submit(t.Context(), submission("load", "x", "y")))
		time.Sleep(time.Second) // until the peers know that they are less loaded
		for _, n := range f.nodes {
			n.store.setOnCreate(refuseCreation)
			f.network.Refuse(n.address)
		}
		err := called.service.Submit(t.Context(), submission("j", "a"))
		require.ErrorIs(t, err, itemjobs.ErrUnavailable)
		time.Sleep(15 * time.Second)
		require.Empty(t, f.runsOf("a"))
	})
}
