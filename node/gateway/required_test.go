package gateway_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an instance that needs a newer configuration, which a peer announces, and reads it only with its next periodic check.
func TestRequiredConfigurationIsReadFromAPeerAtOnce(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		startLargeFleet(p)
		behind := 0
		p.put("config", "newer")
		time.Sleep(60 * time.Millisecond)
		for _, m := range p.members {
			if m.routes.Version() < 5 && m.catchUp.NewestVersion() == 5 {
				behind++
				m.routes.Require(5)
				time.Sleep(20 * time.Millisecond)
				require.Equal(t, int64(5), m.routes.Version(), "%s", m.id)
			}
		}
		require.NotZero(t, behind, "the test needs an instance that is behind")
	})
}

// Guards against an instance whose watch is late and that needs a newer configuration which no peer announces.
func TestRequiredConfigurationIsReadFromTheStore(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		m := p.startInstance("i00", "a1", true)
		m.store.mu.Lock()
		m.store.hangs = true
		m.store.mu.Unlock()
		time.Sleep(2 * time.Second)
		p.put("config", "newer")
		time.Sleep(2 * time.Second)
		require.Equal(t, int64(1), m.routes.Version())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Equal(t, int64(5), m.routes.Await(ctx, 5).Version)
	})
}

// Guards against an instance that waits without end, or reads the store all the time, for a version that does not exist.
func TestRequiredConfigurationThatDoesNotExist(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		m := p.startInstance("i00", "a1", true)
		time.Sleep(2 * time.Second)
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		require.Equal(t, int64(1), m.routes.Await(ctx, 99).Version)
		require.Equal(t, 300*time.Millisecond, time.Since(started))
		require.Equal(t, int64(99), m.catchUp.NewestVersion())
	})
}

// Guards against jobs that are given to peers whose routing table is older than the one by which the job was accepted.
func TestOnlyPeersThatHaveTheVersionAreCandidates(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		startLargeFleet(p)
		peers := p.members[0].peers
		require.NotEmpty(t, peers.Candidates(1))
		require.Empty(t, peers.Candidates(2))
		require.Len(t, peers.UpToDate(1), len(peers.Available()))
		require.Empty(t, peers.UpToDate(2))
	})
}
