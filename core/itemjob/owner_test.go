package itemjob_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
)

func candidate(id fleet.InstanceID, waiting int64, capacity float64) itemjob.Candidate {
	return itemjob.Candidate{Member: fleet.Member{ID: id, Capacity: capacity}, Waiting: waiting}
}

// Guards against jobs that are late at one instance while the targets of others are idle, and against jobs that move although the loads are
// almost equal.
func TestJobGoesToTheLeastLoadedInstance(t *testing.T) {
	self := candidate("i1", 40_000, 0.8)
	for _, test := range []struct {
		others []itemjob.Candidate
		want   fleet.InstanceID
	}{
		{nil, "i1"},
		{[]itemjob.Candidate{candidate("i2", 35_000, 0.8)}, "i1"},
		{[]itemjob.Candidate{candidate("i2", 10_000, 0.8), candidate("i3", 5_000, 0.8)}, "i3"},
		{[]itemjob.Candidate{candidate("i2", 10_000, 0.2)}, "i1"},
		{[]itemjob.Candidate{candidate("i3", 0, 0.8), candidate("i2", 0, 0.8)}, "i2"},
	} {
		require.Equal(t, test.want, itemjob.ChooseOwner(self, test.others, 9_000).ID, "%v", test.others)
	}
}
