package bundlesync

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/node/blackboard"
	"eelgrassproxy.example/node/control/roll"
	"eelgrassproxy.example/node/internal/memkv"
	"github.com/stretchr/testify/require"
)

var operatorKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

func verifier() bundle.Verifier {
	return bundle.Verifier{Keys: map[string]ed25519.PublicKey{"anna": operatorKey.Public().(ed25519.PublicKey)}, Required: 1}
}

func document(generation fleet.Generation) *bundle.Document {
	doc := &bundle.Document{
		Generation: generation,
		Models:     []bundle.Model{{Name: "m", Base: "b", Version: "1", MaxRunning: 1}},
		Groups:     []bundle.Group{{Name: "g", Models: []string{"m"}}},
	}
	for n := range 20 + int(generation) {
		sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", n))
		doc.Callers = append(doc.Callers, bundle.Caller{ID: fleet.CallerID(fmt.Sprintf("c%d", n)), Group: "g", KeySHA256: hex.EncodeToString(sum[:])})
	}
	return doc
}

func signed(t testing.TB, doc *bundle.Document) (bundle.SignedManifest, bundle.Sections) {
	t.Helper()
	manifest, sections, err := bundle.Split(doc)
	require.NoError(t, err)
	out := bundle.SignedManifest{Manifest: manifest.Bytes()}
	out.Signatures = []bundle.Signature{bundle.Sign(out.Manifest, "anna", operatorKey)}
	return out, sections
}

func rollTo(t testing.TB, s *memkv.Store, generation fleet.Generation) {
	t.Helper()
	doc := document(generation)
	manifest, sections := signed(t, doc)
	require.NoError(t, roll.Roll(context.Background(), s, generation-1, doc, sections, manifest))
}

var errPeer = errors.New("peer is unreachable")

// fakePeer is a peer with a bundle. deltas may be nil.
type fakePeer struct {
	manifest bundle.SignedManifest
	sections bundle.Sections
	deltas   func(fleet.Generation) (bundle.Delta, bool)
}

// fakePeers implements PeerSource.
type fakePeers struct {
	mu    sync.Mutex
	peers map[string]*fakePeer
	calls map[string]int // number of calls by peer
}

func newPeers() *fakePeers {
	return &fakePeers{peers: map[string]*fakePeer{}, calls: map[string]int{}}
}

func (f *fakePeers) add(t testing.TB, name string, generation fleet.Generation) *fakePeer {
	manifest, sections := signed(t, document(generation))
	f.peers[name] = &fakePeer{manifest: manifest, sections: sections}
	return f.peers[name]
}

func (f *fakePeers) find(peer string) (*fakePeer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[peer]++
	if found := f.peers[peer]; found != nil {
		return found, nil
	}
	return nil, errPeer
}

func (f *fakePeers) addresses() []string {
	var out []string
	for name := range f.peers {
		out = append(out, name)
	}
	return out
}

func (f *fakePeers) Manifest(_ context.Context, peer string) (bundle.SignedManifest, error) {
	p, err := f.find(peer)
	if err != nil {
		return bundle.SignedManifest{}, err
	}
	return p.manifest, nil
}

func (f *fakePeers) Section(_ context.Context, peer, digest string) ([]byte, error) {
	p, err := f.find(peer)
	if err != nil {
		return nil, err
	}
	if data, ok := p.sections[digest]; ok {
		return data, nil
	}
	return nil, errPeer
}

func (f *fakePeers) Delta(_ context.Context, peer string, to fleet.Generation) (bundle.Delta, error) {
	p, err := f.find(peer)
	if err != nil {
		return bundle.Delta{}, err
	}
	if p.deltas != nil {
		if delta, ok := p.deltas(to); ok {
			return delta, nil
		}
	}
	return bundle.Delta{}, ErrNoDelta
}

func newController(s *memkv.Store, peers *fakePeers) *Controller {
	return New(Config{
		Table:         blackboard.New().Bundle,
		Store:         s,
		Peers:         peers,
		Verifier:      verifier(),
		IsWatcher:     func() bool { return false },
		PeerAddresses: peers.addresses,
		Random:        rand.New(rand.NewPCG(1, 2)),
	})
}
