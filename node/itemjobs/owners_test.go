package itemjobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
)

// Guards against jobs that are taken over from an alive owner whose latest process is not known yet, and against jobs whose owner is not alive
// and that no instance takes over.
func TestIsOwnerAlive(t *testing.T) {
	s, now := &Service{}, time.Now()
	processes := map[fleet.InstanceID]uint64{"a": 5}
	isAlive := func(mark openMark, now time.Time) bool {
		later := make(map[ownerProcess]time.Time)
		alive := s.isOwnerAlive(mark, processes, later, now)
		s.laterSince = later
		return alive
	}
	require.True(t, isAlive(openMark{Owner: "a", Process: 5}, now))
	require.False(t, isAlive(openMark{Owner: "a", Process: 4}, now), "an earlier process than the known one")
	require.False(t, isAlive(openMark{Owner: "b", Process: 5}, now))
	require.False(t, isAlive(openMark{}, now))
	require.True(t, isAlive(openMark{Owner: "a", Process: 6}, now), "a later process than the known one")
	require.True(t, isAlive(openMark{Owner: "a", Process: 6}, now.Add(maxLaterProcess-1)))
	require.False(t, isAlive(openMark{Owner: "a", Process: 6}, now.Add(maxLaterProcess)), "it is a process whose clock was ahead")
}
