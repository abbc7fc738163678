package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/poison"
)

// record is evidence that blocks a part.
const record = `{"p":"bad0","q":[1,2],"x":[{"t":"t7","a":10},{"t":"t8","a":20},{"t":"t9","a":30}]}`

// tell sends an instance a datagram about parts in the name of another one.
func (p *testFleet) tell(m *member, text string) {
	conn, err := p.network.ListenPacket("10.0.9.9:1")
	require.NoError(p.t, err)
	defer conn.Close()
	address, err := net.ResolveUDPAddr("udp", m.address)
	require.NoError(p.t, err)
	_, err = conn.WriteTo([]byte(text), address)
	require.NoError(p.t, err)
	time.Sleep(10 * time.Millisecond)
}

// knowing returns how many instances have a part in a state.
func (p *testFleet) knowing(state poison.State) int {
	n := 0
	for _, m := range p.members {
		for _, e := range m.parts.Entries() {
			if e.Part == "bad0" && e.State == state {
				n++
			}
		}
	}
	return n
}

// Guards against instances of another group, or on standby, that hear nothing of a part, and against new ones that start without it.
func TestPartsReachTheWholeFleet(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		p.guardsParts = true
		startGroupedFleet(p)
		p.tell(p.members[0], `{"h":{"f":"i01","p":[`+record+`]}}`)
		require.Less(t, p.knowing(poison.Blocked), 10, "as if all news had been lost; records go to two instances a second")
		p.store.SetDown(true)
		time.Sleep(12 * time.Second)
		require.Equal(t, len(p.members), p.knowing(poison.Blocked))
		p.store.SetDown(false)
		time.Sleep(3 * time.Second)
		late := p.startInstance("late", "a2", true)
		time.Sleep(1500 * time.Millisecond)
		require.True(t, late.parts.Blocks([]poison.Part{"5eed", "bad0"}))
		require.True(t, p.members[7].parts.Lift("bad0"))
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, len(p.members), p.knowing(poison.Lifted))
	})
}

// Guards against a block that is lifted here and comes back from the store, and against one that many instances write there.
func TestBlockedPartsAreSavedOnce(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		p.guardsParts = true
		for i := range 4 {
			p.startInstance(fleet.InstanceID(fmt.Sprintf("i%d", i)), "a1", true)
		}
		time.Sleep(2 * time.Second)
		p.tell(p.members[0], `{"h":{"f":"i1","p":[`+record+`]}}`)
		time.Sleep(15 * time.Second)
		listing, err := p.store.List(t.Context(), "/eelgrass/parts/")
		require.NoError(t, err)
		require.Len(t, listing.Items, 1)
		require.Equal(t, listing.Items[0].CreateRevision, listing.Items[0].ModRevision)
		require.True(t, p.members[2].parts.Lift("bad0"))
		time.Sleep(2 * time.Second)
		for _, m := range p.members {
			m.stop()
		}
		p.members = nil
		late := p.startAt("late", "10.0.0.99:7720", "a1", true)
		time.Sleep(2 * time.Second)
		require.False(t, late.parts.Blocks([]poison.Part{"bad0"}))
		require.Equal(t, 1, p.knowing(poison.Lifted))
	})
}

// Guards against malformed datagrams and those of strangers that block parts, and against answers that two instances send each other without an end.
func TestInvalidDatagramsAboutParts(t *testing.T) {
	runInFleet(t, func(t *testing.T, p *testFleet) {
		p.guardsParts = true
		a, b := p.startInstance("a", "a1", true), p.startInstance("b", "a1", true)
		time.Sleep(2 * time.Second)
		for _, text := range []string{`{"h":`, `{"h":{"f":"b","p":[{"p":7}]}}`, `{"h":{"f":"x","p":[` + record + `]}}`, `{"h":{"f":"b","p":[{"p":"` + strings.Repeat("a", 500) + `","q":[1,2],"x":[]}]}}`} {
			p.tell(a, text)
			require.Empty(t, a.parts.Entries(), text)
		}
		var crashes []string
		for i := range 40 { // too many for a datagram
			crashes = append(crashes, fmt.Sprintf(`{"t":"target-%020d","a":%d}`, i, 100*i))
		}
		p.tell(a, `{"h":{"f":"b","p":[{"p":"bad0","q":[1,2],"x":[`+strings.Join(crashes, ",")+`]}]}}`)
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, p.knowing(poison.Blocked))
		require.Len(t, b.parts.Entries()[0].Crashes, len(a.parts.Entries()[0].Crashes))
	})
}
