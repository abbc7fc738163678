package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
)

// Guards against store calls that grow with the fleet: in a large one a few instances follow the list of targets, and all know it.
func TestFewInstancesFollowTheTargetList(t *testing.T) {
	inFleet(t, func(t *testing.T, p *testFleet) {
		for i := range 16 {
			p.join(fleet.InstanceID(fmt.Sprintf("i%02d", i)), []fleet.FailureDomain{"a1", "a2", "b1", "b1"}[i%4], true)
		}
		time.Sleep(8 * time.Second)
		before := p.lists()
		p.put("t/t2", "live")
		time.Sleep(4 * time.Second)
		followers := 0
		for i, n := range p.lists() {
			if n > before[i] {
				followers++
			}
		}
		require.Equal(t, 4, followers, "two in each region")
		for _, m := range p.members {
			require.Equal(t, 2, m.board.Pool("s").Usable, "%s", m.id)
		}
		p.put("t/t2", "leaving")
		time.Sleep(4 * time.Second)
		for _, m := range p.members {
			require.Equal(t, 1, m.board.Pool("s").Usable, "%s", m.id)
		}
	})
}
