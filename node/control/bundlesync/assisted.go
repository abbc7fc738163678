package bundlesync

import (
	"context"
	"sync"

	"eelgrassproxy.example/core/bundle"
)

// maxHelpers is the maximum number of peers that supply sections to a starting instance.
const maxHelpers = 4

// assistedSource reads manifests and deltas from the store and sections preferably from peers. If all instances of a large fleet restart,
// each needs 262 sections; reading them from the store would use up its capacity for about a minute.
type assistedSource struct {
	storeSource
	peers PeerSource

	mu      sync.Mutex // guards the fields below
	helpers []string   // peers that have not failed yet
	next    int
}

// section asks one peer, then the store. A peer that fails or returns a wrong section is not asked again.
func (s *assistedSource) section(ctx context.Context, digest string) ([]byte, error) {
	peer, ok := s.nextHelper()
	if !ok {
		return s.storeSource.section(ctx, digest)
	}
	data, err := peerSource{peers: s.peers, peer: peer}.section(ctx, digest)
	if err == nil {
		err = bundle.CheckSection(digest, data)
	}
	if err == nil {
		return data, nil
	}
	s.drop(peer)
	return s.storeSource.section(ctx, digest)
}

// nextHelper returns the next peer in round-robin order, or false if all have failed.
func (s *assistedSource) nextHelper() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.helpers) == 0 {
		return "", false
	}
	s.next++
	return s.helpers[s.next%len(s.helpers)], true
}

func (s *assistedSource) drop(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rest []string
	for _, helper := range s.helpers {
		if helper != peer {
			rest = append(rest, helper)
		}
	}
	s.helpers = rest
}

// newAssistedSource returns a source that reads sections from up to maxHelpers peers.
func (c *Controller) newAssistedSource() *assistedSource {
	peers := c.choosePeers()
	return &assistedSource{storeSource: storeSource{c.Store}, peers: c.Peers, helpers: peers[:min(len(peers), maxHelpers)]}
}
