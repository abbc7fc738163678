package itemjobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
)

// Guards against jobs that are taken over from an alive owner whose latest process is not known yet, and against jobs whose owner is not alive
// and that no instance takes over.
func TestIsOwnerAlive(t *testing.T) {
	processes := map[fleet.InstanceID]uint64{"a": 5}
	require.True(t, isOwnerAlive(openMark{Owner: "a", Process: 5}, processes))
	require.True(t, isOwnerAlive(openMark{Owner: "a", Process: 6}, processes), "a later process than the known one")
	require.False(t, isOwnerAlive(openMark{Owner: "a", Process: 4}, processes), "an earlier process than the known one")
	require.False(t, isOwnerAlive(openMark{Owner: "b", Process: 5}, processes))
	require.False(t, isOwnerAlive(openMark{}, processes))
}
