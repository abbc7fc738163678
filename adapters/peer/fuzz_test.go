package peer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	peerapi "eelgrassproxy.example/api/peer"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// Guards against probes that crash an instance, that lose content in the conversion, or that make an instance believe itself dead.
func FuzzProbeDecoder(f *testing.F) {
	seed, err := probeToWire(sample).MarshalJSON()
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte(`{"f":"i0","g":1,"u":[{"n":"i0","s":3,"i":9223372036854775807}]}`))
	f.Add([]byte(`{"f":"i1","i":-1,"g":-1,"l":-1,"u":[{"n":"","s":9,"i":0}],"t":[{"n":"","s":0}]}`))
	f.Add([]byte(`{"f":"i1","g":0,"u":[{"n":"i2","s":9,"i":1},{"n":"i2","s":-1,"i":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var wire peerapi.Probe
		if wire.UnmarshalJSON(data) != nil || wire.Validate() != nil {
			return
		}
		probe, err := probeFromWire(&wire)
		if err != nil {
			assert.ErrorIs(t, err, ErrMalformed)
			return
		}
		for _, u := range probe.Updates {
			require.NotEqual(t, "invalid", u.State.String())
		}
		again, err := probeFromWire(probeToWire(probe))
		require.NoError(t, err)
		require.Equal(t, probe, again)

		now := time.UnixMilli(1_800_000_000_000)
		d := membership.New(fleet.Member{ID: "i0", Incarnation: 1}, membership.Options{}, rand.New(rand.NewPCG(1, 1)))
		ack := d.HandleProbe(now, probe)
		d.Tick(now.Add(time.Minute))
		assert.Equal(t, fleet.MemberAlive, d.Self().State)
		ackWire := probeToWire(ack)
		require.NoError(t, ackWire.Validate())
		_, err = probeFromWire(ackWire)
		require.NoError(t, err)
	})
}
