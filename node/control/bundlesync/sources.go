package bundlesync

import (
	"context"
	"errors"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/bundle/store"
	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// source is the store or one peer, as a source of unverified bundle data.
type source interface {
	// name identifies the source in logs.
	name() string
	// manifest returns the newest signed manifest of the source.
	manifest(ctx context.Context) (bundle.SignedManifest, error)
	section(ctx context.Context, digest string) ([]byte, error)
	// delta returns the delta that leads to generation to, or ErrNoDelta.
	delta(ctx context.Context, to fleet.Generation) (bundle.Delta, error)
}

// peerSource fetches from one peer.
type peerSource struct {
	peers PeerSource
	peer  string
}

func (s peerSource) name() string { return "peer " + s.peer }

func (s peerSource) manifest(ctx context.Context) (bundle.SignedManifest, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.peers.Manifest(ctx, s.peer)
}

func (s peerSource) section(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.peers.Section(ctx, s.peer, digest)
}

func (s peerSource) delta(ctx context.Context, to fleet.Generation) (bundle.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.peers.Delta(ctx, s.peer, to)
}

// storeSource fetches from the platform's store.
type storeSource struct {
	store kv.Store
}

func (s storeSource) name() string { return "store" }

func (s storeSource) get(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := s.store.Get(ctx, key)
	return item.Value, err
}

func (s storeSource) head(ctx context.Context) (store.Head, error) {
	value, err := s.get(ctx, store.HeadKey)
	if err != nil {
		return store.Head{}, err
	}
	return store.DecodeHead(value)
}

func (s storeSource) manifest(ctx context.Context) (bundle.SignedManifest, error) {
	head, err := s.head(ctx)
	if err != nil {
		return bundle.SignedManifest{}, err
	}
	value, err := s.get(ctx, store.ManifestKey(head.Generation))
	if err != nil {
		return bundle.SignedManifest{}, err
	}
	return store.DecodeManifest(value)
}

func (s storeSource) section(ctx context.Context, digest string) ([]byte, error) {
	return s.get(ctx, store.SectionKey(digest))
}

func (s storeSource) delta(ctx context.Context, to fleet.Generation) (bundle.Delta, error) {
	value, err := s.get(ctx, store.DeltaKey(to))
	if errors.Is(err, kv.ErrNotFound) {
		return bundle.Delta{}, eris.Wrapf(ErrNoDelta, "generation %d", to)
	}
	if err != nil {
		return bundle.Delta{}, err
	}
	return bundle.DecodeDelta(value)
}
