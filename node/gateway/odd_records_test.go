package gateway_test

import (
	"fmt"
	"net"
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

// Guards against counts in a datagram that cancel those of other instances, and against logs that a sender of unreadable datagrams fills.
func TestOddDatagramsHarmNothing(t *testing.T) {
	log := captureLog(t)
	runInFleet(t, func(t *testing.T, p *testFleet) {
		a, _ := p.startInstance("a", "a1", true), p.startInstance("b", "b1", true)
		time.Sleep(2 * time.Second)
		sender, err := p.network.ListenPacket("10.0.9.9:1")
		require.NoError(t, err)
		defer sender.Close()
		address, err := net.ResolveUDPAddr("udp", a.address)
		require.NoError(t, err)
		send := func(text string) {
			_, err := sender.WriteTo([]byte(text), address)
			require.NoError(t, err)
			time.Sleep(time.Millisecond)
		}
		for range 1000 {
			send(`{"i":"b","c":` + strings.Repeat("[", 15000))
		}
		for n, odd := range []string{`"w":{"r":-9223372036854775808}`, `"w":{"r":9223372036854775807}`, `"c":{"t1":[-1,-1,-9223372036854775808]}`, `"b":-9223372036854775808`} {
			send(fmt.Sprintf(`{"i":"b","p":18446744073709551615,"n":%d,%s}`, n+1, odd))
			require.GreaterOrEqual(t, a.peers.Waiting("r"), int64(0))
			require.GreaterOrEqual(t, a.peers.Waiting("r")+1<<40, int64(0), "a limit is compared with the sum of the tokens that wait and those that arrive")
			require.GreaterOrEqual(t, a.board.Pool("s").Load.Total(), 0)
		}
		for _, odd := range []string{`"n":1e999`, `"p":99999999999999999999`, `"c":{"t1":[1e999]}`, `"c":7`, `"s":{}`} {
			send(`{"i":"b",` + odd + `}`)
		}
	})
	require.LessOrEqual(t, strings.Count(log.String(), "Malformed datagram"), 5)
	require.Positive(t, strings.Count(log.String(), "Malformed datagram"))
}
