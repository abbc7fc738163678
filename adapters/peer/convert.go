package peer

import (
	"math"

	"github.com/rotisserie/eris"

	peerapi "eelgrassproxy.example/api/peer"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
)

// wireLeaving is the only state of a target on the wire.
const wireLeaving = 1

// probeToWire converts a probe. Incarnations and generations fit: the one is in unix milliseconds, the other counts changes.
func probeToWire(p membership.Probe) *peerapi.Probe {
	wire := &peerapi.Probe{
		F: string(p.From),
		I: peerapi.NewOptInt64(int64(p.Incarnation)),
		G: int64(p.Generation),
	}
	if p.InFlight != 0 {
		wire.L = peerapi.NewOptInt32(int32(min(p.InFlight, math.MaxInt32)))
	}
	for _, u := range p.Updates {
		wire.U = append(wire.U, updateToWire(u))
	}
	for _, u := range p.Targets {
		wire.T = append(wire.T, peerapi.TargetUpdate{N: string(u.ID), S: wireLeaving})
	}
	return wire
}

func updateToWire(u membership.Update) peerapi.MemberUpdate {
	return peerapi.MemberUpdate{
		N: string(u.ID),
		S: int32(u.State),
		I: int64(u.Incarnation),
		A: optional(u.PeerAddress),
		C: optional(u.CallerAddress),
		K: diskFlag(u.HasDisk),
		D: optional(string(u.FailureDomain)),
	}
}

func optional(s string) peerapi.OptString {
	return peerapi.OptString{Value: s, Set: s != ""}
}

// probeFromWire converts and checks a probe. It skips updates whose state this version does not know, so that a later version
// may add states, and fails with ErrMalformed on numbers out of range or an empty sender.
func probeFromWire(wire *peerapi.Probe) (membership.Probe, error) {
	if err := checkProbe(wire); err != nil {
		return membership.Probe{}, err
	}
	p := membership.Probe{
		From:        fleet.InstanceID(wire.F),
		Incarnation: uint64(wire.I.Value),
		Generation:  fleet.Generation(wire.G),
		InFlight:    int(wire.L.Value),
	}
	for _, u := range wire.U {
		if u.N == "" || u.I < 0 {
			return membership.Probe{}, eris.Wrapf(ErrMalformed, "update of instance %q has incarnation %d", u.N, u.I)
		}
		if u.S >= int32(fleet.MemberAlive) && u.S <= int32(fleet.MemberDead) {
			p.Updates = append(p.Updates, updateFromWire(u))
		}
	}
	for _, u := range wire.T {
		if u.S == wireLeaving && u.N != "" {
			p.Targets = append(p.Targets, membership.TargetUpdate{ID: fleet.TargetID(u.N), State: fleet.TargetLeaving})
		}
	}
	return p, nil
}

func checkProbe(wire *peerapi.Probe) error {
	if wire.F == "" {
		return eris.Wrap(ErrMalformed, "probe names no sender")
	}
	if wire.I.Value < 0 || wire.G < 0 || wire.L.Value < 0 {
		return eris.Wrapf(ErrMalformed, "probe of %q has a negative number: i=%d g=%d l=%d", wire.F, wire.I.Value, wire.G, wire.L.Value)
	}
	return nil
}

func updateFromWire(u peerapi.MemberUpdate) membership.Update {
	return membership.Update{
		ID:            fleet.InstanceID(u.N),
		State:         fleet.MemberState(u.S),
		Incarnation:   uint64(u.I),
		PeerAddress:   u.A.Value,
		CallerAddress: u.C.Value,
		HasDisk:       u.K.Value,
		FailureDomain: fleet.FailureDomain(u.D.Value),
	}
}

func manifestToWire(m bundle.SignedManifest) *peerapi.SignedManifest {
	wire := &peerapi.SignedManifest{Manifest: m.Manifest, Signatures: []peerapi.Signature{}}
	for _, s := range m.Signatures {
		wire.Signatures = append(wire.Signatures, peerapi.Signature{Operator: s.Operator, Signature: s.Signature})
	}
	return wire
}

func manifestFromWire(wire *peerapi.SignedManifest) bundle.SignedManifest {
	m := bundle.SignedManifest{Manifest: wire.Manifest}
	for _, s := range wire.Signatures {
		m.Signatures = append(m.Signatures, bundle.Signature{Operator: s.Operator, Signature: s.Signature})
	}
	return m
}

// diskFlag leaves the flag out when it is not set, which saves bytes.
func diskFlag(hasDisk bool) peerapi.OptBool {
	return peerapi.OptBool{Value: hasDisk, Set: hasDisk}
}
