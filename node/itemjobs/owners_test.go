package itemjobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
)

// Guards against jobs that are taken from a living owner because its latest process is not known yet, and against ones whose owner is gone
// that nobody takes.
func TestOwnersThatLive(t *testing.T) {
	living := map[fleet.InstanceID]uint64{"a": 5}
	require.True(t, isOwned(openMark{Owner: "a", Process: 5}, living))
	require.True(t, isOwned(openMark{Owner: "a", Process: 6}, living), "a later process than the one that is known")
	require.False(t, isOwned(openMark{Owner: "a", Process: 4}, living), "an earlier one")
	require.False(t, isOwned(openMark{Owner: "b", Process: 5}, living))
	require.False(t, isOwned(openMark{}, living))
}
