package daemon

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/control/bundlesync"
	"eelgrassproxy.example/node/settings"
)

// watchersPerRegion is the number of instances of each region that watch the store for new bundles; the others learn of new bundles
// from peers. With two, the loss of one does not delay a bundle.
const watchersPerRegion = 2

// newVerifier returns a verifier with the trusted keys and the number of required signatures.
func newVerifier(b settings.Bundle) (bundle.Verifier, error) {
	verifier := bundle.Verifier{Keys: make(map[string]ed25519.PublicKey), Required: b.RequiredSignatures}
	for _, k := range b.TrustedKeys {
		raw, err := base64.StdEncoding.DecodeString(k.PublicKey)
		if err != nil {
			return verifier, eris.Wrapf(err, "public key of operator %q", k.Operator)
		}
		verifier.Keys[k.Operator] = raw
	}
	return verifier, nil
}

// watchesStore reports whether this instance is one of its region's watchers. Every instance is one until its first bundle, which holds
// the topology.
func (d *Daemon) watchesStore() bool {
	active := d.board.Bundle.Current()
	if active == nil {
		return true
	}
	watchers := membership.Watchers(d.board.Members.All(), active.Topology(), watchersPerRegion)
	return slices.Contains(watchers, d.self.ID)
}

// collectsBundles reports whether this instance is the one that deletes old bundles from the store. Without regions a single watcher is
// chosen. While the member tables of the instances differ, none or several may be chosen, which is harmless.
func (d *Daemon) collectsBundles() bool {
	active := d.board.Bundle.Current()
	if active == nil {
		return false
	}
	chosen := membership.Watchers(d.board.Members.All(), fleet.Topology{}, 1)
	return len(chosen) == 1 && chosen[0] == d.self.ID
}

// peerSource adapts the peer client to bundlesync: it replaces peer.ErrNotFound of a delta by bundlesync.ErrNoDelta.
type peerSource struct{ client *peer.Client }

var _ bundlesync.PeerSource = peerSource{}

// Manifest implements bundlesync.PeerSource.
func (p peerSource) Manifest(ctx context.Context, address string) (bundle.SignedManifest, error) {
	return p.client.Manifest(ctx, address)
}

// Section implements bundlesync.PeerSource.
func (p peerSource) Section(ctx context.Context, address, digest string) ([]byte, error) {
	return p.client.Section(ctx, address, digest)
}

// Delta implements bundlesync.PeerSource.
func (p peerSource) Delta(ctx context.Context, address string, to fleet.Generation) (bundle.Delta, error) {
	delta, err := p.client.Delta(ctx, address, to)
	if errors.Is(err, peer.ErrNotFound) {
		return delta, fmt.Errorf("%w: %v", bundlesync.ErrNoDelta, err)
	}
	return delta, err
}
