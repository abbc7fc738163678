package itemjob_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/itemjob"
)

// Guards against jobs that are late at one instance while the targets of others are idle, and against jobs that move for a small difference.
func TestJobGoesToTheLeastLoadedInstance(t *testing.T) {
	self := itemjob.Candidate{ID: "i1", Waiting: 40_000, Capacity: 0.8}
	for _, test := range []struct {
		others []itemjob.Candidate
		want   fleet.InstanceID
	}{
		{nil, "i1"},
		{[]itemjob.Candidate{{ID: "i2", Waiting: 35_000, Capacity: 0.8}}, "i1"},
		{[]itemjob.Candidate{{ID: "i2", Waiting: 10_000, Capacity: 0.8}, {ID: "i3", Waiting: 5_000, Capacity: 0.8}}, "i3"},
		{[]itemjob.Candidate{{ID: "i2", Waiting: 10_000, Capacity: 0.2}}, "i1"},
		{[]itemjob.Candidate{{ID: "i3", Capacity: 0.8}, {ID: "i2", Capacity: 0.8}}, "i2"},
	} {
		require.Equal(t, test.want, itemjob.Owner(self, test.others, 9_000), "%v", test.others)
	}
}
