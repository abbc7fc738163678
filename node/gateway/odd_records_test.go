package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/slots"
	"eelgrassproxy.example/node/control/membership"
)

// Guards against one odd membership record that ends processes, or cuts an instance off from another that the record names.
func TestOddMembershipRecordHidesOnlyItself(t *testing.T) {
	for name, record := range map[string]string{
		"of another instance": `{"instance":"b","incarnation":18446744073709551615,"peer_address":"10.9.9.9:1","failure_domain":"b1"}`,
		"incarnation 1e999":   `{"instance":"x","incarnation":1e999,"peer_address":"10.9.9.9:1"}`,
		"20 digits":           `{"instance":"x","incarnation":99999999999999999999,"peer_address":"10.9.9.9:1"}`,
		"capacity 1e999":      `{"instance":"x","capacity_cores":1e999,"peer_address":"10.9.9.9:1"}`,
		"a port too large":    `{"instance":"x","peer_address":"[::1]:70000"}`,
		"no address":          `{"instance":"x"}`,
		"no instance":         `{"peer_address":"10.9.9.9:1"}`,
		"nested deeply":       `{"instance":"x","more":` + strings.Repeat("[", 20000),
		"no bytes":            "",
	} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, func(t *testing.T, p *testFleet) {
				a, b := p.startInstance("a", "a1", true), p.startInstance("b", "b1", true)
				time.Sleep(2 * time.Second)
				p.put(membership.MembersPrefix+"x", record)
				time.Sleep(2 * time.Second)
				reservation, _ := a.board.ReserveOnline("s", "q", nil)
				require.NotNil(t, reservation)
				time.Sleep(time.Second)
				require.Equal(t, slots.Count{Online: 1}, b.board.Pool("s").Load, "counts reach the other instance")
				reservation.Release()
				state, known := stateOf(a, "b")
				require.True(t, known)
				require.Equal(t, fleet.MemberAlive, state)
				p.startInstance("c", "a2", true)
				time.Sleep(2 * time.Second)
				_, known = stateOf(a, "c")
				require.True(t, known, "later records are read")
			})
		})
	}
}
