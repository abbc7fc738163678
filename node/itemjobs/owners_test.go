package itemjobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
)

// Guards against jobs that are taken over from an alive owner whose latest process is not known yet, and against jobs whose owner is not alive
// and that no instance takes over.
func TestOwnersThatLive(t *testing.T) {
	living := map[fleet.InstanceID]uint64{"a": 5}
	require.True(t, isOwned(openMark{Owner: "a", Process: 5}, living))
	require.True(t, isOwned(openMark{Owner: "a", Process: 6}, living), "a later process than the known one")
	require.False(t, isOwned(openMark{Owner: "a", Process: 4}, living), "an earlier process than the known one")
	require.False(t, isOwned(openMark{Owner: "b", Process: 5}, living))
	require.False(t, isOwned(openMark{}, living))
}
